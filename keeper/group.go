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

// group is the state of one group of upstreams. All fields below mu are guarded
// by it.
type group struct {
	id     domain.GroupID
	pool   domain.PoolName
	keeper *Keeper
	// confirmed is the time of the last check that this host keeps the group, in
	// nanoseconds since the epoch.
	confirmed atomic.Int64

	mu      sync.Mutex
	closed  bool
	prefill []*prefillState
	decode  []*decodeState
	// byDecode finds decode upstreams by identifier, with those that left the
	// pools table and still have grants.
	byDecode map[domain.UpstreamID]*decodeState
	// prefillAt finds prefill upstreams by their position in the prefix index.
	prefillAt [groups.MaxUpstreams]*prefillState
	grants    map[domain.GrantID]*grant
	requests  map[domain.RequestKey]*request
	// revoking holds grants whose attempts are being canceled.
	revoking map[domain.AttemptID]*grant
	// ended and lost remember ended attempts and revoked grants for a while.
	ended map[domain.AttemptID]time.Time
	lost  map[domain.GrantID]time.Time
	queue *fairqueue.Queue[*waiter]
	// releases measures how often places become free.
	releases releaseRate
	// pairRests holds the pairs whose last grant failed, and until when they rest.
	pairRests map[pairKey]time.Time
	// suspects counts the grants of suspect requests by fingerprint.
	suspects map[uint64]int
	// refused are waiting requests that were found not to run while they were
	// offered a place.
	refused []refused
	lengths map[domain.RouteName]*lengths
	pace    pace

	index     *placement.PrefixIndex
	scheduler *placement.Scheduler
	snap      placement.Snapshot
	decision  placement.Decision
	ends      []PredictedEnd
	// lookAhead dispatches again as predicted releases come closer.
	lookAhead *time.Timer
}

// request is the state of one request: it waits, or it has a grant.
type request struct {
	waiter *waiter
	grant  *grant
}

// grant is a grant in force.
type grant struct {
	domain.Grant
	route  domain.RouteName
	class  domain.Class
	weight float64
	cost   float64
	// limit is the largest output in tokens.
	limit   int
	granted time.Time
	// placed is when the grant received its place; later than granted where the
	// place was promised first.
	placed  time.Time
	expires time.Time
	// decoding is when decoding started, as predicted or observed.
	decoding time.Time
	avoid    []domain.UpstreamID
	// promised says that the place is not free yet, due when it is predicted to
	// be, asking how many calls wait for it; confirmed is closed when it is free.
	promised  bool
	due       time.Time
	asking    int
	confirmed chan struct{}
	// revoking says that the attempt is being canceled on its engines, and
	// replacement is the newer attempt that waits for that.
	revoking    bool
	replacement *waiter
}

func newGroup(k *Keeper, def groups.Group) *group {
	index := placement.NewPrefixIndex(groups.MaxUpstreams, placement.DefaultIndexPieces)
	g := &group{
		id:        def.ID,
		pool:      def.Pool,
		keeper:    k,
		byDecode:  make(map[domain.UpstreamID]*decodeState),
		grants:    make(map[domain.GrantID]*grant),
		requests:  make(map[domain.RequestKey]*request),
		revoking:  make(map[domain.AttemptID]*grant),
		ended:     make(map[domain.AttemptID]time.Time),
		lost:      make(map[domain.GrantID]time.Time),
		suspects:  make(map[uint64]int),
		queue:     fairqueue.New[*waiter](k.cfg.PatientShare),
		lengths:   make(map[domain.RouteName]*lengths),
		index:     index,
		scheduler: placement.NewScheduler(index),
		pairRests: make(map[pairKey]time.Time),
	}
	g.update(def)
	return g
}

// owned returns whether the last check of ownership is recent.
func (g *group) owned(now time.Time) bool {
	return now.UnixNano()-g.confirmed.Load() < int64(ownerCacheTime)
}

func (g *group) confirm(now time.Time) { g.confirmed.Store(now.UnixNano()) }

// update takes in the group's upstreams from the pools table.
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
	for _, gone := range prefills {
		g.index.Forget(gone.position)
		g.prefillAt[gone.position] = nil
	}
	g.forgetDecodes()
	g.dispatch(time.Now())
}

func (g *group) addPrefill(p *prefillState, up domain.Upstream) {
	if p == nil {
		p = &prefillState{position: slices.Index(g.prefillAt[:], nil)}
		g.prefillAt[p.position] = p
	}
	p.up, p.zone = up, g.snap.Zone(up.Zone)
	g.prefill = append(g.prefill, p)
}

func (g *group) addDecode(up domain.Upstream) {
	d, ok := g.byDecode[up.ID]
	if !ok {
		d = &decodeState{}
		g.byDecode[up.ID] = d
	}
	d.up, d.zone = up, g.snap.Zone(up.Zone)
	g.decode = append(g.decode, d)
}

// forgetDecodes drops decode upstreams that are neither in the pools table nor
// granted.
func (g *group) forgetDecodes() {
	for id, d := range g.byDecode {
		if len(d.grants) == 0 && !slices.Contains(g.decode, d) {
			delete(g.byDecode, id)
		}
	}
}

// close ends all waiting calls, as another host keeps the group now.
func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for key, r := range g.requests {
		if r.waiter != nil {
			g.finish(r.waiter, domain.Grant{}, ports.ErrNotKeeper)
		}
		delete(g.requests, key)
	}
	if g.lookAhead != nil {
		g.lookAhead.Stop()
	}
	g.keeper.metrics.held.Add(-int64(len(g.grants)))
	clear(g.grants)
}

// route returns the length estimate of a route.
func (g *group) route(name domain.RouteName) *lengths {
	l, ok := g.lengths[name]
	if !ok {
		l = &lengths{}
		g.lengths[name] = l
	}
	return l
}
