package membership

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
)

// large adds the planned size of a fleet to the tests that take long at that size.
var large = flag.Bool("large", false, "also test crash, partition and heal with 340 hosts")

func withLarge(sizes ...int) []int {
	if *large {
		return append(sizes, 340)
	}
	return sizes
}

// firstProbe bounds the time until some host probes a given one. In each period
// each of the others picks it with probability 1/(n-1), so that the chance that
// nobody did falls by e each period: 16 periods leave 1 in 10 million.
const firstProbe = 16 * DefaultPeriod

// spreading bounds the time in which a statement reaches all of n hosts. Each
// exchange carries it both ways, so the number of hosts that have it at least
// doubles every period; the rest allows for late comers.
func spreading(n int) time.Duration {
	return time.Duration(3*log2(n)) * DefaultPeriod
}

// coldStart bounds the time until n hosts that start together know each other. A
// host takes part in two comparisons of full views per round, so that what it knows
// triples; one more round allows for late comers. The time to a round doubles.
func coldStart(n int) time.Duration {
	rounds := 1
	for known := 1; known < n; known *= 3 {
		rounds++
	}
	return max(spreading(n), firstSync<<(rounds-1))
}

// detection bounds the time from a crash until all of n hosts hold the member
// dead.
func detection(n int) time.Duration {
	suspicion := time.Duration(SuspicionPeriods(n)) * DefaultPeriod
	return firstProbe + DefaultPeriod + 2*suspicion + 2*spreading(n)
}

// listInterval is the mean time between reads of the host list in a view of n.
func listInterval(n int) time.Duration {
	return max(minHostListInterval, time.Duration(n)*hostListPerMember)
}

func TestColdStartAndCrash(t *testing.T) {
	for _, n := range withLarge(3, 9, 40) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, n)
			c.await("all alive", coldStart(n), c.all)
			time.Sleep(20 * time.Second)
			victim := hostID(n / 2)
			c.kill(victim)
			c.await("nobody holds it alive", firstProbe+DefaultPeriod+spreading(n), func() bool {
				return c.states(victim)[domain.MemberAlive] == 0
			})
			c.await("dead everywhere", detection(n), func() bool {
				return c.states(victim)[domain.MemberDead] == n-1
			})
			c.list.remove(victim)
			c.await("dropped everywhere", dropAfter+3*listInterval(n), func() bool {
				return c.states(victim)["unknown"] == n-1
			})
			if !c.all() {
				t.Error("another host is not held alive")
			}
		})
	}
}

func TestNoFalseDeathsUnderLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.setLinks(0.01, nil)
		c.await("all alive", coldStart(n), c.all)
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
		c.await("all alive", coldStart(n), c.all)
		// The host list lags: the new host knows of the others before they see it.
		joiner := hostID(n)
		c.start(joiner)
		c.await("joined", 2*spreading(n), c.all)
		c.list.set(joiner, listed(joiner))
		time.Sleep(2 * unlistedGrace)
		if got := c.states(joiner)[domain.MemberAlive]; got != n {
			t.Errorf("%d of %d hosts hold the new host alive", got, n)
		}
	})
}

func TestRestartUnderTheSameName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", coldStart(n), c.all)
		id := hostID(4)
		before := c.hosts[id].Self().Incarnation
		c.kill(id)
		time.Sleep(500 * time.Millisecond)
		again := c.start(id)
		c.await("the new incarnation is known", detection(n), func() bool {
			return c.all() && again.Self().Incarnation > before
		})
	})
}

// TestOldClockAfterRestart restarts a host whose clock went back, so that its
// incarnation starts below the one that the others remember.
func TestOldClockAfterRestart(t *testing.T) {
	m := New(Config{Self: domain.Member{ID: "a", Incarnation: 5}})
	m.merge([]domain.Member{{ID: "a", Incarnation: 900, State: domain.MemberAlive}}, fromSync)
	if got := m.Self().Incarnation; got != 901 {
		t.Errorf("incarnation %d, want 901", got)
	}
}

func TestPausedHostComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", coldStart(n), c.all)
		id := hostID(2)
		c.setAway(id, true)
		c.await("dead everywhere", detection(n), func() bool {
			return c.states(id)[domain.MemberDead] == n-1
		})
		c.setAway(id, false)
		c.await("alive again", deadRetryPeriods*DefaultPeriod+4*spreading(n), c.all)
	})
}

func TestPartitionHeals(t *testing.T) {
	for _, n := range withLarge(9, 40) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, n)
			c.await("all alive", coldStart(n), c.all)
			far := func(id domain.HostID) bool { return id >= hostID(n/2) }
			c.setLinks(0.01, func(from, to domain.HostID) bool { return far(from) != far(to) })
			c.await("the sides hold each other dead", detection(n)+time.Duration(2*n)*DefaultPeriod, func() bool {
				return c.states(hostID(0))[domain.MemberDead] == n-n/2 && c.states(hostID(n - 1))[domain.MemberDead] == n/2
			})
			time.Sleep(10 * time.Minute)
			c.setLinks(0.01, func(_, _ domain.HostID) bool { return false })
			c.await("one view", deadRetryPeriods*DefaultPeriod+2*spreading(n), c.all)
		})
	}
}

func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 40
		c := newCluster(t, n)
		c.setLinks(0.01, nil)
		c.await("all alive", coldStart(n), c.all)
		id := hostID(7)
		c.hosts[id].Leave()
		c.await("leaving everywhere", spreading(n), func() bool {
			return c.states(id)[domain.MemberLeaving] == n-1
		})
		time.Sleep(5 * time.Minute)
		if got := c.states(id)[domain.MemberLeaving]; got != n-1 {
			t.Errorf("%d of %d hosts hold it leaving", got, n-1)
		}
	})
}

func TestHostListIsTheAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		c := newCluster(t, n)
		c.await("all alive", coldStart(n), c.all)
		gone, marked := hostID(1), hostID(2)
		c.list.remove(gone)
		entry := listed(marked)
		entry.Leaving = true
		c.list.set(marked, entry)
		c.await("marked host leaves", 3*minHostListInterval, func() bool {
			return c.states(marked)[domain.MemberLeaving] == n-1 &&
				c.hosts[marked].Self().State == domain.MemberLeaving
		})
		c.await("host that is not listed takes no new work", unlistedGrace+3*minHostListInterval, func() bool {
			return c.states(gone)[domain.MemberLeaving] == n-1
		})
		// A list that lacks the reader removes nobody, and neither does an outage.
		for i := range n {
			c.list.remove(hostID(i))
		}
		time.Sleep(3 * unlistedGrace)
		if got := c.states(hostID(5))[domain.MemberAlive]; got != n-1 {
			t.Errorf("%d of %d hosts hold a host alive after an empty list", got, n-1)
		}
	})
}
