package keeper

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/quarantine"
)

const (
	timeToCrash    = 300 * time.Millisecond
	restartTime    = 2 * time.Second
	answerDuration = 4 * time.Second
)

// crashingFleet is a set of engines that crash when they run the poison request.
type crashingFleet struct {
	*fixture
	quarantine *quarantine.List
	crashes    atomic.Int32

	mu sync.Mutex
	// boots holds a channel for each engine, which is closed when the engine
	// crashes.
	boots map[domain.UpstreamID]chan struct{}
}

func newCrashingFleet(s fleetSize) *crashingFleet {
	f := &crashingFleet{fixture: newFixture(s, JustInTime{}), boots: make(map[domain.UpstreamID]chan struct{})}
	f.quarantine = quarantine.New(quarantine.Config{Counters: f.counters})
	f.keeper.cfg.Quarantine = f.quarantine
	for id := range f.upstreams.engines {
		f.boots[id] = make(chan struct{})
	}
	return f
}

func (f *crashingFleet) boot(id domain.UpstreamID) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boots[id]
}

// crash takes an engine down, which restarts without its attempts after
// restartTime.
func (f *crashingFleet) crash(id domain.UpstreamID) {
	f.crashes.Add(1)
	e := f.engine(id)
	e.setDown(true)
	e.mu.Lock()
	e.running = nil
	e.mu.Unlock()
	f.mu.Lock()
	close(f.boots[id])
	f.boots[id] = make(chan struct{})
	f.mu.Unlock()
	time.AfterFunc(restartTime, func() { e.setDown(false) })
}

// serve runs one request through as many hosts as it needs, and returns nil once
// it is answered. A poison request crashes the engine that runs it.
func (f *crashingFleet) serve(t *testing.T, req domain.SlotRequest, poison bool) error {
	for attempt := 1; ; attempt++ {
		req.ID.Attempt = attempt
		req.Holder = domain.HostID(fmt.Sprintf("g%d", attempt%5))
		grant, err := f.keeper.Acquire(t.Context(), testGroup, req)
		// Like a gate, call again until the request has a grant whose slot is free.
		for errors.Is(err, ports.ErrStillQueued) || err == nil && grant.DecodeFreeIn > 0 {
			grant, err = f.keeper.Acquire(t.Context(), testGroup, req)
		}
		if err != nil {
			return err
		}
		reason := f.decode(grant, req, poison)
		_ = f.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grant, Reason: reason, OutputTokens: 100}})
		if reason == domain.ReleaseDone {
			f.quarantine.Clear(req.Fingerprint)
			return nil
		}
	}
}

func (f *crashingFleet) decode(grant domain.Grant, req domain.SlotRequest, poison bool) domain.ReleaseReason {
	engine, boot := f.engine(grant.Decode), f.boot(grant.Decode)
	engine.run(runningDecode(req))
	if poison {
		select {
		case <-time.After(timeToCrash):
			f.crash(grant.Decode)
		case <-boot:
		}
		return domain.ReleaseCrashed
	}
	select {
	case <-time.After(answerDuration):
		_ = engine.Cancel(context.Background(), req.ID)
		return domain.ReleaseDone
	case <-boot:
		return domain.ReleaseCrashed
	}
}

// TestPoisonCrashesAtMostThreeUpstreams sends one poison request again and again
// through different hosts, among full batches of other requests. The hosts do
// not exchange any state: only the keeper's quarantine list stops the request.
func TestPoisonCrashesAtMostThreeUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingFleet(fleetSize{3, 6, 20, 400})
		defer f.start(t, f.keeper)()
		var wg sync.WaitGroup
		for i := range 119 {
			wg.Go(func() {
				req := slotRequest(domain.CallerID(fmt.Sprint("c", i%7)), fmt.Sprint(i), 1)
				req.Fingerprint = uint64(1000 + i)
				if err := f.serve(t, req, false); err != nil {
					t.Errorf("innocent %d: %v", i, err)
				}
			})
		}
		wg.Go(func() {
			req := slotRequest("poison", "p", 1)
			req.Fingerprint = 666
			wantRefusal(t, f.serve(t, req, true), domain.RefusalQuarantined)
		})
		began := time.Now()
		wg.Wait()
		if got := f.crashes.Load(); got != quarantine.DefaultStrikeLimit {
			t.Errorf("%d upstreams crashed, want %d", got, quarantine.DefaultStrikeLimit)
		}
		t.Logf("all answered after %v", time.Since(began))
	})
}

// TestPoisonSentManyTimesAtOnce checks that copies of a known suspect do not run
// at the same time.
func TestPoisonSentManyTimesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingFleet(fleetSize{3, 9, 20, 400})
		defer f.start(t, f.keeper)()
		f.quarantine.RecordCrash("elsewhere", []uint64{666})
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				req := slotRequest("poison", fmt.Sprint(i), 1)
				req.Fingerprint = 666
				wantRefusal(t, f.serve(t, req, true), domain.RefusalQuarantined)
			})
		}
		wg.Wait()
		if got := f.crashes.Load(); got != quarantine.DefaultStrikeLimit-1 {
			t.Errorf("%d more upstreams crashed, want %d", got, quarantine.DefaultStrikeLimit-1)
		}
	})
}

// TestReportedCrashIsChecked guards against a lost connection to an upstream
// turning requests that still run there into suspects.
func TestReportedCrashIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingFleet(fleetSize{1, 1, 4, 100})
		defer f.start(t, f.keeper)()
		var grants []domain.Grant
		for i := range 3 {
			req := slotRequest("a", fmt.Sprint(i), 1)
			req.Fingerprint = uint64(i + 1)
			grants = append(grants, mustAcquire(t, f.keeper, req))
			f.engine("d0").run(runningDecode(req))
		}
		_ = f.keeper.Release(t.Context(), testGroup, []domain.Release{{Grant: grants[0], Reason: domain.ReleaseCrashed}})
		synctest.Wait()
		if f.quarantine.Suspect(2) || f.counters.Int(defFalseCrashes).Value() != 1 {
			t.Error("requests that still run became suspects")
		}
	})
}
