package dispatch

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// Guards against an explanation that names another upstream than a request gets, that hides why one
// is out, or that sends, counts or probes anything itself.
func TestExplanationIsWhatARequestGets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.add("p3", testPlain, domain.RoleService)
		f.add("p4", testPlain, domain.RoleService)
		ups := f.catalog.Ready(testPlain)
		for range 2 {
			f.gate.stats.forUpstream(ups[0]).callEnded(outcomeConnectionFailed, time.Second, time.Now())
		}
		failed := f.gate.stats.forUpstream(ups[0])
		failed.mustProbe = true
		time.Sleep(maxOutOfRotation) // It may be probed from now on.
		for range 3 {
			f.gate.stats.forUpstream(ups[1]).callStarted()
		}
		f.gate.stats.forUpstream(ups[2]).callEnded(outcomeAnswered, 30*time.Millisecond, time.Now())
		f.catalog.Announced(ups[3])
		before := f.gate.cfg.Counters.String()
		e := f.gate.Explain(newRequest("/once/x"))
		synctest.Wait()
		if len(f.calls) > 0 || f.gate.cfg.Counters.String() != before || failed.probing || !failed.mustProbe {
			t.Errorf("sent, probed or counted: %v", f.calls)
		}
		got := e.Services[0].Upstreams
		if len(got) != 4 || got[0].ID != "p3" || got[1].ID != "p2" || got[1].ActiveCallsMS != 45 || got[0].Out != "" ||
			got[2].Out == "" || got[3].Out == "" || e.Route != "/once/" || e.Refused != "" || e.Services[0].Levels != 1 {
			t.Fatalf("%+v", e)
		}
		if up, _ := f.gate.takeCheapest(context.Background(), f.gate.candidates(testPlain, time.Now(), func(*traffic.Upstream) bool { return true })); up.ID != got[0].ID {
			t.Errorf("a request goes to %s, explained was %s", up.ID, got[0].ID)
		}
		if e = f.gate.Explain(newRequest("/nowhere")); e.Route != "" || e.Refused == "" {
			t.Errorf("without a route: %+v", e)
		}
	})
}

// Guards against an explanation of a stream that offers engines which get no reservation.
func TestExplanationOfAStream(t *testing.T) {
	f := newFixture(t, 1)
	s := f.gate.Explain(newRequest("/draft/x")).Services[0]
	f.gate.slots.queue(testService).markFull("d1", s.Tokens, time.Now().Add(time.Hour))
	s = f.gate.Explain(newRequest("/draft/x")).Services[0]
	out := func(u UpstreamExplanation) bool { return u.Out != "" }
	if s.Tokens <= 3000 || slices.IndexFunc(s.Upstreams, out) != 1 || s.Upstreams[0].ID != "d2" || len(s.Upstreams) != 4 {
		t.Errorf("%+v", s)
	}
	large := newRequest("/draft/x")
	large.PromptTokens = testMemory + 1
	if s = f.gate.Explain(large).Services[0]; slices.ContainsFunc(s.Upstreams, func(u UpstreamExplanation) bool { return u.Out == "" }) {
		t.Errorf("too large: %+v", s)
	}
}
