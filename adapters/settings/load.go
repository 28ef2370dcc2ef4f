package settings

import (
	"time"

	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
)

// Default values of the settings.
const (
	defaultBucket               = "greengagespoke"
	defaultPlatformTimeout      = 2 * time.Second
	defaultEntrypointsMaxAge    = 10 * time.Second
	defaultDrainMargin          = 2 * time.Second
	defaultTablePoll            = 2 * time.Second
	defaultHostListPoll         = time.Second
	defaultMaxBodyBytes         = 4 << 20
	defaultStoreWritesPerSecond = 300
	defaultStoreReadsPerSecond  = 2000
)

// Default returns settings with every optional value at its default. Required
// values are empty.
func Default() *Settings {
	return &Settings{
		Platform: Platform{
			Bucket:  defaultBucket,
			Timeout: domain.Duration(defaultPlatformTimeout),
		},
		Timings: Timings{
			EntrypointsMaxAge: domain.Duration(defaultEntrypointsMaxAge),
			DrainMargin:       domain.Duration(defaultDrainMargin),
			TablePoll:         domain.Duration(defaultTablePoll),
			HostListPoll:      domain.Duration(defaultHostListPoll),
		},
		Limits: Limits{
			MaxBodyBytes:         defaultMaxBodyBytes,
			StoreWritesPerSecond: defaultStoreWritesPerSecond,
			StoreReadsPerSecond:  defaultStoreReadsPerSecond,
		},
	}
}

// Load reads and checks a settings file and the certificate files that it names.
// Faults are *Error.
func Load(path string) (*Settings, error) {
	data, err := strictyaml.ReadFile(path)
	if err != nil {
		return nil, err
	}
	doc, s, err := parse(path, data)
	if err != nil {
		return nil, err
	}
	if err := checkFiles(doc, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Parse reads and checks settings. The name stands for the file in errors, which
// are *Error. Files that the settings name are not opened.
func Parse(name string, data []byte) (*Settings, error) {
	_, s, err := parse(name, data)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func parse(name string, data []byte) (*strictyaml.Document, *Settings, error) {
	doc, err := strictyaml.Parse(name, data)
	if err != nil {
		return nil, nil, err
	}
	s := Default()
	if err := doc.Decode(s); err != nil {
		return nil, nil, err
	}
	if fault := check(doc, s); fault != nil {
		return nil, nil, fault
	}
	fillDerived(s)
	return doc, s, nil
}

// fillDerived sets the values whose default is another value.
func fillDerived(s *Settings) {
	if s.Listen.Callers.Advertise == "" {
		s.Listen.Callers.Advertise = s.Listen.Callers.Address
	}
	if s.Listen.Peers.Advertise == "" {
		s.Listen.Peers.Advertise = s.Listen.Peers.Address
	}
}
