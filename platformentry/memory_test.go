package platformentry_test

import (
	"math"
	"net/http"
	"runtime/debug"
	"strings"
	"testing"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/settings"
	"greengagespoke/platformentry"
)

// Guards against a memory limit of the settings that bodies of requests, at the listener for callers,
// are not bounded by, and against small calls that are refused for it.
func TestMemoryLimitOfTheSettingsBoundsBodies(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	limited := d.hosts[0].settings
	limited.Host, limited.MemoryBytes = "host-2", 256<<10
	limited.Callers, limited.Ready, limited.Directory, limited.Peers = d.freeAddress(), d.freeAddress(), d.freeAddress(), d.freeAddress()
	h := d.runHost(&limited)
	d.waitFor("host ready", func() bool { return d.send(h, http.MethodPost, "/filing/x", nil).status == http.StatusOK })
	body := strings.Repeat("x", platformtest.BodyLimit)
	if got := d.sendBody(d.hosts[0], http.MethodPost, "/filing/x", nil, body); got.status != http.StatusOK {
		t.Errorf("without a limit: %+v, want the answer", got)
	}
	got := d.sendBody(h, http.MethodPost, "/filing/x", nil, body)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "no_memory") || d.executions(got.id) != 0 {
		t.Errorf("status %d, %q, %d runs, %v; want a refusal for memory that did not run", got.status, got.body, d.executions(got.id), got.err)
	}
	if got := d.sendBody(h, http.MethodPost, "/filing/x", nil, body[:10_000]); got.status != http.StatusOK {
		t.Errorf("a small body: status %d, %v", got.status, got.err)
	}
}

// Guards against a runtime that does not know the memory limit, and against one that is changed where the
// settings state none.
func TestRuntimeFollowsTheMemoryLimit(t *testing.T) {
	before := debug.SetMemoryLimit(math.MaxInt64)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	s := &settings.Settings{Host: "host-1", Zone: "z-a", StoreAddress: "127.0.0.1:1", IP: "127.0.0.1"}
	platformentry.New(s, 0)
	if got := debug.SetMemoryLimit(-1); got != math.MaxInt64 {
		t.Errorf("limit of the runtime %d without a limit in the settings", got)
	}
	s.MemoryBytes = 112 << 20
	platformentry.New(s, 0)
	if got := debug.SetMemoryLimit(-1); got != 84<<20 {
		t.Errorf("limit of the runtime %d, want three quarters of %d", got, s.MemoryBytes)
	}
}
