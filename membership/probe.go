package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// Run joins the other hosts and runs the membership protocol until ctx is canceled.
// It waits for the goroutines that it started, and always returns nil.
func (m *Membership) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { m.pollHostList(ctx) })
	m.mu.Lock()
	offset := time.Duration(m.rand.Int64N(int64(m.cfg.ProbePeriod)))
	m.mu.Unlock()
	if !pause.For(ctx, offset) {
		return nil
	}
	ticker := time.NewTicker(m.cfg.ProbePeriod)
	defer ticker.Stop()
	announced := time.Now()
	last := time.Now()
	m.runPeriod(ctx, &tasks, 0)
	for tick := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-m.announceSignal:
			if !pause.For(ctx, minAnnounceInterval-time.Since(announced)) {
				return nil
			}
			announced = time.Now()
			m.probeAll(ctx, &tasks, m.announceTargets())
		case now := <-ticker.C:
			if now.Sub(last) > pauseThresholdPeriods*m.cfg.ProbePeriod {
				m.resumeAfterPause(now)
			}
			last = now
			m.runPeriod(ctx, &tasks, tick)
			tick++
		}
	}
}

// probeAll starts a probe of each target in a goroutine of its own.
func (m *Membership) probeAll(ctx context.Context, tasks *sync.WaitGroup, targets []target) {
	for _, to := range targets {
		tasks.Go(func() { m.probe(ctx, to) })
	}
}

// runPeriod expires suspicions, then starts the probes of one protocol period and the
// full view sync if one is due.
func (m *Membership) runPeriod(ctx context.Context, tasks *sync.WaitGroup, tick int) {
	m.expireSuspicions(time.Now())
	m.probeAll(ctx, tasks, m.probeTargets(tick))
	if target, ok := m.syncTarget(time.Now()); ok {
		tasks.Go(func() { m.sync(ctx, target) })
	}
}

// resumeAfterPause restarts the suspicion timeouts and the sync schedule after this
// host was paused, because it may have missed answers and refutations.
func (m *Membership) resumeAfterPause(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.pauses.Add(1)
	m.nextSync, m.syncInterval = now, initialSyncInterval
	for _, r := range m.records {
		if r.member.State == domain.MemberSuspect {
			r.stateChangedAt = now
		}
	}
}

// expireSuspicions declares suspect members dead if they have not refuted the
// suspicion within the timeout.
func (m *Membership) expireSuspicions(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := time.Duration(SuspicionPeriods(len(m.records)+1)) * m.cfg.ProbePeriod
	changed := false
	for _, r := range m.records {
		if r.member.State != domain.MemberSuspect || now.Sub(r.stateChangedAt) < timeout {
			continue
		}
		dead := r.member
		dead.State = domain.MemberDead
		m.applyUpdate(r, dead)
		m.broadcasts.add(r.member)
		m.counts.deaths.Add(1)
		changed = true
	}
	if changed {
		m.publish()
	}
}

// target is a member to probe.
type target struct {
	id domain.HostID
	// report is the update that the member may have to refute; nil means this host's
	// own update about the member.
	report *domain.Member
	// wasDead is true if the member was dead in this host's view before the probe.
	wasDead bool
}

// announceTargets returns random alive members for the extra probes of announce.
func (m *Membership) announceTargets() []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []target
	for _, id := range m.randomMembers(announceProbes, "", domain.MemberAlive) {
		out = append(out, target{id: id})
	}
	return out
}

// probeTargets returns the members to probe in this period: the regular target, a
// member that another host reported as suspect or dead, and every deadProbePeriods
// a dead member.
func (m *Membership) probeTargets(tick int) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []target
	if id, ok := m.nextToProbe(tick); ok {
		out = append(out, target{id: id})
	}
	if report, ok := m.nextToVerify(); ok {
		out = append(out, target{id: report.ID, report: &report})
	}
	if tick%deadProbePeriods == deadProbePeriods-1 {
		if id, ok := m.randomMember(domain.MemberDead); ok {
			out = append(out, target{id: id, wasDead: true})
		}
	}
	return out
}

// nextToProbe returns the regular probe target. The ring successor alternates with
// another member: one that is only known from the host list, or else the next of
// the rotation.
func (m *Membership) nextToProbe(tick int) (domain.HostID, bool) {
	if tick%successorProbePeriods == 0 {
		return m.ringSuccessor()
	}
	if id, ok := m.randomUnverified(); ok {
		return id, true
	}
	return m.nextInRotation()
}

