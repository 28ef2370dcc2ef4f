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

// Default returns settings in which every optional value has its default and every
// required value is empty.
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

// Load reads and validates a settings file and the certificate files that it names.
// It returns an *Error if any of them is unreadable or invalid.
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

// Parse decodes and validates settings. The name identifies the file in errors, which
// are *Error. Parse does not open the files that the settings name.
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
	applyDerivedDefaults(s)
	return doc, s, nil
}

// applyDerivedDefaults sets unset values that default to another setting.
func applyDerivedDefaults(s *Settings) {
	if s.Listen.Callers.Advertise == "" {
		s.Listen.Callers.Advertise = s.Listen.Callers.Address
	}
	if s.Listen.Peers.Advertise == "" {
		s.Listen.Peers.Advertise = s.Listen.Peers.Address
	}
}
