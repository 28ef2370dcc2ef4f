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
	// DefaultOrderFlight is the longest time after sending in which an order can
	// still reach an engine.
	DefaultOrderFlight = 10 * time.Second
	// DefaultLoadTimeout is the longest time that a load of a model may take.
	DefaultLoadTimeout = 10 * time.Minute
	// DefaultLoadSlots is the number of concurrent loads in the whole deployment.
	DefaultLoadSlots = 1
	// reconcileInterval is the time between two comparisons of the engines with
	// the tables.
	reconcileInterval = time.Second
	// maxLeaseCandidates is the number of hosts that try to acquire the lease of
	// a scope.
	maxLeaseCandidates = 2
	// releaseTimeout bounds the writes that release leases at shutdown and after
	// a load.
	releaseTimeout = 2 * time.Second
)

// Editor reads and edits rows of the tables.
type Editor interface {
	Snapshot(ctx context.Context) (ports.TableSnapshot, error)
	Apply(ctx context.Context, edit domain.Edit) (domain.Change, error)
}

// Config holds the dependencies and settings of a controller.
type Config struct {
	Self       domain.HostID
	Store      ports.TableService
	Tables     ports.TableView
	Membership ports.Membership
	Upstreams  ports.Upstreams
	// HostList marks upstreams that are leaving, which get no orders. It may be
	// nil.
	HostList ports.HostList
	// Editor applies role changes. If it is nil, roles are never changed.
	Editor   Editor
	Counters *counters.Set
	// OrderFlight, LoadTimeout and LoadSlots take their defaults if they are
	// zero. LoadSlots follows from the bandwidth of the weight store: with one
	// load at a time, each load gets the whole bandwidth.
	OrderFlight time.Duration
	LoadTimeout time.Duration
	LoadSlots   int
}

// Controller sends orders to engines on behalf of one host.
type Controller struct {
	cfg    Config
	counts counts
}

// New returns a controller. Call Run to start it.
func New(cfg Config) *Controller {
	cfg.OrderFlight = cmp.Or(cfg.OrderFlight, DefaultOrderFlight)
	cfg.LoadTimeout = cmp.Or(cfg.LoadTimeout, DefaultLoadTimeout)
	cfg.LoadSlots = cmp.Or(cfg.LoadSlots, DefaultLoadSlots)
	return &Controller{cfg: cfg, counts: newCounts(cfg.Counters)}
}

// scope identifies the engines of one pool in one availability zone.
type scope struct {
	pool domain.PoolName
	zone domain.Zone
}

// runningWorker is a worker with the function that stops it.
type runningWorker struct {
	worker *worker
	stop   context.CancelFunc
}

// Run sends orders to engines until the context ends. It then releases its leases
// and returns nil once all its goroutines have ended.
func (c *Controller) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	active := make(map[scope]runningWorker)
	ticker := time.NewTicker(reconcileInterval)
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
			active[s] = runningWorker{w, stop}
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

// scopes returns the scopes for which this host is a candidate or holds the
// lease. A holder keeps its scope when better candidates appear, so that hosts
// that join or leave interrupt no load. A host that is not alive in the
// membership, for example because it is leaving, has no scopes.
func (c *Controller) scopes(active map[scope]runningWorker) []scope {
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
			holds := ok && r.worker.lease.Remaining() > 0
			if holds || slices.Contains(s.leaseCandidates(members), c.cfg.Self) {
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

// leaseCandidates returns the hosts that may try to acquire the scope's lease, by
// rendezvous hashing over the alive hosts of the zone, or of all zones if the
// zone has none. Only the lease decides who acts; limiting the candidates limits
// the reads of its row.
func (s scope) leaseCandidates(members []domain.Member) []domain.HostID {
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
	return ids[:min(maxLeaseCandidates, len(ids))]
}

// key returns the key of the scope's lease row.
func (s scope) key() string {
	return "orders/lease/" + string(s.pool) + "/" + string(s.zone)
}

// newLease returns a lease with this host as the holder.
func (c *Controller) newLease(key string, duration time.Duration) *lease.Lease {
	return lease.New(lease.Config{Store: c.cfg.Store, Key: key, Holder: c.cfg.Self, Duration: duration})
}
