package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// sentRequest is one request whose gate calls until it has an outcome.
type sentRequest struct {
	req    domain.SlotRequest
	cancel context.CancelFunc
	// done says that grant and err hold the outcome; gateDied says that the gate
	// died.
	done     bool
	grant    domain.Grant
	err      error
	gateDied bool
}

// keeperModel drives two keepers of one group. Each of them may believe that it
// owns the group.
type keeperModel struct {
	*fixture
	second  *Keeper
	members [2]*fakeMembers

	mu      sync.Mutex
	sends   []*sentRequest
	counter int
	calls   sync.WaitGroup
}

func newKeeperModel(policy Policy) *keeperModel {
	m := &keeperModel{fixture: newFixture(fleetSize{2, 3, 4, 24}, policy)}
	m.members = [2]*fakeMembers{m.fixture.members, {self: "h2"}}
	m.members[1].set(member("h1"))
	cfg := m.keeper.cfg
	cfg.Self, cfg.Membership = "h2", m.members[1]
	m.second = New(cfg)
	return m
}

// keeperOf returns the keeper that a gate with a random view calls.
func (m *keeperModel) keeperOf(rt *rapid.T) *Keeper {
	if rapid.Bool().Draw(rt, "second keeper") {
		return m.second
	}
	return m.keeper
}

func (m *keeperModel) send(rt *rapid.T) {
	m.counter++
	req := slotRequest(domain.CallerID(fmt.Sprint("c", rapid.IntRange(0, 4).Draw(rt, "caller"))), fmt.Sprint(m.counter), 1)
	req.Holder = domain.HostID(fmt.Sprint("g", rapid.IntRange(0, 2).Draw(rt, "holder")))
	req.PromptTokens = rapid.IntRange(1, 12).Draw(rt, "pieces")*domain.TokensPerPiece - 200
	req.Suspect = rapid.IntRange(0, 9).Draw(rt, "suspect") == 0
	if rapid.Bool().Draw(rt, "interactive") {
		req = interactive(req, time.Duration(rapid.IntRange(500, 5000).Draw(rt, "left"))*time.Millisecond)
	}
	m.call(req)
}

// call starts a gate that asks for a slot until there is an outcome.
func (m *keeperModel) call(req domain.SlotRequest) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sentRequest{req: req, cancel: cancel}
	m.sends = append(m.sends, s)
	m.calls.Go(func() {
		for {
			grant, err := m.ask(ctx, req)
			if ctx.Err() == nil && (errors.Is(err, ports.ErrStillQueued) || errors.Is(err, ports.ErrNotKeeper)) {
				continue
			}
			m.mu.Lock()
			s.done, s.grant, s.err = true, grant, err
			m.mu.Unlock()
			if err == nil {
				m.engine(grant.Decode).run(runningDecode(req))
			}
			return
		}
	})
}

