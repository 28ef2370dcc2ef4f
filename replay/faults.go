package replay

import (
	"context"
	"sync"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/standin/engine"
)

// faultOffset keeps faults apart from timers that fire at round times.
const faultOffset = 1234567 * time.Nanosecond

// injectFaults makes the trace's faults happen until ctx ends.
func (r *run) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	for _, f := range r.env.Trace.Faults {
		group.Go(func() { r.repeat(ctx, f) })
	}
	group.Wait()
}

func (r *run) repeat(ctx context.Context, f Fault) {
	at := f.At.D()
	for at < r.env.Trace.Duration.D() {
		if !pause.For(ctx, time.Until(r.env.Start.Add(at+faultOffset))) {
			return
		}
		r.inject(ctx, f)
		if f.Every <= 0 {
			return
		}
		at += f.Every.D()
	}
}

// inject makes one fault happen and ends it after its time.
func (r *run) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case FaultStall:
		now := time.Now()
		r.env.Fabric.AddStall(engine.Stall{Source: f.Source, Target: f.Target, From: now, Until: now.Add(f.For.D())})
		return
	case FaultKillHost:
		r.killHost(ctx, f.Host)
		return
	case FaultCut:
		r.env.Network.SetCut(f.Zones[0], f.Zones[1], true)
		pause.For(ctx, f.For.D())
		r.env.Network.SetCut(f.Zones[0], f.Zones[1], false)
		return
	}
	e, ok := r.env.Fabric.Engine(f.Upstream)
	if !ok {
		return
	}
	switch f.Kind {
	case FaultCrash:
		e.Crash()
	case FaultKill:
		e.Kill()
		pause.For(ctx, f.For.D())
		e.Restart()
	case FaultPause:
		e.Pause()
		pause.For(ctx, f.For.D())
		e.Resume()
	case FaultSlow:
		e.SetSlow(f.Factor)
		pause.For(ctx, f.For.D())
		e.SetSlow(1)
	}
}
