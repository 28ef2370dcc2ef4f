package platformentry_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
)

// drainReadTime is the time within which a host reads that an upstream drains.
const drainReadTime = 700 * time.Millisecond

// A response with neither a length nor chunks is complete when its connection is closed,
// unless that is inside an event, by a reset, or because the upstream's process has ended.
func TestUnframedResponses(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		fault platformtest.Fault
		// complete means that the caller must get the whole response, from the first
		// upstream or by a resumption; otherwise it must see that it is not whole.
		complete bool
		// drains means that the upstream reports before that it leaves.
		drains bool
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
		"plain-leaving":             {path: "/filing/x", fault: platformtest.FaultUnframed, complete: true, drains: true},
		"plain-leaving-exit":        {path: "/filing/x", fault: platformtest.FaultUnframedCrash, drains: true},
		"stream-leaving-exit":       {path: "/draft/x", fault: platformtest.FaultUnframedCrash, drains: true},
		"resumable-leaving-exit":    {path: "/note/x", fault: platformtest.FaultUnframedCrash, complete: true, drains: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			first := true
			for _, w := range d.workers {
				if w.Stage == "prefill" {
					continue
				}
				w.SetFault(func(r *http.Request) platformtest.Fault {
					d.mu.Lock()
					defer d.mu.Unlock()
					if !first || r.URL.Path != c.path {
						return platformtest.FaultNone
					}
					first = false
					if c.drains {
						w.Register(d.store, "draining")
						time.Sleep(drainReadTime)
					}
					return c.fault
				})
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
