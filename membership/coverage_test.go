package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// Every host must be probed regularly, whatever the random rotations of the others
// choose. Otherwise a crash of the host stays undetected for long.
func TestNoHostGoesUnprobedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, settle, watched = 87, 30 * time.Second, 60 * time.Second
		limit := 3 * DefaultProbePeriod
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

// Two hosts that are next to each other on the ring crash shortly after each other.
// The first one stays suspect for seconds, and the second one must be probed meanwhile.
func TestSuccessorOfSuspectIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, settle = 40, 30 * time.Second
		c := newCluster(t, hosts)
		time.Sleep(settle)
		m := c.hosts[hostID(0)]
		m.mu.Lock()
		first, _ := m.ringSuccessor()
		m.records[first].member.State = domain.MemberSuspect
		second, ok := m.ringSuccessor()
		m.mu.Unlock()
		if !ok || second == first {
			t.Fatalf("a host still probes its successor %s, which is suspect, and not the member after it", first)
		}
	})
}
