package orders

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/orders/lease"
	"greengagespoke/ports"
)

const (
	// DefaultOrderFlight is the longest time in which an order can still reach an
	// engine after it was sent.
	DefaultOrderFlight = 10 * time.Second
	// DefaultLoadTimeout is the longest time that a load takes.
	DefaultLoadTimeout = 10 * time.Minute
	// DefaultLoadSlots is the number of loads at a time in the whole deployment.
	DefaultLoadSlots = 1
	// tick is the time between two looks at the tables and the engines.
	tick = time.Second
	// candidates is the number of hosts that try to hold a lease.
	candidates = 2
	// releaseTimeout bounds the writes that free leases at the end.
	releaseTimeout = 2 * time.Second
)

// Editor changes rows of the tables.
type Editor interface {
	Snapshot(ctx context.Context) (ports.TableSnapshot, error)
	Apply(ctx context.Context, edit domain.Edit) (domain.Change, error)
}

// Config says what a controller works with.
type Config struct {
	Self       domain.HostID
	Store      ports.TableService
	Tables     ports.TableView
	Membership ports.Membership
	Upstreams  ports.Upstreams
	// HostList marks upstreams as leaving; they get no orders. It may be nil.
	HostList ports.HostList
	// Editor makes role changes; nil switches them off.
	Editor   Editor
	Counters *counters.Set
	// OrderFlight, LoadTimeout and LoadSlots take the defaults where they are
	// zero. LoadSlots follows from the rate of the weight store: with one load at
	// a time each load gets the whole rate.
	OrderFlight time.Duration
	LoadTimeout time.Duration
	LoadSlots   int
}

// Controller orders engines on behalf of one host.
type Controller struct {
	cfg    Config
	counts counts
}

// New returns a controller. Run starts it.
func New(cfg Config) *Controller {
	cfg.OrderFlight = cmp.Or(cfg.OrderFlight, DefaultOrderFlight)
	cfg.LoadTimeout = cmp.Or(cfg.LoadTimeout, DefaultLoadTimeout)
	cfg.LoadSlots = cmp.Or(cfg.LoadSlots, DefaultLoadSlots)
	return &Controller{cfg: cfg, counts: newCounts(cfg.Counters)}
}

// scope is the engines of one pool in one availability zone.
type scope struct {
	pool domain.PoolName
	zone domain.Zone
}

// running is a worker and the way to stop it.
type running struct {
	worker *worker
	stop   context.CancelFunc
}

// Run orders engines until the context ends. It then frees its leases and returns
// after all its goroutines have ended.
func (c *Controller) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	active := make(map[scope]running)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		wanted := c.scopes(active)
		for s, r := range active {
			if !slices.Contains(wanted, s) {
				r.stop()
				delete(active, s)
			}
		}
		for _, s := range wanted {
			if _, ok := active[s]; ok {
				continue
			}
			workerCtx, stop := context.WithCancel(ctx)
			w := c.newWorker(s)
			active[s] = running{w, stop}
			workers.Go(func() { w.run(workerCtx) })
		}
		select {
		case <-ctx.Done():
			for _, r := range active {
				r.stop()
			}
			return nil
		case <-ticker.C:
		}
	}
}

// scopes returns the scopes for which this host is a candidate or holds the lease.
// A holder stays one when better candidates appear, so that hosts that come and go
// interrupt no load. A host that is leaving has none.
func (c *Controller) scopes(active map[scope]running) []scope {
	members := c.cfg.Membership.Members()
	if !isAlive(members, c.cfg.Self) {
		return nil
	}
	var out []scope
	for _, pool := range c.cfg.Tables.Pools() {
		if pool.Kind != domain.PoolModel {
			continue
		}
		for _, zone := range zonesOf(pool) {
			s := scope{pool.Name, zone}
			r, ok := active[s]
			holds := ok && r.worker.lease.Left() > 0
			if holds || slices.Contains(s.candidates(members), c.cfg.Self) {
				out = append(out, s)
			}
		}
	}
	return out
}

func isAlive(members []domain.Member, id domain.HostID) bool {
	return slices.ContainsFunc(members, func(m domain.Member) bool {
		return m.ID == id && m.State == domain.MemberAlive
	})
}

func zonesOf(pool domain.Pool) []domain.Zone {
	var zones []domain.Zone
	for _, up := range pool.Upstreams {
		if !slices.Contains(zones, up.Zone) {
			zones = append(zones, up.Zone)
		}
	}
	return zones
}

// candidates returns the hosts that may try to hold the scope's lease, by
// rendezvous hashing over the alive hosts of the zone, or of all zones where it has
// none. The lease alone decides; few candidates keep reads of it few.
func (s scope) candidates(members []domain.Member) []domain.HostID {
	alive := func(sameZone bool) []domain.HostID {
		var ids []domain.HostID
		for _, m := range members {
			if m.State == domain.MemberAlive && (!sameZone || m.Zone == s.zone) {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	ids := alive(true)
	if len(ids) == 0 {
		ids = alive(false)
	}
	score := func(id domain.HostID) uint64 {
		return xxhash.Sum64String(s.key() + "\x00" + string(id))
	}
	slices.SortFunc(ids, func(a, b domain.HostID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return ids[:min(candidates, len(ids))]
}

// key returns the key of the scope's lease row.
func (s scope) key() string {
	return "orders/lease/" + string(s.pool) + "/" + string(s.zone)
}

// newLease returns a lease of this host.
func (c *Controller) newLease(key string, duration time.Duration) *lease.Lease {
	return lease.New(lease.Config{Store: c.cfg.Store, Key: key, Holder: c.cfg.Self, Duration: duration})
}
