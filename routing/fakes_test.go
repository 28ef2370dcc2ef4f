package routing_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/routing"
	"greengagespoke/standin/engine"
)

const testModel = "drafting-models"

// fakeTables is a ports.TableView with fixed rows.
type fakeTables struct {
	ports.TableView
	routes []domain.Route
	pools  []domain.Pool
}

func (f *fakeTables) Revision() domain.Revision { return 1 }
func (f *fakeTables) Pools() []domain.Pool      { return f.pools }

func (f *fakeTables) RouteForModel(model string) (domain.Route, bool) {
	for _, r := range f.routes {
		if r.Model == model {
			return r, true
		}
	}
	return domain.Route{}, false
}

func (f *fakeTables) RouteForPath(path string) (domain.Route, bool) {
	for _, r := range f.routes {
		if r.PathPrefix != "" && strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return domain.Route{}, false
}

func (f *fakeTables) Pool(name domain.PoolName) (domain.Pool, bool) {
	for _, p := range f.pools {
		if p.Name == name {
			return p, true
		}
	}
	return domain.Pool{}, false
}

type fakeMembership struct{}

func (fakeMembership) Self() domain.Member {
	return domain.Member{ID: "host-1", Zone: "dakar-1", State: domain.MemberAlive}
}

func (m fakeMembership) Members() []domain.Member { return []domain.Member{m.Self()} }

// fakeKeeper grants its pairs in order, the last one repeatedly, and records
// requests and releases.
type fakeKeeper struct {
	mu       sync.Mutex
	pairs    [][2]domain.UpstreamID
	refusal  *domain.Refusal
	requests []domain.SlotRequest
	// Until promiseUntil, the first maxPromises requests get promises instead
	// of free slots.
	promiseUntil time.Time
	maxPromises  int
	releases     []domain.Release
	lostGrants   []domain.GrantID
}

func (k *fakeKeeper) Acquire(_ context.Context, _ domain.GroupID, req domain.SlotRequest) (domain.Grant, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, req)
	if k.refusal != nil {
		return domain.Grant{}, k.refusal
	}
	pair := k.pairs[0]
	if len(k.pairs) > 1 {
		k.pairs = k.pairs[1:]
	}
	var promise time.Duration
	if time.Now().Before(k.promiseUntil) && len(k.requests) <= k.maxPromises {
		promise = time.Until(k.promiseUntil)
	}
	return domain.Grant{
		DecodeFreeIn: promise,
		ID:           domain.GrantID(req.ID.Key().String()),
		Request:      req.ID,
		Holder:       req.Holder,
		Pool:         req.Pool,
		Prefill:      pair[0],
		Decode:       pair[1],
		Pieces:       req.Pieces(),
	}, nil
}

func (k *fakeKeeper) Renew(context.Context, domain.GroupID, domain.HostID, []domain.Grant) ([]domain.GrantID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lostGrants, nil
}

func (k *fakeKeeper) Release(_ context.Context, _ domain.GroupID, releases []domain.Release) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.releases = append(k.releases, releases...)
	return nil
}

func (k *fakeKeeper) Withdraw(context.Context, domain.GroupID, domain.AttemptID) error { return nil }

// acquireRequests returns the acquire requests received so far.
func (k *fakeKeeper) acquireRequests() []domain.SlotRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.requests)
}

func (k *fakeKeeper) releaseReasons() []domain.ReleaseReason {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []domain.ReleaseReason
	for _, r := range k.releases {
		out = append(out, r.Reason)
	}
	return out
}

type fakePeers struct {
	ports.Peers
	keeper *fakeKeeper
}

func (p fakePeers) Keeper(domain.HostID) ports.Keeper { return p.keeper }

// fakeQuarantine records crashes. It rejects every request while rejectAll is
// set.
type fakeQuarantine struct {
	mu        sync.Mutex
	crashed   []domain.UpstreamID
	rejectAll bool
}

func (q *fakeQuarantine) Suspect(uint64) bool     { return false }
func (q *fakeQuarantine) Clear(uint64, ...uint64) {}

func (q *fakeQuarantine) Check(uint64, ...uint64) *domain.Refusal {
	if q.rejectAll {
		return domain.Refuse(domain.RefusalQuarantined, "it crashes upstreams", "change it")
	}
	return nil
}

func (q *fakeQuarantine) RecordCrash(up domain.UpstreamID, _ []uint64, _ ...uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashed = append(q.crashed, up)
}

// fakeUpstreams provides the engines of a fabric and fake services.
type fakeUpstreams struct {
	fabric   *engine.Fabric
	services map[domain.UpstreamID]ports.Service
}

