package membership

import (
	"testing"

	"greengagespoke/domain"
)

func statement(id domain.HostID, incarnation uint64) domain.Member {
	return domain.Member{ID: id, State: domain.MemberSuspect, Incarnation: incarnation}
}

func TestBroadcastsAreBounded(t *testing.T) {
	const limit = 4
	b := newBroadcasts()
	size := estimatedSize(compact(statement("a", 1)))
	for _, id := range []domain.HostID{"a", "b", "c"} {
		b.add(statement(id, 1))
	}
	sent := make(map[domain.HostID]int)
	for range 20 {
		batch := b.take(2*size, limit)
		if len(batch) > 2 {
			t.Fatalf("%d statements exceed the bytes of two", len(batch))
		}
		for _, m := range batch {
			sent[m.ID]++
		}
	}
	for _, id := range []domain.HostID{"a", "b", "c"} {
		if sent[id] != limit {
			t.Errorf("statement about %s was sent %d times, want %d", id, sent[id], limit)
		}
	}
}

func TestHeardStatementsAreSentLess(t *testing.T) {
	const limit = 3
	b := newBroadcasts()
	b.add(living("a", 2))
	b.heard(living("a", 1), limit)
	b.heard(living("b", 2), limit)
	b.heard(living("a", 2), limit)
	sent := 0
	for range 10 {
		sent += len(b.take(maxUpdateBytes, limit))
	}
	if sent != limit-1 {
		t.Errorf("sent %d times after hearing the statement once, want %d", sent, limit-1)
	}
	b.add(living("a", 3))
	for range limit {
		b.heard(living("a", 3), limit)
	}
	if got := b.take(maxUpdateBytes, limit); len(got) != 0 {
		t.Errorf("still spreading %v, which others spread already", got)
	}
	// That a member may have ended is sent in full, whoever else says so.
	b.add(statement("c", 1))
	for range limit {
		b.heard(statement("c", 1), limit)
	}
	sent = 0
	for range 10 {
		sent += len(b.take(maxUpdateBytes, limit))
	}
	if sent != limit {
		t.Errorf("a suspicion that was heard was sent %d times, want %d", sent, limit)
	}
}

// living is the statement that a member is alive.
func living(id domain.HostID, incarnation uint64) domain.Member {
	m := statement(id, incarnation)
	m.State = domain.MemberAlive
	return m
}
