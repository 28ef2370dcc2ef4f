package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// In a fleet of 87 hosts no view may show a host as alive 5 s after it crashed. This
// guards the immediate announcement by hosts that learn of a crash: hosts of a large
// fleet directed callers to a host 7 s after it had crashed.
func TestEndOfAHostIsKnownEverywhereSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, settle, limit = 87, 30 * time.Second, 5 * time.Second
		c := newCluster(t, hosts)
		time.Sleep(settle)
		var slowest time.Duration
		for victim := range 12 {
			c.mu.Lock()
			c.hosts[hostID(victim)].unresponsive = true
			c.mu.Unlock()
			ended := time.Now()
			for c.heldAliveAnywhere(hostID(victim)) && time.Since(ended) < settle {
				time.Sleep(50 * time.Millisecond)
			}
			slowest = max(slowest, time.Since(ended))
		}
		t.Logf("slowest %s", slowest)
		if slowest > limit {
			t.Errorf("a crashed host was still alive in some view after %s, want at most %s", slowest, limit)
		}
	})
}

// heldAliveAnywhere reports whether a host is alive in the view of any responsive host.
func (c *cluster) heldAliveAnywhere(id domain.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.unresponsive {
			continue
		}
		alive := slices.ContainsFunc(h.Members(), func(m domain.Member) bool {
			return m.ID == id && m.State == domain.MemberAlive
		})
		if alive {
			return true
		}
	}
	return false
}
