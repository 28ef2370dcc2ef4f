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

// StrikeSource gives the crash suspicions to spread and takes those of others.
type StrikeSource interface {
	// Updates returns the strikes to send with the next message.
	Updates() []ports.Strike
	// Merge takes the strikes of another host.
	Merge([]ports.Strike)
}

// Config says who this host is and what it spreads.
type Config struct {
	// Self is this host. Its incarnation is chosen by New where it is zero.
	Self domain.Member
	// HostList is the platform's list of hosts; nil means that there is none.
	HostList ports.HostList
	// Counters receives the counts; nil discards them.
	Counters *counters.Set
	// Seed makes the random choices repeatable.
	Seed uint64
	// Period is the time between probes; zero means DefaultPeriod.
	Period time.Duration
	// OnRevision is called with the table revision of each message from another
	// host. It must not block. It may be nil.
	OnRevision func(domain.HostID, domain.Revision)
	// Strikes may be nil.
	Strikes StrikeSource
}

// Membership keeps the view of the entry hosts. It implements ports.Membership
// and ports.Gossip.
type Membership struct {
	cfg    Config
	counts counts
	ready  atomic.Bool
	// snapshot is the view that readers get. It is never changed, and nil where it
	// must be made anew.
	snapshot atomic.Pointer[[]domain.Member]

	mu       sync.Mutex
	peers    ports.Peers
	self     domain.Member
	records  map[domain.HostID]*record
	spread   broadcasts
	rand     *rand.Rand
	rotation []domain.HostID
	// verify holds deaths and suspicions that other hosts reported in full views.
	verify []domain.Member
	// kick makes Run spread news at once.
	kick     chan struct{}
	listRead bool
	// ownUnmarked says that the host list had this host without a leaving mark.
	ownUnmarked bool
	nextSync    time.Time
	syncGap     time.Duration
	lastHeal    time.Time
}

// New returns a view that holds only this host. The incarnation starts at the
// wall clock in milliseconds, so that it is above that of earlier runs; where it
// is not, the first contact raises it.
func New(cfg Config) *Membership {
	if cfg.Period <= 0 {
		cfg.Period = DefaultPeriod
	}
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if cfg.Self.State == "" {
		cfg.Self.State = domain.MemberAlive
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(cfg.Self.ID))
	m := &Membership{
		cfg:     cfg,
		counts:  newCounts(cfg.Counters),
		self:    cfg.Self,
		records: make(map[domain.HostID]*record),
		spread:  newBroadcasts(),
		rand:    rand.New(rand.NewPCG(cfg.Seed, hash.Sum64())),
		syncGap: firstSync,
		kick:    make(chan struct{}, 1),
	}
	m.spread.add(m.self)
	m.publish()
	return m
}

// Bind sets the access to the other hosts. It must be called before Run.
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

// Members implements ports.Membership. The result is shared and must not be
// changed.
func (m *Membership) Members() []domain.Member {
	if view := m.snapshot.Load(); view != nil {
		return *view
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.render()
	m.snapshot.Store(&view)
	return view
}

// Ready says whether the host has read the host list and tried to join.
func (m *Membership) Ready() bool { return m.ready.Load() }

// SetRevision sets the table revision that this host tells others. Lower ones
// than before are ignored.
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

// announce makes Run send extra probes, so that news reaches the others before
// the next period.
func (m *Membership) announce() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Leave announces that this host takes no new work. It returns once the
// statement is queued; Run spreads it.
func (m *Membership) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leave()
}

// leave does the work of Leave. The caller holds the lock.
func (m *Membership) leave() {
	if m.self.State == domain.MemberLeaving {
		return
	}
	m.self.State = domain.MemberLeaving
	m.self.Incarnation++
	m.spread.add(m.self)
	m.publish()
	m.announce()
	klog.InfoS("leaving announced", "host", m.self.ID)
}

// publish makes readers see the current state. The caller holds the lock, or is
// New.
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

// render returns the view for readers, sorted by identifier.
func (m *Membership) render() []domain.Member {
	view := make([]domain.Member, 0, len(m.records)+1)
	view = append(view, m.self)
	for _, r := range m.records {
		view = append(view, r.effective())
	}
	slices.SortFunc(view, func(a, b domain.Member) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return view
}
