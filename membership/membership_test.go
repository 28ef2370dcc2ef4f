package membership

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// large adds the planned fleet size of 340 hosts to the tests that are slow at that size.
var large = flag.Bool("large", false, "also test crash, partition and heal with 340 hosts")

func withLarge(sizes ...int) []int {
	if *large {
		return append(sizes, 340)
	}
	return sizes
}

// maxTimeToFirstProbe bounds the time until some host probes a given host. In each
// period each of the other hosts picks it with probability 1/(n-1), so the probability
// that none has falls by a factor of e per period, to 1 in 10 million after 16 periods.
const maxTimeToFirstProbe = 16 * DefaultProbePeriod

// maxSpreadTime bounds the time until a gossip update reaches all of n hosts. Each
// exchange carries it both ways, so the number of hosts that have it at least doubles
// every period. The factor of 3 allows for the last hosts.
func maxSpreadTime(n int) time.Duration {
	return time.Duration(3*log2(n)) * DefaultProbePeriod
}

// maxColdStartTime bounds the time until n hosts that start together know each other.
// A host takes part in two full view syncs per round, so that the number of hosts it
// knows triples. One more round allows for the last hosts. The interval between
// rounds doubles.
func maxColdStartTime(n int) time.Duration {
	rounds := 1
	for known := 1; known < n; known *= 3 {
		rounds++
	}
	return max(maxSpreadTime(n), initialSyncInterval<<(rounds-1))
}

// maxDetectionTime bounds the time from a crash until the member is dead in the views
// of all n hosts.
func maxDetectionTime(n int) time.Duration {
	suspicion := time.Duration(SuspicionPeriods(n)) * DefaultProbePeriod
	return maxTimeToFirstProbe + DefaultProbePeriod + 2*suspicion + 2*maxSpreadTime(n)
}

// hostListInterval returns the mean interval between reads of the host list in a view
// of n members.
func hostListInterval(n int) time.Duration {
	return max(minHostListInterval, time.Duration(n)*hostListIntervalPerMember)
}

func TestColdStartAndCrash(t *testing.T) {
	for _, n := range withLarge(3, 9, 40) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, n)
			c.await("all alive", maxColdStartTime(n), c.converged)
			time.Sleep(20 * time.Second)
			victim := hostID(n / 2)
			c.kill(victim)
			c.await("alive in no view", maxTimeToFirstProbe+DefaultProbePeriod+maxSpreadTime(n), func() bool {
				return c.states(victim)[domain.MemberAlive] == 0
			})
			c.await("dead everywhere", maxDetectionTime(n), func() bool {
				return c.states(victim)[domain.MemberDead] == n-1
			})
			c.list.remove(victim)
			c.await("dropped everywhere", dropDeadAfter+3*hostListInterval(n), func() bool {
				return c.states(victim)["unknown"] == n-1
			})
			if !c.converged() {
				t.Error("another host is not alive in every view")
			}
		})
	}
}

func TestNoFalseDeathsUnderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.setLinks(0.01, nil)
		c.await("all alive", maxColdStartTime(n), c.converged)
		time.Sleep(20 * time.Minute)
		for i := range n {
			if deaths := c.hosts[hostID(i)].counters.Int(defDeaths).Value(); deaths != 0 {
				t.Errorf("%s declared %d hosts dead", hostID(i), deaths)
			}
		}
	})
}

func TestJoinDuringLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 40
		c := newCluster(t, n)
		c.setLinks(0.01, nil)
		c.await("all alive", maxColdStartTime(n), c.converged)
		// The host list lags: the new host knows the others before they see it listed.
		joiner := hostID(n)
		c.start(joiner)
		c.await("joined", 2*maxSpreadTime(n), c.converged)
		c.list.set(joiner, listed(joiner))
		time.Sleep(2 * unlistedGrace)
		if got := c.states(joiner)[domain.MemberAlive]; got != n {
			t.Errorf("the new host is alive in %d of %d views", got, n)
		}
	})
}

func TestRestartUnderTheSameName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", maxColdStartTime(n), c.converged)
		id := hostID(4)
		before := c.hosts[id].Self().Incarnation
		c.kill(id)
		time.Sleep(500 * time.Millisecond)
		again := c.start(id)
		c.await("the new incarnation is known", maxDetectionTime(n), func() bool {
			return c.converged() && again.Self().Incarnation > before
		})
	})
}

