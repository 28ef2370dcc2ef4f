package replay

import (
	"context"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/standin/engine"
)

const (
	// drainLimit bounds the time after the last arrival; requests that have not
	// ended then count as lost.
	drainLimit = 15 * time.Minute
	// settleTime is how long hosts run before the first request, so that they know
	// each other.
	settleTime = 5 * time.Second
	// sampleInterval is the time between samples of the slots in use.
	sampleInterval = 250 * time.Millisecond
)

// run is one trace under one policy.
type run struct {
	env     *Env
	fleet   Fleet
	prompts *prompts
	service *serviceMeter
	slots   slotMeter
	// drain is how long requests may run after the last arrival.
	drain time.Duration

	mu    sync.Mutex
	alive map[domain.HostID]context.Context
	kill  map[domain.HostID]context.CancelFunc
}

// Run replays a trace under a policy and returns its measures. It must be called
// inside a testing/synctest bubble.
func Run(ctx context.Context, t *Trace, policy Policy) Result {
	return runUntil(ctx, t, policy, drainLimit)
}

// RunWindow is Run without the time after the last arrival: requests that have
// not ended by then are cut off and count as left. The goodput is the same.
func RunWindow(ctx context.Context, t *Trace, policy Policy) Result {
	return runUntil(ctx, t, policy, 0)
}

func runUntil(ctx context.Context, t *Trace, policy Policy, drain time.Duration) Result {
	r := newRun(ctx, t)
	r.drain = drain
	r.fleet = policy.Start(r.env)
	time.Sleep(settleTime)
	r.env.Start = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	helpers.Go(func() { r.injectFaults(ctx) })
	helpers.Go(func() { r.sampleSlots(ctx) })
	calls := r.dispatch(ctx)
	cancel()
	helpers.Wait()
	r.fleet.Stop()
	for _, e := range r.env.Fabric.Engines() {
		e.Close()
	}
	result := measure(r, calls)
	result.Policy = policy.Name()
	if gates, ok := r.fleet.(*gateFleet); ok {
		result.Counters = gates.Counters()
	}
	return result
}

func newRun(ctx context.Context, t *Trace) *run {
	r := &run{
		env:     newEnv(t),
		prompts: newPrompts(),
		service: newServiceMeter(),
		alive:   make(map[domain.HostID]context.Context),
		kill:    make(map[domain.HostID]context.CancelFunc),
	}
	for _, h := range r.env.Hosts {
		r.alive[h.ID], r.kill[h.ID] = context.WithCancel(ctx)
	}
	return r
}

// dispatch sends all requests at their times and waits for their ends.
func (r *run) dispatch(ctx context.Context) []*call {
	arrivals := r.env.Trace.Arrivals()
	calls := make([]*call, len(arrivals))
	limit := r.env.Trace.Duration.D() + r.drain
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var group sync.WaitGroup
	for i, a := range arrivals {
		time.Sleep(time.Until(r.env.Start.Add(a.At.D())))
		c := r.newCall(a)
		calls[i] = c
		group.Go(func() { c.do(ctx) })
	}
	group.Wait()
	return calls
}

func (r *run) newCall(a Arrival) *call {
	route, _ := r.env.Trace.route(a.Model)
	prompt := r.prompts.text(a)
	return &call{run: r, arrival: a, route: route, prompt: prompt, expected: engine.AnswerTo(prompt)}
}

// connect returns a context that ends when the host dies.
func (r *run) connect(ctx context.Context, host domain.HostID) (context.Context, func()) {
	r.mu.Lock()
	alive := r.alive[host]
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(alive, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// killHost takes a host off the network. The others notice it by their
// probes, and the host list drops it after its lag.
func (r *run) killHost(ctx context.Context, host domain.HostID) {
	r.env.Network.SetDead(string(host), true)
	r.mu.Lock()
	kill := r.kill[host]
	r.mu.Unlock()
	kill()
	r.fleet.KillHost(host)
	if pause.For(ctx, r.env.Trace.Links.HostListLag.D()) {
		r.env.HostList.Remove(string(host))
	}
}

// sampleSlots records how many decode slots are in use.
func (r *run) sampleSlots(ctx context.Context) {
	from := r.env.Trace.MeasureFrom.D()
	until := r.env.Trace.Duration.D()
	for pause.For(ctx, sampleInterval) {
		if at := time.Since(r.env.Start); at < from || at > until {
			continue
		}
		for _, e := range r.env.Fabric.Engines() {
			up := e.Upstream()
			if up.Role != domain.RoleDecode {
				continue
			}
			_, used := e.HeldPieces()
			r.slots.used += used
			r.slots.total += up.Slots
		}
	}
}

// slotMeter sums samples of decode slots.
type slotMeter struct {
	used, total int
}