// randomUnverified returns a random alive member that is only known from the host
// list, so that its incarnation is unknown.
func (m *Membership) randomUnverified() (domain.HostID, bool) {
	var ids []domain.HostID
	for id, r := range m.records {
		if !r.verified() && r.member.State == domain.MemberAlive {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return ids[m.rand.IntN(len(ids))], true
}

// nextInRotation returns the next member that is not dead, in round-robin order over a
// random permutation.
func (m *Membership) nextInRotation() (domain.HostID, bool) {
	for range 2 {
		for len(m.rotation) > 0 {
			id := m.rotation[0]
			m.rotation = m.rotation[1:]
			if r, ok := m.records[id]; ok && r.member.State != domain.MemberDead {
				return id, true
			}
		}
		m.shuffleRotation()
	}
	return "", false
}

// ringSuccessor returns the member that follows this host on a ring that all hosts
// order the same way. This guarantees the member a regular prober, whatever the
// random rotations of the other hosts choose. It skips suspect members: the member
// after a suspect one would otherwise have no prober until the suspect is dead.
func (m *Membership) ringSuccessor() (domain.HostID, bool) {
	own := m.self.ID.RingPosition()
	var nearest domain.HostID
	var least uint64
	for id, r := range m.records {
		if r.member.State == domain.MemberDead || r.member.State == domain.MemberSuspect {
			continue
		}
		// The unsigned subtraction wraps around the ring.
		if distance := id.RingPosition() - own; nearest == "" || distance < least {
			nearest, least = id, distance
		}
	}
	return nearest, nearest != ""
}

// shuffleRotation fills the rotation with all members in random order.
func (m *Membership) shuffleRotation() {
	m.rotation = make([]domain.HostID, 0, len(m.records))
	for id := range m.records {
		m.rotation = append(m.rotation, id)
	}
	// Map order is random, so sort first to make the result depend only on the seed.
	slices.Sort(m.rotation)
	m.rand.Shuffle(len(m.rotation), func(i, j int) {
		m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i]
	})
}

// nextToVerify removes a random report from unverifiedReports and returns it if it
// still applies: the member has the reported incarnation in this host's view, and a
// state that the reported one would override. It discards reports that do not.
func (m *Membership) nextToVerify() (domain.Member, bool) {
	for len(m.unverifiedReports) > 0 {
		at := m.rand.IntN(len(m.unverifiedReports))
		report := m.unverifiedReports[at]
		m.unverifiedReports = slices.Delete(m.unverifiedReports, at, at+1)
		r, ok := m.records[report.ID]
		if !ok || r.member.Incarnation != report.Incarnation {
			continue
		}
		if statePrecedence(r.member.State) < statePrecedence(report.State) {
			return report, true
		}
	}
	return domain.Member{}, false
}

// randomMember returns a random member in one of the states.
func (m *Membership) randomMember(states ...domain.MemberState) (domain.HostID, bool) {
	ids := m.randomMembers(1, "", states...)
	if len(ids) == 0 {
		return "", false
	}
	return ids[0], true
}

// randomMembers returns at most n random members in one of the states, except the
// given one.
func (m *Membership) randomMembers(n int, without domain.HostID, states ...domain.MemberState) []domain.HostID {
	var ids []domain.HostID
	for id, r := range m.records {
		if id != without && slices.Contains(states, r.member.State) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	m.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// probe probes a member, first directly and then through other members, and marks it
// as suspect if no answer came. It does not if probing exceeded the pause threshold,
// because then this host was probably paused. A member that was already dead is only
// probed directly.
func (m *Membership) probe(ctx context.Context, to target) {
	started := time.Now()
	m.counts.probes.Add(1)
	if m.probeDirect(ctx, to) {
		m.syncIfRecovered(ctx, to)
		return
	}
	m.counts.failed.Add(1)
	if to.wasDead {
		return
	}
	if m.probeIndirect(ctx, to) {
		m.syncIfRecovered(ctx, to)
		return
	}
	if ctx.Err() != nil || time.Since(started) > pauseThresholdPeriods*m.cfg.ProbePeriod {
		return
	}
	m.markSuspect(to.id)
}

// timeout returns the timeout of a direct or an indirect probe.
func (m *Membership) timeout() time.Duration {
	return m.cfg.ProbePeriod * probeTimeoutPercent / 100
}

// probeDirect probes a member and reports whether it answered in time.
func (m *Membership) probeDirect(ctx context.Context, to target) bool {
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	answer, err := m.gossip(to.id).Probe(ctx, m.nextMessage(to.id, to.report))
	if err != nil {
		return false
	}
	m.receive(answer)
	return true
}

// probeIndirect asks a few other members to probe the target and reports whether one
// of them got an answer.
func (m *Membership) probeIndirect(ctx context.Context, to target) bool {
	m.mu.Lock()
	relays := m.randomMembers(indirectProbeRelays, to.id, domain.MemberAlive)
	m.mu.Unlock()
	if len(relays) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	msg := m.nextMessage(to.id, to.report)
	answers := make(chan *ports.ProbeMessage, len(relays))
	for _, relay := range relays {
		m.counts.indirect.Add(1)
		go func() { answers <- m.probeVia(ctx, relay, to.id, msg) }()
	}
	found := false
	for range relays {
		if answer := <-answers; answer != nil {
			found = true
			m.receive(*answer)
			cancel()
		}
	}
	return found
}

// probeVia asks relay to probe a member. It returns the member's answer, or nil if
// there is none.
func (m *Membership) probeVia(ctx context.Context, relay, to domain.HostID, msg ports.ProbeMessage) *ports.ProbeMessage {
	answer, err := m.gossip(relay).ProbeVia(ctx, to, msg)
	if err != nil {
		return nil
	}
	return &answer
}

// syncIfRecovered starts a full view sync with a member that answered although it was
// dead, if enough members are dead that a partition may have ended.
func (m *Membership) syncIfRecovered(ctx context.Context, to target) {
	if !to.wasDead {
		return
	}
	m.mu.Lock()
	heal := m.countDead() >= minPartitionMembers && m.restartSyncs()
	m.mu.Unlock()
	if heal {
		m.sync(ctx, to.id)
	}
}

// countDead returns the number of dead members in the view.
func (m *Membership) countDead() int {
	n := 0
	for _, r := range m.records {
		if r.member.State == domain.MemberDead {
			n++
		}
	}
	return n
}

// markSuspect marks a member as suspect, unless it already is suspect or dead.
func (m *Membership) markSuspect(id domain.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[id]
	if !ok || r.member.State == domain.MemberSuspect || r.member.State == domain.MemberDead {
		return
	}
	suspect := r.member
	suspect.State = domain.MemberSuspect
	m.applyUpdate(r, suspect)
	m.broadcasts.add(r.member)
	m.counts.suspicions.Add(1)
	m.publish()
	klog.InfoS("member is suspect", "host", m.self.ID, "member", id)
}
