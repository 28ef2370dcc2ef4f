package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// withCustomers applies the fixture's configuration with a public route and customers: each has the
// key "key of NAME".
func withCustomers(f *fixture, names ...traffic.CustomerName) *traffic.Config {
	customers := make([]traffic.Customer, len(names))
	for i, name := range names {
		customers[i].Name = name
	}
	next := withKeys(f.catalog.Config(), customers...)
	public := route("/public/", testPlain, traffic.Idempotent, 2)
	public.Public = true
	next.Routes = append(next.Routes[:len(next.Routes):len(next.Routes)], public)
	f.catalog.Apply(next, "test")
	return next
}

// withKeys returns the next version of a configuration, in which each customer has the key "key of
// NAME".
func withKeys(config *traffic.Config, customers ...traffic.Customer) *traffic.Config {
	next := *config
	next.Version++
	next.RequiresKeys, next.HopKey, next.Customers = true, []byte("secret"), nil
	for _, c := range customers {
		c.Keys = []traffic.Credential{keyOf(c.Name)}
		next.Customers = append(next.Customers, c)
	}
	return &next
}

func keyOf(name traffic.CustomerName) traffic.Credential {
	return traffic.NewCredential("key of " + string(name))
}

// Requests without the key of a customer must be refused before their body is read, and again when
// they are served. A host that may lack the configuration that has the key must not refuse it for
// good.
func TestRequestsNeedTheKeyOfACustomer(t *testing.T) {
	for name, c := range map[string]struct {
		path       string
		credential traffic.Credential
		lost       bool
		want       domain.RefusalKind
	}{
		"known key":                   {"/once/x", keyOf("a"), false, ""},
		"known key, store lost":       {"/once/x", keyOf("a"), true, ""},
		"unknown key":                 {"/once/x", keyOf("b"), false, domain.RefusalUnauthenticated},
		"unknown key, store lost":     {"/once/x", keyOf("b"), true, domain.RefusalStoreDown},
		"no key":                      {"/once/x", traffic.Credential{}, false, domain.RefusalUnauthenticated},
		"no key, store lost":          {"/once/x", traffic.Credential{}, true, domain.RefusalUnauthenticated},
		"public, known key":           {"/public/x", keyOf("a"), false, ""},
		"public, no key":              {"/public/x", traffic.Credential{}, false, ""},
		"public, unknown, store lost": {"/public/x", keyOf("b"), true, ""},
	} {
		f := newFixture(t, 1)
		withCustomers(f, "a")
		if c.lost {
			f.catalog.ConfigLost()
		}
		req, caller := newRequest(c.path), &fakeCaller{}
		req.Credential = c.credential
		early := f.gate.Authenticate(req)
		f.gate.Serve(context.Background(), req, caller)
		for _, refusal := range []*domain.Refusal{early, caller.refusal} {
			if kind(refusal) != c.want || refusal != nil && refusal.Ran != domain.RanNo {
				t.Errorf("%s: refusal %v, want %q", name, refusal, c.want)
			}
		}
		known := c.credential == keyOf("a")
		if c.want == "" && (!req.HidesCredential || (req.Customer != nil) != known || known && req.Customer.Name != "a") {
			t.Errorf("%s: served for %v, hides the key: %t", name, req.Customer, req.HidesCredential)
		}
	}
}

func kind(r *domain.Refusal) domain.RefusalKind {
	if r == nil {
		return ""
	}
	return r.Kind
}

// A key that is taken away while the body is read must not be served, and one that comes must be.
// A configuration without customers must not change what is sent.
func TestKeyIsCheckedAgainWithANewerConfiguration(t *testing.T) {
	f := newFixture(t, 1)
	req, caller := newRequest("/once/x"), &fakeCaller{}
	if refusal := f.gate.Authenticate(req); refusal != nil {
		t.Errorf("without customers: %v", refusal)
	}
	f.gate.Serve(t.Context(), req, caller)
	if caller.answer == nil || req.HidesCredential || req.Customer != nil {
		t.Errorf("without customers: answer %v for %v, hides the key: %t", caller.answer, req.Customer, req.HidesCredential)
	}
	withCustomers(f, "a")
	req, caller = newRequest("/once/x"), &fakeCaller{}
	req.Credential = keyOf("a")
	if refusal := f.gate.Authenticate(req); refusal != nil {
		t.Fatal(refusal)
	}
	withCustomers(f, "b")
	f.gate.Serve(t.Context(), req, caller)
	if kind(caller.refusal) != domain.RefusalUnauthenticated || f.count("call") != 1 {
		t.Errorf("the removed key is refused with %v, calls %v", caller.refusal, f.calls)
	}
}

