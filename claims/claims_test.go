package claims

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(0, 0) }

func newClaimer(p *platform.Platform, host domain.HostID) (*Claimer, *counters.Set) {
	set := counters.NewSet()
	return New(Config{Store: p.Tables(), Objects: p.Objects(), Host: host, Clock: fixedClock{}, Counters: set}), set
}

// upstream counts the calls that it executes, or fails them all with err.
type upstream struct {
	executions atomic.Int64
	body       []byte
	err        error
}

func (u *upstream) send(context.Context) (ports.ServiceResponse, error) {
	if u.err != nil {
		return ports.ServiceResponse{}, u.err
	}
	u.executions.Add(1)
	return ports.ServiceResponse{Status: 200, Body: u.body}, nil
}

// expectResult executes a call and checks the kind of its refusal and whether it
// ran; an empty kind means that a response is expected.
func expectResult(t *testing.T, c *Claimer, call Call, up *upstream, kind domain.RefusalKind, ran domain.Ran) ports.ServiceResponse {
	t.Helper()
	response, err := c.Execute(t.Context(), call, up.send)
	refusal, refused := domain.AsRefusal(err)
	switch {
	case kind == "" && err != nil:
		t.Errorf("refused: %v", err)
	case kind != "" && (!refused || refusal.Kind != kind || refusal.Ran != ran || refusal.Remedy == ""):
		t.Errorf("error %v, want %s with ran: %s", err, kind, ran)
	}
	return response
}

func TestResendReturnsStoredOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{10, MaxInlineBodyBytes + 1} {
			p := platform.New(platform.Config{})
			a, _ := newClaimer(p, "a")
			b, set := newClaimer(p, "b")
			up := &upstream{body: bytes.Repeat([]byte("x"), size)}
			call := Call{Caller: "firm/1", Key: "k 1", Digest: 7}
			expectResult(t, a, call, up, "", "")
			call.Attempt = 2
			if again := expectResult(t, b, call, up, "", ""); !bytes.Equal(again.Body, up.body) || again.Status != 200 {
				t.Errorf("resend got %d bytes with status %d", len(again.Body), again.Status)
			}
			if up.executions.Load() != 1 || set.Int(defRepeated).Value() != 1 {
				t.Errorf("executed %d times", up.executions.Load())
			}
			if size > MaxInlineBodyBytes {
				p.SetOutage(true)
				expectResult(t, b, call, up, domain.RefusalStoreDown, domain.RanUnknown)
				p.SetOutage(false)
				row, _ := b.read(t.Context(), rowKey(call))
				if _, err := b.loadOutcome(t.Context(), &claimRow{Object: row.Object + "lost"}); !strings.Contains(fmt.Sprint(err), "ran: yes") {
					t.Errorf("unreadable outcome: %v", err)
				}
			}
			call.Digest = 8
			expectResult(t, b, call, up, domain.RefusalDuplicate, domain.RanNo)
		}
	})
}

func TestUnsentCallCanBeResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{})
		c, set := newClaimer(p, "a")
		call := Call{Caller: "c", Key: "k"}
		refused := &upstream{err: &ports.ServiceError{Message: "connection refused"}}
		noUpstream := &upstream{err: domain.Refuse(domain.RefusalNoUpstream, "none", "wait")}
		up := &upstream{}
		expectResult(t, c, call, refused, domain.RefusalUpstreamFailed, domain.RanNo)
		expectResult(t, c, call, noUpstream, domain.RefusalNoUpstream, domain.RanNo)
		call.Attempt = 2
		expectResult(t, c, call, refused, domain.RefusalUpstreamFailed, domain.RanNo)
		expectResult(t, c, call, up, domain.RefusalSuperseded, domain.RanNo)
		call.Attempt = 3
		expectResult(t, c, call, up, "", "")
		if up.executions.Load() != 1 || set.Int(defReleased).Value() != 3 {
			t.Errorf("executed %d times, released %d", up.executions.Load(), set.Int(defReleased).Value())
		}
	})
}

func TestOpenClaimIsNotExecutedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{})
		c, _ := newClaimer(p, "a")
		call := Call{Caller: "c", Key: "k"}
		interrupted := &upstream{err: &ports.ServiceError{Sent: true, Message: "reset"}}
		up := &upstream{}
		expectResult(t, c, call, interrupted, domain.RefusalUpstreamFailed, domain.RanUnknown)
		start := time.Now()
		expectResult(t, c, Call{Caller: "c", Key: "k", Attempt: 2}, up, domain.RefusalDuplicate, domain.RanUnknown)
		if waited := time.Since(start); waited < time.Second || waited > 10*time.Second {
			t.Errorf("waited %v for the outcome", waited)
		}
		if up.executions.Load() != 0 {
			t.Error("a call with an open claim was executed again")
		}
	})
}

func TestStoreFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{})
		c, set := newClaimer(p, "a")
		up := &upstream{}
		p.SetOutage(true)
		expectResult(t, c, Call{Caller: "c", Key: "k"}, up, domain.RefusalStoreDown, domain.RanNo)
		expectResult(t, c, Call{Caller: "c", Key: "k", Attempt: 2}, up, domain.RefusalStoreDown, domain.RanUnknown)
		p.SetOutage(false)
		p.LoseAnswers(1)
		expectResult(t, c, Call{Caller: "c", Key: "k"}, up, "", "")
		p.SetLimits(1, 100)
		_, _ = p.Tables().Commit(t.Context(), ports.Txn{})
		expectResult(t, c, Call{Caller: "c", Key: "k2"}, up, domain.RefusalOverloaded, domain.RanNo)
		if up.executions.Load() != 1 || set.Int(defLostAnswers).Value() != 1 {
			t.Errorf("executed %d times, %d lost responses", up.executions.Load(), set.Int(defLostAnswers).Value())
		}
	})
}

// failingReads is a table service whose writes succeed and whose reads fail.
type failingReads struct{ ports.TableService }

func (failingReads) Get(context.Context, string) (ports.Row, bool, error) {
	return ports.Row{}, false, ports.ErrStoreDown
}

func TestUnreadableClaimOfOtherAttemptIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{})
		a, _ := newClaimer(p, "a")
		b := New(Config{Store: failingReads{p.Tables()}, Host: "b"})
		up := &upstream{}
		expectResult(t, a, Call{Caller: "c", Key: "k"}, up, "", "")
		expectResult(t, b, Call{Caller: "c", Key: "k"}, up, domain.RefusalStoreDown, domain.RanUnknown)
	})
}

// TestOutcomeWaitsForTheStore starts a store outage while the call runs. The
// caller must still get the response, this host must answer resends, and the
// outcome must be stored after the outage.
func TestOutcomeWaitsForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := platform.New(platform.Config{})
		a, set := newClaimer(p, "a")
		b, _ := newClaimer(p, "b")
		go func() { _ = a.Run(ctx) }()
		p.OutageAfterNextCommit()
		up := &upstream{body: []byte("done")}
		call := Call{Caller: "c", Key: "k"}
		expectResult(t, a, call, up, "", "")
		call.Attempt = 2
		expectResult(t, a, call, up, "", "")
		if set.Int(defOutcomesWaiting).Value() != 1 {
			t.Errorf("%d pending outcomes, want 1", set.Int(defOutcomesWaiting).Value())
		}
		time.Sleep(10 * time.Minute)
		p.SetOutage(false)
		time.Sleep(2 * storeRetryInterval)
		if got := expectResult(t, b, call, up, "", ""); string(got.Body) != "done" || set.Int(defOutcomesWaiting).Value() != 0 {
			t.Errorf("resend at another host got %q", got.Body)
		}
		if up.executions.Load() != 1 {
			t.Errorf("executed %d times", up.executions.Load())
		}
		cancel()
		synctest.Wait()
	})
}

// TestDisconnectedCallerLeavesNoOpenClaim disconnects the caller while its claim
// is being written. The call must not be sent and the claim must be removed.
func TestDisconnectedCallerLeavesNoOpenClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(platform.Config{Latency: time.Second})
		c, _ := newClaimer(p, "a")
		up := &upstream{}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := c.Execute(ctx, Call{Caller: "c", Key: "k"}, up.send)
		if refusal, ok := domain.AsRefusal(err); !ok || refusal.Kind != domain.RefusalCanceled || refusal.Ran != domain.RanNo {
			t.Errorf("error %v, want canceled with ran: no", err)
		}
		if row, _ := c.read(t.Context(), rowKey(Call{Caller: "c", Key: "k"})); row.exists || up.executions.Load() != 0 {
			t.Errorf("claim left behind: %+v", row)
		}
	})
}

