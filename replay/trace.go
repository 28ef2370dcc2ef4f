package replay

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"greengagespoke/domain"
)

// Trace describes a fleet, the requests that reach it, the faults that hit it
// and the outcomes that a run must show.
type Trace struct {
	Name string `yaml:"-"`
	// About says what the trace shows.
	About string `yaml:"about"`
	Seed  uint64 `yaml:"seed"`
	// Duration is how long requests arrive; they are run to their end after it.
	Duration domain.Duration `yaml:"duration"`
	// MeasureFrom leaves the time until the fleet is warm out of the rates.
	MeasureFrom domain.Duration `yaml:"measure_from"`
	Links       Links           `yaml:"links"`
	Hosts       []HostGroup     `yaml:"hosts"`
	Engines     EngineSettings  `yaml:"engines"`
	Routes      []domain.Route  `yaml:"routes"`
	Pools       []domain.Pool   `yaml:"pools"`
	Generators  []Generator     `yaml:"generators"`
	// Recorded are arrivals given row by row.
	Recorded []Arrival `yaml:"recorded"`
	Faults   []Fault   `yaml:"faults"`
	Outcomes Outcomes  `yaml:"outcomes"`
}

// Links describes the network.
type Links struct {
	LocalDelay  domain.Duration `yaml:"local_delay"`
	ZoneDelay   domain.Duration `yaml:"zone_delay"`
	CallerDelay domain.Duration `yaml:"caller_delay"`
	Jitter      domain.Duration `yaml:"jitter"`
	LossPercent int             `yaml:"loss_percent"`
	// ZoneRate is the KV transfer rate between two zones in bytes per second.
	ZoneRate int64 `yaml:"zone_rate"`
	// HostListLag is how long the host list shows a host that died.
	HostListLag domain.Duration `yaml:"host_list_lag"`
}

// HostGroup is a number of entry hosts in a zone.
type HostGroup struct {
	Zone  domain.Zone `yaml:"zone"`
	Count int         `yaml:"count"`
}

// EngineSettings describes the stand-ins for the engines; see engine.Config.
type EngineSettings struct {
	StepBase         domain.Duration `yaml:"step_base"`
	StepPerRunning   domain.Duration `yaml:"step_per_running"`
	PrefillOverhead  domain.Duration `yaml:"prefill_overhead"`
	ResultLifetime   domain.Duration `yaml:"result_lifetime"`
	CachePieces      int             `yaml:"cache_pieces"`
	LoadLag          domain.Duration `yaml:"load_lag"`
	EventLag         domain.Duration `yaml:"event_lag"`
	EventLossPercent int             `yaml:"event_loss_percent"`
	RestartAfter     domain.Duration `yaml:"restart_after"`
	// LateFramesPercent, DoubledFramesPercent and SwappedFramesPercent are how
	// many in 100 frames go wrong.
	LateFramesPercent    int             `yaml:"late_frames_percent"`
	LateFrames           domain.Duration `yaml:"late_frames"`
	DoubledFramesPercent int             `yaml:"doubled_frames_percent"`
	SwappedFramesPercent int             `yaml:"swapped_frames_percent"`
}

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// FaultCrash makes an upstream lose everything; it restarts by itself.
	FaultCrash FaultKind = "crash"
	// FaultKill takes an upstream down for a time.
	FaultKill FaultKind = "kill"
	// FaultPause freezes an upstream for a time.
	FaultPause FaultKind = "pause"
	// FaultSlow slows an upstream down by a factor for a time.
	FaultSlow FaultKind = "slow"
	// FaultStall stops transfers from a source to a target for a time.
	FaultStall FaultKind = "stall"
	// FaultKillHost takes an entry host down for good.
	FaultKillHost FaultKind = "kill_host"
	// FaultCut cuts the link between two zones for a time.
	FaultCut FaultKind = "cut"
)

// Fault is one thing that goes wrong at a time.
type Fault struct {
	At   domain.Duration `yaml:"at"`
	Kind FaultKind       `yaml:"kind"`
	For  domain.Duration `yaml:"for"`
	// Every repeats the fault at this interval until the trace's duration is over.
	Every    domain.Duration   `yaml:"every"`
	Upstream domain.UpstreamID `yaml:"upstream"`
	// Source and Target are the ends of a stalled transfer; empty means all.
	Source domain.UpstreamID `yaml:"source"`
	Target domain.UpstreamID `yaml:"target"`
	Host   domain.HostID     `yaml:"host"`
	Zones  []domain.Zone     `yaml:"zones"`
	Factor float64           `yaml:"factor"`
}

