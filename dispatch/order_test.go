package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// size is a kind of request: its prompt and its output in tokens.
type size struct{ prompt, output int }

func (s size) request() *traffic.Request {
	req := newRequest("/draft/x")
	req.PromptTokens, req.MaxOutput, req.OutputHint = s.prompt, 1280, s.output
	return req
}

// runTime is how long an engine of the users' kind takes for the output.
func (s size) runTime() time.Duration { return time.Duration(s.output) * 7 * time.Millisecond }

// tally counts the requests of one size. refusals counts each one that a caller got.
type tally struct{ sent, onTime, served, refusals int }

// playSizes sends requests to hosts that share the memory of one engine, the sizes in turn, and
// returns a tally of each size. A caller who is refused comes back once, after the time that it
// was told.
func playSizes(t *testing.T, hosts, requests int, gap time.Duration, capacityTokens int, sizes []size) map[size]*tally {
	t.Helper()
	memory := &engineMemory{capacityTokens: capacityTokens}
	runTimes := make(map[int]time.Duration)
	out := make(map[size]*tally)
	for _, s := range sizes {
		runTimes[estimateTokens(s.request())], out[s] = s.runTime(), &tally{}
	}
	gates := make([]*fixture, hosts)
	for i := range gates {
		gates[i] = newFixture(t, hosts)
		gates[i].shareMemory(memory)
		gates[i].stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			tokens := opts.Reservation.Tokens // It tells the sizes apart.
			return &slowStream{fakeStream: newFakeStream(1, nil), run: runTimes[tokens], done: func() { memory.free(tokens) }}, nil
		}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range requests {
		began, s, f := time.Now(), sizes[i%len(sizes)], gates[i%hosts]
		all.Go(func() {
			onTime, served, refusals := callOfSize(f, s, began)
			mu.Lock()
			defer mu.Unlock()
			out[s].sent++
			out[s].refusals += refusals
			if served {
				out[s].served++
			}
			if onTime {
				out[s].onTime++
			}
		})
		time.Sleep(gap)
	}
	all.Wait()
	return out
}

func callOfSize(f *fixture, s size, began time.Time) (onTime, served bool, refusals int) {
	for range 2 {
		caller := &fakeCaller{onStart: func() { onTime = time.Since(began) <= time.Second }}
		f.gate.Serve(context.Background(), s.request(), caller)
		if caller.refusal == nil {
			return onTime, caller.started && !caller.aborted, refusals
		}
		refusals++
		time.Sleep(caller.refusal.RetryAfter)
	}
	return false, false, refusals
}

// A burst of short and long requests that needs more memory than the engines have for 25 s. In the
// order of arrival, the callers of short requests wait for those of long ones, and one in seven is
// late. Long requests are served all the same, half as often as all at least, late if need be.
func TestShortRequestsDoNotWaitForLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		short, long := size{1000, 200}, size{3000, 544}
		sizes := []size{short, long, short, short, long, short, short, short, long, short, short}
		got := playSizes(t, 2, 330, 75*time.Millisecond, 36000, sizes)
		all := *got[short]
		all.served += got[long].served
		all.sent += got[long].sent
		t.Logf("short %+v, long %+v", *got[short], *got[long])
		if float64(got[short].onTime) < 0.95*float64(got[short].sent) {
			t.Errorf("%d of %d short requests on time, want 19 in 20", got[short].onTime, got[short].sent)
		}
		if 2*got[long].served*all.sent < all.served*got[long].sent {
			t.Errorf("%d of %d long requests served, want half as many as of all", got[long].served, got[long].sent)
		}
	})
}

// A burst fills all engines for a little longer than two targets. Requests that came at its start
// were refused shortly before its end and came back three seconds later, all together. They are
// served when it ends, before their callers leave.
func TestLateRequestIsServedOnceTheBurstEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst = 2600 * time.Millisecond
		f := newFixture(t, 1)
		began := time.Now()
		f.reserve = func(*traffic.Upstream, int) error {
			if time.Since(began) < burst {
				return errRejected
			}
			return nil
		}
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() {
				_, served, refusals := callOfSize(f, size{3000, 544}, began)
				if took := time.Since(began); !served || refusals > 0 || took > burst+time.Second {
					t.Errorf("served %t after %s and %d refusals, want it within a second of the end of the burst", served, took, refusals)
				}
			})
		}
		all.Wait()
	})
}

// What cannot be served before its caller leaves is refused in time, and as not run.
func TestRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, deadline := range []time.Duration{14 * time.Second, 4 * time.Second, 2 * time.Second} {
			f := newFixture(t, 1)
			f.reserve = func(*traffic.Upstream, int) error { return errRejected }
			began, caller, req := time.Now(), &fakeCaller{}, size{3000, 544}.request()
			req.Deadline = began.Add(deadline)
			f.gate.Serve(context.Background(), req, caller)
			r, took := caller.refusal, time.Since(began)
			if limit := min(3500*time.Millisecond, deadline*3/4); r == nil || r.Ran != domain.RanNo || r.RetryAfter <= 0 || took > limit {
				t.Errorf("deadline %s: refusal %+v after %s, want one as not run within %s", deadline, r, took, limit)
			}
		}
	})
}
