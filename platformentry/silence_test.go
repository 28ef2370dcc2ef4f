package platformentry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
)

const (
	// silence is how long sound upstreams say nothing, again and again with a pause.
	silence      = 1200 * time.Millisecond
	silencePause = 800 * time.Millisecond
	silences     = 3
)

// Requests to sound upstreams that all fall silent for a second must be answered, and run once.
func TestSilentUpstreamsAreNotLost(t *testing.T) {
	c := &cutTrial{t: t, hosts: 3, cut: 3, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	over := make(chan struct{})
	var callers sync.WaitGroup
	for i, h := range c.d.hosts {
		for _, path := range []string{"/filing/", "/status/", "/draft/", "/note/"} {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-over:
						return
					default:
					}
					got := c.d.sendBody(h, "POST", fmt.Sprint(path, n), nil, fmt.Sprint("body ", i, n))
					if got.status != http.StatusOK || got.err != nil {
						t.Errorf("%s: status %d %s, %v", path, got.status, got.body, got.err)
					}
					if ran := c.d.executions(got.id); ran > 1 && path != "/status/" && path != "/note/" {
						t.Errorf("%s: ran %d times", path, ran)
					}
					time.Sleep(cutGap)
				}
			})
		}
	}
	for range silences {
		time.Sleep(silencePause)
		c.set(platformtest.LinkPause, func(string) bool { return true })
		time.Sleep(silence)
		c.set(platformtest.LinkOpen, func(string) bool { return true })
	}
	close(over)
	callers.Wait()
}
