package platformentry_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

func hostID(name string) domain.HostID { return domain.HostID(name) }
func zoneID(name string) domain.Zone   { return domain.Zone(name) }

var wholeStream = []string{"1", "2", "3", "4", "5"}

func always(fault platformtest.Fault) func(*http.Request) platformtest.Fault {
	return func(*http.Request) platformtest.Fault { return fault }
}

// onlyStreams lets prompts be read and spoils streams.
func onlyStreams(fault platformtest.Fault) func(*http.Request) platformtest.Fault {
	return func(r *http.Request) platformtest.Fault {
		if r.Header.Get(wire.HeaderStage) != "" {
			return platformtest.FaultNone
		}
		return fault
	}
}

func TestWholePath(t *testing.T) {
	s := newSite(t, 3)
	for _, h := range s.hosts {
		s.await("all hosts of the zone named", func() bool { return len(s.addresses(h)) >= 2 })
		filed := s.sendBody(h, "POST", "/filing/a?b=c", nil, "entry")
		if filed.status != 200 || s.runs(filed.id) != 1 || filed.header.Get(wire.HeaderSeal) == "" {
			t.Fatalf("filing: %+v, ran %d times", filed, s.runs(filed.id))
		}
		read := s.send(h, "GET", "/status/a", nil)
		if read.status != 200 || !strings.Contains(read.body, read.id) {
			t.Fatalf("status: %+v", read)
		}
		draft := s.sendBody(h, "POST", "/draft/a", nil, strings.Repeat("x", 30000))
		if draft.status != 200 || draft.err != nil || !slices.Equal(events(draft.body), wholeStream) || s.runs(draft.id) != 1 {
			t.Fatalf("draft: %+v", draft)
		}
		if got := s.send(h, "GET", "/nothing/", nil); got.status != http.StatusNotFound {
			t.Fatalf("unknown route: %+v", got)
		}
	}
}

// Headers that the system sets are not taken from callers.
func TestCallersHeadersOfTheSystemAreDropped(t *testing.T) {
	s := newSite(t, 1)
	forged := http.Header{
		wire.HeaderStage: {"prefill"}, wire.HeaderExpectInstance: {"led-9"}, wire.HeaderKVSource: {"10.0.0.1:1/x"},
		wire.HeaderKVHold: {"h"}, wire.HeaderPin: {"4000"}, wire.HeaderKVBackup: {"10.0.0.1:1"}, "X-Own": {"kept"},
	}
	got := s.send(s.hosts[0], "POST", "/draft/x", forged)
	if got.status != 200 {
		t.Fatalf("answer %+v", got)
	}
	for _, w := range s.workers {
		h := w.Header(got.id)
		if h == nil {
			continue
		}
		if h.Get(wire.HeaderStage) != "" || h.Get(wire.HeaderPin) != "" || h.Get(wire.HeaderKVBackup) != "" ||
			h.Get(wire.HeaderKVHold) == "h" || strings.HasPrefix(h.Get(wire.HeaderKVSource), "10.") || h.Get("X-Own") != "kept" {
			t.Fatalf("forwarded %v", h)
		}
	}
}

func TestAnswersThatAreNotTheUpstreams(t *testing.T) {
	s := newSite(t, 1)
	for _, c := range []struct {
		name   string
		fault  platformtest.Fault
		status int
	}{
		{"reset", platformtest.FaultReset, http.StatusBadGateway},
		{"cut", platformtest.FaultCut, http.StatusBadGateway},
		{"foreign", platformtest.FaultForeign, http.StatusBadGateway},
		{"unsealed", platformtest.FaultUnsealed, http.StatusBadGateway},
		{"full", platformtest.FaultFull, http.StatusServiceUnavailable},
		{"failed", platformtest.FaultFailed, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, id := range []string{"led-1", "led-2"} {
				s.workers[id].SetFault(always(c.fault))
			}
			got := s.sendBody(s.hosts[0], "POST", "/filing/x", nil, "entry")
			if got.status != c.status || s.runs(got.id) > 1 {
				t.Fatalf("answer %+v, ran %d times, want %d", got, s.runs(got.id), c.status)
			}
			if got.status == http.StatusServiceUnavailable && (s.runs(got.id) != 0 || got.header.Get(wire.HeaderRetryAfter) == "") {
				t.Fatalf("refused as not run, ran %d times, header %v", s.runs(got.id), got.header)
			}
		})
	}
}

