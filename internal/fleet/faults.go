package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/standin/engine"
	"greengagespoke/tables"
)

const (
	// faultLength is how long a fault lasts before it is mended. It is longer
	// than the term of a grant and of a lease.
	faultLength = 20 * time.Second
	slowFactor  = 4
	storeSlow   = 1500 * time.Millisecond
	answerLoss  = 0.3
	clockSkew   = 20 * time.Second
	editGap     = time.Second
)

// Fault breaks a part of the fleet, mends it again and returns.
type Fault struct {
	Name string
	Run  func(ctx context.Context, f *Fleet, book *Book, rng *rand.Rand)
}

// Faults returns the faults that the fleet must survive, alone and together.
func Faults() []Fault {
	return []Fault{
		{"host-killed", hostKilled},
		{"host-paused", hostPaused},
		{"host-without-peers", hostWithoutPeers},
		{"host-without-store", hostWithoutStore},
		{"host-stopped", hostStopped},
		{"store-down", storeDown},
		{"store-slow", storeIsSlow},
		{"answers-lost", answersLost},
		{"decode-killed", upstreamKilled(domain.RoleDecode)},
		{"prefill-killed", upstreamKilled(domain.RolePrefill)},
		{"service-answers-lost", serviceAnswersLost},
		{"upstream-slow", upstreamSlow},
		{"upstream-leaving", upstreamLeaving},
		{"transfers-stalled", transfersStalled},
		{"zone-lost", zoneLost},
		{"zones-cut", zonesCut},
		{"clocks-off", clocksOff},
		{"operators-race", operatorsRace},
	}
}

// anyHost returns a running host.
func (f *Fleet) anyHost(rng *rand.Rand) (*Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := rng.IntN(len(f.Hosts))
	for i := range f.Hosts {
		if m := f.Hosts[(first+i)%len(f.Hosts)]; !m.stopped && !m.busy {
			m.busy = true
			return m, true
		}
	}
	return nil, false
}

// mended marks a host as free for another fault.
func (f *Fleet) mended(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.busy = false
}

// withHost runs a fault on a host that no other fault works on.
func (f *Fleet) withHost(rng *rand.Rand, run func(m *Member)) {
	m, ok := f.anyHost(rng)
	if !ok {
		return
	}
	defer f.mended(m)
	run(m)
}

func hostKilled(ctx context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	f.withHost(rng, func(m *Member) {
		f.Kill(m)
		time.Sleep(faultLength / 2)
		f.StartHost(ctx, m)
		time.Sleep(faultLength / 2)
	})
}

// hostPaused freezes a host: nothing reaches it or leaves it, and its callers'
// connections stay open without a byte.
func hostPaused(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	f.withHost(rng, func(m *Member) {
		f.Network.SetDead(string(m.ID), true)
		f.CutStore(m, true)
		time.Sleep(faultLength)
		f.Network.SetDead(string(m.ID), false)
		f.CutStore(m, false)
	})
}

func hostWithoutPeers(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	f.withHost(rng, func(m *Member) {
		f.Network.SetDead(string(m.ID), true)
		time.Sleep(faultLength)
		f.Network.SetDead(string(m.ID), false)
	})
}

func hostWithoutStore(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	f.withHost(rng, func(m *Member) {
		f.CutStore(m, true)
		time.Sleep(faultLength)
		f.CutStore(m, false)
	})
}

// hostStopped makes a planned stop, which may cut off no request.
func hostStopped(ctx context.Context, f *Fleet, book *Book, rng *rand.Rand) {
	f.withHost(rng, func(m *Member) {
		if err := f.Stop(ctx, m); err != nil {
			book.Problem("planned stop of %s: %v", m.ID, err)
			return
		}
		f.list(m.ID, m.Zone)
		time.Sleep(hostListLag)
		f.StartHost(ctx, m)
	})
}

func storeDown(_ context.Context, f *Fleet, _ *Book, _ *rand.Rand) {
	f.Platform.SetOutage(true)
	time.Sleep(faultLength)
	f.Platform.SetOutage(false)
}

func storeIsSlow(_ context.Context, f *Fleet, _ *Book, _ *rand.Rand) {
	f.Platform.SetLatency(storeSlow)
	time.Sleep(faultLength)
	f.Platform.SetLatency(0)
}

func answersLost(_ context.Context, f *Fleet, _ *Book, _ *rand.Rand) {
	f.Platform.SetAnswerLoss(answerLoss)
	time.Sleep(faultLength)
	f.Platform.SetAnswerLoss(0)
}

