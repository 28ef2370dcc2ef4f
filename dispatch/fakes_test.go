package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"greengagespoke/catalog"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/origins"
	"greengagespoke/quarantine"
	"greengagespoke/ratelimit"
	"greengagespoke/reach"
	"greengagespoke/stages"
	"greengagespoke/traffic"
)

const (
	testZone    = domain.Zone("z-a")
	testService = traffic.ServiceName("models")
	testPlain   = traffic.ServiceName("ledger")
	testHost    = "h.example"
	// testMemory is the memory of an engine in tokens.
	testMemory = 40000
)

// fakeUpstreams is a fake of all upstreams. Tests may replace its functions. Each
// call is recorded in calls.
type fakeUpstreams struct {
	mu    sync.Mutex
	calls []string

	call func(up *traffic.Upstream) (*traffic.Answer, error)
	// reserve handles reservations on decode engines, reserveIdle those on prefill
	// engines.
	reserve     func(up *traffic.Upstream, tokens int) error
	reserveIdle func(up *traffic.Upstream, tokens int) error
	prefill     func(up *traffic.Upstream) error
	// prefillRequest and streamRequest replace prefill and stream unless they are nil.
	prefillRequest func(up *traffic.Upstream, req *traffic.Request) error
	streamRequest  func(up *traffic.Upstream, req *traffic.Request, opts traffic.SendOptions) (traffic.Stream, error)
	// reservationReleased is called with the tokens of each reservation that is
	// released on a decode engine. It may be nil.
	reservationReleased func(tokens int)
	// released is called with each reservation that is released on a decode engine. It may be nil.
	released func(r *traffic.Reservation)
	// callRequest replaces call unless it is nil.
	callRequest func(req *traffic.Request) (*traffic.Answer, error)
	// listening is asked after lost connections.
	listening func(up *traffic.Upstream) (bool, error)
	stream    func(up *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error)
}

func newFakeUpstreams() *fakeUpstreams {
	return &fakeUpstreams{
		call:        func(*traffic.Upstream) (*traffic.Answer, error) { return &traffic.Answer{Status: 200}, nil },
		reserve:     func(*traffic.Upstream, int) error { return nil },
		reserveIdle: func(*traffic.Upstream, int) error { return nil },
		prefill:     func(*traffic.Upstream) error { return nil },
		listening:   func(*traffic.Upstream) (bool, error) { return true, nil },
		stream: func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			return newFakeStreamAfter(opts.LastEventID, 3, nil), nil
		},
	}
}

func (w *fakeUpstreams) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, fmt.Sprintf(format, args...))
}

