package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Hosts that grant parts of quotas stop if they hear nobody for a second or are suspected. A healthy
// host must not take itself for cut off or suspected, and one that is cut off must notice. After it
// is back, hosts learn that it held them for dead, for a short part of the time.
func TestContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 40)
		time.Sleep(20 * time.Second)
		// sample counts how often hosts would not grant, as they hear nobody or are suspected.
		sample := func() (silent, suspected, samples int) {
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				for i := 1; i < 40; i++ {
					h := c.hosts[hostID(i)]
					heard, told := h.Contact()
					samples++
					if heard > time.Second {
						silent++
					}
					if told < 2*time.Second {
						suspected++
					}
				}
			}
			return silent, suspected, samples
		}
		if silent, suspected, samples := sample(); silent > samples/50 || suspected > 0 {
			t.Errorf("of %d samples of a healthy cluster, %d are silent and %d suspected", samples, silent, suspected)
		}
		c.setLinks(0, func(from, to domain.HostID) bool { return from == hostID(0) || to == hostID(0) })
		time.Sleep(20 * time.Second)
		if heard, _ := c.hosts[hostID(0)].Contact(); heard < 18*time.Second {
			t.Errorf("the host that is cut off heard another one %v ago", heard)
		}
		c.setLinks(0, func(_, _ domain.HostID) bool { return false })
		silent, suspected, samples := sample()
		t.Logf("after the cut, of %d samples %d are silent and %d suspected", samples, silent, suspected)
		if suspected == 0 || suspected > samples/5 {
			t.Errorf("%d of %d samples are suspected", suspected, samples)
		}
	})
}

// A suspicion that was refuted, or of a host that does not know this one yet, must not count.
func TestContactOfSuspectedHost(t *testing.T) {
	m := New(Config{Self: domain.Member{ID: "a", Incarnation: 5}})
	tell := func(from domain.HostID, update domain.Member) bool {
		m.suspectedAt = -neverAgo
		_, _ = m.Probe(context.Background(), ports.ProbeMessage{From: from, Updates: []domain.Member{update}})
		_, suspected := m.Contact()
		return suspected < time.Second
	}
	if !tell("b", domain.Member{ID: "a", State: domain.MemberSuspect, Incarnation: m.self.Incarnation}) {
		t.Error("a suspicion of an alive host was not noted")
	}
	if tell("b", domain.Member{ID: "a", State: domain.MemberSuspect, Incarnation: m.self.Incarnation - 1}) {
		t.Error("a suspicion that was refuted was noted")
	}
	if tell("b", domain.Member{ID: "a", State: domain.MemberDead}) {
		t.Error("a host that does not know this one counts")
	}
}
