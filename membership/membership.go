package membership

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// StrikeSource exchanges crash strikes with other hosts over gossip messages. A
// strike records that an upstream crashed while it ran a given request.
type StrikeSource interface {
	// Updates returns the strikes to send with the next message.
	Updates() []ports.Strike
	// Merge applies the strikes received from another host.
	Merge([]ports.Strike)
}

// Config holds the identity, the dependencies and the timing of a Membership.
type Config struct {
	// Self is this host. New sets a zero incarnation from the wall clock and an
	// empty state to alive.
	Self domain.Member
	// HostList is the platform's list of hosts. Nil disables reading it.
	HostList ports.HostList
	// Counters registers the package's counters. Nil discards them.
	Counters *counters.Set
	// Seed seeds the random choices, together with the host identifier.
	Seed uint64
	// ProbePeriod is the protocol period. Zero or less means DefaultProbePeriod.
	ProbePeriod time.Duration
	// OnRevision is called with the table revision of another host, as received in a
	// probe, in its answer or in the answer to a full view sync. It must not block. It
	// may be nil.
	OnRevision func(domain.HostID, domain.Revision)
	// Strikes provides and receives crash strikes. It may be nil.
	Strikes StrikeSource
	// Clock is the clock of Contact. Nil means the process's own, which may stand still while the
	// host is suspended.
	Clock func() time.Duration
}

// Membership maintains this host's view of the entry hosts. It implements
// ports.Membership and ports.Gossip and is safe for concurrent use.
type Membership struct {
	cfg    Config
	counts counts
	ready  atomic.Bool
	// snapshot is the immutable view that Members returns; nil if it must be rebuilt.
	snapshot atomic.Pointer[[]domain.Member]

	mu         sync.Mutex
	peers      ports.Peers
	self       domain.Member
	records    map[domain.HostID]*record
	broadcasts broadcastQueue
	rand       *rand.Rand
	rotation   []domain.HostID
	// unverifiedReports holds reports of suspect or dead members from other hosts'
	// full views that a probe has yet to verify.
	unverifiedReports []domain.Member
	// announceSignal makes Run send extra probes without waiting for the next period.
	announceSignal chan struct{}
	hostListRead   bool
	// seenListedWithoutMark is true once a host list contained this host without a
	// leaving mark.
	seenListedWithoutMark bool
	nextSync              time.Time
	syncInterval          time.Duration
	lastSyncRestart       time.Time
	// heardAt and suspectedAt are the times that Contact returns, by cfg.Clock.
	heardAt, suspectedAt time.Duration
}

// New returns a Membership whose view contains only this host. A zero incarnation
// is set to the wall clock in milliseconds, so that it is normally above that of
// earlier runs of the host. If the clock went back, the first contact with a member
// that remembers a higher incarnation raises it.
func New(cfg Config) *Membership {
	if cfg.ProbePeriod <= 0 {
		cfg.ProbePeriod = DefaultProbePeriod
	}
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.Self.State == "" {
		cfg.Self.State = domain.MemberAlive
	}
	if cfg.Clock == nil {
		start := time.Now()
		cfg.Clock = func() time.Duration { return time.Since(start) }
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(cfg.Self.ID))
	m := &Membership{
		cfg:            cfg,
		counts:         newCounts(cfg.Counters),
		self:           cfg.Self,
		records:        make(map[domain.HostID]*record),
		broadcasts:     newBroadcastQueue(),
		rand:           rand.New(rand.NewPCG(cfg.Seed, hash.Sum64())),
		syncInterval:   initialSyncInterval,
		announceSignal: make(chan struct{}, 1),
	}
	m.heardAt = cfg.Clock() - neverAgo
	m.suspectedAt = m.heardAt
	m.broadcasts.add(m.self)
	m.publish()
	return m
}

// Bind sets the clients for the other hosts. It must be called before Run.
func (m *Membership) Bind(peers ports.Peers) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = peers
}

// Self implements ports.Membership.
func (m *Membership) Self() domain.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members implements ports.Membership. The result is shared, so callers must not
// modify it.
func (m *Membership) Members() []domain.Member {
	if view := m.snapshot.Load(); view != nil {
		return *view
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.sortedView()
	m.snapshot.Store(&view)
	return view
}

// Ready reports whether this host has tried to join: it has attempted a full view sync
// with a member, or has read the host list and knows no other host, or has no host
// list to read.
func (m *Membership) Ready() bool { return m.ready.Load() }

// SetRevision sets the table revision that this host gossips. It ignores revisions
// that are not above the current one.
func (m *Membership) SetRevision(revision domain.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.self.Revision {
		return
	}
	m.self.Revision = revision
	m.publish()
	m.announce()
}

// announce makes Run send extra probes, so that an update reaches some members
// before the next period.
func (m *Membership) announce() {
	select {
	case m.announceSignal <- struct{}{}:
	default:
	}
}

// Leave marks this host as leaving, so that it receives no new work. It returns
// once the gossip update is queued; Run sends it.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaveLocked()
}

// leaveLocked implements Leave. m.mu must be held.
func (m *Membership) leaveLocked() {
	if m.self.State == domain.MemberLeaving {
		return
	}
	m.self.State = domain.MemberLeaving
	m.self.Incarnation++
	m.broadcasts.add(m.self)
	m.publish()
	m.announce()
	klog.InfoS("announcing that this host is leaving", "host", m.self.ID)
}

// publish invalidates the snapshot, so that Members sees the current state, and
// updates the gauges. m.mu must be held, except in New.
func (m *Membership) publish() {
	m.snapshot.Store(nil)
	alive := 0
	for _, r := range m.records {
		if r.member.State == domain.MemberAlive && !r.excluded {
			alive++
		}
	}
	m.counts.alive.Set(int64(alive))
	m.counts.known.Set(int64(len(m.records)))
}

// sortedView returns the effective state of all members including this host, sorted
// by identifier.
func (m *Membership) sortedView() []domain.Member {
	view := make([]domain.Member, 0, len(m.records)+1)
	view = append(view, m.self)
	for _, r := range m.records {
		view = append(view, r.effectiveMember())
	}
	slices.SortFunc(view, func(a, b domain.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return view
}
