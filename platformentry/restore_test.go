package platformentry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

// When the store comes back from an older copy, upstreams that have left since get nothing
// new, those that have come since stay in use, the configuration does not revert, and hosts
// are listed again.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	d := newDeployment(t, 2)
	host := d.hosts[0]
	d.configure(2, "ledger")
	d.store.Copy()
	// Since the copy: one upstream drains, one is removed, one comes, the route moves, and
	// a host starts.
	led1, led2 := d.workers["led-1"], d.workers["led-2"]
	led3 := platformtest.NewWorker("led-3", "ledger", "z-a", "")
	t.Cleanup(led3.Close)
	d.workers["led-3"] = led3
	led3.Register(d.store, "ready")
	led1.Register(d.store, "draining")
	d.store.Delete(wire.TableUpstreams, led2.ID)
	// ranOn returns the upstreams that ran some requests.
	ranOn := func() map[string]bool {
		ran := map[string]bool{}
		for range 30 {
			got := d.send(host, "GET", "/status/x", nil)
			if got.status != http.StatusOK {
				t.Fatalf("status %d, body %q", got.status, got.body)
			}
			ran[strings.Fields(got.body)[2]] = true
		}
		return ran
	}
	onlyThird := func() bool {
		ran := ranOn()
		return len(ran) == 1 && ran["led-3"]
	}
	d.waitFor("the changes of upstreams are known", onlyThird)
	late := d.startHost("host-3", "z-a")
	d.configure(3, "newer")
	listed := func() bool {
		_, ok := d.store.Row("hosts", string(late.settings.Host))
		return ok
	}
	d.waitFor("the late host is listed", listed)
	d.waitFor("the change is applied", func() bool {
		return strings.Contains(d.send(host, "GET", "/status/x", nil).body, "answer of new-1")
	})
	d.store.SetMode(platformtest.StoreBusy)
	d.store.Restore()
	d.store.Put("other", "x", 1)
	d.store.SetMode(platformtest.StoreUp)
	time.Sleep(500 * time.Millisecond)
	if got := d.send(host, "GET", "/status/x", nil); got.status != http.StatusOK || !strings.Contains(got.body, "answer of new-1") {
		t.Errorf("status %d, body %q, want the configuration to stay", got.status, got.body)
	}
	// The operator and the upstreams write again; the entry of led-2 is not removed yet.
	led1.Register(d.store, "draining")
	led3.Register(d.store, "ready")
	d.configure(4, "ledger")
	d.waitFor("the next change is applied", func() bool {
		return strings.Contains(d.send(host, "GET", "/status/x", nil).body, "answer of led-")
	})
	if !onlyThird() {
		t.Errorf("requests ran on %v, want led-3 only", ranOn())
	}
	d.waitFor("the late host is listed again", listed)
}
