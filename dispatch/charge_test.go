package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/quota"
	"greengagespoke/traffic"
)

// withQuotas gives the fixture's host a quota of a customer with a burst of 3 requests, of which
// granted says whether its granting host, the host itself, has begun to grant. It returns the
// counters.
func withQuotas(f *fixture, customer *traffic.Customer, granted bool) *counters.Set {
	set := counters.NewSet()
	f.catalog.Apply(withKeys(f.catalog.Config(), *customer), "test")
	f.gate.cfg.Quotas = quota.New(quota.Config{
		Self: "h", Zone: testZone, Ready: func() bool { return true }, Counters: set,
		Members:  func() []domain.Member { return []domain.Member{{ID: "h", Zone: testZone, State: domain.MemberAlive}} },
		Contact:  func() quota.Contact { return quota.Contact{Heard: time.Hour, Suspected: time.Hour} },
		Customer: func(traffic.CustomerName) (*traffic.Customer, domain.Revision) { return customer, 1 },
	})
	if granted {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.gate.cfg.Quotas.Run(ctx) }()
		time.Sleep(6 * time.Second)
		cancel()
	}
	return set
}

// A request that did not run kept its charge, one that ran or may have run lost it, a request beyond
// the quota was sent, or one of another host was charged a second time.
func TestRequestsAreCharged(t *testing.T) {
	customer := &traffic.Customer{Name: "c", Quota: traffic.Quota{Rate: 1, Burst: 3}}
	for _, test := range []struct {
		name, path string
		err        error
		hop        bool
		// leaves says that the caller leaves while all engines are full.
		leaves  bool
		charged string
	}{
		{name: "answered", path: "/once/x", charged: "1"},
		{name: "may have run", path: "/once/x", err: errReset, charged: "1"},
		{name: "rejected", path: "/once/x", err: errRejected, charged: "0"},
		{name: "stream", path: "/draft/x", charged: "1"},
		{name: "of another host", path: "/once/x", hop: true, charged: "0"},
		{name: "caller leaves", path: "/draft/x", leaves: true, charged: "0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				set := withQuotas(f, customer, true)
				if test.err != nil {
					f.call = func(*traffic.Upstream) (*traffic.Answer, error) { return nil, test.err }
				}
				req, ctx := newRequest(test.path), t.Context()
				req.Credential = keyOf(customer.Name)
				if config := f.catalog.Config(); test.hop {
					req.Hop = &traffic.Hop{
						Version: config.Version, Grant: &traffic.Grant{Service: testPlain, Upstreams: 1},
						Customers: true, Customer: customer.Name, CustomerMAC: config.HopMAC(req.ID, customer.Name),
					}
				}
				if test.leaves {
					f.reserve = func(*traffic.Upstream, int) error { return errRejected }
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, 100*time.Millisecond)
					defer cancel()
				}
				f.gate.Serve(ctx, req, &fakeCaller{})
				if want := `"quota_spent": ` + test.charged; !strings.Contains(set.String(), want) {
					t.Errorf("the counters lack %s: %s", want, set)
				}
			})
		})
	}
}

// A request beyond the quota must get 429 at once, and one of an unknown quota 503 after half of its
// target latency. Neither is sent.
func TestRequestsBeyondTheQuota(t *testing.T) {
	customer := &traffic.Customer{Name: "c", Quota: traffic.Quota{Rate: 1, Burst: 3}}
	for _, granted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 1)
			withQuotas(f, customer, granted)
			want, sent, held := domain.RefusalQuotaUnknown, 0, 500*time.Millisecond
			if granted {
				want, sent, held = domain.RefusalOverQuota, 3, 0
			}
			var last *fakeCaller
			began := time.Now()
			for range sent + 1 {
				req := newRequest("/once/x")
				req.Credential = keyOf(customer.Name)
				last, began = &fakeCaller{}, time.Now()
				f.gate.Serve(t.Context(), req, last)
			}
			if last.refusal == nil || last.refusal.Kind != want || last.refusal.Ran != domain.RanNo || last.refusal.RetryAfter <= 0 {
				t.Errorf("granted %t: refusal %+v, want %s", granted, last.refusal, want)
			}
			if f.count("call") != sent || time.Since(began) != held {
				t.Errorf("granted %t: %d calls, held %v", granted, f.count("call"), time.Since(began))
			}
		})
	}
}