// A host restarts after its clock went back, so that its incarnation starts below the
// one that the others remember. It must raise its incarnation above that.
func TestOldClockAfterRestart(t *testing.T) {
	m := New(Config{Self: domain.Member{ID: "a", Incarnation: 5}})
	m.merge([]domain.Member{{ID: "a", Incarnation: 900, State: domain.MemberAlive}}, fromSync)
	if got := m.Self().Incarnation; got != 901 {
		t.Errorf("incarnation %d, want 901", got)
	}
}

func TestPausedHostRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", maxColdStartTime(n), c.converged)
		id := hostID(2)
		c.setUnresponsive(id, true)
		c.await("dead everywhere", maxDetectionTime(n), func() bool {
			return c.states(id)[domain.MemberDead] == n-1
		})
		c.setUnresponsive(id, false)
		c.await("alive again", deadProbePeriods*DefaultProbePeriod+4*maxSpreadTime(n), c.converged)
	})
}

func TestPartitionHeals(t *testing.T) {
	for _, n := range withLarge(9, 40) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, n)
			c.await("all alive", maxColdStartTime(n), c.converged)
			onFarSide := func(id domain.HostID) bool { return id >= hostID(n/2) }
			c.setLinks(0.01, func(from, to domain.HostID) bool { return onFarSide(from) != onFarSide(to) })
			c.await("both sides see each other as dead", maxDetectionTime(n)+time.Duration(2*n)*DefaultProbePeriod, func() bool {
				return c.states(hostID(0))[domain.MemberDead] == n-n/2 && c.states(hostID(n - 1))[domain.MemberDead] == n/2
			})
			time.Sleep(10 * time.Minute)
			c.setLinks(0.01, func(_, _ domain.HostID) bool { return false })
			c.await("views converged", deadProbePeriods*DefaultProbePeriod+2*maxSpreadTime(n), c.converged)
		})
	}
}

func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 40
		c := newCluster(t, n)
		c.setLinks(0.01, nil)
		c.await("all alive", maxColdStartTime(n), c.converged)
		id := hostID(7)
		c.hosts[id].Leave()
		c.await("leaving everywhere", maxSpreadTime(n), func() bool {
			return c.states(id)[domain.MemberLeaving] == n-1
		})
		time.Sleep(5 * time.Minute)
		if got := c.states(id)[domain.MemberLeaving]; got != n-1 {
			t.Errorf("the host is leaving in %d of %d views", got, n-1)
		}
	})
}

// The store may carry out the last write of an ended process after its host has started again, so that
// the others read that it leaves. The host must stay in use: it would be out of service for good.
func TestLeavingMarkOfAnEndedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", maxColdStartTime(n), c.converged)
		id := hostID(4)
		ended := c.hosts[id].Self().Incarnation
		c.kill(id)
		time.Sleep(time.Second)
		c.start(id)
		c.await("alive again", maxDetectionTime(n)+maxSpreadTime(n), c.converged)
		time.Sleep(3 * hostListInterval(n)) // All have read the list without the mark.
		entry := listed(id)
		entry.Leaving, entry.Incarnation = true, ended
		c.list.set(id, entry)
		time.Sleep(10 * hostListInterval(n))
		if !c.converged() || c.hosts[id].Self().State != domain.MemberAlive {
			t.Errorf("the host that started again is %s by itself, in the views of the others: %v", c.hosts[id].Self().State, c.states(id))
		}
	})
}

func TestHostListIsTheAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", maxColdStartTime(n), c.converged)
		unlisted, marked := hostID(1), hostID(2)
		c.list.remove(unlisted)
		entry := listed(marked)
		entry.Leaving = true
		c.list.set(marked, entry)
		c.await("marked host leaves", 3*minHostListInterval, func() bool {
			return c.states(marked)[domain.MemberLeaving] == n-1 &&
				c.hosts[marked].Self().State == domain.MemberLeaving
		})
		c.await("unlisted host receives no new work", unlistedGrace+3*minHostListInterval, func() bool {
			return c.states(unlisted)[domain.MemberLeaving] == n-1
		})
		// A list that lacks the host that reads it excludes no member.
		for i := range n {
			c.list.remove(hostID(i))
		}
		time.Sleep(3 * unlistedGrace)
		if got := c.states(hostID(5))[domain.MemberAlive]; got != n-1 {
			t.Errorf("the host is alive in %d of %d views after an empty list", got, n-1)
		}
	})
}
