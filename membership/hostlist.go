package membership

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// followHostList reads the host list again and again until the context ends.
func (m *Membership) followHostList(ctx context.Context) {
	if m.cfg.HostList == nil {
		m.ready.Store(true)
		return
	}
	for {
		m.readHostList(ctx)
		if !pause.For(ctx, m.hostListGap()) {
			return
		}
	}
}

// hostListGap returns the time to the next read, with jitter.
func (m *Membership) hostListGap() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := hostListRetry
	if m.listRead {
		mean = max(minHostListInterval, time.Duration(len(m.records))*hostListPerMember)
	}
	return mean*3/4 + time.Duration(m.rand.Int64N(int64(mean/2)))
}

// readHostList reads the list once and applies it.
func (m *Membership) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	hosts, err := m.cfg.HostList.Hosts(ctx)
	if err != nil {
		m.counts.listErrors.Add(1)
		return
	}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h ports.ListedHost) bool { return h.PeerAddress == "" })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyHostList(hosts, time.Now())
	if len(m.records) == 0 {
		m.ready.Store(true)
	}
}

// applyHostList adds listed hosts and notes which members are not listed. A list
// without this host is too old or broken to remove anyone.
func (m *Membership) applyHostList(hosts []ports.ListedHost, now time.Time) {
	complete := false
	listed := make(map[domain.HostID]bool, len(hosts))
	for _, h := range hosts {
		id := domain.HostID(h.Name)
		if id == m.self.ID {
			complete = true
			m.noteOwnEntry(h)
			continue
		}
		listed[id] = true
		m.addListed(id, h, now)
	}
	if complete {
		m.noteUnlisted(listed, now)
	} else {
		m.counts.listErrors.Add(1)
	}
	m.listRead = true
	m.publish()
}

// addListed notes a listed host. Hosts on the first list count as alive, so that
// hosts which start together agree at once; hosts that appear later count as
// suspect until they answer or spread by gossip.
func (m *Membership) addListed(id domain.HostID, h ports.ListedHost, now time.Time) {
	r, known := m.records[id]
	if !known {
		r = &record{changed: now, member: domain.Member{
			ID:            id,
			Zone:          h.Zone,
			PeerAddress:   h.PeerAddress,
			CallerAddress: h.CallerAddress,
			State:         m.listedState(h),
		}}
		m.insert(r)
	}
	r.missing, r.excluded = time.Time{}, false
	if !r.verified() {
		r.member.PeerAddress, r.member.CallerAddress = h.PeerAddress, h.CallerAddress
	}
	m.noteMark(r, h.Leaving)
}

// listedState returns the state of a host that is known from the host list only.
func (m *Membership) listedState(h ports.ListedHost) domain.MemberState {
	if m.listRead {
		return domain.MemberSuspect
	}
	if h.Leaving {
		return domain.MemberLeaving
	}
	return domain.MemberAlive
}

// noteMark spreads that a member is leaving where the host list began to say so
// after the member's last restart. A mark that was there before may be left from
// the life before, as the list lags.
func (m *Membership) noteMark(r *record, leaving bool) {
	began := leaving && !r.listLeaving && r.listIncarnation == r.member.Incarnation
	if began && r.verified() && r.member.State == domain.MemberAlive {
		update := r.member
		update.State = domain.MemberLeaving
		m.apply(r, update)
		m.spread.add(r.member)
	}
	r.listLeaving, r.listIncarnation = leaving, r.member.Incarnation
}

// noteUnlisted excludes members that the list does not have and drops those that
// are dead as well.
func (m *Membership) noteUnlisted(listed map[domain.HostID]bool, now time.Time) {
	for id, r := range m.records {
		if listed[id] {
			continue
		}
		if r.missing.IsZero() {
			r.missing = now
		}
		r.excluded = now.Sub(r.missing) > unlistedGrace
		if r.member.State == domain.MemberDead && now.Sub(r.changed) > dropAfter {
			delete(m.records, id)
		}
	}
}

// noteOwnEntry announces leaving where the host list began to mark this host as
// leaving. A mark on the first read may be left from the life before.
func (m *Membership) noteOwnEntry(h ports.ListedHost) {
	if h.Leaving && m.ownUnmarked {
		m.leave()
	}
	m.ownUnmarked = m.ownUnmarked || !h.Leaving
}
