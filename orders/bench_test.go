package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

// testLoadTimeout is the load timeout of the controllers in these tests.
const testLoadTimeout = 2 * time.Minute

// testCluster is a fake platform, the engines of one pool and the hosts that send
// orders to them.
type testCluster struct {
	t        *testing.T
	platform *platform.Platform

	mu      sync.Mutex
	pool    domain.Pool
	version domain.Revision
	engines map[domain.UpstreamID]*fakeEngine
	members []domain.Member
	// pause delays the orders of a host after it has checked its lease.
	pause map[domain.HostID]time.Duration
	// cutOff marks hosts that cannot reach the table service.
	cutOff map[domain.HostID]bool
	stops  []func()
}

// newTestCluster returns a pool whose engines alternate between zones z-1 and
// z-2, the first two of them for prefill, and two hosts in each zone.
func newTestCluster(t *testing.T, engines int, checks bool) *testCluster {
	b := &testCluster{
		t:        t,
		platform: platform.New(platform.Config{Latency: 4 * time.Millisecond, Seed: 5}),
		pool:     domain.Pool{Name: "p", Kind: domain.PoolModel, Model: "m", Version: 1, ChecksFencing: checks},
		version:  1,
		engines:  make(map[domain.UpstreamID]*fakeEngine),
		pause:    make(map[domain.HostID]time.Duration),
		cutOff:   make(map[domain.HostID]bool),
	}
	for i := range engines {
		up := domain.Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("e%d", i)), Zone: domain.Zone(fmt.Sprintf("z-%d", 1+i%2)),
			Role: domain.RoleDecode, Slots: 20, Pieces: 100, PrefillRate: 1000,
		}
		if i < 2 {
			up.Role = domain.RolePrefill
		}
		b.pool.Upstreams = append(b.pool.Upstreams, up)
		b.engines[up.ID] = &fakeEngine{
			checks:  checks,
			load:    ports.Load{FreePieces: 100},
			serving: ports.Order{Model: "m", Version: 1, Role: up.Role},
		}
	}
	for i := range 4 {
		b.members = append(b.members, domain.Member{
			ID: domain.HostID(fmt.Sprintf("h%d", i)), Zone: domain.Zone(fmt.Sprintf("z-%d", 1+i%2)), State: domain.MemberAlive,
		})
	}
	t.Cleanup(func() {
		for _, stop := range b.stops {
			stop()
		}
	})
	return b
}

// run starts the controllers of all hosts.
func (b *testCluster) run() {
	for _, m := range b.members {
		b.start(m.ID)
	}
}