// ask returns the answer of the first keeper that does not return ErrNotKeeper.
func (m *keeperModel) ask(ctx context.Context, req domain.SlotRequest) (domain.Grant, error) {
	for _, k := range []*Keeper{m.keeper, m.second} {
		grant, err := k.Acquire(ctx, testGroup, req)
		if !errors.Is(err, ports.ErrNotKeeper) {
			return grant, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	return domain.Grant{}, ports.ErrNotKeeper
}

// pick returns a random sent request that satisfies want.
func (m *keeperModel) pick(rt *rapid.T, want func(*sentRequest) bool) *sentRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*sentRequest
	for _, s := range m.sends {
		if !s.gateDied && want(s) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		rt.Skip("none")
	}
	return rapid.SampledFrom(found).Draw(rt, "sending")
}

func holdsGrant(s *sentRequest) bool { return s.done && s.err == nil }
func isWaiting(s *sentRequest) bool  { return !s.done }

// drop removes a sent request.
func (m *keeperModel) drop(s *sentRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sends = slices.DeleteFunc(m.sends, func(o *sentRequest) bool { return o == s })
}

func (m *keeperModel) release(rt *rapid.T) {
	s := m.pick(rt, holdsGrant)
	reason := rapid.SampledFrom([]domain.ReleaseReason{
		domain.ReleaseDone, domain.ReleaseDone, domain.ReleaseCanceled, domain.ReleaseFailed, domain.ReleaseCrashed,
	}).Draw(rt, "reason")
	m.releaseGrant(s, reason)
}

func (m *keeperModel) releaseGrant(s *sentRequest, reason domain.ReleaseReason) {
	_ = m.engine(s.grant.Decode).Cancel(context.Background(), s.req.ID)
	for _, k := range []*Keeper{m.keeper, m.second} {
		_ = k.Release(context.Background(), testGroup, []domain.Release{{Grant: s.grant, Reason: reason, OutputTokens: 70}})
	}
	m.drop(s)
}

func (m *keeperModel) withdraw(rt *rapid.T) {
	s := m.pick(rt, isWaiting)
	s.cancel()
	for _, k := range []*Keeper{m.keeper, m.second} {
		_ = k.Withdraw(context.Background(), testGroup, s.req.ID)
	}
	m.drop(s)
}

func (m *keeperModel) resend(rt *rapid.T) {
	s := m.pick(rt, func(*sentRequest) bool { return true })
	req := s.req
	req.ID.Attempt++
	req.Holder = "g9"
	m.call(req)
	s.gateDied = true
}

// renew renews the grants of the gates that are alive.
func (m *keeperModel) renew(k *Keeper) {
	m.mu.Lock()
	byHolder := make(map[domain.HostID][]domain.Grant)
	for _, s := range m.sends {
		if holdsGrant(s) && !s.gateDied {
			byHolder[s.req.Holder] = append(byHolder[s.req.Holder], s.grant)
		}
	}
	m.mu.Unlock()
	for _, holder := range []domain.HostID{"g0", "g1", "g2", "g9"} {
		_, _ = k.Renew(context.Background(), testGroup, holder, byHolder[holder])
	}
}

// advanceTime advances time in random steps of up to 2 s and renews the grants after
// each.
func (m *keeperModel) advanceTime(rt *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(rt, "steps") {
		time.Sleep(time.Duration(rapid.IntRange(10, 2000).Draw(rt, "ms")) * time.Millisecond)
		m.renew(m.keeperOf(rt))
	}
}

func (m *keeperModel) killGate(rt *rapid.T) { m.pick(rt, holdsGrant).gateDied = true }

func (m *keeperModel) changeView(rt *rapid.T) {
	view := rapid.SampledFrom([]domain.HostID{"h1", "h2"}).Draw(rt, "owner")
	m.members[rapid.IntRange(0, 1).Draw(rt, "viewer")].set(member(view))
}

func (m *keeperModel) toggleEngine(rt *rapid.T) {
	id := rapid.SampledFrom([]domain.UpstreamID{"d0", "d1", "p0"}).Draw(rt, "engine")
	down := rapid.Bool().Draw(rt, "down")
	m.engine(id).setDown(down)
}

// check asserts the invariants of both keepers.
func (m *keeperModel) check(rt *rapid.T) {
	synctest.Wait()
	for _, k := range []*Keeper{m.keeper, m.second} {
		for _, g := range k.ownedGroups() {
			checkGroup(rt, g)
		}
	}
}

func checkGroup(rt *rapid.T, g *group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	checkAccounting(rt, g)
	checkQueue(rt, g)
	checkWorkConserving(rt, g)
}

func checkAccounting(rt *rapid.T, g *group) {
	total := 0
	for _, d := range g.decodeByID {
		slots, pieces, given, givenPieces, suspects := 0, 0, 0, 0, 0
		for _, gr := range d.grants {
			if g.grants[gr.ID] != gr {
				rt.Fatalf("%s has grant %s, which has ended", d.up.ID, gr.ID)
			}
			slots, pieces = slots+1, pieces+gr.Pieces
			if gr.Suspect {
				suspects++
			}
			if !gr.promised && gr.route != "" {
				given, givenPieces = given+1, givenPieces+gr.Pieces
			}
		}
		total += slots
		if slots != d.slots || pieces != d.pieces || suspects != d.suspectGrants {
			rt.Fatalf("%s counts %d slots and %d pieces, its grants have %d and %d", d.up.ID, d.slots, d.pieces, slots, pieces)
		}
		if given > d.up.Slots || givenPieces > d.up.Pieces {
			rt.Fatalf("%s: %d slots and %d pieces granted of %d and %d", d.up.ID, given, givenPieces, d.up.Slots, d.up.Pieces)
		}
		if len(d.promises) > maxPromisesPerUpstream {
			rt.Fatalf("%s: %d promises", d.up.ID, len(d.promises))
		}
	}
	if total != len(g.grants) {
		rt.Fatalf("%d grants on upstreams, %d in the group", total, len(g.grants))
	}
}

func checkQueue(rt *rapid.T, g *group) {
	waiting := 0
	for key, r := range g.requests {
		if r.waiter != nil {
			waiting++
			if !r.waiter.entry.Waiting() {
				rt.Fatalf("request %v waits and is not in the queue", key)
			}
		} else if g.grants[r.grant.ID] != r.grant {
			rt.Fatalf("request %v has a grant that ended", key)
		}
	}
	if waiting != g.queue.Len() {
		rt.Fatalf("%d requests wait, %d are in the queue", waiting, g.queue.Len())
	}
}

// checkWorkConserving asserts that a usable upstream has no slot for the first
// ready request of any caller.
func checkWorkConserving(rt *rapid.T, g *group) {
	now := time.Now()
	usable := slices.ContainsFunc(g.prefill, func(p *prefillState) bool { return p.usable(now) })
	reserved := slices.ContainsFunc(g.decode, func(d *decodeState) bool { return d.reservedFor != nil })
	if !usable || reserved {
		return
	}
	for _, r := range g.requests {
		w := r.waiter
		if w == nil || !ready(w) || w.req.Suspect || behindReady(w) {
			continue
		}
		for _, d := range g.decode {
			if d.usable(now) && d.freeSlots() > 0 && d.freePieces() >= w.req.Pieces() {
				rt.Fatalf("request %v of %d pieces waits while %s has %d slots and %d pieces free, rested for %v",
					w.req.ID, w.req.Pieces(), d.up.ID, d.freeSlots(), d.freePieces(), now.Sub(d.backoffUntil))
			}
		}
	}
}

func ready(w *waiter) bool { return w.activeCalls > 0 && w.blockingAttempts == 0 }

// behindReady returns whether an earlier request of the same caller is ready.
func behindReady(w *waiter) bool {
	for e := w.entry.Previous(); e != nil; e = e.Previous() {
		if ready(e.Value) && !e.Value.req.Suspect {
			return true
		}
	}
	return false
}

// finish makes all engines reachable and the views agree, and asserts that every
// waiting request is served.
func (m *keeperModel) finish(rt *rapid.T) {
	for _, e := range m.upstreams.engines {
		e.setDown(false)
	}
	for _, v := range m.members {
		v.set(member("h1"))
	}
	for range 600 {
		time.Sleep(100 * time.Millisecond)
		m.renew(m.keeper)
		m.mu.Lock()
		held := slices.Clone(m.sends)
		m.mu.Unlock()
		left := 0
		for _, s := range held {
			if m.releaseIfHeld(s) {
				continue
			}
			left++
		}
		if left == 0 {
			break
		}
	}
	time.Sleep(15 * time.Second)
	m.check(rt)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sends {
		if !s.done {
			rt.Errorf("request %v was never served", s.req.ID)
		}
	}
	for _, g := range m.keeper.ownedGroups() {
		if n := len(g.grants); n != 0 {
			rt.Errorf("%d grants left after all were released or expired", n)
		}
	}
	for id, e := range m.upstreams.engines {
		if n := len(e.running); n != 0 {
			rt.Errorf("%d attempts left on %s", n, id)
		}
	}
}

// releaseIfHeld releases a granted slot and returns whether the request has an
// outcome.
func (m *keeperModel) releaseIfHeld(s *sentRequest) bool {
	m.mu.Lock()
	done, held := s.done, holdsGrant(s) && !s.gateDied
	m.mu.Unlock()
	if held {
		m.releaseGrant(s, domain.ReleaseDone)
	}
	return done
}

// bubbleTB hides the test's deadline from rapid, as the deadline is not in
// virtual time.
type bubbleTB struct{ rapid.TB }

// TestRandomInterleavings runs random interleavings of requests, cancels,
// renewals, expiries, crashes and disagreeing views under both policies.
func TestRandomInterleavings(t *testing.T) {
	for _, policy := range []Policy{ReserveThenPrefill{}, JustInTime{}} {
		t.Run(policy.Name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rapid.Check(bubbleTB{t}, func(rt *rapid.T) { interleave(t, rt, policy) })
			})
		})
	}
}

func interleave(t *testing.T, rt *rapid.T, policy Policy) {
	m := newKeeperModel(policy)
	stopFirst, stopSecond := m.start(t, m.keeper), m.start(t, m.second)
	defer func() {
		for _, s := range m.sends {
			s.cancel()
		}
		m.calls.Wait()
		stopSecond()
		stopFirst()
	}()
	rt.Repeat(map[string]func(*rapid.T){
		"send":     m.send,
		"send2":    m.send,
		"release":  m.release,
		"withdraw": m.withdraw,
		"resend":   m.resend,
		"pass":     m.advanceTime,
		"killGate": m.killGate,
		"view":     m.changeView,
		"engine":   m.toggleEngine,
		"":         m.check,
	})
	m.finish(rt)
}