func TestStreamThatBreaks(t *testing.T) {
	s := newSite(t, 1)
	s.workers["dec-1"].SetFault(onlyStreams(platformtest.FaultCut))
	s.workers["dec-2"].SetFault(onlyStreams(platformtest.FaultCut))
	draft := s.send(s.hosts[0], "POST", "/draft/x", nil)
	if draft.err == nil || s.runs(draft.id) != 1 {
		t.Fatalf("a cut answer looks whole: %+v, ran %d times", draft, s.runs(draft.id))
	}
	// A resumable stream goes on, and the caller gets each event once.
	cut := false
	s.workers["dec-1"].SetFault(nil)
	for _, id := range []string{"dec-1", "dec-2"} {
		s.workers[id].SetFault(func(r *http.Request) platformtest.Fault {
			if r.Header.Get(wire.HeaderStage) != "" || cut {
				return platformtest.FaultNone
			}
			cut = true
			return platformtest.FaultCut
		})
	}
	note := s.send(s.hosts[0], "POST", "/note/x", nil)
	if note.err != nil || !slices.Equal(events(note.body), wholeStream) {
		t.Fatalf("events %v, %+v", events(note.body), note)
	}
}

func TestConfigurationChangesAndStoreOutage(t *testing.T) {
	s := newSite(t, 2)
	s.configure(5, "newer")
	for _, h := range s.hosts {
		s.await("version 5 in force", func() bool {
			return strings.Contains(s.send(h, "GET", "/status/x", nil).body, "new-1")
		})
	}
	s.configure(3, "ledger")
	s.store.Forget()
	time.Sleep(200 * time.Millisecond)
	for _, h := range s.hosts {
		if got := s.send(h, "GET", "/status/x", nil); !strings.Contains(got.body, "new-1") {
			t.Fatalf("an older version came into force: %+v", got)
		}
	}
	s.store.SetMode(platformtest.StoreSilent)
	if got := s.send(s.hosts[0], "POST", "/draft/x", nil); got.status != 200 {
		t.Fatalf("not served while the store is silent: %+v", got)
	}
	s.store.SetMode(platformtest.StoreUp)
	s.configure(9, "ledger")
	for _, h := range s.hosts {
		s.await("version 9 in force", func() bool {
			return strings.Contains(s.send(h, "GET", "/status/x", nil).body, "led-")
		})
	}
}

func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	s := newSite(t, 1)
	h := s.hosts[0]
	s.workers["led-1"].Register(s.store, "draining")
	s.await("led-1 left out", func() bool {
		for range 5 {
			if strings.Contains(s.send(h, "GET", "/status/x", nil).body, "led-1") {
				return false
			}
		}
		return true
	})
	// A malformed entry harms no other one.
	s.store.PutRaw(wire.TableUpstreams, "bad-1", []byte("{not json"))
	s.store.Put(wire.TableUpstreams, "bad-2", map[string]any{"service": 7, "state": "asleep"})
	s.store.PutRaw(wire.TableOperator, wire.KeyConfig, []byte(`{"version":"x"}`))
	s.workers["led-1"].Register(s.store, "ready")
	s.await("led-1 back", func() bool { return strings.Contains(s.send(h, "GET", "/status/x", nil).body, "led-1") })
	s.store.Delete(wire.TableUpstreams, "led-1")
	s.await("led-1 gone", func() bool { return strings.Contains(s.send(h, "GET", "/status/x", nil).body, "led-2") })
}

