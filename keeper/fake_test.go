package keeper

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/ports"
)

// fakeTables is a table view with a single pool.
type fakeTables struct {
	ports.TableView
	pool domain.Pool
}

func (f *fakeTables) Pool(name domain.PoolName) (domain.Pool, bool) {
	return f.pool, name == f.pool.Name
}

func (f *fakeTables) Revision() domain.Revision { return 1 }

func (f *fakeTables) Pools() []domain.Pool { return []domain.Pool{f.pool} }

// fakeMembers is a membership view that a test sets.
type fakeMembers struct {
	mu      sync.Mutex
	self    domain.HostID
	members []domain.Member
}

func (f *fakeMembers) Self() domain.Member { return domain.Member{ID: f.self} }

func (f *fakeMembers) Members() []domain.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

func (f *fakeMembers) set(members ...domain.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

func member(id domain.HostID) domain.Member {
	return domain.Member{ID: id, Zone: "dakar-1", State: domain.MemberAlive}
}

// fakeEngine lists attempts and records cancels.
type fakeEngine struct {
	ports.Engine
	mu       sync.Mutex
	running  []ports.Running
	canceled []domain.AttemptID
	load     ports.Load
	events   []ports.CacheEvent
	down     bool
}

func (f *fakeEngine) List(context.Context) ([]ports.Running, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, &ports.EngineError{Kind: ports.EngineUnreachable}
	}
	return slices.Clone(f.running), nil
}

func (f *fakeEngine) Cancel(_ context.Context, id domain.AttemptID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return &ports.EngineError{Kind: ports.EngineUnreachable}
	}
	f.canceled = append(f.canceled, id)
	f.running = slices.DeleteFunc(f.running, func(r ports.Running) bool { return r.ID == id })
	return nil
}

func (f *fakeEngine) Load(context.Context) (ports.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return ports.Load{}, &ports.EngineError{Kind: ports.EngineUnreachable}
	}
	return f.load, nil
}

func (f *fakeEngine) CacheEvents(_ context.Context, after uint64) ([]ports.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ports.CacheEvent
	for _, e := range f.events {
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	return out, nil
}

func (f *fakeEngine) run(r ports.Running) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, r)
}

func (f *fakeEngine) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeEngine) wasCanceled(id domain.AttemptID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.canceled, id)
}

// fakeUpstreams returns one engine per upstream identifier.
type fakeUpstreams struct {
	ports.Upstreams
	engines map[domain.UpstreamID]*fakeEngine
}

func (f *fakeUpstreams) Engine(up domain.Upstream) ports.Engine { return f.engines[up.ID] }

// fakeHosts is a host list that a test sets.
type fakeHosts struct {
	mu    sync.Mutex
	hosts []ports.ListedHost
}

func (f *fakeHosts) Hosts(context.Context) ([]ports.ListedHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts), nil
}

func (f *fakeHosts) leave(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, ports.ListedHost{Name: name, Leaving: true})
}

const testGroup = domain.GroupID("m/dakar/0")

// fixture is a keeper with fakes for everything that it depends on.
type fixture struct {
	tables    *fakeTables
	members   *fakeMembers
	upstreams *fakeUpstreams
	hosts     *fakeHosts
	counters  *counters.Set
	keeper    *Keeper
}

// fleetSize is the number of upstreams of each role, and the slots and pieces of
// each decode upstream.
type fleetSize struct {
	prefills, decodes, slots, pieces int
}

func newFixture(s fleetSize, policy Policy) *fixture {
	pool := domain.Pool{Name: "m", Kind: domain.PoolModel, Model: "m"}
	engines := make(map[domain.UpstreamID]*fakeEngine)
	for i := range s.prefills {
		up := domain.Upstream{ID: domain.UpstreamID(fmt.Sprintf("p%d", i)), Zone: "dakar-1", Role: domain.RolePrefill, PrefillRate: 20_000}
		pool.Upstreams = append(pool.Upstreams, up)
		engines[up.ID] = &fakeEngine{}
	}
	for i := range s.decodes {
		up := domain.Upstream{ID: domain.UpstreamID(fmt.Sprintf("d%d", i)), Zone: "dakar-1", Role: domain.RoleDecode, Slots: s.slots, Pieces: s.pieces}
		pool.Upstreams = append(pool.Upstreams, up)
		engines[up.ID] = &fakeEngine{}
	}
	b := &fixture{
		tables:    &fakeTables{pool: pool},
		members:   &fakeMembers{self: "h1"},
		upstreams: &fakeUpstreams{engines: engines},
		hosts:     &fakeHosts{},
		counters:  counters.NewSet(),
	}
	b.members.set(member("h1"))
	b.keeper = b.newKeeper("h1", policy)
	return b
}

func (b *fixture) engine(id domain.UpstreamID) *fakeEngine { return b.upstreams.engines[id] }

func (b *fixture) newKeeper(self domain.HostID, policy Policy) *Keeper {
	if policy == nil {
		// Tests without a policy of their own expect each grant to have a free slot,
		// which just-in-time grants may not have.
		policy = ReserveThenPrefill{}
	}
	return New(Config{
		Self: self, Zone: "dakar-1", Tables: b.tables, Membership: b.members, Upstreams: b.upstreams,
		HostList: b.hosts, Counters: b.counters, Policy: policy, Scope: groups.ScopeRegion,
	})
}

// start runs the keeper until stop is called, and waits until the keeper has
// listed the engines.
func (b *fixture) start(t testing.TB, k *Keeper) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	synctest.Wait()
	return func() {
		cancel()
		<-done
	}
}

func slotRequest(caller domain.CallerID, request string, attempt int) domain.SlotRequest {
	return domain.SlotRequest{
		ID:     domain.AttemptID{Caller: caller, Request: domain.RequestID(request), Attempt: attempt},
		Holder: "g1", HolderZone: "dakar-1", Pool: "m", Route: "r", Class: domain.ClassPatient,
		PromptTokens: 1000, OutputTokens: 100,
	}
}

func interactive(req domain.SlotRequest, left time.Duration) domain.SlotRequest {
	req.Class = domain.ClassInteractive
	req.FirstTokenRemaining = left
	return req
}
