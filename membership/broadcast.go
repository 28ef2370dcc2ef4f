package membership

import (
	"cmp"
	"slices"

	"greengagespoke/domain"
)

// broadcasts holds the statements that a host still spreads. A new statement
// about a member replaces an older one.
type broadcasts struct {
	byID map[domain.HostID]*broadcast
	// order numbers statements, so that the newest goes first among those sent
	// equally often.
	order uint64
}

type broadcast struct {
	member domain.Member
	sent   int
	order  uint64
}

func newBroadcasts() broadcasts {
	return broadcasts{byID: make(map[domain.HostID]*broadcast)}
}

// add starts spreading a statement.
func (b *broadcasts) add(m domain.Member) {
	b.order++
	b.byID[m.ID] = &broadcast{member: compact(m), order: b.order}
}

// heard notes that another host sent a statement that this one still spreads. What
// others spread already needs fewer sends from here (feedback with counter; Demers
// et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987).
// That a member ended or leaves is sent in full all the same: the last hosts to hear
// of it would send callers there.
func (b *broadcasts) heard(m domain.Member, limit int) {
	if m.State != domain.MemberAlive {
		return
	}
	item, ok := b.byID[m.ID]
	if !ok || item.member.Incarnation != m.Incarnation || item.member.State != m.State {
		return
	}
	item.sent++
	if item.sent >= limit {
		delete(b.byID, m.ID)
	}
}

// take returns statements up to a total estimated size, those sent least often
// first, and forgets those that were sent limit times.
func (b *broadcasts) take(budget, limit int) []domain.Member {
	if len(b.byID) == 0 {
		return nil
	}
	queue := make([]*broadcast, 0, len(b.byID))
	for _, item := range b.byID {
		queue = append(queue, item)
	}
	slices.SortFunc(queue, func(x, y *broadcast) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(y.order, x.order))
	})
	var out []domain.Member
	for _, item := range queue {
		budget -= estimatedSize(item.member)
		if budget < 0 {
			break
		}
		out = append(out, item.member)
		item.sent++
		if item.sent >= limit {
			delete(b.byID, item.member.ID)
		}
	}
	return out
}
