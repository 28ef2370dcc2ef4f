package platformentry_test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

func hostID(name string) domain.HostID { return domain.HostID(name) }
func zoneID(name string) domain.Zone   { return domain.Zone(name) }

// completeStream holds the event IDs of a complete stream.
var completeStream = []string{"1", "2", "3", "4", "5"}

// alwaysFault applies the fault to all requests.
func alwaysFault(fault platformtest.Fault) func(*http.Request) platformtest.Fault {
	return func(*http.Request) platformtest.Fault { return fault }
}

// faultExceptPrefill serves prefill requests and applies the fault to all others.
func faultExceptPrefill(fault platformtest.Fault) func(*http.Request) platformtest.Fault {
	return func(r *http.Request) platformtest.Fault {
		if r.Header.Get(wire.HeaderStage) != "" {
			return platformtest.FaultNone
		}
		return fault
	}
}

func TestRequestsEndToEnd(t *testing.T) {
	d := newDeployment(t, 3)
	for _, h := range d.hosts {
		d.waitFor("all hosts of the zone listed", func() bool { return len(d.addresses(h)) >= 2 })
		filed := d.sendBody(h, "POST", "/filing/a?b=c", nil, "entry")
		if filed.status != 200 || d.executions(filed.id) != 1 || filed.header.Get(wire.HeaderSeal) == "" {
			t.Fatalf("filing: %+v, executed %d times, want status 200, a seal and one execution", filed, d.executions(filed.id))
		}
		read := d.send(h, "GET", "/status/a", nil)
		if read.status != 200 || !strings.Contains(read.body, read.id) {
			t.Fatalf("status: %+v, want status 200 and the request ID in the body", read)
		}
		draft := d.sendBody(h, "POST", "/draft/a", nil, strings.Repeat("x", 30000))
		if draft.status != 200 || draft.err != nil || !slices.Equal(eventIDs(draft.body), completeStream) || d.executions(draft.id) != 1 {
			t.Fatalf("draft: %+v, want a complete stream and one execution", draft)
		}
		if got := d.send(h, "GET", "/nothing/", nil); got.status != http.StatusNotFound {
			t.Fatalf("unknown route: %+v, want status 404", got)
		}
	}
}

// Headers that only the system may set must be dropped from callers' requests.
func TestReservedHeadersFromCallersAreDropped(t *testing.T) {
	d := newDeployment(t, 1)
	forged := http.Header{
		wire.HeaderStage: {"prefill"}, wire.HeaderExpectInstance: {"led-9"}, wire.HeaderKVSource: {"10.0.0.1:1/x"},
		wire.HeaderKVHold: {"h"}, wire.HeaderPin: {"4000"}, wire.HeaderKVBackup: {"10.0.0.1:1"}, "X-Own": {"kept"},
	}
	got := d.send(d.hosts[0], "POST", "/draft/x", forged)
	if got.status != 200 {
		t.Fatalf("response %+v, want status 200", got)
	}
	for _, w := range d.workers {
		h := w.Header(got.id)
		if h == nil {
			continue
		}
		if h.Get(wire.HeaderStage) != "" || h.Get(wire.HeaderPin) != "" || h.Get(wire.HeaderKVBackup) != "" ||
			h.Get(wire.HeaderKVHold) == "h" || strings.HasPrefix(h.Get(wire.HeaderKVSource), "10.") || h.Get("X-Own") != "kept" {
			t.Fatalf("a worker received reserved headers from the caller, or not the caller's own: %v", h)
		}
	}
}

func TestInvalidUpstreamResponses(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []struct {
		name   string
		fault  platformtest.Fault
		status int
	}{
		{"reset", platformtest.FaultReset, http.StatusBadGateway},
		{"cut", platformtest.FaultCut, http.StatusBadGateway},
		{"foreign", platformtest.FaultWrongRequestID, http.StatusBadGateway},
		{"unsealed", platformtest.FaultUnsealed, http.StatusBadGateway},
		{"full", platformtest.FaultReject, http.StatusServiceUnavailable},
		{"failed", platformtest.FaultFailed, http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, id := range []string{"led-1", "led-2"} {
				d.workers[id].SetFault(alwaysFault(c.fault))
			}
			got := d.sendBody(d.hosts[0], "POST", "/filing/x", nil, "entry")
			if got.status != c.status || d.executions(got.id) > 1 {
				t.Fatalf("response %+v, executed %d times, want status %d and at most one execution", got, d.executions(got.id), c.status)
			}
			if got.status == http.StatusServiceUnavailable && (d.executions(got.id) != 0 || got.header.Get(wire.HeaderRetryAfter) == "") {
				t.Fatalf("rejected as not executed, but executed %d times or without Retry-After: %v", d.executions(got.id), got.header)
			}
		})
	}
}

