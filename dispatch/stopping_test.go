package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// Found by a hunted day and reported by operators: a host that was stopping took streams that it had
// no time to finish, and cut them off.
func TestStoppingHostBeginsNoStreamThatItCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		tokenTime := 10 * time.Millisecond
		f.stream = func(*traffic.Upstream, traffic.SendOptions) (traffic.Stream, error) {
			return &delayedEndStream{fakeStream: newFakeStream(2, nil), at: time.Now().Add(400 * tokenTime)}, nil
		}
		for range 20 {
			f.gate.Serve(context.Background(), size{1000, 400}.request(), &fakeCaller{}) // It learns the pace.
		}
		for name, c := range map[string]struct {
			stop   Stop
			path   string
			output int
			taken  bool
		}{
			"time enough":    {Stop{Left: 7 * time.Second}, "/draft/x", 300, true},
			"too long":       {Stop{Left: 7 * time.Second}, "/draft/x", 900, false},
			"too late":       {Stop{Left: 2 * time.Second}, "/draft/x", 300, false},
			"no streams":     {Stop{Left: 7 * time.Second, NoStreams: true}, "/draft/x", 10, false},
			"resumable":      {Stop{Left: 7 * time.Second}, "/resume/x", 900, false},
			"a plain call":   {Stop{Left: time.Second, NoStreams: true}, "/once/x", 900, true},
			"from a host":    {Stop{Left: 7 * time.Second}, "/draft/x", 900, false},
			"without a hint": {Stop{Left: 7 * time.Second}, "/draft/x", 0, false},
		} {
			f.gate.cfg.Stopping = func() (Stop, bool) { return c.stop, true }
			req, caller := size{1000, c.output}.request(), &fakeCaller{}
			req.Path = c.path
			if name == "from a host" {
				req.Hop = &traffic.Hop{Version: 1, Grant: &traffic.Grant{Service: testService, Upstreams: 1}}
			}
			f.gate.Serve(context.Background(), req, caller)
			r := caller.refusal
			if c.taken != (r == nil) || r != nil && (r.Kind != domain.RefusalLeaving || r.Ran != domain.RanNo || r.RetryAfter <= 0) {
				t.Errorf("%s: refusal %+v, want it taken: %t", name, r, c.taken)
			}
		}
	})
}

// A request that waits for a slot when the stop begins is told to go elsewhere once it would not end
// in time, and a stream that has begun goes on.
func TestWaitingRequestLeavesAStoppingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		began := time.Now()
		f.gate.cfg.Stopping = func() (Stop, bool) { return Stop{Left: 4*time.Second - time.Since(began)}, true }
		full := false
		f.reserve = func(*traffic.Upstream, int) error {
			if full {
				return errRejected
			}
			return nil
		}
		broken := &byteCaller{}
		f.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			if opts.LastEventID == "" {
				return newFakeStream(2, errReset), nil
			}
			time.Sleep(2 * time.Second)
			return newFakeStreamAfter(opts.LastEventID, 3, nil), nil
		}
		req := size{1000, 400}.request()
		req.Path = "/resume/x"
		f.gate.Serve(context.Background(), req, broken)
		if !broken.complete() {
			t.Errorf("a stream that had begun: events %v, refusal %v", broken.events, broken.refusal)
		}
		// Such a stream took two seconds, so three are to be left; a late request looks each 150 ms.
		full, began = true, time.Now()
		caller := &fakeCaller{}
		f.gate.Serve(context.Background(), size{1000, 400}.request(), caller)
		r := caller.refusal
		if took := time.Since(began); r == nil || r.Kind != domain.RefusalLeaving || r.Ran != domain.RanNo || took > time.Second+latePollInterval {
			t.Errorf("refusal %+v after %s, want one as leaving once the time is too short", r, took)
		}
	})
}

// A stopping host must leave calls to other hosts that a slow service would answer after its end.
func TestStoppingHostTakesNoCallThatItCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.call = func(*traffic.Upstream) (*traffic.Answer, error) {
			time.Sleep(2 * time.Second)
			return &traffic.Answer{Status: 200}, nil
		}
		for range 20 {
			f.serve("/once/x", &fakeCaller{}) // It learns the time of calls.
		}
		for left, taken := range map[time.Duration]bool{100 * time.Millisecond: false, 7 * time.Second: true} {
			f.gate.cfg.Stopping = func() (Stop, bool) { return Stop{Left: left, NoStreams: true}, true }
			r := f.serve("/once/x", &fakeCaller{}).refusal
			if taken != (r == nil) || r != nil && (r.Kind != domain.RefusalLeaving || r.Ran != domain.RanNo) {
				t.Errorf("with %s left: refusal %+v, want it taken: %t", left, r, taken)
			}
		}
	})
}