func (w *fakeUpstreams) count(prefix string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, c := range w.calls {
		if len(c) >= len(prefix) && c[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

func (w *fakeUpstreams) Connected(*traffic.Upstream) bool { return true }

func (w *fakeUpstreams) Listening(_ context.Context, up *traffic.Upstream) (bool, error) {
	w.record("listening %s", up.ID)
	return w.listening(up)
}

func (w *fakeUpstreams) Call(ctx context.Context, up *traffic.Upstream, req *traffic.Request, _ time.Duration) (*traffic.Answer, error) {
	w.record("call %s", up.ID)
	if w.callRequest != nil {
		return w.callRequest(req)
	}
	answer, err := w.call(up)
	if errors.Is(err, errNoResponse) {
		<-ctx.Done()
		return nil, &traffic.CallError{Effect: traffic.EffectUnknown, Err: ctx.Err()}
	}
	return answer, err
}

func (w *fakeUpstreams) Reserve(_ context.Context, up *traffic.Upstream, tokens int, _ time.Duration) (*traffic.Reservation, error) {
	w.record("reserve %s", up.ID)
	ask := w.reserve
	if up.Role == domain.RolePrefill {
		ask = w.reserveIdle
	}
	if err := ask(up, tokens); err != nil {
		return nil, err
	}
	return &traffic.Reservation{Engine: up, ID: "r", Tokens: tokens}, nil
}

func (w *fakeUpstreams) Prefill(_ context.Context, up *traffic.Upstream, req *traffic.Request, _ traffic.SendOptions) (*traffic.Prompt, error) {
	w.record("prefill %s", up.ID)
	run := w.prefill
	if w.prefillRequest != nil {
		run = func(up *traffic.Upstream) error { return w.prefillRequest(up, req) }
	}
	if err := run(up); err != nil {
		return nil, err
	}
	return &traffic.Prompt{Engine: up, Handle: "h"}, nil
}

func (w *fakeUpstreams) Stream(_ context.Context, up *traffic.Upstream, req *traffic.Request, opts traffic.SendOptions) (traffic.Stream, error) {
	w.record("stream %s after %q", up.ID, opts.LastEventID)
	if w.streamRequest != nil {
		return w.streamRequest(up, req, opts)
	}
	return w.stream(up, opts)
}

func (w *fakeUpstreams) ReleaseReservation(_ context.Context, r *traffic.Reservation) {
	w.record("drop reservation %s", r.Engine.ID)
	if w.reservationReleased != nil && r.Engine.Role == domain.RoleDecode {
		w.reservationReleased(r.Tokens)
	}
	if w.released != nil && r.Engine.Role == domain.RoleDecode {
		w.released(r)
	}
}

func (w *fakeUpstreams) ReleasePrompt(p *traffic.Prompt) { w.record("drop prompt %s", p.Engine.ID) }

// errNoResponse makes a fake call block until its context ends.
var errNoResponse = errors.New("no response")

var (
	errRejected          = &traffic.CallError{Effect: traffic.EffectRejected, Err: errors.New("full")}
	errMisdirected       = &traffic.CallError{Effect: traffic.EffectRejected, Misdirected: true, Err: errors.New("misdirected")}
	errReset             = &traffic.CallError{Effect: traffic.EffectUnknown, Err: errors.New("reset")}
	errConnectionRefused = &traffic.CallError{Effect: traffic.EffectNotSent, Err: errors.New("connection refused")}
)

// fakeStream returns numbered events from next to last and ends with the error end,
// or is complete if end is nil.
type fakeStream struct {
	next, last int
	end        error
	closed     func()
}

func newFakeStream(events int, end error) *fakeStream {
	return &fakeStream{next: 1, last: events, end: end}
}

// newFakeStreamAfter returns a stream of some events that goes on after the event with the ID last.
func newFakeStreamAfter(last string, events int, end error) *fakeStream {
	n, _ := strconv.Atoi(last)
	return &fakeStream{next: n + 1, last: n + events, end: end}
}

func (s *fakeStream) Head() any { return nil }

func (s *fakeStream) Next(time.Duration) (traffic.Event, error) {
	if s.next > s.last {
		if s.end == nil {
			return traffic.Event{}, io.EOF
		}
		return traffic.Event{}, s.end
	}
	id := fmt.Sprint(s.next)
	s.next++
	return traffic.Event{ID: id, Raw: []byte("id: " + id + "\n\n")}, nil
}

func (s *fakeStream) Verified() bool { return true }

func (s *fakeStream) Unframed() bool { return false }

func (s *fakeStream) Close() {
	if s.closed != nil {
		s.closed()
	}
}

// fakeCaller records what it receives.
type fakeCaller struct {
	answer  *traffic.Answer
	refusal *domain.Refusal
	started bool
	aborted bool
	used    *traffic.Usage
	events  []string
	// disconnectAfter makes Event fail after that number of events. It never fails if
	// disconnectAfter is 0.
	disconnectAfter int
	// onStart is called when the head of a stream arrives. It may be nil.
	onStart func()
}

func (c *fakeCaller) Answer(a *traffic.Answer) { c.answer = a }
func (c *fakeCaller) Refuse(r *domain.Refusal) { c.refusal = r }
func (c *fakeCaller) Start(any) {
	c.started = true
	if c.onStart != nil {
		c.onStart()
	}
}

func (c *fakeCaller) Abort()               { c.aborted = true }
func (c *fakeCaller) Used(u traffic.Usage) { c.used = &u }
func (c *fakeCaller) Event(e traffic.Event) error {
	if c.disconnectAfter > 0 && len(c.events) >= c.disconnectAfter {
		return errors.New("disconnected")
	}
	c.events = append(c.events, e.ID)
	return nil
}

// fixture is a gate in front of fake upstreams.
type fixture struct {
	*fakeUpstreams
	gate    *Gate
	catalog *catalog.Catalog
	leaving bool
	// undecided makes another host decide on requests that may have caused crashes.
	undecided bool
}

func route(prefix string, service traffic.ServiceName, kind traffic.RouteKind, attempts int) traffic.Route {
	return traffic.Route{
		Name: prefix, Host: testHost, Prefix: prefix, Kind: kind,
		Shares:  []traffic.Share{{Service: service, Weight: 1}},
		Timeout: 14 * time.Second, TargetLatency: time.Second, TargetEventGap: 300 * time.Millisecond, MaxAttempts: attempts,
		Generation: kind == traffic.Streaming,
	}
}

// newFixture returns a gate with two plain upstreams, two decode and two prefill
// engines.
func newFixture(t *testing.T, hosts int) *fixture {
	t.Helper()
	f := &fixture{fakeUpstreams: newFakeUpstreams(), catalog: catalog.New()}
	resumable := route("/resume/", testService, traffic.Streaming, 2)
	resumable.Resumable = true
	f.catalog.Apply(&traffic.Config{
		Version: 1,
		Routes: []traffic.Route{
			route("/once/", testPlain, traffic.NonIdempotent, 1),
			route("/again/", testPlain, traffic.Idempotent, 2),
			route("/draft/", testService, traffic.Streaming, 1),
			// More attempts than one do not make a request repeatable.
			route("/once-of-two/", testPlain, traffic.NonIdempotent, 2),
			route("/draft-of-two/", testService, traffic.Streaming, 2),
			resumable,
		},
		Services: map[traffic.ServiceName]traffic.Service{
			testPlain:   {Name: testPlain},
			testService: {Name: testService, Engine: &traffic.Engine{Slots: 64, MemoryTokens: testMemory, ReservationTTL: 2 * time.Second}},
		},
	}, "test")
	for _, id := range []domain.UpstreamID{"p1", "p2"} {
		f.add(id, testPlain, domain.RoleService)
	}
	for _, id := range []domain.UpstreamID{"d1", "d2"} {
		f.add(id, testService, domain.RoleDecode)
	}
	for _, id := range []domain.UpstreamID{"f1", "f2"} {
		f.add(id, testService, domain.RolePrefill)
	}
	f.gate = newTestGate(f, f.catalog, hosts)
	return f
}

// newTestGate returns the gate of one of several hosts in front of the fixture's
// upstreams.
func newTestGate(f *fixture, c *catalog.Catalog, hosts int) *Gate {
	budget := NewBudget(func() int { return hosts })
	budget.Set(BudgetLimits{Ratio: 0.2, Extra: 58, Window: 10 * time.Second})
	return NewGate(Config{
		Zone: testZone, Catalog: c, Upstreams: f.fakeUpstreams, Budget: budget,
		Quarantine: quarantine.New(quarantine.Config{Counters: counters.NewSet()}),
		RateLimits: newRateLimits(),
		Origins:    origins.New(origins.Config{Self: "h", Members: func() []domain.Member { return nil }, Counters: counters.NewSet()}),
		Reach:      newReach(f, c),
		Decides:    func(uint64) bool { return !f.undecided },
		Counters:   counters.NewSet(), Loads: stages.NewLoads(), Rejecting: func() bool { return f.leaving },
	})
}

// newReach returns the reach of a host that is alone and takes all services for reached.
func newReach(f *fixture, c *catalog.Catalog) *reach.Monitor {
	return reach.New(reach.Config{
		Self: "h", Services: func() []traffic.ServiceName { return nil }, Ready: c.Ready, Listening: f.Listening,
		Members: func() []domain.Member { return nil }, Counters: counters.NewSet(),
	})
}

// newRateLimits returns the rate limits of a host that is alone.
func newRateLimits() *ratelimit.Limits {
	return ratelimit.New(ratelimit.Config{
		Self: "h", GrantingHost: func(domain.UpstreamID) domain.HostID { return "h" }, Counters: counters.NewSet(),
	})
}

func (f *fixture) add(id domain.UpstreamID, service traffic.ServiceName, role domain.Role) {
	f.catalog.Change([]traffic.UpstreamChange{{ID: id, Upstream: &traffic.Upstream{
		ID: id, Service: service, Address: "10.0.0.1:1", Zone: testZone, Role: role, Slots: 6, Version: "v1", StartedAtMillis: 1,
	}}}, time.Now())
}

// serve handles one request until it ends.
func (f *fixture) serve(path string, caller *fakeCaller) *fakeCaller {
	f.gate.Serve(context.Background(), newRequest(path), caller)
	return caller
}

func newRequest(path string) *traffic.Request {
	now := time.Now()
	return &traffic.Request{
		ID: "q", Host: testHost, Path: path, Arrived: now, Deadline: now.Add(14 * time.Second),
		PromptTokens: 3000, MaxOutput: 2000, OutputHint: 800,
	}
}
