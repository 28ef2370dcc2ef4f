package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

// PoisonMarker makes an engine crash when the decode of a prompt that contains
// it starts.
const PoisonMarker = "<crash-the-engine>"

// Defaults of Config.
const (
	defaultSlots           = 20
	defaultPieces          = 400
	defaultPrefillRate     = 8000
	defaultLinkRate        = int64(10 << 30)
	defaultCachePieces     = 256
	defaultResultLifetime  = 800 * time.Millisecond
	defaultStepBase        = 30 * time.Millisecond
	defaultStepPerRunning  = 1200 * time.Microsecond
	defaultPrefillOverhead = 8 * time.Millisecond
	defaultResumeGrace     = 5 * time.Second
	defaultRestartAfter    = 5 * time.Second
	defaultLoadTime        = 2 * time.Second
	defaultEventLag        = 200 * time.Millisecond
	defaultLoadLag         = 250 * time.Millisecond
)

// Config describes one engine. Zero values stand for the defaults.
type Config struct {
	// Upstream names the engine and gives its zone, role, slots, pieces and rates.
	Upstream domain.Upstream
	// Model is what the engine serves at the start; empty accepts all models.
	Model string
	// Fabric connects the engine to others; nil makes a fabric of its own.
	Fabric *Fabric
	// ResultLifetime is how long a prefill result lives.
	ResultLifetime time.Duration
	// StepBase and StepPerRunning make up the time of one decode step.
	StepBase       time.Duration
	StepPerRunning time.Duration
	// PrefillOverhead is the fixed time of each prefill.
	PrefillOverhead time.Duration
	// CachePieces is the memory of the prefix cache in pieces.
	CachePieces int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag is the age at which cache events appear.
	EventLag time.Duration
	// EventLossPercent is how many in 100 cache events are lost.
	EventLossPercent int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is the time a model load takes apart from the weight store.
	LoadTime time.Duration
	// WeightBytes is the size of a model in the weight store.
	WeightBytes int64
	// OutputTokens gives the answer's length for a prompt; nil derives it from a
	// hash of the prompt.
	OutputTokens func(prompt string, maxTokens int) int
	// ResumeGrace is how long a decode goes on after its last reader closed.
	ResumeGrace time.Duration
	// RestartAfter is how long the engine is down after a crash.
	RestartAfter time.Duration
	// Remote fetches results from engines outside the fabric; nil means that
	// there are none.
	Remote RemoteExport
	// Frames says how frames go wrong on their way to the reader.
	Frames FrameFaults
	// Seed seeds the engine's scripted losses.
	Seed uint64
}

// FrameFaults says how many in 100 frames are delivered late, twice or after
// their successor.
type FrameFaults struct {
	LatePercent    int
	Late           time.Duration
	DoubledPercent int
	SwappedPercent int
}

func (c Config) withDefaults() Config {
	up := &c.Upstream
	setDefault(&up.Slots, defaultSlots)
	setDefault(&up.Pieces, defaultPieces)
	setDefault(&up.PrefillRate, defaultPrefillRate)
	setDefault(&up.LinkRate, defaultLinkRate)
	setDefault(&c.ResultLifetime, defaultResultLifetime)
	setDefault(&c.StepBase, defaultStepBase)
	setDefault(&c.StepPerRunning, defaultStepPerRunning)
	setDefault(&c.PrefillOverhead, defaultPrefillOverhead)
	setDefault(&c.CachePieces, defaultCachePieces)
	setDefault(&c.LoadLag, defaultLoadLag)
	setDefault(&c.EventLag, defaultEventLag)
	setDefault(&c.LoadTime, defaultLoadTime)
	setDefault(&c.ResumeGrace, defaultResumeGrace)
	setDefault(&c.RestartAfter, defaultRestartAfter)
	if c.OutputTokens == nil {
		c.OutputTokens = hashedOutputTokens
	}
	if c.Fabric == nil {
		c.Fabric = NewFabric(LinkConfig{})
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// hashedOutputTokens spreads lengths evenly from a quarter of maxTokens to all.
func hashedOutputTokens(prompt string, maxTokens int) int {
	low := max(1, maxTokens/4)
	span := uint64(maxTokens - low + 1)
	if maxTokens < low {
		return low
	}
	return low + int(xxhash.Sum64String(prompt)%span)
}
