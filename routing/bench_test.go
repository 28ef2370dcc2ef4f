package routing_test

import (
	"context"
	"io"
	"testing"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/routing"
)

// instantEngine answers immediately, so that a benchmark measures only the
// gate.
type instantEngine struct {
	ports.Engine
	tokens int
}

func (e *instantEngine) Prefill(context.Context, ports.PrefillRequest) (ports.PrefillResult, error) {
	return ports.PrefillResult{Handle: "h", ExpiresIn: 1e9}, nil
}

func (e *instantEngine) Import(context.Context, ports.ImportRequest) error { return nil }

func (e *instantEngine) Decode(context.Context, domain.AttemptID, int) (ports.FrameStream, error) {
	return &instantStream{remaining: e.tokens}, nil
}

type instantStream struct {
	remaining, next int
}

func (s *instantStream) Next(context.Context) (domain.Frame, error) {
	if s.remaining == 0 {
		return domain.Frame{}, io.EOF
	}
	s.remaining--
	s.next++
	return domain.Frame{Number: s.next, Text: " word", Last: s.remaining == 0}, nil
}

func (s *instantStream) Close() error { return nil }

type instantUpstreams struct {
	ports.Upstreams
	engine *instantEngine
}

func (u instantUpstreams) Engine(domain.Upstream) ports.Engine { return u.engine }

func newInstantGate(e *instantEngine) *routing.Gate {
	pool := domain.Pool{Name: "drafting", Kind: domain.PoolModel, Upstreams: []domain.Upstream{
		{ID: "p1", Zone: "dakar-1", Role: domain.RolePrefill},
		{ID: "d1", Zone: "dakar-1", Role: domain.RoleDecode},
	}}
	return routing.New(routing.Config{
		Tables: &fakeTables{
			pools:  []domain.Pool{pool},
			routes: []domain.Route{{Name: "drafts", Pool: pool.Name, Model: testModel, Class: domain.ClassPatient, MaxOutputTokens: 1 << 30}},
		},
		Membership: fakeMembership{},
		Peers:      fakePeers{keeper: &fakeKeeper{pairs: [][2]domain.UpstreamID{{"p1", "d1"}}}},
		Upstreams:  instantUpstreams{engine: e},
		Quarantine: &fakeQuarantine{},
		Leaving:    leavingSet{},
		Counters:   counters.NewSet(),
	})
}

// BenchmarkRelayFrame measures the overhead of the gate per frame.
func BenchmarkRelayFrame(b *testing.B) {
	b.ReportAllocs()
	gate := newInstantGate(&instantEngine{tokens: b.N})
	if err := gate.Complete(context.Background(), request("r1", 1), func(domain.Frame) error { return nil }); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRequest measures the overhead of the gate for a request of one
// frame.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	gate := newInstantGate(&instantEngine{tokens: 1})
	for b.Loop() {
		if err := gate.Complete(context.Background(), request("r1", 1), func(domain.Frame) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
