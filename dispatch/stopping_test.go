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
