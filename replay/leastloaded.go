package replay

import (
	"context"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// reportInterval is how often a baseline's gate reads the engines' reports.
const reportInterval = 250 * time.Millisecond

// LeastLoaded is a baseline: every gate prefills first and then sends to the
// decode upstream that the lagged reports show as the least loaded.
type LeastLoaded struct{}

// Name implements Policy.
func (LeastLoaded) Name() string { return "least-loaded" }

// Start implements Policy.
func (LeastLoaded) Start(env *Env) Fleet {
	return startBaseline(env, func(_ int, r *reports) chooser { return &leastLoaded{reports: r} })
}

// startBaseline starts a baseline's gate on each host.
func startBaseline(env *Env, newChooser func(host int, r *reports) chooser) *baselineFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &baselineFleet{gates: make(map[domain.HostID]*baselineGate), cancel: cancel}
	for i, h := range env.Hosts {
		upstreams := env.Upstreams(h)
		r := &reports{env: env, upstreams: upstreams, loads: make(map[domain.UpstreamID]report)}
		f.loops.Go(func() { r.run(ctx, time.Duration(i)*time.Millisecond) })
		f.gates[h.ID] = &baselineGate{host: h, env: env, upstreams: upstreams, chooser: newChooser(i, r)}
	}
	return f
}

// report is what a gate knows about an engine.
type report struct {
	load ports.Load
	down bool
}

// reports reads the engines' load reports for one gate.
type reports struct {
	env       *Env
	upstreams ports.Upstreams

	mu    sync.Mutex
	loads map[domain.UpstreamID]report
}

func (r *reports) run(ctx context.Context, offset time.Duration) {
	if !pause.For(ctx, offset) {
		return
	}
	for {
		var group sync.WaitGroup
		for _, pool := range r.env.Trace.Pools {
			for _, up := range pool.Upstreams {
				group.Go(func() { r.read(ctx, up) })
			}
		}
		group.Wait()
		if !pause.For(ctx, reportInterval) {
			return
		}
	}
}

func (r *reports) read(ctx context.Context, up domain.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	load, err := r.upstreams.Engine(up).Load(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[up.ID] = report{load: load, down: err != nil}
}

// least returns the upstream of a role with the smallest score that is not left out.
func (r *reports) least(pool domain.Pool, role domain.Role, out map[domain.UpstreamID]bool, score func(domain.Upstream, ports.Load) float64) (domain.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best domain.Upstream
	found, bestScore := false, 0.0
	for _, up := range pool.Upstreams {
		rep := r.loads[up.ID]
		if up.Role != role || rep.down || out[up.ID] {
			continue
		}
		if s := score(up, rep.load); !found || s < bestScore {
			best, bestScore, found = up, s, true
		}
	}
	return best, found
}

func (r *reports) prefill(pool domain.Pool) (domain.Upstream, bool) {
	return r.least(pool, domain.RolePrefill, nil, func(_ domain.Upstream, l ports.Load) float64 {
		return float64(l.QueuedTokens)
	})
}

func (r *reports) decode(pool domain.Pool, out map[domain.UpstreamID]bool) (domain.Upstream, bool) {
	return r.least(pool, domain.RoleDecode, out, func(up domain.Upstream, l ports.Load) float64 {
		return float64(l.Running) / float64(max(1, up.Slots))
	})
}

// leastLoaded chooses by the reports alone.
type leastLoaded struct {
	reports *reports
}

func (l *leastLoaded) choose(ctx context.Context, r *baselineRequest) (*baselinePlace, error) {
	for {
		if r.late(0) {
			return nil, refuseLate()
		}
		prefill, ok := l.reports.prefill(r.pool)
		decode, found := l.reports.decode(r.pool, nil)
		if ok && found {
			return &baselinePlace{prefill: prefill, decode: decode, release: func() {}, full: make(map[domain.UpstreamID]bool)}, nil
		}
		if !pause.For(ctx, reportInterval) {
			return nil, domain.Refuse(domain.RefusalCanceled, "the caller went away", "send again")
		}
	}
}

func (l *leastLoaded) another(place *baselinePlace) (domain.Upstream, bool) {
	for _, pool := range l.reports.env.Trace.Pools {
		for _, up := range pool.Upstreams {
			if up.ID == place.decode.ID {
				return l.reports.decode(pool, place.full)
			}
		}
	}
	return domain.Upstream{}, false
}