func TestInterruptedStream(t *testing.T) {
	d := newDeployment(t, 1)
	d.workers["dec-1"].SetFault(faultExceptPrefill(platformtest.FaultCut))
	d.workers["dec-2"].SetFault(faultExceptPrefill(platformtest.FaultCut))
	draft := d.send(d.hosts[0], "POST", "/draft/x", nil)
	if draft.err == nil || d.executions(draft.id) != 1 {
		t.Fatalf("a truncated response looks complete: %+v, executed %d times", draft, d.executions(draft.id))
	}
	// A resumable stream is resumed, and the caller receives each event exactly once.
	interrupted := false
	d.workers["dec-1"].SetFault(nil)
	for _, id := range []string{"dec-1", "dec-2"} {
		d.workers[id].SetFault(func(r *http.Request) platformtest.Fault {
			if r.Header.Get(wire.HeaderStage) != "" || interrupted {
				return platformtest.FaultNone
			}
			interrupted = true
			return platformtest.FaultCut
		})
	}
	note := d.send(d.hosts[0], "POST", "/note/x", nil)
	if note.err != nil || !slices.Equal(eventIDs(note.body), completeStream) {
		t.Fatalf("events %v of the resumed stream, %+v", eventIDs(note.body), note)
	}
}

func TestConfigurationChangesAndStoreOutage(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(5, "newer")
	for _, h := range d.hosts {
		d.waitFor("version 5 applied", func() bool {
			return strings.Contains(d.send(h, "GET", "/status/x", nil).body, "new-1")
		})
	}
	d.configure(3, "ledger")
	d.store.DiscardHistory()
	time.Sleep(200 * time.Millisecond)
	for _, h := range d.hosts {
		if got := d.send(h, "GET", "/status/x", nil); !strings.Contains(got.body, "new-1") {
			t.Fatalf("an older version was applied: %+v", got)
		}
	}
	d.store.SetMode(platformtest.StoreSilent)
	if got := d.send(d.hosts[0], "POST", "/draft/x", nil); got.status != 200 {
		t.Fatalf("request not served while the store does not respond: %+v", got)
	}
	d.store.SetMode(platformtest.StoreUp)
	d.configure(9, "ledger")
	for _, h := range d.hosts {
		d.waitFor("version 9 applied", func() bool {
			return strings.Contains(d.send(h, "GET", "/status/x", nil).body, "led-")
		})
	}
}

func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	d := newDeployment(t, 1)
	h := d.hosts[0]
	d.workers["led-1"].Register(d.store, "draining")
	d.waitFor("draining led-1 gets no requests", func() bool {
		for range 5 {
			if strings.Contains(d.send(h, "GET", "/status/x", nil).body, "led-1") {
				return false
			}
		}
		return true
	})
	// Malformed entries must not affect valid ones.
	d.store.PutRaw(wire.TableUpstreams, "bad-1", []byte("{not json"))
	d.store.Put(wire.TableUpstreams, "bad-2", map[string]any{"service": 7, "state": "asleep"})
	d.store.PutRaw(wire.TableOperator, wire.KeyConfig, []byte(`{"version":"x"}`))
	d.workers["led-1"].Register(d.store, "ready")
	d.waitFor("led-1 gets requests again", func() bool { return strings.Contains(d.send(h, "GET", "/status/x", nil).body, "led-1") })
	d.store.Delete(wire.TableUpstreams, "led-1")
	d.waitFor("led-2 gets requests after the removal of led-1", func() bool { return strings.Contains(d.send(h, "GET", "/status/x", nil).body, "led-2") })
}

func TestRequestSizeLimits(t *testing.T) {
	d := newDeployment(t, 1)
	large := d.sendBody(d.hosts[0], "POST", "/filing/x", nil, strings.Repeat("x", 70000))
	if large.status != http.StatusRequestEntityTooLarge || d.executions(large.id) != 0 {
		t.Fatalf("body over the limit: %+v, want status 413 and no execution", large)
	}
	header := http.Header{"X-Long": {strings.Repeat("y", 20000)}}
	long := d.send(d.hosts[0], "GET", "/status/x", header)
	if long.status != http.StatusRequestHeaderFieldsTooLarge || d.executions(long.id) != 0 {
		t.Fatalf("header over the limit: %+v, want status 431 and no execution", long)
	}
}

func TestDisconnectedCallerCancelsEngineWork(t *testing.T) {
	d := newDeployment(t, 1)
	cancelled := make(chan struct{}, 2)
	for _, id := range []string{"dec-1", "dec-2"} {
		d.workers[id].SetFault(func(r *http.Request) platformtest.Fault {
			go func() {
				<-r.Context().Done()
				cancelled <- struct{}{}
			}()
			return platformtest.FaultNoResponse
		})
	}
	client := http.Client{Timeout: 300 * time.Millisecond}
	req, err := http.NewRequest("POST", "http://"+d.hosts[0].settings.Callers+"/draft/x", nil) //nolint:noctx // The client's timeout ends it.
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set(wire.HeaderRequestID, "gone")
	req.Header.Set(wire.HeaderTokenCount, "3000,500")
	if resp, err := client.Do(req); err == nil {
		_ = resp.Body.Close()
		t.Fatal("received a response from an engine that never responds")
	}
	select {
	case <-cancelled:
	case <-time.After(waitTimeout):
		t.Fatal("the engine still works for a disconnected caller")
	}
}

