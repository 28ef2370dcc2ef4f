package quota

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/traffic"
)

// skewed returns 16 customers whose rates fall from 470,000 to 36,000 tokens a second.
func skewed() []*traffic.Customer {
	var out []*traffic.Customer
	for i := range 16 {
		out = append(out, customer(fmt.Sprint("c", i), 470_000*math.Pow(36_000.0/470_000, float64(i)/15)))
	}
	return out
}

// usual returns the usual demand of customers.
func usual(customers []*traffic.Customer) []load {
	var out []load
	for i, c := range customers {
		out = append(out, load{customer: c, rate: c.Quota.Rate / 1.8, plain: 0.3 * float64(i%3)})
	}
	return out
}

// More than 1 in 500 requests within the quota were refused if each part refused requests that it
// did not have all tokens for, and most requests of callers at one host if a host asked one part
// only. A customer at 7 times its usual load must get its own rate, and take nothing from the others.
func TestUsualDemandIsServed(t *testing.T) {
	for _, test := range []struct {
		name  string
		host  func(f *fleet, zone int) *testHost
		surge bool
	}{
		{name: "spread"},
		{name: "at one host", host: func(f *fleet, _ int) *testHost { return f.hosts[1] }},
		{name: "in one zone", host: func(f *fleet, n int) *testHost { return f.hosts[n/3*3] }},
		{name: "one at 7 times its load", surge: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				customers := skewed()
				f := newFleet(t, 82, 3, customers...)
				time.Sleep(6 * time.Second)
				loads := usual(customers)
				if test.host != nil {
					n := 0
					for i := range loads {
						loads[i].host = func() *testHost { n = (n + 1) % len(f.hosts); return test.host(f, n) }
					}
				}
				if test.surge {
					loads[5].rate *= 7
				}
				results := f.run(1, 30*time.Second, loads...)
				f.end()
				all := result{}
				for i, c := range customers {
					r := results[c.Name]
					all = result{all.sent + r.sent, all.over + r.over, all.unknown + r.unknown, all.beyond + r.beyond}
					f.check(t, c.Name, c.Quota)
					if i == 5 && test.surge {
						_, total := f.worst(c.Name)
						// Half of the overage, the first burst and the allowance are beyond the rate.
						if share := total / 30 / c.Quota.Rate; share < 0.95 || share > 1.12 {
							t.Errorf("the customer at 7 times its load had %.2f of its rate", share)
						}
						continue
					}
					if r.wrong() > 1.0/500 {
						t.Errorf("customer %s with rate %.0f: %+v refused", c.Name, c.Quota.Rate, r)
					}
				}
				asked := int64(0)
				for _, h := range f.hosts {
					asked += h.q.counts.asked.Value()
				}
				t.Logf("%+v, %.2f questions a request", all, float64(asked)/float64(all.sent))
			})
		})
	}
}
