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

// Run joins the other hosts and takes part in the protocol until the context
// ends. It returns after all its goroutines have ended.
func (m *Membership) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { m.followHostList(ctx) })
	m.mu.Lock()
	offset := time.Duration(m.rand.Int64N(int64(m.cfg.Period)))
	m.mu.Unlock()
	if !pause.For(ctx, offset) {
		return nil
	}
	ticker := time.NewTicker(m.cfg.Period)
	defer ticker.Stop()
	announced := time.Now()
	last := time.Now()
	m.round(ctx, &tasks, 0)
	for tick := 1; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-m.kick:
			if !pause.For(ctx, announceGap-time.Since(announced)) {
				return nil
			}
			announced = time.Now()
			m.probeAll(ctx, &tasks, m.announceTargets())
		case now := <-ticker.C:
			if now.Sub(last) > pausePeriods*m.cfg.Period {
				m.resume(now)
			}
			last = now
			m.round(ctx, &tasks, tick)
			tick++
		}
	}
}

// probeAll starts a probe of each target.
func (m *Membership) probeAll(ctx context.Context, tasks *sync.WaitGroup, targets []target) {
	for _, to := range targets {
		tasks.Go(func() { m.probe(ctx, to) })
	}
}

// round does the work of one period.
func (m *Membership) round(ctx context.Context, tasks *sync.WaitGroup, tick int) {
	m.expireSuspicions(time.Now())
	m.probeAll(ctx, tasks, m.targets(tick))
	if target, ok := m.syncTarget(time.Now()); ok {
		tasks.Go(func() { m.sync(ctx, target) })
	}
}

// resume restarts suspicions after this host was paused, as answers and
// refutations may have been missed.
func (m *Membership) resume(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.pauses.Add(1)
	m.nextSync, m.syncGap = now, firstSync
	for _, r := range m.records {
		if r.member.State == domain.MemberSuspect {
			r.changed = now
		}
	}
}

// expireSuspicions declares members dead that did not refute in time.
func (m *Membership) expireSuspicions(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	timeout := time.Duration(SuspicionPeriods(len(m.records)+1)) * m.cfg.Period
	changed := false
	for _, r := range m.records {
		if r.member.State != domain.MemberSuspect || now.Sub(r.changed) < timeout {
			continue
		}
		dead := r.member
		dead.State = domain.MemberDead
		m.apply(r, dead)
		m.spread.add(r.member)
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
	// report is the statement to confront it with; nil takes this host's own.
	report *domain.Member
	// wasDead says that this host held it dead before the probe.
	wasDead bool
}

// announceTargets returns random members to tell news at once.
func (m *Membership) announceTargets() []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []target
	for _, id := range m.randomMembers(announceProbes, "", domain.MemberAlive) {
		out = append(out, target{id: id})
	}
	return out
}

// targets returns the members to probe in this period: the next of the rotation or
// the neighbor, one whose death was reported, and now and then one that is dead.
func (m *Membership) targets(tick int) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []target
	if id, ok := m.nextToProbe(tick); ok {
		out = append(out, target{id: id})
	}
	if report, ok := m.nextToVerify(); ok {
		out = append(out, target{id: report.ID, report: &report})
	}
	if tick%deadRetryPeriods == deadRetryPeriods-1 {
		if id, ok := m.randomMember(domain.MemberDead); ok {
			out = append(out, target{id: id, wasDead: true})
		}
	}
	return out
}

// nextToProbe returns the neighbor by turns with another member: one that is only
// known from the host list, or the next of the rotation.
func (m *Membership) nextToProbe(tick int) (domain.HostID, bool) {
	if tick%neighborPeriods == 0 {
		return m.neighbor()
	}
	if id, ok := m.randomUnverified(); ok {
		return id, true
	}
	return m.nextInRotation()
}

// randomUnverified returns a random live member whose incarnation is not known yet.
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

// nextInRotation returns the next member in random round-robin order.
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

