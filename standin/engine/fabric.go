package engine

import (
	"sync"
	"time"

	"greengagespoke/domain"
)

// Defaults of LinkConfig.
const (
	defaultZoneRate  = int64(20 << 30)
	defaultZoneDelay = 5 * time.Millisecond
)

// LinkConfig describes the links between engines. Zero values stand for the
// defaults.
type LinkConfig struct {
	// ZoneRate is the rate of the shared link between two zones in bytes per second.
	ZoneRate int64
	// ZoneDelay is the one-way delay between two zones.
	ZoneDelay time.Duration
	// WeightRate is the rate of the weight store in bytes per second; 0 means no
	// limit.
	WeightRate int64
}

// Fabric knows all engines and models the links between them. Transfers queue
// on the source's link, the target's link and the link between their zones.
type Fabric struct {
	cfg    LinkConfig
	ledger *Ledger

	mu      sync.Mutex
	engines map[domain.UpstreamID]*Engine
	busy    map[linkKey]time.Time
	stalls  []Stall
}

// linkKey names a link: an engine's own, or the one from zone to zone.
type linkKey struct {
	engine   domain.UpstreamID
	ingress  bool
	from, to domain.Zone
}

// Stall stops transfers from a source to a target for a time. Empty fields match
// all engines.
type Stall struct {
	Source domain.UpstreamID
	Target domain.UpstreamID
	From   time.Time
	Until  time.Time
}

// NewFabric returns a fabric without engines.
func NewFabric(cfg LinkConfig) *Fabric {
	setDefault(&cfg.ZoneRate, defaultZoneRate)
	setDefault(&cfg.ZoneDelay, defaultZoneDelay)
	return &Fabric{
		cfg:     cfg,
		ledger:  newLedger(),
		engines: make(map[domain.UpstreamID]*Engine),
		busy:    make(map[linkKey]time.Time),
	}
}

// Ledger returns the counts over all engines.
func (f *Fabric) Ledger() *Ledger {
	return f.ledger
}

// Engine returns an engine by its identifier.
func (f *Fabric) Engine(id domain.UpstreamID) (*Engine, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.engines[id]
	return e, ok
}

// Engines returns all engines in no particular order.
func (f *Fabric) Engines() []*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Engine, 0, len(f.engines))
	for _, e := range f.engines {
		out = append(out, e)
	}
	return out
}

// AddStall scripts a stall of transfers.
func (f *Fabric) AddStall(s Stall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalls = append(f.stalls, s)
}

func (f *Fabric) register(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[e.cfg.Upstream.ID] = e
}

// stalledFor returns how long a transfer makes no progress from now on.
func (f *Fabric) stalledFor(source, target domain.UpstreamID, spread time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var wait time.Duration
	for _, s := range f.stalls {
		matches := (s.Source == "" || s.Source == source) && (s.Target == "" || s.Target == target)
		if matches && !now.Before(s.From) && now.Before(s.Until) {
			wait = max(wait, s.Until.Sub(now)+spread)
		}
	}
	return wait
}

// reserve books a transfer on all its links and returns when it starts to flow
// and when it is complete.
func (f *Fabric) reserve(source, target domain.Upstream, bytes int64) (start, end time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	links := map[linkKey]int64{
		{engine: source.ID}:                source.LinkRate,
		{engine: target.ID, ingress: true}: target.LinkRate,
	}
	var delay time.Duration
	if source.Zone != target.Zone {
		links[linkKey{from: source.Zone, to: target.Zone}] = f.cfg.ZoneRate
		delay = f.cfg.ZoneDelay
	}
	for key, rate := range links {
		begin := now
		if f.busy[key].After(begin) {
			begin = f.busy[key]
		}
		done := begin.Add(transferTime(bytes, rate))
		f.busy[key] = done
		start = max(start, begin.Sub(now))
		end = max(end, done.Sub(now))
	}
	return start + delay, end + delay
}

func transferTime(bytes, rate int64) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}