// Outcomes are what a run must show. Nothing answered twice, doubled, lost or
// left in memory is demanded of every trace.
type Outcomes struct {
	// GoodputOfOraclePercent is the least goodput in percent of the oracle's.
	GoodputOfOraclePercent float64 `yaml:"goodput_of_oracle_percent"`
	// AboveBaselines demands more goodput than both baselines.
	AboveBaselines bool `yaml:"above_baselines"`
	// WastedPrefillPercent is the most wasted prefill in percent of all prefill.
	WastedPrefillPercent float64 `yaml:"wasted_prefill_percent"`
	// Fairness is the least Jain's index.
	Fairness float64 `yaml:"fairness"`
	// Rivals compares a firm's rivals with a run in which the firm is silent.
	Rivals *RivalsOutcome `yaml:"rivals"`
	// PeakTrace and PeakGoodputPercent compare goodput with that of another trace.
	PeakTrace          string  `yaml:"peak_trace"`
	PeakGoodputPercent float64 `yaml:"peak_goodput_percent"`
	// MaxCrashes is the largest number of crashed upstreams; used with Poison.
	MaxCrashes int `yaml:"max_crashes"`
	// NoInnocentRefused demands that only poisoned requests are refused.
	NoInnocentRefused bool `yaml:"no_innocent_refused"`
}

// RivalsOutcome names a firm and what its rivals may lose to it.
type RivalsOutcome struct {
	Of                 domain.CallerID `yaml:"of"`
	GoodputLossPercent float64         `yaml:"goodput_loss_percent"`
}

// Load reads a trace from a file. Unknown keys are errors.
func Load(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	var t Trace
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&t); err != nil {
		return nil, fmt.Errorf("trace %s: %w; docs/REPLAY.md lists the keys", path, err)
	}
	t.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := t.check(); err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	return &t, nil
}

func (t *Trace) check() error {
	switch {
	case t.Duration <= 0:
		return fmt.Errorf("duration is missing; set how long requests arrive")
	case t.MeasureFrom >= t.Duration:
		return fmt.Errorf("measure_from is not before the end of duration; make it smaller")
	case len(t.Hosts) == 0 || len(t.Pools) == 0 || len(t.Routes) == 0:
		return fmt.Errorf("hosts, pools and routes are all needed")
	case len(t.Generators) == 0 && len(t.Recorded) == 0:
		return fmt.Errorf("there are no requests; add generators or recorded arrivals")
	}
	for i, g := range t.Generators {
		if _, ok := t.route(g.Model); !ok {
			return fmt.Errorf("generator %d: no route serves model %q", i, g.Model)
		}
	}
	for i, f := range t.Faults {
		if f.Upstream != "" && !t.hasUpstream(f.Upstream) {
			return fmt.Errorf("fault %d: no upstream %q", i, f.Upstream)
		}
	}
	return nil
}

func (t *Trace) route(model string) (domain.Route, bool) {
	for _, r := range t.Routes {
		if r.Model == model {
			return r, true
		}
	}
	return domain.Route{}, false
}

func (t *Trace) hasUpstream(id domain.UpstreamID) bool {
	for _, p := range t.Pools {
		for _, up := range p.Upstreams {
			if up.ID == id {
				return true
			}
		}
	}
	return false
}

// window returns the part of the run over which rates are measured.
func (t *Trace) window() time.Duration {
	return (t.Duration - t.MeasureFrom).D()
}

// Without returns the trace without the requests of one caller.
func (t *Trace) Without(caller domain.CallerID) *Trace {
	cut := *t
	cut.Name = t.Name + "-without-" + string(caller)
	cut.Generators = make([]Generator, len(t.Generators))
	for i, g := range t.Generators {
		cut.Generators[i] = g.without(caller)
	}
	cut.Recorded = nil
	for _, a := range t.Recorded {
		if a.Caller != caller {
			cut.Recorded = append(cut.Recorded, a)
		}
	}
	return &cut
}

// without mutes a caller. The other callers' arrivals stay the same.
func (g Generator) without(caller domain.CallerID) Generator {
	g.Callers = append([]CallerShare(nil), g.Callers...)
	for i := range g.Callers {
		g.Callers[i].muted = g.Callers[i].muted || g.Callers[i].Name == caller
	}
	return g
}

// Cut returns a trace of the first part, measured from its beginning. Faults and
// generators that begin later are moved to its middle.
func (t *Trace) Cut(d time.Duration) *Trace {
	cut := *t
	cut.Duration = domain.Duration(d)
	cut.MeasureFrom = 0
	middle := domain.Duration(d / 2)
	cut.Faults = append([]Fault(nil), t.Faults...)
	for i := range cut.Faults {
		cut.Faults[i].At = min(cut.Faults[i].At, middle)
	}
	cut.Generators = append([]Generator(nil), t.Generators...)
	for i := range cut.Generators {
		cut.Generators[i].From = min(cut.Generators[i].From, middle)
	}
	return &cut
}
