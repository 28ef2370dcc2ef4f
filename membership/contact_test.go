package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Hosts that grant parts of quotas stop if they hear nobody for a second or are suspected. A host
// that was cut off told all others that it held them for dead, so that none granted anything.
func TestContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 40)
		time.Sleep(20 * time.Second)
		// silent and suspected count the samples in which a host would not grant, at most is the
		// greatest number of hosts of one sample that would not as they are suspected.
		sample := func(seconds int) (silent, suspected, most, samples int) {
			for range 10 * seconds {
				time.Sleep(100 * time.Millisecond)
				now := 0
				for i := 1; i < 40; i++ {
					h := c.hosts[hostID(i)]
					heard, told := h.Contact()
					samples++
					if heard > time.Second {
						silent++
					}
					if told < 2*time.Second {
						now++
					}
				}
				suspected, most = suspected+now, max(most, now)
			}
			return silent, suspected, most, samples
		}
		if silent, suspected, _, samples := sample(20); silent > samples/50 || suspected > 0 {
			t.Errorf("of %d samples of a healthy cluster, %d are silent and %d suspected", samples, silent, suspected)
		}
		c.setLinks(0, func(from, to domain.HostID) bool { return from == hostID(0) || to == hostID(0) })
		time.Sleep(20 * time.Second)
		if heard, _ := c.hosts[hostID(0)].Contact(); heard < 18*time.Second {
			t.Errorf("the host that is cut off heard another one %v ago", heard)
		}
		c.setLinks(0, func(_, _ domain.HostID) bool { return false })
		silent, suspected, most, samples := sample(20)
		t.Logf("after the cut, of %d samples %d are silent and %d suspected, of 39 hosts at most %d", samples, silent, suspected, most)
		if most > 20 {
			t.Errorf("%d of 39 hosts took themselves for suspected after one host had been cut off", most)
		}
	})
}

// A host that others suspect must learn it from those that are in touch, and only about its current
// incarnation.
func TestContactOfSuspectedHost(t *testing.T) {
	m := New(Config{Self: domain.Member{ID: "a", Incarnation: 5}})
	tell := func(from domain.HostID, update domain.Member) bool {
		m.suspectedAt = -neverAgo
		_, _ = m.Probe(context.Background(), ports.ProbeMessage{From: from, Updates: []domain.Member{update}})
		_, suspected := m.Contact()
		return suspected < time.Second
	}
	m.applyListed("b", ports.ListedHost{Name: "b", PeerAddress: "10.0.0.1:1"}, time.Now())
	if !tell("b", domain.Member{ID: "a", State: domain.MemberSuspect, Incarnation: m.self.Incarnation}) {
		t.Error("a suspicion of an alive host was not noted")
	}
	if tell("b", domain.Member{ID: "a", State: domain.MemberSuspect, Incarnation: m.self.Incarnation - 1}) {
		t.Error("a suspicion that was refuted was noted")
	}
	if tell("b", domain.Member{ID: "a", State: domain.MemberDead}) || tell("c", domain.Member{ID: "a", State: domain.MemberDead, Incarnation: m.self.Incarnation}) {
		t.Error("a host that does not know this one, or that this one does not know, counts")
	}
}
