package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// In a fleet of 87 hosts nobody names a host that ended 5 s ago: hosts that hear of
// it pass that on at once (hunt-33ad-3 and 7 of the grown sine site named one after
// 7 s).
func TestEndOfAHostIsKnownEverywhereSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, settle, limit = 87, 30 * time.Second, 5 * time.Second
		c := newCluster(t, hosts)
		time.Sleep(settle)
		var slowest time.Duration
		for victim := range 12 {
			c.mu.Lock()
			c.hosts[hostID(victim)].away = true
			c.mu.Unlock()
			ended := time.Now()
			for c.named(hostID(victim)) && time.Since(ended) < settle {
				time.Sleep(50 * time.Millisecond)
			}
			slowest = max(slowest, time.Since(ended))
		}
		t.Logf("slowest %s", slowest)
		if slowest > limit {
			t.Errorf("a host that ended was still named after %s, want at most %s", slowest, limit)
		}
	})
}

// named reports whether any live host takes another one for alive.
func (c *cluster) named(id domain.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.away {
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