func TestLimits(t *testing.T) {
	s := newSite(t, 1)
	large := s.sendBody(s.hosts[0], "POST", "/filing/x", nil, strings.Repeat("x", 70000))
	if large.status != http.StatusRequestEntityTooLarge || s.runs(large.id) != 0 {
		t.Fatalf("body over the limit: %+v", large)
	}
	header := http.Header{"X-Long": {strings.Repeat("y", 20000)}}
	long := s.send(s.hosts[0], "GET", "/status/x", header)
	if long.status != http.StatusRequestHeaderFieldsTooLarge || s.runs(long.id) != 0 {
		t.Fatalf("header over the limit: %+v", long)
	}
}

func TestCallerWhoLeavesFreesTheEngines(t *testing.T) {
	s := newSite(t, 1)
	ended := make(chan struct{}, 2)
	for _, id := range []string{"dec-1", "dec-2"} {
		s.workers[id].SetFault(func(r *http.Request) platformtest.Fault {
			go func() {
				<-r.Context().Done()
				ended <- struct{}{}
			}()
			return platformtest.FaultMute
		})
	}
	leave := http.Client{Timeout: 300 * time.Millisecond}
	req, err := http.NewRequest("POST", "http://"+s.hosts[0].settings.Callers+"/draft/x", nil) //nolint:noctx // The client's timeout ends it.
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set(wire.HeaderRequestID, "gone")
	req.Header.Set(wire.HeaderTokenCount, "3000,500")
	if resp, err := leave.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("a mute engine answered")
	}
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the engine still works for a caller who left")
	}
}

// A planned stop finishes what was begun, takes what still comes for a while, and
// the other hosts stop naming the host.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	s := newSite(t, 2)
	for _, id := range []string{"dec-1", "dec-2"} {
		// Longer than a leaving host takes new requests.
		s.workers[id].SetStream(25, 200*time.Millisecond)
	}
	leaving, other := s.hosts[0], s.hosts[1]
	s.await("both hosts named", func() bool { return len(s.addresses(other)) == 2 })
	got := make(chan answer, 2)
	go func() { got <- s.send(leaving, "POST", "/draft/long", nil) }()
	time.Sleep(300 * time.Millisecond)
	leaving.stop()
	s.await("not ready", func() bool { return s.status("http://"+leaving.settings.Ready+wire.PathReady) != http.StatusOK })
	if late := s.send(leaving, "GET", "/status/late", nil); late.status != 200 {
		t.Fatalf("a caller with an old address list was turned away: %+v", late)
	}
	s.await("no longer named", func() bool { return slices.Equal(s.addresses(other), []string{other.settings.Callers}) })
	draft := <-got
	select {
	case <-leaving.done:
		t.Fatal("the host ended before a stream")
	default:
	}
	if draft.err != nil || len(events(draft.body)) != 25 {
		t.Fatalf("the stop cut off a stream: %d events, %v", len(events(draft.body)), draft.err)
	}
	select {
	case err := <-leaving.done:
		if err != nil {
			t.Fatalf("the host ended with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("the host did not end")
	}
}

// Too many of a service's engines read prompts: one host changes some of them, each
// once.
func TestRolesOfEnginesAreBroughtIntoBalance(t *testing.T) {
	s := newSite(t, 3)
	var extra []*platformtest.Worker
	for _, id := range []string{"pre-2", "pre-3", "pre-4", "pre-5"} {
		w := platformtest.NewWorker(id, "models", "z-b", "prefill")
		t.Cleanup(w.Close)
		w.Register(s.store, "ready")
		extra = append(extra, w)
	}
	ordered := func() []wire.Order {
		var all []wire.Order
		for _, w := range append(extra, s.workers["pre-1"]) {
			if got := w.Orders(); len(got) > 1 {
				t.Fatalf("%s got %d orders", w.ID, len(got))
			}
			all = append(all, w.Orders()...)
		}
		return all
	}
	s.await("an engine ordered", func() bool { return len(ordered()) > 0 })
	for _, order := range ordered() {
		if first := ordered()[0]; order.Holder != first.Holder || order.Fence != first.Fence || order.Stage != "decode" {
			t.Fatalf("orders %+v", ordered())
		}
	}
}
