package lease

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// fakeStore is a table service with one row and injectable faults.
type fakeStore struct {
	ports.TableService
	mu  sync.Mutex
	row ports.Row
	// down fails all calls. lostAnswers is the number of coming commits that are
	// applied but return an error.
	down        bool
	lostAnswers int
	// written records the value of each accepted write.
	written [][]byte
}

func (s *fakeStore) Get(context.Context, string) (ports.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ports.Row{}, false, ports.ErrStoreDown
	}
	return s.row, s.row.Version != 0, nil
}

func (s *fakeStore) Commit(_ context.Context, txn ports.Txn) (ports.TxnResult, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ports.TxnResult{}, ports.ErrStoreDown
	}
	if txn.If[0].Version != s.row.Version {
		return ports.TxnResult{}, nil
	}
	s.row = ports.Row{Key: s.row.Key, Value: txn.Then[0].Value, Version: s.row.Version + 1}
	s.written = append(s.written, s.row.Value)
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return ports.TxnResult{}, ports.ErrStoreUnknown
	}
	return ports.TxnResult{Applied: true, Version: s.row.Version}, nil
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func newLease(store ports.TableService, holder domain.HostID) *Lease {
	return New(Config{Store: store, Key: "lease/pool/zone", Holder: holder})
}

func held(l *Lease) bool {
	_, err := l.Term()
	return err == nil
}

func mustStep(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.AcquireOrRenew(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestPausedHolderStopsBeforeTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(fakeStore)
		a, b := newLease(store, "a"), newLease(store, "b")
		mustStep(t, a)
		first, err := a.Term()
		if err != nil {
			t.Fatal(err)
		}
		// a is paused and only b runs. b must not hold the lease while a does.
		for !held(b) {
			mustStep(t, b)
			if held(a) && held(b) {
				t.Fatal("both hold the lease")
			}
			time.Sleep(100 * time.Millisecond)
		}
		second, _ := b.Term()
		if second <= first {
			t.Errorf("term %d after %d", second, first)
		}
		// a resumes.
		if held(a) {
			t.Error("the paused holder still acts")
		}
		mustStep(t, a)
		if held(a) || !held(b) {
			t.Error("the paused holder took the lease back")
		}
	})
}

func TestRacingCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(fakeStore)
		var leases []*Lease
		for _, holder := range []domain.HostID{"a", "b", "c", "d"} {
			leases = append(leases, newLease(store, holder))
		}
		for range 200 {
			var steps sync.WaitGroup
			for i, l := range leases {
				// Pause the current holder for parts of each minute, so that its lease expires.
				if held(l) && time.Now().Second()%40 < 20 {
					continue
				}
				steps.Go(func() {
					time.Sleep(time.Duration(i%2) * time.Millisecond)
					_ = l.AcquireOrRenew(t.Context())
				})
			}
			steps.Wait()
			holders := 0
			for _, l := range leases {
				if held(l) {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d hosts hold the lease", holders)
			}
			time.Sleep(time.Second)
		}
		if len(store.written) < 20 {
			t.Errorf("only %d writes; the candidates did not race", len(store.written))
		}
	})
}

func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{lostAnswers: 1}
		a := newLease(store, "a")
		began := time.Now()
		if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, ports.ErrStoreUnknown) || held(a) {
			t.Fatalf("lost answer: got %v, held %v", err, held(a))
		}
		// Reading the row back confirms the write; the lease runs from the start of that write.
		time.Sleep(5 * time.Second)
		store.set(func(s *fakeStore) { s.lostAnswers = 1 })
		if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, ports.ErrStoreUnknown) || !held(a) {
			t.Fatalf("after reading back: got %v, held %v", err, held(a))
		}
		if left, want := a.Remaining(), DefaultDuration-DefaultMargin-time.Since(began); left != want {
			t.Errorf("%v left, want %v", left, want)
		}
		term, _ := a.Term()
		mustStep(t, a)
		if again, _ := a.Term(); again != term {
			t.Errorf("the term changed from %d to %d without a change of holder", term, again)
		}
	})
}

func TestLeaseExpiresInOutageAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(fakeStore)
		a, b := newLease(store, "a"), newLease(store, "b")
		mustStep(t, a)
		mustStep(t, b)
		store.set(func(s *fakeStore) { s.down = true })
		elapsed := time.Duration(0)
		for held(a) {
			if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, ports.ErrStoreDown) {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			elapsed += time.Second
		}
		if elapsed > DefaultDuration-DefaultMargin {
			t.Errorf("held for %v without a renewal", elapsed)
		}
		time.Sleep(10 * time.Minute)
		store.set(func(s *fakeStore) { s.down = false })
		mustStep(t, b)
		mustStep(t, a)
		if held(a) == held(b) {
			t.Errorf("after the outage a holds: %v, b holds: %v", held(a), held(b))
		}
	})
}

func TestReleaseAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(fakeStore)
		a, b := newLease(store, "a"), newLease(store, "b")
		mustStep(t, a)
		if err := a.Release(t.Context()); err != nil || held(a) {
			t.Fatalf("release: %v, held %v", err, held(a))
		}
		mustStep(t, b)
		term, err := b.Term()
		if err != nil || term != 2 {
			t.Fatalf("after a release: term %d, %v", term, err)
		}
		// A restarted host is a new holder instance and must wait for the expiry like any other.
		again := newLease(store, "b")
		mustStep(t, again)
		if held(again) {
			t.Error("a restarted host took over its own old lease at once")
		}
		time.Sleep(DefaultDuration)
		mustStep(t, again)
		if term, err := again.Term(); err != nil || term != 3 {
			t.Errorf("after the expiry: term %d, %v", term, err)
		}
		mustStep(t, b)
		if held(b) {
			t.Error("the instance from before the restart still holds the lease")
		}
	})
}

func TestFencedHolderGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newLease(new(fakeStore), "a")
		mustStep(t, a)
		a.Abandon()
		mustStep(t, a)
		if held(a) {
			t.Error("a holder that was fenced off took the lease back at once")
		}
		time.Sleep(DefaultDuration)
		mustStep(t, a)
		if term, err := a.Term(); err != nil || term != 2 {
			t.Errorf("after the expiry: term %d, %v", term, err)
		}
	})
}