// neighbor returns the member that follows this host on a ring which all hosts
// order alike. It has this host for its prober, whatever the random rotations of
// the others choose. Suspects are passed over, as the member behind one would have no
// prober until it is dead.
func (m *Membership) neighbor() (domain.HostID, bool) {
	own := m.self.ID.RingPosition()
	var nearest domain.HostID
	var least uint64
	for id, r := range m.records {
		if r.member.State == domain.MemberDead || r.member.State == domain.MemberSuspect {
			continue
		}
		// The difference wraps around the ring.
		if distance := id.RingPosition() - own; nearest == "" || distance < least {
			nearest, least = id, distance
		}
	}
	return nearest, nearest != ""
}

func (m *Membership) shuffleRotation() {
	m.rotation = make([]domain.HostID, 0, len(m.records))
	for id := range m.records {
		m.rotation = append(m.rotation, id)
	}
	// Sorting first makes the order depend on the seed only.
	slices.Sort(m.rotation)
	m.rand.Shuffle(len(m.rotation), func(i, j int) {
		m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i]
	})
}

// nextToVerify returns the next reported death of a member that this host still
// holds alive in the same incarnation.
func (m *Membership) nextToVerify() (domain.Member, bool) {
	for len(m.verify) > 0 {
		at := m.rand.IntN(len(m.verify))
		report := m.verify[at]
		m.verify = slices.Delete(m.verify, at, at+1)
		r, ok := m.records[report.ID]
		if !ok || r.member.Incarnation != report.Incarnation {
			continue
		}
		if rank(r.member.State) < rank(report.State) {
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

// randomMembers returns at most n random members in one of the states, without
// the one named.
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

// probe asks a member whether it is alive, first directly and then through
// others, and begins to suspect it where nothing came back.
func (m *Membership) probe(ctx context.Context, to target) {
	started := time.Now()
	m.counts.probes.Add(1)
	if m.probeDirect(ctx, to) {
		m.answered(ctx, to)
		return
	}
	m.counts.failed.Add(1)
	if to.wasDead {
		return
	}
	if m.probeIndirect(ctx, to) {
		m.answered(ctx, to)
		return
	}
	if ctx.Err() != nil || time.Since(started) > pausePeriods*m.cfg.Period {
		return
	}
	m.suspect(to.id)
}

// timeout bounds a direct or an indirect probe.
func (m *Membership) timeout() time.Duration {
	return m.cfg.Period * probeShare / 100
}

func (m *Membership) probeDirect(ctx context.Context, to target) bool {
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	answer, err := m.gossip(to.id).Probe(ctx, m.message(to.id, to.report))
	if err != nil {
		return false
	}
	m.receive(answer)
	return true
}

// probeIndirect asks a few members to probe the target and returns whether one of
// them got an answer.
func (m *Membership) probeIndirect(ctx context.Context, to target) bool {
	m.mu.Lock()
	relays := m.randomMembers(indirectProbes, to.id, domain.MemberAlive)
	m.mu.Unlock()
	if len(relays) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout())
	defer cancel()
	msg := m.message(to.id, to.report)
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

// probeVia returns the target's answer, or nil.
func (m *Membership) probeVia(ctx context.Context, relay, to domain.HostID, msg ports.ProbeMessage) *ports.ProbeMessage {
	answer, err := m.gossip(relay).ProbeVia(ctx, to, msg)
	if err != nil {
		return nil
	}
	return &answer
}

// answered compares views in full with a member that was dead until now, where a
// partition may have ended.
func (m *Membership) answered(ctx context.Context, to target) {
	if !to.wasDead {
		return
	}
	m.mu.Lock()
	heal := m.countDead() >= healMembers && m.restartSyncs()
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

// suspect begins the suspicion of a member.
func (m *Membership) suspect(id domain.HostID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.records[id]
	if !ok || r.member.State == domain.MemberSuspect || r.member.State == domain.MemberDead {
		return
	}
	suspect := r.member
	suspect.State = domain.MemberSuspect
	m.apply(r, suspect)
	m.spread.add(r.member)
	m.counts.suspicions.Add(1)
	m.publish()
	klog.InfoS("member suspected", "host", m.self.ID, "member", id)
}