// ofRole returns a random engine of a role.
func (f *Fleet) ofRole(role domain.Role, rng *rand.Rand) *engine.Engine {
	var out []*engine.Engine
	for _, e := range f.Engines {
		if e.Upstream().Role == role {
			out = append(out, e)
		}
	}
	return out[rng.IntN(len(out))]
}

func upstreamKilled(role domain.Role) func(context.Context, *Fleet, *Book, *rand.Rand) {
	return func(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
		e := f.ofRole(role, rng)
		e.Kill()
		time.Sleep(faultLength)
		e.Restart()
	}
}

// serviceAnswersLost breaks the connections of some calls after they ran.
func serviceAnswersLost(_ context.Context, f *Fleet, _ *Book, _ *rand.Rand) {
	for range int(faultLength / time.Second) {
		for _, s := range f.services {
			s.LoseAnswers(1)
		}
		time.Sleep(time.Second)
	}
	for _, s := range f.services {
		s.LoseAnswers(0)
	}
}

func upstreamSlow(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	e := f.ofRole(domain.RoleDecode, rng)
	e.SetSlow(slowFactor)
	time.Sleep(faultLength)
	e.SetSlow(1)
}

func upstreamLeaving(_ context.Context, f *Fleet, book *Book, rng *rand.Rand) {
	up := f.ofRole(domain.RoleDecode, rng).Upstream()
	f.LeaveUpstream(book, up.ID)
	f.Platform.SetHost(listedUpstream(up))
}

func transfersStalled(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	f.Fabric.AddStall(engine.Stall{
		Target: f.ofRole(domain.RoleDecode, rng).Upstream().ID,
		From:   time.Now(),
		Until:  time.Now().Add(faultLength),
	})
	time.Sleep(faultLength)
}

// zoneLost kills all hosts and upstreams of an availability zone.
func zoneLost(ctx context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	z := zone(rng.IntN(zones))
	lost := f.hostsIn(z)
	for _, m := range lost {
		f.Kill(m)
	}
	for _, e := range f.Engines {
		if e.Upstream().Zone == z {
			e.Kill()
		}
	}
	time.Sleep(faultLength)
	for _, e := range f.Engines {
		if e.Upstream().Zone == z {
			e.Restart()
		}
	}
	for _, m := range lost {
		f.StartHost(ctx, m)
		f.mended(m)
	}
}

// hostsIn returns the running hosts of a zone that no other fault works on.
func (f *Fleet) hostsIn(z domain.Zone) []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Member
	for _, m := range f.Hosts {
		if m.Zone == z && !m.stopped && !m.busy {
			m.busy = true
			out = append(out, m)
		}
	}
	return out
}

func zonesCut(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	a := rng.IntN(zones)
	f.Network.SetCut(zone(a), zone(a+1), true)
	time.Sleep(faultLength)
	f.Network.SetCut(zone(a), zone(a+1), false)
}

func clocksOff(_ context.Context, f *Fleet, _ *Book, rng *rand.Rand) {
	for _, m := range f.Hosts {
		m.Clock.Set(time.Duration(rng.Int64N(int64(2*clockSkew))) - clockSkew)
	}
	time.Sleep(faultLength)
	for _, m := range f.Hosts {
		m.Clock.Set(0)
	}
}

// operatorsRace lets two operators edit the same row from the same version. One
// of each two edits must win and the other must be told.
func operatorsRace(ctx context.Context, f *Fleet, book *Book, _ *rand.Rand) {
	for n := range int(faultLength / editGap) {
		base, route, err := f.currentRoute(ctx)
		if err == nil {
			f.raceOnce(ctx, book, n, base, route)
		}
		time.Sleep(editGap)
	}
}

func (f *Fleet) raceOnce(ctx context.Context, book *Book, n int, base domain.Revision, route domain.Route) {
	var wg sync.WaitGroup
	won := make([]bool, 2)
	for i := range won {
		wg.Go(func() {
			mine := route
			mine.MaxWaitingPerCaller += 1 + i
			_, err := f.Edit(ctx, fmt.Sprintf("race-%d-%d-%d", time.Now().UnixNano(), n, i), domain.TableRoutes, string(route.Name), mine, base)
			var conflict *tables.ConflictError
			won[i] = err == nil
			if err != nil && !errors.As(err, &conflict) && !storeFailed(err) {
				book.Problem("edit of operator %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	if won[0] && won[1] {
		book.Problem("both operators won the edit of version %d", base)
	}
}
