package routing_test

import (
	"context"
	"testing"
	"time"

	"greengagespoke/claims"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/quarantine"
	"greengagespoke/routing"
)

// fakeService returns the given errors first, then succeeds.
type fakeService struct {
	calls  int
	errors []error
	// crashed says that nothing listens after an error.
	crashed bool
}

func (s *fakeService) Call(context.Context, ports.ServiceRequest) (ports.ServiceResponse, error) {
	s.calls++
	if len(s.errors) > 0 {
		err := s.errors[0]
		s.errors = s.errors[1:]
		return ports.ServiceResponse{}, err
	}
	return ports.ServiceResponse{Status: 200}, nil
}

func (s *fakeService) Listening(context.Context) (bool, error) { return !s.crashed, nil }

func newServiceGate(services map[domain.UpstreamID]ports.Service, leaving leavingSet) *routing.Gate {
	pool := domain.Pool{Name: "ledger", Kind: domain.PoolService}
	for id := range services {
		pool.Upstreams = append(pool.Upstreams, domain.Upstream{ID: id, Zone: "dakar-1", Role: domain.RoleService})
	}
	return routing.New(routing.Config{
		Tables: &fakeTables{
			pools: []domain.Pool{pool},
			routes: []domain.Route{{
				Name: "ledger", Pool: "ledger", PathPrefix: "/ledger/", RetryPercent: 20, Timeout: domain.Duration(time.Minute),
				NonIdempotent: []string{"POST /ledger/closures", "POST /ledger/billing/*"},
			}},
		},
		Membership: fakeMembership{},
		Upstreams:  fakeUpstreams{services: services},
		Quarantine: quarantine.New(quarantine.Config{Counters: counters.NewSet()}),
		Leaving:    leaving,
		Claims:     sendingClaims{},
		Counters:   counters.NewSet(),
	})
}

// sendingClaims sends each call.
type sendingClaims struct{}

func (sendingClaims) Execute(ctx context.Context, _ claims.Call, send claims.Sender) (ports.ServiceResponse, error) {
	return send(ctx)
}

func call(method, path string) routing.ServiceCall {
	return routing.ServiceCall{Caller: "firm-a", Request: ports.ServiceRequest{Method: method, Path: path}}
}

func TestNonIdempotentCallsAreNotRetried(t *testing.T) {
	for _, path := range []string{"/ledger/closures", "/ledger/billing/entries"} {
		s := &fakeService{errors: []error{&ports.ServiceError{Sent: true, Message: "connection reset"}}}
		gate := newServiceGate(map[domain.UpstreamID]ports.Service{"s1": s}, nil)
		_, err := gate.CallService(t.Context(), call("POST", path))
		refusal := checkRefusal(t, err, domain.RefusalUpstreamFailed)
		if s.calls != 1 || refusal.Ran != domain.RanUnknown {
			t.Errorf("%s: %d calls, ran %s", path, s.calls, refusal.Ran)
		}
	}
}

func TestUnsentCallDidNotRun(t *testing.T) {
	s := &fakeService{errors: []error{&ports.ServiceError{Message: "connection refused"}}}
	gate := newServiceGate(map[domain.UpstreamID]ports.Service{"s1": s}, nil)
	_, err := gate.CallService(t.Context(), call("POST", "/ledger/closures"))
	if refusal := checkRefusal(t, err, domain.RefusalNoUpstream); refusal.Ran != domain.RanNo {
		t.Fatalf("ran is %s", refusal.Ran)
	}
}

func TestIdempotentCallsAreRetriedOnAnotherUpstream(t *testing.T) {
	failing := &fakeService{errors: []error{&ports.ServiceError{Sent: true, Message: "reset"}, &ports.ServiceError{Sent: true, Message: "reset"}}}
	healthy := &fakeService{}
	gate := newServiceGate(map[domain.UpstreamID]ports.Service{"s1": failing, "s2": healthy}, nil)
	for range 20 {
		if _, err := gate.CallService(t.Context(), call("GET", "/ledger/status")); err != nil {
			t.Fatal(err)
		}
	}
	if failing.calls == 0 || healthy.calls == 0 {
		t.Fatalf("calls are not spread: %d and %d", failing.calls, healthy.calls)
	}
}

func TestLeavingServicesGetNoCalls(t *testing.T) {
	leaving, remaining := &fakeService{}, &fakeService{}
	gate := newServiceGate(map[domain.UpstreamID]ports.Service{"s1": leaving, "s2": remaining}, leavingSet{"s1": true})
	for range 20 {
		if _, err := gate.CallService(t.Context(), call("GET", "/ledger/status")); err != nil {
			t.Fatal(err)
		}
	}
	if leaving.calls != 0 || remaining.calls != 20 {
		t.Fatalf("leaving upstream got %d calls", leaving.calls)
	}
}

// A call that has crashed three services must not be sent to a fourth, with or without an
// idempotency key; a service that is still there has only lost a connection.
func TestCallThatCrashedThreeServicesIsRefused(t *testing.T) {
	for _, path := range []string{"/ledger/status", "/ledger/closures"} {
		for _, key := range []string{"", "k"} {
			for _, crashed := range []bool{true, false} {
				services := make(map[domain.UpstreamID]ports.Service)
				calls := func() (n int) {
					for _, s := range services {
						n += s.(*fakeService).calls
					}
					return n
				}
				for _, id := range []domain.UpstreamID{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"} {
					s := &fakeService{crashed: crashed}
					for range 100 {
						s.errors = append(s.errors, &ports.ServiceError{Sent: true, Lost: true, Message: "reset"})
					}
					services[id] = s
				}
				gate := newServiceGate(services, nil)
				crashing := call("POST", path)
				crashing.IdempotencyKey = key
				var err error
				for range 40 {
					_, err = gate.CallService(t.Context(), crashing)
				}
				refusal, _ := domain.AsRefusal(err)
				if !crashed {
					if refusal.Kind == domain.RefusalQuarantined || calls() < 40 {
						t.Errorf("%s with key %q: %d calls, then %v, though no service crashed", path, key, calls(), err)
					}
					continue
				}
				// The strikes of a few upstreams may suffice only with one crash more.
				if refusal.Kind != domain.RefusalQuarantined || refusal.Ran != domain.RanNo || calls() > quarantine.DefaultStrikeLimit+10 {
					t.Errorf("%s with key %q: %d calls, then %v", path, key, calls(), err)
				}
				crashing.Attempt = 2
				_, err = gate.CallService(t.Context(), crashing)
				if refusal := checkRefusal(t, err, domain.RefusalQuarantined); refusal.Ran != domain.RanUnknown {
					t.Errorf("%s with key %q: a repeated call is told that it ran: %s", path, key, refusal.Ran)
				}
				other := call("POST", path)
				other.Caller = "firm-b"
				before := calls()
				_, _ = gate.CallService(t.Context(), other)
				if calls() == before {
					t.Errorf("%s: the same call of another caller was not sent", path)
				}
			}
		}
	}
}