// A stream goes on at other engines after its key was taken away. Another request to take it up is
// a new one.
func TestRunningStreamOutlivesItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		withCustomers(f, "a")
		f.stream = func(_ *traffic.Upstream, opts traffic.SendOptions) (traffic.Stream, error) {
			if opts.Resume {
				return newFakeStreamAfter(opts.LastEventID, 2, nil), nil
			}
			stream := newFakeStream(2, errReset)
			stream.closed = func() { withCustomers(f) }
			return stream, nil
		}
		req, caller := newRequest("/resume/"), &fakeCaller{}
		req.Credential = keyOf("a")
		f.gate.Serve(t.Context(), req, caller)
		if len(caller.events) != 4 || req.Customer == nil || req.Customer.Name != "a" {
			t.Errorf("events %v, refusal %v, customer %v", caller.events, caller.refusal, req.Customer)
		}
		again, caller := newRequest("/resume/"), &fakeCaller{}
		again.Credential, again.LastEventID, again.Resumes = keyOf("a"), "2", req.ID
		f.gate.Serve(t.Context(), again, caller)
		if kind(caller.refusal) != domain.RefusalUnauthenticated {
			t.Errorf("taken up with a removed key: %v, events %v", caller.refusal, caller.events)
		}
	})
}

// A request of another host must be declined unless that host states its customer: its key is not
// sent between hosts, so that anybody could send it.
func TestPassedOnRequestNeedsItsCustomer(t *testing.T) {
	f := newFixture(t, 1)
	config := withCustomers(f, "a", "b")
	for name, c := range map[string]struct {
		path string
		hop  traffic.Hop
		want domain.RefusalKind
	}{
		"stated":             {"/once/x", traffic.Hop{Customers: true, Customer: "a", CustomerMAC: config.HopMAC("q", "a")}, ""},
		"missing":            {"/once/x", traffic.Hop{Customers: true}, domain.RefusalCutOff},
		"last release":       {"/once/x", traffic.Hop{}, domain.RefusalCutOff},
		"no MAC":             {"/once/x", traffic.Hop{Customers: true, Customer: "a"}, domain.RefusalCutOff},
		"other request":      {"/once/x", traffic.Hop{Customers: true, Customer: "a", CustomerMAC: config.HopMAC("r", "a")}, domain.RefusalCutOff},
		"other name":         {"/once/x", traffic.Hop{Customers: true, Customer: "b", CustomerMAC: config.HopMAC("q", "a")}, domain.RefusalCutOff},
		"no such customer":   {"/once/x", traffic.Hop{Customers: true, Customer: "c", CustomerMAC: config.HopMAC("q", "c")}, domain.RefusalCutOff},
		"public, no name":    {"/public/x", traffic.Hop{Customers: true}, ""},
		"public, stated":     {"/public/x", traffic.Hop{Customers: true, Customer: "a", CustomerMAC: config.HopMAC("q", "a")}, ""},
		"public, forged":     {"/public/x", traffic.Hop{Customers: true, Customer: "a", CustomerMAC: config.HopMAC("q", "b")}, domain.RefusalCutOff},
		"no route, no name":  {"/elsewhere/x", traffic.Hop{Customers: true}, domain.RefusalNoRoute},
		"other version":      {"/once/x", traffic.Hop{Version: config.Version - 1, Customers: true, Customer: "a", CustomerMAC: config.HopMAC("q", "a")}, domain.RefusalCutOff},
		"malformed, granted": {"/once/x", traffic.Hop{Grant: &traffic.Grant{}, Version: -1}, domain.RefusalCutOff},
	} {
		req, caller := newRequest(c.path), &fakeCaller{}
		req.Credential = keyOf("b") // It does not count.
		req.Hop = &c.hop
		if req.Hop.Version == 0 {
			req.Hop.Version = config.Version
		}
		f.gate.Serve(t.Context(), req, caller)
		if kind(caller.refusal) != c.want || c.want == "" && caller.answer == nil {
			t.Errorf("%s: refusal %v, want %q", name, caller.refusal, c.want)
		}
		if c.want == "" && (!req.HidesCredential || (req.Customer != nil) != (c.hop.Customer != "") || req.Customer != nil && req.Customer.Name != "a") {
			t.Errorf("%s: served for %v", name, req.Customer)
		}
	}
}

// The next host must be able to verify the customer. A host of the last release would take a request
// without a grant and not tell upstreams the name, so it must not get one.
func TestPassedOnRequestStatesItsCustomer(t *testing.T) {
	for _, lastRelease := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := newFixture(t, 1)
			config := withCustomers(f, "a")
			hops := &fakeHops{lastRelease: lastRelease, pass: func(int) (traffic.HopResponse, error) {
				return traffic.HopResponse{Answer: &traffic.Answer{Status: 200}}, nil
			}}
			cutOff(ctx, f, hops)
			for _, path := range []string{"/once/x", "/public/x"} {
				req, caller := newRequest(path), &fakeCaller{}
				req.Credential = keyOf("a")
				f.gate.Serve(ctx, req, caller)
				if (caller.answer == nil) != lastRelease || lastRelease && (kind(caller.refusal) != domain.RefusalCutOff || caller.refusal.Ran != domain.RanNo) {
					t.Errorf("%s: answer %v, refusal %v", path, caller.answer, caller.refusal)
				}
			}
			if len(hops.passed) == 0 {
				t.Error("nothing was passed on")
			}
			for _, o := range hops.passed {
				if o.Grant == nil || !o.Customers || !config.StatedBy("q", &o.Hop) || o.Customer != "a" {
					t.Errorf("passed on with %+v", o.Hop)
				}
			}
		})
	}
}
