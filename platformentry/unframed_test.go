package platformentry_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"greengagespoke/platform/platformtest"
)

// A response with neither a length nor chunks is complete when its connection is closed,
// unless that is inside an event, by a reset, or because the upstream's process has ended.
func TestUnframedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		fault platformtest.Fault
		// complete means that the caller must get the whole response, from the first
		// upstream or by a resumption; otherwise it must see that it is not whole.
		complete bool
	}{
		"plain":                     {path: "/filing/x", fault: platformtest.FaultUnframed, complete: true},
		"plain-reset":               {path: "/filing/x", fault: platformtest.FaultUnframedCut},
		"plain-crash":               {path: "/filing/x", fault: platformtest.FaultUnframedCrash},
		"repeatable-crash":          {path: "/status/x", fault: platformtest.FaultUnframedCrash, complete: true},
		"stream":                    {path: "/draft/x", fault: platformtest.FaultUnframed, complete: true},
		"stream-inside-event":       {path: "/draft/x", fault: platformtest.FaultUnframedCut},
		"stream-crash":              {path: "/draft/x", fault: platformtest.FaultUnframedCrash},
		"resumable":                 {path: "/note/x", fault: platformtest.FaultUnframed, complete: true},
		"resumable-inside-event":    {path: "/note/x", fault: platformtest.FaultUnframedCut, complete: true},
		"resumable-crash":           {path: "/note/x", fault: platformtest.FaultUnframedCrash, complete: true},
		"resumable-crash-at-length": {path: "/note/x", fault: platformtest.FaultCrashStreaming, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			first := true
			fault := func(r *http.Request) platformtest.Fault {
				d.mu.Lock()
				defer d.mu.Unlock()
				if !first || r.URL.Path != c.path {
					return platformtest.FaultNone
				}
				first = false
				return c.fault
			}
			for _, w := range d.workers {
				if w.Stage != "prefill" {
					w.SetFault(fault)
				}
			}
			got := d.send(d.hosts[0], "POST", c.path, nil)
			whole := got.status == http.StatusOK && got.err == nil
			if whole != c.complete {
				t.Fatalf("status %d, error %v, body %q; want it to look complete: %t", got.status, got.err, got.body, c.complete)
			}
			if !whole {
				return
			}
			if strings.Contains(got.body, "id: ") {
				if ids := eventIDs(got.body); !slices.Equal(ids, []string{"1", "2", "3", "4", "5"}) {
					t.Errorf("events %v", ids)
				}
			} else if !strings.HasSuffix(got.body, " to "+got.id) {
				t.Errorf("body %q", got.body)
			}
		})
	}
}
