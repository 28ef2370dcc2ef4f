package keeper

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"greengagespoke/domain"
	"greengagespoke/fairqueue"
	"greengagespoke/groups"
	"greengagespoke/placement"
	"greengagespoke/ports"
)

// group is the state of one group of upstreams. mu guards the fields below it.
type group struct {
	id     domain.GroupID
	pool   domain.PoolName
	keeper *Keeper
	// ownershipConfirmedAt is the time of the last check that this host keeps the
	// group, in nanoseconds since the Unix epoch.
	ownershipConfirmedAt atomic.Int64

	mu      sync.Mutex
	closed  bool
	prefill []*prefillState
	decode  []*decodeState
	// decodeByID holds the decode upstreams, including those that are no longer in
	// the pools table but still have grants.
	decodeByID map[domain.UpstreamID]*decodeState
	// prefillByPosition holds the prefill upstreams by their position in the prefix
	// index.
	prefillByPosition [groups.MaxUpstreams]*prefillState
	grants            map[domain.GrantID]*grant
	requests          map[domain.RequestKey]*request
	// revoking holds the grants whose attempts are being canceled.
	revoking map[domain.AttemptID]*grant
	// recentlyEnded and recentlyRevoked keep ended attempts and revoked grants for
	// endedRecordTTL.
	recentlyEnded   map[domain.AttemptID]time.Time
	recentlyRevoked map[domain.GrantID]time.Time
	queue           *fairqueue.Queue[*waiter]
	// releases measures the rate at which slots become free.
	releases releaseRate
	// pairBackoffs holds the pairs whose last grant failed, with the end of the
	// time for which they are not used together.
	pairBackoffs map[pairKey]time.Time
	// suspectGrants counts the grants of suspect requests by fingerprint.
	suspectGrants map[uint64]int
	// pendingRefusals are waiting requests that are to be refused once the queue is
	// no longer being served.
	pendingRefusals  []pendingRefusal
	lengthEstimators map[domain.RouteName]*lengthEstimator
	pace             paceEstimator

	prefixIndex   *placement.PrefixIndex
	scheduler     *placement.Scheduler
	snap          placement.Snapshot
	decision      placement.Decision
	predictedEnds []PredictedEnd
	// lookAheadTimer dispatches again as predicted releases come closer.
	lookAheadTimer *time.Timer
}

// request is the state of one request, which either waits or has a grant.
type request struct {
	waiter *waiter
	grant  *grant
}

// grant is an active grant with the state for expiring, moving and revoking it.
type grant struct {
	domain.Grant
	route  domain.RouteName
	class  domain.Class
	weight float64
	cost   float64
	// maxOutputTokens is the largest output that the request may produce.
	maxOutputTokens int
	grantedAt       time.Time
	// slotAssignedAt is the time at which the grant received its slot. It is later
	// than grantedAt if the slot was promised first.
	slotAssignedAt time.Time
	expiresAt      time.Time
	// decodeStart is the predicted or observed start of decoding.
	decodeStart time.Time
	avoid       []domain.UpstreamID
	// promised is true while the slot is not free yet. slotDueAt is the time at
	// which it is predicted to be free, and waitingCalls is the number of calls
	// that wait for it. slotReady is closed when it is free.
	promised     bool
	slotDueAt    time.Time
	waitingCalls int
	slotReady    chan struct{}
	// revoking is true while the attempt is being canceled on its engines.
	// replacement is the newer attempt that waits for the cancellation.
	revoking    bool
	replacement *waiter
}

func newGroup(k *Keeper, def groups.Group) *group {
	index := placement.NewPrefixIndex(groups.MaxUpstreams, placement.DefaultIndexPieces)
	g := &group{
		id:               def.ID,
		pool:             def.Pool,
		keeper:           k,
		decodeByID:       make(map[domain.UpstreamID]*decodeState),
		grants:           make(map[domain.GrantID]*grant),
		requests:         make(map[domain.RequestKey]*request),
		revoking:         make(map[domain.AttemptID]*grant),
		recentlyEnded:    make(map[domain.AttemptID]time.Time),
		recentlyRevoked:  make(map[domain.GrantID]time.Time),
		suspectGrants:    make(map[uint64]int),
		queue:            fairqueue.New[*waiter](k.cfg.PatientShare),
		lengthEstimators: make(map[domain.RouteName]*lengthEstimator),
		prefixIndex:      index,
		scheduler:        placement.NewScheduler(index),
		pairBackoffs:     make(map[pairKey]time.Time),
	}
	g.update(def)
	return g
}

// ownershipFresh returns whether ownership was last confirmed less than
// ownerCacheTTL ago.
func (g *group) ownershipFresh(now time.Time) bool {
	return now.UnixNano()-g.ownershipConfirmedAt.Load() < int64(ownerCacheTTL)
}

func (g *group) confirmOwnership(now time.Time) { g.ownershipConfirmedAt.Store(now.UnixNano()) }

// update applies the group's upstreams from the pools table.
func (g *group) update(def groups.Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	prefills := make(map[domain.UpstreamID]*prefillState, len(g.prefill))
	for _, p := range g.prefill {
		prefills[p.up.ID] = p
	}
	g.prefill, g.decode = g.prefill[:0], g.decode[:0]
	for _, up := range def.Upstreams {
		switch up.Role {
		case domain.RolePrefill:
			p := prefills[up.ID]
			delete(prefills, up.ID)
			g.addPrefill(p, up)
		case domain.RoleDecode:
			g.addDecode(up)
		}
	}
	for _, removed := range prefills {
		g.prefixIndex.Forget(removed.position)
		g.prefillByPosition[removed.position] = nil
	}
	g.dropUnusedDecodes()
	g.dispatch(time.Now())
}

func (g *group) addPrefill(p *prefillState, up domain.Upstream) {
	if p == nil {
		p = &prefillState{position: slices.Index(g.prefillByPosition[:], nil)}
		g.prefillByPosition[p.position] = p
	}
	p.up, p.zone = up, g.snap.Zone(up.Zone)
	g.prefill = append(g.prefill, p)
}

func (g *group) addDecode(up domain.Upstream) {
	d, ok := g.decodeByID[up.ID]
	if !ok {
		d = &decodeState{}
		g.decodeByID[up.ID] = d
	}
	d.up, d.zone = up, g.snap.Zone(up.Zone)
	g.decode = append(g.decode, d)
}

// dropUnusedDecodes removes decode upstreams that are not in the pools table and
// have no grants.
func (g *group) dropUnusedDecodes() {
	for id, d := range g.decodeByID {
		if len(d.grants) == 0 && !slices.Contains(g.decode, d) {
			delete(g.decodeByID, id)
		}
	}
}

// close ends all waiting calls with ErrNotKeeper, as another host keeps the
// group now.
func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for key, r := range g.requests {
		if r.waiter != nil {
			g.resolve(r.waiter, domain.Grant{}, ports.ErrNotKeeper)
		}
		delete(g.requests, key)
	}
	if g.lookAheadTimer != nil {
		g.lookAheadTimer.Stop()
	}
	g.keeper.metrics.heldGrants.Add(-int64(len(g.grants)))
	clear(g.grants)
}

// lengthEstimator returns the output length estimator of a route.
func (g *group) lengthEstimator(name domain.RouteName) *lengthEstimator {
	l, ok := g.lengthEstimators[name]
	if !ok {
		l = &lengthEstimator{}
		g.lengthEstimators[name] = l
	}
	return l
}
