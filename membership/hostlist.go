package membership

import (
	"context"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// pollHostList reads the host list periodically until ctx is canceled.
func (m *Membership) pollHostList(ctx context.Context) {
	if m.cfg.HostList == nil {
		m.ready.Store(true)
		return
	}
	for {
		m.readHostList(ctx)
		if !pause.For(ctx, m.nextHostListDelay()) {
			return
		}
	}
}

// nextHostListDelay returns the time until the next read: the mean interval with a
// jitter of up to 25% either way.
func (m *Membership) nextHostListDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := hostListRetryInterval
	if m.hostListRead {
		mean = max(minHostListInterval, time.Duration(len(m.records))*hostListIntervalPerMember)
	}
	return mean*3/4 + time.Duration(m.rand.Int64N(int64(mean/2)))
}

// readHostList reads the list once and applies the entry hosts on it, which are
// those with a peer address.
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

// applyHostList adds or updates listed hosts and excludes members that are not
// listed. A list that lacks this host itself is stale or broken, so it excludes no
// one.
func (m *Membership) applyHostList(hosts []ports.ListedHost, now time.Time) {
	complete := false
	listed := make(map[domain.HostID]bool, len(hosts))
	for _, h := range hosts {
		id := domain.HostID(h.Name)
		if id == m.self.ID {
			complete = true
			m.applyOwnListing(h)
			continue
		}
		listed[id] = true
		m.applyListed(id, h, now)
	}
	if complete {
		m.excludeUnlisted(listed, now)
	} else {
		m.counts.listErrors.Add(1)
	}
	m.hostListRead = true
	m.publish()
}

// applyListed adds or updates the record of a listed host. Hosts on the first list
// are assumed to be alive unless they are marked as leaving, so that hosts that start
// together agree immediately. Hosts that appear later are suspect until they answer a
// probe or an update about them arrives by gossip.
func (m *Membership) applyListed(id domain.HostID, h ports.ListedHost, now time.Time) {
	r, known := m.records[id]
	if !known {
		r = &record{stateChangedAt: now, member: domain.Member{
			ID:            id,
			Zone:          h.Zone,
			PeerAddress:   h.PeerAddress,
			CallerAddress: h.CallerAddress,
			State:         m.initialListedState(h),
		}}
		m.insert(r)
	}
	r.missingSince, r.excluded = time.Time{}, false
	if !r.verified() {
		r.member.PeerAddress, r.member.CallerAddress = h.PeerAddress, h.CallerAddress
	}
	m.applyLeavingMark(r, h.Leaving && !startedSince(h, r.member))
}

// startedSince reports whether a listed host started again after it stated that it leaves. A store
// may carry out the write of an ended process late.
func startedSince(h ports.ListedHost, member domain.Member) bool {
	return h.Incarnation != 0 && member.Incarnation > h.Incarnation
}

// initialListedState returns the initial state of a host that is only known from the
// host list.
func (m *Membership) initialListedState(h ports.ListedHost) domain.MemberState {
	if m.hostListRead {
		return domain.MemberSuspect
	}
	if h.Leaving {
		return domain.MemberLeaving
	}
	return domain.MemberAlive
}

// applyLeavingMark marks a member as leaving and gossips it if the leaving mark
// appeared on the host list after the member's last restart. Because the list lags,
// a mark that was already there may belong to the member's previous incarnation.
func (m *Membership) applyLeavingMark(r *record, leaving bool) {
	began := leaving && !r.listedLeaving && r.incarnationAtListRead == r.member.Incarnation
	if began && r.verified() && r.member.State == domain.MemberAlive {
		update := r.member
		update.State = domain.MemberLeaving
		m.applyUpdate(r, update)
		m.broadcasts.add(r.member)
	}
	r.listedLeaving, r.incarnationAtListRead = leaving, r.member.Incarnation
}

// excludeUnlisted excludes members that have been missing from the list for longer
// than unlistedGrace, and removes unlisted members that have been dead for longer
// than dropDeadAfter.
func (m *Membership) excludeUnlisted(listed map[domain.HostID]bool, now time.Time) {
	for id, r := range m.records {
		if listed[id] {
			continue
		}
		if r.missingSince.IsZero() {
			r.missingSince = now
		}
		r.excluded = now.Sub(r.missingSince) > unlistedGrace
		if r.member.State == domain.MemberDead && now.Sub(r.stateChangedAt) > dropDeadAfter {
			delete(m.records, id)
		}
	}
}

// applyOwnListing makes this host leave if a leaving mark appears on its host list
// entry. A mark that is there from the first read on may be left over from the
// host's previous run, so it has no effect until a list without the mark was read.
func (m *Membership) applyOwnListing(h ports.ListedHost) {
	if h.Leaving && m.seenListedWithoutMark && !startedSince(h, m.self) {
		m.leaveLocked()
	}
	m.seenListedWithoutMark = m.seenListedWithoutMark || !h.Leaving
}