// skewedClock is a wall clock that is ahead of the machine's by the duration.
type skewedClock time.Duration

func (a skewedClock) Now() time.Time { return time.Now().Add(time.Duration(a)) }

// TestExpiredClaimsAreRemoved runs one host with a correct clock and one whose
// clock is a year ahead. Expired claims must be removed, and the host with the
// wrong clock must not remove others.
func TestExpiredClaimsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := platform.New(platform.Config{})
		up := &upstream{}
		var hosts []*Claimer
		for i, clock := range []ports.Clock{skewedClock(0), skewedClock(365 * 24 * time.Hour)} {
			c := New(Config{Store: p.Tables(), Host: domain.HostID(fmt.Sprint(i)), Clock: clock, Retention: 7 * time.Hour})
			hosts = append(hosts, c)
			go func() { _ = c.Run(ctx) }()
		}
		for hour := range 10 {
			expectResult(t, hosts[0], Call{Caller: "c", Key: fmt.Sprint(hour)}, up, "", "")
			time.Sleep(time.Hour)
		}
		for hour := range 10 {
			row, err := hosts[0].read(t.Context(), rowKey(Call{Caller: "c", Key: fmt.Sprint(hour)}))
			if wanted := hour >= 3; err != nil || row.exists != wanted {
				t.Errorf("claim of hour %d exists: %v, want %v (%v)", hour, row.exists, wanted, err)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestGroupCommit executes many concurrent calls against a store with latency,
// which must share transactions.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 200
		p := platform.New(platform.Config{Latency: 10 * time.Millisecond})
		c, set := newClaimer(p, "a")
		up := &upstream{}
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() { expectResult(t, c, Call{Caller: "c", Key: fmt.Sprint(i)}, up, "", "") })
		}
		wg.Wait()
		if transactions := set.Int(defTransactions).Value(); transactions > 2*calls/10 {
			t.Errorf("%d transactions for %d claims and outcomes", transactions, 2*calls)
		}
	})
}

// TestGroupCommitWithResendsAndLostAnswers produces failed conditions and lost
// responses in many of the joined transactions. No call may run twice, and a call
// with a response must have run.
func TestGroupCommitWithResendsAndLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 100
		p := platform.New(platform.Config{Latency: 10 * time.Millisecond, Seed: 1})
		p.SetAnswerLoss(0.1)
		c, set := newClaimer(p, "a")
		var ups [calls]upstream
		var answers [calls]atomic.Int64
		var wg sync.WaitGroup
		for i := range calls {
			for attempt := range 2 {
				wg.Go(func() {
					if _, err := c.Execute(t.Context(), Call{Caller: "c", Key: fmt.Sprint(i), Attempt: attempt + 1}, ups[i].send); err == nil {
						answers[i].Add(1)
					}
				})
			}
		}
		wg.Wait()
		answered := 0
		for i := range ups {
			if ran := ups[i].executions.Load(); ran > 1 || (answers[i].Load() > 0 && ran != 1) {
				t.Errorf("call %d was executed %d times and answered %d times", i, ran, answers[i].Load())
			}
			if answers[i].Load() > 0 {
				answered++
			}
		}
		if answered < calls*9/10 || set.Int(defSplit).Value() == 0 {
			t.Errorf("%d of %d calls answered, %d transactions split", answered, calls, set.Int(defSplit).Value())
		}
	})
}

// BenchmarkClaims executes calls at several levels of concurrency against a store
// with a latency of 2 ms and reports transactions per call.
func BenchmarkClaims(b *testing.B) {
	for _, concurrent := range []int{1, 16, 256} {
		b.Run(fmt.Sprint("concurrent=", concurrent), func(b *testing.B) {
			p := platform.New(platform.Config{Latency: 2 * time.Millisecond})
			c, set := newClaimer(p, "a")
			up := &upstream{body: []byte("ok")}
			var next atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range concurrent {
				wg.Go(func() {
					for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
						if _, err := c.Execute(context.Background(), Call{Caller: "c", Key: fmt.Sprint(i)}, up.send); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(set.Int(defTransactions).Value())/float64(b.N), "txn/call")
		})
	}
}