func (u fakeUpstreams) Engine(up domain.Upstream) ports.Engine {
	e, _ := u.fabric.Engine(up.ID)
	return e
}

func (u fakeUpstreams) Service(up domain.Upstream) ports.Service { return u.services[up.ID] }

type leavingSet map[domain.UpstreamID]bool

func (l leavingSet) Leaving(id domain.UpstreamID) bool { return l[id] }

// testGate is a gate with stand-in engines and a fake keeper.
type testGate struct {
	gate       *routing.Gate
	keeper     *fakeKeeper
	quarantine *fakeQuarantine
	fabric     *engine.Fabric
	engines    map[domain.UpstreamID]*engine.Engine
}

// newTestGate returns a testGate with prefill engines p1 and p2 and decode
// engines d1 and d2. Responses are outputTokens long.
func newTestGate(t *testing.T, outputTokens int, faults engine.FrameFaults) *testGate {
	t.Helper()
	r := &testGate{
		keeper:     &fakeKeeper{pairs: [][2]domain.UpstreamID{{"p1", "d1"}, {"p2", "d2"}}},
		quarantine: &fakeQuarantine{},
		fabric:     engine.NewFabric(engine.LinkConfig{}),
		engines:    make(map[domain.UpstreamID]*engine.Engine),
	}
	pool := domain.Pool{Name: "drafting", Kind: domain.PoolModel, Model: testModel}
	for _, id := range []domain.UpstreamID{"p1", "p2", "d1", "d2"} {
		up := domain.Upstream{ID: id, Zone: "dakar-1", Role: domain.RoleDecode}
		if id[0] == 'p' {
			up.Role = domain.RolePrefill
		}
		e := engine.New(engine.Config{
			Upstream:     up,
			Fabric:       r.fabric,
			Frames:       faults,
			OutputTokens: func(string, int) int { return outputTokens },
		})
		r.engines[id] = e
		pool.Upstreams = append(pool.Upstreams, e.Upstream())
	}
	r.gate = routing.New(routing.Config{
		Tables: &fakeTables{
			pools:  []domain.Pool{pool},
			routes: []domain.Route{{Name: "drafts", Pool: pool.Name, Model: testModel, Class: domain.ClassPatient, MaxOutputTokens: 1000}},
		},
		Membership: fakeMembership{},
		Peers:      fakePeers{keeper: r.keeper},
		Upstreams:  fakeUpstreams{fabric: r.fabric},
		Quarantine: r.quarantine,
		Leaving:    leavingSet{},
		Counters:   counters.NewSet(),
	})
	t.Cleanup(r.close)
	return r
}

func (r *testGate) close() {
	r.gate.Close()
	for _, e := range r.engines {
		e.Close()
	}
}

// heldAttempts returns the number of attempts that hold memory on engines.
func (r *testGate) heldAttempts() int {
	n := 0
	for _, e := range r.engines {
		n += len(e.Held())
	}
	return n
}

const testPrompt = "Plan notes for the lower gallery of the cave, as measured in the spring survey."

// request returns a request for the test model.
func request(id string, attempt int) *domain.Completion {
	return &domain.Completion{Caller: "firm-a", Request: domain.RequestID(id), Attempt: attempt, Model: testModel, Prompt: testPrompt}
}

// responseRecorder records the frames that a caller receives.
type responseRecorder struct {
	mu      sync.Mutex
	frames  []domain.Frame
	onFrame func(n int) error
}

func (a *responseRecorder) deliver(f domain.Frame) error {
	a.mu.Lock()
	a.frames = append(a.frames, f)
	n := len(a.frames)
	a.mu.Unlock()
	if a.onFrame != nil {
		return a.onFrame(n)
	}
	return nil
}

// checkComplete checks that each frame of the response was delivered once, in
// order and with the right text.
func (a *responseRecorder) checkComplete(t *testing.T, tokens int) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.frames) != tokens {
		t.Fatalf("%d frames were delivered, want %d", len(a.frames), tokens)
	}
	for i, f := range a.frames {
		if f.Number != i+1 || f.Text != engine.AnswerTo(testPrompt).Token(i+1) {
			t.Fatalf("frame %d has number %d and text %q", i+1, f.Number, f.Text)
		}
	}
	if !a.frames[tokens-1].Last {
		t.Fatal("the last frame is not marked")
	}
}

// drainGate waits up to a minute of virtual time for background tasks and
// checks that no engine holds memory.
func drainGate(t *testing.T, r *testGate) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	if err := r.gate.Drain(ctx); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if n := r.heldAttempts(); n != 0 {
		t.Fatalf("%d attempts still hold engine memory", n)
	}
}