// start starts the controller of a host.
func (b *testCluster) start(id domain.HostID) {
	c := New(Config{
		Self: id, Store: hostStore{b.platform.Tables(), b, id}, Tables: tableView{TableView: nil, cluster: b},
		Membership: membersView{cluster: b}, Upstreams: hostUpstreams{cluster: b, host: id},
		HostList: b.platform.Hosts(), Editor: clusterEditor{b}, LoadTimeout: testLoadTimeout,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	b.stops = append(b.stops, func() {
		cancel()
		<-done
	})
}

func (b *testCluster) edit(change func(*domain.Pool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool.Upstreams = slices.Clone(b.pool.Upstreams)
	change(&b.pool)
	b.version++
}

func (b *testCluster) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// await polls until the condition holds and returns the elapsed time. It fails
// the test after the limit.
func (b *testCluster) await(what string, limit time.Duration, condition func() bool) time.Duration {
	b.t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			b.t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.t.Logf("%s: after %v", what, time.Since(started))
	return time.Since(started)
}

// allServe reports whether all engines serve the version and none is loading.
func (b *testCluster) allServe(version int) bool {
	for _, e := range b.engines {
		if got, loading := e.state(); loading || got.Version != version {
			return false
		}
	}
	return true
}

// loadingCount returns the number of engines that are loading.
func (b *testCluster) loadingCount() int {
	n := 0
	for _, e := range b.engines {
		if _, loading := e.state(); loading {
			n++
		}
	}
	return n
}

// fakeEngine follows orders. Loading a new version takes loadTime.
type fakeEngine struct {
	ports.Engine
	mu       sync.Mutex
	checks   bool
	load     ports.Load
	loadTime time.Duration
	serving  ports.Order
	busy     bool
	fence    int64
	received []receivedOrder
}

type receivedOrder struct {
	order ports.Order
	at    time.Time
}

func (e *fakeEngine) state() (ports.Order, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving, e.busy
}

func (e *fakeEngine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Order implements ports.Engine.
func (e *fakeEngine) Order(_ context.Context, order ports.Order) error {
	e.mu.Lock()
	if e.checks && order.FencingToken < e.fence {
		e.mu.Unlock()
		return &ports.EngineError{Kind: ports.EngineFenced, Message: "old fencing number"}
	}
	e.fence = order.FencingToken
	e.received = append(e.received, receivedOrder{order, time.Now()})
	load := order.Version != e.serving.Version
	e.busy = load
	e.mu.Unlock()
	if load {
		time.Sleep(e.loadTime)
	}
	e.set(func() { e.serving, e.busy = order, false })
	return nil
}

// Load implements ports.Engine.
func (e *fakeEngine) Load(context.Context) (ports.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.load.FreePieces < 0 {
		return ports.Load{}, &ports.EngineError{Kind: ports.EngineUnreachable}
	}
	return e.load, nil
}

// hostUpstreams is the view that one host has of the engines.
type hostUpstreams struct {
	ports.Upstreams
	cluster *testCluster
	host    domain.HostID
}

func (u hostUpstreams) Engine(up domain.Upstream) ports.Engine {
	return pausingEngine{u.cluster.engines[up.ID], u}
}

// pausingEngine simulates a host that is paused between checking its lease and
// sending the order.
type pausingEngine struct {
	*fakeEngine
	from hostUpstreams
}

func (e pausingEngine) Order(ctx context.Context, order ports.Order) error {
	e.from.cluster.mu.Lock()
	pause := e.from.cluster.pause[e.from.host]
	e.from.cluster.mu.Unlock()
	time.Sleep(pause)
	return e.fakeEngine.Order(ctx, order)
}

// hostStore is the view that one host has of the table service.
type hostStore struct {
	ports.TableService
	cluster *testCluster
	host    domain.HostID
}

func (s hostStore) reachable() bool {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return !s.cluster.cutOff[s.host]
}

func (s hostStore) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	if !s.reachable() {
		return ports.Row{}, false, ports.ErrStoreDown
	}
	return s.TableService.Get(ctx, key)
}

func (s hostStore) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	if !s.reachable() {
		return ports.TxnResult{}, ports.ErrStoreDown
	}
	return s.TableService.Commit(ctx, txn)
}

type tableView struct {
	ports.TableView
	cluster *testCluster
}

func (v tableView) Pools() []domain.Pool {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	return []domain.Pool{v.cluster.pool}
}

func (v tableView) Pool(domain.PoolName) (domain.Pool, bool) { return v.Pools()[0], true }

type membersView struct {
	ports.Membership
	cluster *testCluster
}

func (m membersView) Members() []domain.Member {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return slices.Clone(m.cluster.members)
}

// clusterEditor edits the pool of a testCluster.
type clusterEditor struct{ cluster *testCluster }

func (e clusterEditor) Snapshot(context.Context) (ports.TableSnapshot, error) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	value, err := json.Marshal(e.cluster.pool)
	row := domain.VersionedRow{Table: domain.TablePools, Row: "p", Version: e.cluster.version, Value: value}
	return ports.TableSnapshot{Rows: []domain.VersionedRow{row}}, err
}

func (e clusterEditor) Apply(_ context.Context, edit domain.Edit) (domain.Change, error) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	if edit.BaseVersion != e.cluster.version {
		return domain.Change{}, fmt.Errorf("conflict: the row is at %d", e.cluster.version)
	}
	e.cluster.version++
	e.cluster.pool = domain.Pool{}
	return domain.Change{}, json.Unmarshal(edit.Value, &e.cluster.pool)
}
