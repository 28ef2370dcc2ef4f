package tables

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// DefaultPollInterval is the mean time between reads of the head.
	DefaultPollInterval = 2 * time.Second
	// pollJitter is the largest relative deviation from the mean.
	pollJitter = 0.25
	// storeTimeout bounds one poll. It is long, so that a slow store is not mistaken
	// for an outage.
	storeTimeout = 10 * time.Second
	// peerTimeout bounds one call to another host.
	peerTimeout = time.Second
	// pullBatchChanges is the largest number of changes requested in one call.
	pullBatchChanges = 100
	// announceFanout is the number of hosts to which a new revision is announced.
	announceFanout = 3
	// maxQueuedAnnouncements bounds the announcements that wait for a
	// pull.
	maxQueuedAnnouncements = 8
)

// ErrNotReady means that a host has no tables yet.
var ErrNotReady = errors.New("this host has no tables yet; ask another host")

// FollowerConfig holds the dependencies and settings of a Follower.
type FollowerConfig struct {
	Store      ports.TableService
	Peers      ports.Peers
	Membership ports.Membership
	Counters   *counters.Set
	// PollInterval is the mean time between reads of the head; zero means
	// DefaultPollInterval.
	PollInterval time.Duration
}

// Follower keeps the tables of one host up to date. It implements
// ports.TableView and ports.TablePeer. Reads take no lock; the rows that they
// return are shared and must not be changed.
type Follower struct {
	cfg    FollowerConfig
	reader reader
	count  followerCounters

	current atomic.Pointer[state]
	ready   atomic.Bool
	// storeDown is true while the last poll failed.
	storeDown atomic.Bool
	// mu serializes changes of current.
	mu sync.Mutex
	// pending holds announced changes, by revision, until all earlier changes
	// have been applied.
	pending map[domain.Revision]domain.Change

	announcedMu       sync.Mutex
	announced         []announcement
	pullRequested     chan struct{}
	announceRequested chan struct{}
}

var (
	_ ports.TableView = (*Follower)(nil)
	_ ports.TablePeer = (*Follower)(nil)
)

// announcement records that a host has a revision.
type announcement struct {
	host     domain.HostID
	revision domain.Revision
}

// NewFollower returns a follower with empty tables. Run brings them up to date.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.Counters == nil {
		cfg.Counters = counters.NewSet()
	}
	f := &Follower{
		cfg:               cfg,
		reader:            reader{store: cfg.Store},
		count:             newFollowerCounters(cfg.Counters),
		pending:           make(map[domain.Revision]domain.Change),
		pullRequested:     make(chan struct{}, 1),
		announceRequested: make(chan struct{}, 1),
	}
	f.current.Store(emptyState())
	return f
}

// Run keeps the tables up to date until the context ends, and then returns nil.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		f.boot(ctx)
		f.pollLoop(ctx)
		return nil
	})
	group.Go(func() error {
		f.pullLoop(ctx)
		return nil
	})
	group.Go(func() error {
		f.announceLoop(ctx)
		return nil
	})
	return group.Wait()
}

// Ready reports whether the host has loaded tables.
func (f *Follower) Ready() bool { return f.ready.Load() }

// installIfNewer replaces the tables by newer ones, or by a corrected copy of the
// same revision. It ignores an older state, so that no host returns to an earlier
// revision. It reports whether the revision rose.
func (f *Follower) installIfNewer(build func(*state) *state) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	next := f.applyPending(build(current))
	newer := next.revision > current.revision
	reloaded := next.revision == current.revision && next.digest != current.digest
	if !newer && !reloaded {
		return false
	}
	f.current.Store(next)
	f.count.revision.Set(int64(next.revision))
	f.count.unreadable.Set(int64(len(next.view.unreadable)))
	if newer && f.ready.Load() {
		notify(f.announceRequested)
	}
	return newer
}

// applyLocalChange applies a change that this host's editor has just written. If
// changes before it are missing here, it uses the editor's resulting state instead.
func (f *Follower) applyLocalChange(change domain.Change, next *state) {
	f.installIfNewer(func(current *state) *state {
		advanced := current.advance([]domain.Change{change})
		if advanced.revision >= change.Revision {
			return advanced
		}
		taken := current.replace(next.revision, next.snapshot().Rows)
		taken.recent, taken.recentBytes = next.recent, next.recentBytes
		return taken
	})
}

// pollLoop polls the store at jittered intervals.
func (f *Follower) pollLoop(ctx context.Context) {
	for sleep(ctx, jittered(f.cfg.PollInterval)) == nil {
		f.poll(ctx)
	}
}

// poll catches up with the store. If the store cannot be read, it pulls from
// a random host instead.
func (f *Follower) poll(ctx context.Context) {
	f.count.polls.Add(1)
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	next, _, err := f.reader.catchUp(callCtx, f.current.Load())
	cancel()
	switch {
	case err == nil:
		f.storeDown.Store(false)
		if f.installIfNewer(func(*state) *state { return next }) {
			f.count.fromStore.Add(1)
		}
	case errors.Is(err, errStaleHead):
		f.count.storeBehind.Add(1)
	case ctx.Err() == nil:
		f.storeDown.Store(true)
		f.count.pollFailures.Add(1)
		if host, ok := f.randomHost(); ok {
			_ = f.pull(ctx, host)
		}
	}
}

// jittered returns a random duration within pollJitter of the mean.
func jittered(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (1 - pollJitter + 2*pollJitter*rand.Float64()))
}

// notify wakes the receiver of a channel with capacity 1. It does not block: one queued
// wake-up is enough.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Revision implements ports.TableView.
func (f *Follower) Revision() domain.Revision { return f.current.Load().revision }

// RouteForModel implements ports.TableView.
func (f *Follower) RouteForModel(model string) (domain.Route, bool) {
	return f.current.Load().view.routeForModel(model)
}

// RouteForPath implements ports.TableView.
func (f *Follower) RouteForPath(path string) (domain.Route, bool) {
	return f.current.Load().view.routeForPath(path)
}

// Pool implements ports.TableView.
func (f *Follower) Pool(name domain.PoolName) (domain.Pool, bool) {
	p, ok := f.current.Load().view.pools[string(name)]
	return p.pool, ok
}

// Pools implements ports.TableView. The pools are sorted by name.
func (f *Follower) Pools() []domain.Pool { return f.current.Load().view.poolList }

// Routes implements ports.TableView. The routes are sorted by name.
func (f *Follower) Routes() []domain.Route { return f.current.Load().view.routeList }

// Unreadable returns the rows whose newest value this host cannot use.
func (f *Follower) Unreadable() []UnreadableRow {
	return f.current.Load().view.unreadableRows()
}
