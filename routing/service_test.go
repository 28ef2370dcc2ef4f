package routing_test

import (
	"context"
	"testing"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/routing"
)

// fakeService returns the given errors first, then succeeds.
type fakeService struct {
	calls  int
	errors []error
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
		Quarantine: &fakeQuarantine{},
		Leaving:    leaving,
		Counters:   counters.NewSet(),
	})
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
