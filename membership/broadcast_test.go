package membership

import (
	"testing"

	"greengagespoke/domain"
)

// suspectUpdate returns the gossip update that a member is suspect.
func suspectUpdate(id domain.HostID, incarnation uint64) domain.Member {
	return domain.Member{ID: id, State: domain.MemberSuspect, Incarnation: incarnation}
}

func TestBroadcastsAreBounded(t *testing.T) {
	const limit = 4
	b := newBroadcastQueue()
	size := estimatedBytes(compact(suspectUpdate("a", 1)))
	for _, id := range []domain.HostID{"a", "b", "c"} {
		b.add(suspectUpdate(id, 1))
	}
	sent := make(map[domain.HostID]int)
	for range 20 {
		batch := b.take(2*size, limit)
		if len(batch) > 2 {
			t.Fatalf("%d updates exceed the size limit of two", len(batch))
		}
		for _, m := range batch {
			sent[m.ID]++
		}
	}
	for _, id := range []domain.HostID{"a", "b", "c"} {
		if sent[id] != limit {
			t.Errorf("update about %s was sent %d times, want %d", id, sent[id], limit)
		}
	}
}

// Updates that other hosts already spread must be sent fewer times, except those about
// members that are not alive.
func TestReceivedUpdatesAreSentLess(t *testing.T) {
	const limit = 3
	b := newBroadcastQueue()
	b.add(aliveUpdate("a", 2))
	b.countReceived(aliveUpdate("a", 1), limit)
	b.countReceived(aliveUpdate("b", 2), limit)
	b.countReceived(aliveUpdate("a", 2), limit)
	sent := 0
	for range 10 {
		sent += len(b.take(maxUpdateBytes, limit))
	}
	if sent != limit-1 {
		t.Errorf("sent %d times after receiving the update once, want %d", sent, limit-1)
	}
	b.add(aliveUpdate("a", 3))
	for range limit {
		b.countReceived(aliveUpdate("a", 3), limit)
	}
	if got := b.take(maxUpdateBytes, limit); len(got) != 0 {
		t.Errorf("still sending %v, which other hosts already spread", got)
	}
	// A suspicion is sent the full number of times, whoever else sends it too.
	b.add(suspectUpdate("c", 1))
	for range limit {
		b.countReceived(suspectUpdate("c", 1), limit)
	}
	sent = 0
	for range 10 {
		sent += len(b.take(maxUpdateBytes, limit))
	}
	if sent != limit {
		t.Errorf("a suspicion that was also received was sent %d times, want %d", sent, limit)
	}
}

// aliveUpdate returns the gossip update that a member is alive.
func aliveUpdate(id domain.HostID, incarnation uint64) domain.Member {
	m := suspectUpdate(id, incarnation)
	m.State = domain.MemberAlive
	return m
}