// During a graceful shutdown a host must complete the requests in flight and accept
// new ones for a while, and the other hosts must stop listing it to callers.
func TestGracefulShutdownCompletesStreams(t *testing.T) {
	d := newDeployment(t, 2)
	for _, id := range []string{"dec-1", "dec-2"} {
		// The stream runs longer than a leaving host accepts new requests.
		d.workers[id].SetStream(25, 200*time.Millisecond)
	}
	stopping, other := d.hosts[0], d.hosts[1]
	d.waitFor("both hosts listed", func() bool { return len(d.addresses(other)) == 2 })
	result := make(chan response, 2)
	go func() { result <- d.send(stopping, "POST", "/draft/long", nil) }()
	time.Sleep(300 * time.Millisecond)
	stopping.stop()
	d.waitFor("not ready", func() bool { return d.statusCode("http://"+stopping.settings.Ready+wire.PathReady) != http.StatusOK })
	if late := d.send(stopping, "GET", "/status/late", nil); late.status != 200 {
		t.Fatalf("a caller with a stale address list was rejected: %+v", late)
	}
	d.waitFor("the stopping host no longer listed", func() bool { return slices.Equal(d.addresses(other), []string{other.settings.Callers}) })
	draft := <-result
	select {
	case <-stopping.done:
		t.Fatal("the host stopped before the stream was complete")
	default:
	}
	if draft.err != nil || len(eventIDs(draft.body)) != 25 {
		t.Fatalf("the shutdown interrupted a stream: %d events, %v, want 25 events", len(eventIDs(draft.body)), draft.err)
	}
	select {
	case err := <-stopping.done:
		if err != nil {
			t.Fatalf("the host stopped with an error: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the host did not stop")
	}
}

// Whatever a stopping host takes, it finishes: streams of five seconds arrive through the whole
// stop, after the host has served some. Each of them is complete, or refused as not run with a retry delay, or finds no host.
func TestStreamsTakenDuringAStopAreCompleted(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	for _, id := range []string{"dec-1", "dec-2"} {
		d.workers[id].SetStream(25, 200*time.Millisecond)
	}
	stopping := d.hosts[0]
	var before sync.WaitGroup
	for range 40 {
		before.Go(func() { d.send(stopping, "POST", "/draft/long", nil) })
	}
	before.Wait()
	stopping.stop()
	results := make(chan response, 60)
	began := time.Now()
	sent := 0
	for ; time.Since(began) < 5*time.Second; sent++ {
		go func() {
			got := d.send(stopping, "POST", "/draft/long", nil)
			if took := time.Since(began); got.status == http.StatusOK && took > stopping.settings.DrainLimit {
				t.Errorf("a stream ended %s after the stop, when the process is killed", took)
			}
			results <- got
		}()
		time.Sleep(100 * time.Millisecond)
	}
	complete, refused := 0, 0
	for range sent {
		switch got := <-results; {
		case got.status == http.StatusOK && got.err == nil && len(eventIDs(got.body)) == 25:
			complete++
		case got.status == http.StatusServiceUnavailable && got.header.Get(wire.HeaderRetryAfter) != "":
			refused++
		case got.status != 0:
			t.Errorf("status %d, %d events, %v", got.status, len(eventIDs(got.body)), got.err)
		}
	}
	if complete == 0 || refused == 0 {
		t.Errorf("%d of %d complete, %d refused; want the first ones complete, and later ones refused", complete, sent, refused)
	}
}

// If a service has too many prefill engines, a single host must order some of them to
// become decode engines, each of them once.
func TestEngineRolesAreRebalanced(t *testing.T) {
	d := newDeployment(t, 3)
	var extra []*platformtest.Worker
	for _, id := range []string{"pre-2", "pre-3", "pre-4", "pre-5"} {
		w := platformtest.NewWorker(id, "models", "z-b", "prefill")
		t.Cleanup(w.Close)
		w.Register(d.store, "ready")
		extra = append(extra, w)
	}
	receivedOrders := func() []wire.Order {
		var all []wire.Order
		for _, w := range append(extra, d.workers["pre-1"]) {
			if got := w.Orders(); len(got) > 1 {
				t.Fatalf("%s received %d orders, want at most one", w.ID, len(got))
			}
			all = append(all, w.Orders()...)
		}
		return all
	}
	d.waitFor("an order to an engine", func() bool { return len(receivedOrders()) > 0 })
	for _, order := range receivedOrders() {
		if first := receivedOrders()[0]; order.Holder != first.Holder || order.Fence != first.Fence || order.Stage != "decode" {
			t.Fatalf("orders %+v, want decode orders from one holder with one fencing token", receivedOrders())
		}
	}
}
