package keeper

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// fakeGates records which gates were notified to end an attempt.
type fakeGates struct {
	notified chan domain.HostID
	key      domain.RequestKey
}

func (f *fakeGates) GatePeer(host domain.HostID) ports.GatePeer {
	return fakeGate{gates: f, host: host}
}

type fakeGate struct {
	ports.GatePeer
	gates *fakeGates
	host  domain.HostID
}

func (f fakeGate) Supersede(_ context.Context, key domain.RequestKey, _ int) (bool, error) {
	time.Sleep(10 * time.Millisecond)
	f.gates.key = key
	f.gates.notified <- f.host
	return true, nil
}

// TestNewerAttemptReplacesTheGrant checks that the older attempt has ended at
// its gate and on its engine before the newer one receives a slot.
func TestNewerAttemptReplacesTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 4, 100}, ReserveThenPrefill{})
		gates := &fakeGates{notified: make(chan domain.HostID, 1)}
		b.keeper.cfg.GatePeers = gates
		defer b.start(t, b.keeper)()
		older := slotRequest("a", "1", 1)
		grant := mustAcquire(t, b.keeper, older)
		b.engine(grant.Decode).run(runningDecode(older))
		newer := slotRequest("a", "1", 2)
		newer.Holder = "g2"
		mustAcquire(t, b.keeper, newer)
		if !b.engine(grant.Decode).wasCanceled(older.ID) || !b.engine("p0").wasCanceled(older.ID) {
			t.Error("newer attempt granted before the older one was canceled")
		}
		if host := <-gates.notified; host != "g1" || gates.key != older.ID.Key() {
			t.Errorf("notified %s about %v", host, gates.key)
		}
		_, err := b.keeper.Acquire(t.Context(), testGroup, older)
		wantRefusal(t, err, domain.RefusalSuperseded)
		lost, err := b.keeper.Renew(t.Context(), testGroup, "g1", []domain.Grant{grant})
		if err != nil || len(lost) != 1 {
			t.Errorf("renewal of a revoked grant: lost %v, %v", lost, err)
		}
	})
}

// TestNewerAttemptWaitIsBounded checks that a newer attempt waits no longer than
// supersedeTimeout if the engine of the older one does not answer.
func TestNewerAttemptWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 4, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		grant := mustAcquire(t, b.keeper, slotRequest("a", "1", 1))
		b.engine(grant.Decode).setDown(true)
		began := time.Now()
		mustAcquireInTime(t, b.keeper, slotRequest("a", "1", 2), 10*time.Second)
		if waited := time.Since(began); waited != supersedeTimeout {
			t.Errorf("waited %v, want the bound of %v", waited, supersedeTimeout)
		}
	})
}

func TestNewerAttemptReplacesTheWaitingOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 1, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		held := mustAcquire(t, b.keeper, slotRequest("b", "0", 1))
		outcome := make(chan error)
		go func() {
			_, err := b.keeper.Acquire(t.Context(), testGroup, slotRequest("a", "1", 1))
			outcome <- err
		}()
		synctest.Wait()
		go func() {
			time.Sleep(time.Second)
			release(t, b.keeper, held)
		}()
		mustAcquire(t, b.keeper, slotRequest("a", "1", 2))
		wantRefusal(t, <-outcome, domain.RefusalSuperseded)
	})
}

func TestSuspectsNeverShareAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{3, 2, 4, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		used := make(map[domain.UpstreamID]bool)
		var grants []domain.Grant
		for i := range 2 {
			req := slotRequest("a", fmt.Sprint(i), 1)
			req.Suspect = true
			grant := mustAcquire(t, b.keeper, req)
			if used[grant.Decode] {
				t.Errorf("two suspects on %s", grant.Decode)
			}
			used[grant.Decode] = true
			grants = append(grants, grant)
		}
		go func() {
			time.Sleep(time.Second)
			release(t, b.keeper, grants[0])
		}()
		third := slotRequest("a", "third", 1)
		third.Suspect = true
		if grant := mustAcquire(t, b.keeper, third); grant.Decode != grants[0].Decode {
			t.Errorf("third suspect on %s with another suspect", grant.Decode)
		}
	})
}

// TestWaitingSuspectDoesNotBlockItsCaller checks that a suspect that waits for
// another suspect does not keep the caller's later requests from being served.
func TestWaitingSuspectDoesNotBlockItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{3, 2, 4, 100}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		for i := range 4 {
			req := slotRequest("a", fmt.Sprint(i), 1)
			req.Suspect = true
			go func() { _, _ = b.keeper.Acquire(t.Context(), testGroup, req) }()
			synctest.Wait()
		}
		mustAcquireInTime(t, b.keeper, slotRequest("a", "innocent", 1), time.Second)
	})
}

func TestLargeRequestIsNotStarved(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		t.Run(fmt.Sprint("suspect ", suspect), func(t *testing.T) { serveLargeAmongSmall(t, suspect) })
	}
}

func serveLargeAmongSmall(t *testing.T, suspect bool) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 1, 4, 8}, ReserveThenPrefill{})
		defer b.start(t, b.keeper)()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for worker := range 4 {
			go func() {
				for n := 0; ctx.Err() == nil; n++ {
					grant, err := b.keeper.Acquire(ctx, testGroup, slotRequest("small", fmt.Sprint(worker, n), 1))
					if err != nil {
						continue
					}
					time.Sleep(time.Duration(900+(worker+n)%7*30) * time.Millisecond)
					release(t, b.keeper, grant)
				}
			}()
		}
		synctest.Wait()
		large := slotRequest("large", "1", 1)
		large.PromptTokens = 7 * domain.TokensPerPiece
		large.Suspect = suspect
		mustAcquireInTime(t, b.keeper, large, 30*time.Second)
		cancel()
	})
}

// relayingGates cancel attempts on engines that the keeper's host cannot reach.
type relayingGates struct {
	canceled chan domain.UpstreamID
}

func (r relayingGates) GatePeer(domain.HostID) ports.GatePeer { return relayingGate{gates: r} }

type relayingGate struct {
	ports.GatePeer
	gates relayingGates
}

func (r relayingGate) Cancel(_ context.Context, pool domain.PoolName, upstream domain.UpstreamID, _ domain.AttemptID) error {
	if pool == "m" {
		r.gates.canceled <- upstream
	}
	return nil
}

// TestExpiredGrantIsCanceledThroughAnotherHost checks that the memory of a dead
// gate's attempt is freed even if the keeper cannot reach the engine.
func TestExpiredGrantIsCanceledThroughAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(fleetSize{1, 2, 4, 100}, ReserveThenPrefill{})
		gates := relayingGates{canceled: make(chan domain.UpstreamID, 10)}
		// The only other host is not in the group's zones, so h1 keeps the group.
		b.members.set(member("h1"), domain.Member{ID: "h2", Zone: "lima-1", State: domain.MemberAlive})
		k := New(Config{
			Self: "h1", Zone: "dakar-1", Tables: b.tables, Membership: b.members, Upstreams: b.upstreams,
			Counters: b.counters, Policy: ReserveThenPrefill{}, GatePeers: gates,
		})
		defer b.start(t, k)()
		grant := mustAcquire(t, k, slotRequest("a", "1", 1))
		b.engine(grant.Decode).setDown(true)
		began := time.Now()
		if got := <-gates.canceled; got != grant.Decode {
			t.Errorf("canceled at %s through another host, want %s", got, grant.Decode)
		}
		if elapsed := time.Since(began); elapsed > grantTerm+2*sweepInterval {
			t.Errorf("canceled after %v", elapsed)
		}
	})
}
