package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// Each host is probed often by some other one, whatever the random rotations
// choose: a host that ends is not overlooked for long.
func TestNoHostGoesUnprobedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, settle, watched = 87, 30 * time.Second, 60 * time.Second
		limit := 3 * DefaultPeriod
		c := newCluster(t, hosts)
		time.Sleep(settle)
		last := make(map[domain.HostID]time.Time)
		for i := range hosts {
			last[hostID(i)] = time.Now()
		}
		var longest time.Duration
		c.mu.Lock()
		c.probed = func(id domain.HostID) {
			longest = max(longest, time.Since(last[id]))
			last[id] = time.Now()
		}
		c.mu.Unlock()
		time.Sleep(watched)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, at := range last {
			longest = max(longest, time.Since(at))
		}
		if longest > limit {
			t.Fatalf("a host was not probed for %s, want at most %s", longest, limit)
		}
	})
}

// A host ends just before its neighbor on the ring does. The first one is suspect for
// seconds; the second one must not wait for that.
func TestNeighborBehindASuspectIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, settle = 40, 30 * time.Second
		c := newCluster(t, hosts)
		time.Sleep(settle)
		m := c.hosts[hostID(0)]
		m.mu.Lock()
		first, _ := m.neighbor()
		m.records[first].member.State = domain.MemberSuspect
		second, ok := m.neighbor()
		m.mu.Unlock()
		if !ok || second == first {
			t.Fatalf("a host goes on probing %s, which is suspect, and not the one behind it", first)
		}
	})
}
