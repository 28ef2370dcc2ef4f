package membership

import (
	"cmp"
	"slices"

	"greengagespoke/domain"
)

// broadcastQueue is the queue of gossip updates that a host still sends. It holds at most
// one update per member: a new update replaces the older one.
type broadcastQueue struct {
	byID map[domain.HostID]*broadcast
	// lastSequence is the sequence number of the newest update. Among updates that were
	// sent equally often, the newest is sent first.
	lastSequence uint64
}

// broadcast is one queued update and the number of times that it was sent.
type broadcast struct {
	member    domain.Member
	sendCount int
	sequence  uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{byID: make(map[domain.HostID]*broadcast)}
}

// add queues an update, replacing any queued update about the same member.
func (b *broadcastQueue) add(m domain.Member) {
	b.lastSequence++
	b.byID[m.ID] = &broadcast{member: compact(m), sequence: b.lastSequence}
}

// countReceived counts an update received from another host as one send of the same
// queued update, because an update that others spread needs fewer sends from this
// host (feedback with counter; Demers et al., "Epidemic Algorithms for Replicated
// Database Maintenance", PODC 1987). It ignores updates about members that are not
// alive: those are sent the full number of times, because the last hosts to receive
// them would still direct callers to the member.
func (b *broadcastQueue) countReceived(m domain.Member, limit int) {
	if m.State != domain.MemberAlive {
		return
	}
	item, ok := b.byID[m.ID]
	if !ok || item.member.Incarnation != m.Incarnation || item.member.State != m.State {
		return
	}
	item.sendCount++
	if item.sendCount >= limit {
		delete(b.byID, m.ID)
	}
}

// take returns updates with a total estimated size of at most budget bytes, those sent
// least often first, and removes those that have been sent limit times.
func (b *broadcastQueue) take(budget, limit int) []domain.Member {
	if len(b.byID) == 0 {
		return nil
	}
	queue := make([]*broadcast, 0, len(b.byID))
	for _, item := range b.byID {
		queue = append(queue, item)
	}
	slices.SortFunc(queue, func(x, y *broadcast) int {
		return cmp.Or(cmp.Compare(x.sendCount, y.sendCount), cmp.Compare(y.sequence, x.sequence))
	})
	var out []domain.Member
	for _, item := range queue {
		budget -= estimatedBytes(item.member)
		if budget < 0 {
			break
		}
		out = append(out, item.member)
		item.sendCount++
		if item.sendCount >= limit {
			delete(b.byID, item.member.ID)
		}
	}
	return out
}
