package keeper

import (
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
	def     groups.Group
	prefill []*prefillState
	decode  []*decodeState
	// byDecode finds decode upstreams by identifier.
	byDecode map[domain.UpstreamID]*decodeState
	grants   map[domain.GrantID]*grant
	requests map[domain.RequestKey]*request
	queue    *fairqueue.Queue[*waiter]
	lengths  map[domain.RouteName]*lengths
	pace     pace

	scheduler *placement.Scheduler
	snap      placement.Snapshot
	decision  placement.Decision
}

// request is the state of one request: it waits, or it has a grant.
type request struct {
	waiter *waiter
	grant  *grant
}

// grant is a grant in force.
type grant struct {
	domain.Grant
	route    domain.RouteName
	class    domain.Class
	weight   float64
	cost     float64
	granted  time.Time
	expires  time.Time
	decoding time.Time
}

func newGroup(k *Keeper, def groups.Group) *group {
	g := &group{
		id:        def.ID,
		pool:      def.Pool,
		keeper:    k,
		byDecode:  make(map[domain.UpstreamID]*decodeState),
		grants:    make(map[domain.GrantID]*grant),
		requests:  make(map[domain.RequestKey]*request),
		queue:     fairqueue.New[*waiter](k.cfg.PatientShare),
		lengths:   make(map[domain.RouteName]*lengths),
		scheduler: placement.NewScheduler(nil),
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
	g.def = def
	prefills := make(map[domain.UpstreamID]*prefillState, len(g.prefill))
	for _, p := range g.prefill {
		prefills[p.up.ID] = p
	}
	g.prefill, g.decode = g.prefill[:0], g.decode[:0]
	for _, up := range def.Upstreams {
		switch up.Role {
		case domain.RolePrefill:
			p, ok := prefills[up.ID]
			if !ok {
				p = &prefillState{}
			}
			p.up = up
			g.prefill = append(g.prefill, p)
		case domain.RoleDecode:
			d, ok := g.byDecode[up.ID]
			if !ok {
				d = &decodeState{grants: make(map[domain.GrantID]*grant)}
				g.byDecode[up.ID] = d
			}
			d.up = up
			g.decode = append(g.decode, d)
		}
	}
	g.dispatch(time.Now())
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
