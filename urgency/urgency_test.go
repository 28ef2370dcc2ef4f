package urgency

import (
	"testing"
	"time"

	"greengagespoke/traffic"
)

const second = time.Second

func testRoute(service traffic.ServiceName, priority int) traffic.Route {
	return traffic.Route{Priority: priority, Shares: []traffic.Share{{Service: service, Weight: 1}}}
}

func customer(priority int) traffic.Customer {
	return traffic.Customer{Priority: priority, HasPriority: true}
}

// Guards against levels where the configuration has none, and against requests that are ranked by
// another priority than that of their customer, or of their route if it has none.
func TestLevelsOfAConfiguration(t *testing.T) {
	none := traffic.Customer{Name: "without a priority"}
	high, low := customer(1), customer(7)
	routes := []traffic.Route{testRoute("s", 3), testRoute("s", 5), testRoute("other", 9)}
	public, unused := testRoute("s", 3), testRoute("s", 5)
	public.Public, unused.Shares[0].Weight = true, 0
	for _, c := range []struct {
		name     string
		config   traffic.Config
		customer *traffic.Customer
		route    int
		want     Level
	}{
		{"other services do not count", traffic.Config{Routes: routes[1:]}, nil, 0, Level{0, 1}},
		{"equal priorities", traffic.Config{Routes: []traffic.Route{routes[0], routes[0]}}, nil, 1, Level{0, 1}},
		{"priorities of routes", traffic.Config{Routes: routes}, nil, 1, Level{1, 2}},
		{"customers without priorities", traffic.Config{Routes: routes, RequiresKeys: true, Customers: []traffic.Customer{none}}, &none, 1, Level{1, 2}},
		{"customers of one priority", traffic.Config{Routes: routes[:1], RequiresKeys: true, Customers: []traffic.Customer{high, high}}, &high, 0, Level{0, 1}},
		{"the customer goes before the route", traffic.Config{Routes: routes, RequiresKeys: true, Customers: []traffic.Customer{high, low}}, &high, 1, Level{1, 4}},
		{"a less urgent customer", traffic.Config{Routes: routes, RequiresKeys: true, Customers: []traffic.Customer{high, low}}, &low, 0, Level{2, 4}},
		{"a customer without a priority among others", traffic.Config{Routes: routes[:1], RequiresKeys: true, Customers: []traffic.Customer{high, none, low}}, &none, 0, Level{1, 3}},
		{"a public route", traffic.Config{Routes: []traffic.Route{public}, RequiresKeys: true, Customers: []traffic.Customer{high, low}}, nil, 0, Level{1, 3}},
		{"a service that gets no share", traffic.Config{Routes: []traffic.Route{routes[0], unused}}, nil, 0, Level{0, 1}},
		{"a rank of an older version", traffic.Config{Routes: routes[:1], RequiresKeys: true, Customers: []traffic.Customer{high, low}}, &traffic.Customer{Priority: 50, HasPriority: true}, 0, Level{1, 2}},
	} {
		got := NewLevels(&c.config).Of("s", c.customer, &c.config.Routes[c.route])
		if got != c.want {
			t.Errorf("%s: level %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against more levels than engines tell apart, and against an order that is lost where ranks
// share a level.
func TestManyRanksShareLevels(t *testing.T) {
	config, last := traffic.Config{Routes: []traffic.Route{testRoute("s", 0)}, RequiresKeys: true}, 0
	for p := range 500 {
		config.Customers = append(config.Customers, customer(p-100))
	}
	levels := NewLevels(&config)
	for i := range config.Customers {
		level := levels.Of("s", &config.Customers[i], &config.Routes[0])
		if value := level.EngineValue(); value < last || value > 9 || i == 499 && value != 9 || level.Count != MaxLevels {
			t.Fatalf("priority %d: level %+v after %d", config.Customers[i].Priority, level, last)
		}
		last = level.Index
	}
}

// Guards against requests that starve: what a level costs must fall with the time waited and end at
// the stated time, and must leave room on an engine that is half empty.
func TestLevelsAgeUntilTheStatedTime(t *testing.T) {
	const typical, memory = 3000, 28000
	for count := 2; count <= MaxLevels; count++ {
		for index := range count {
			l, headroom, aged := Level{index, count}, memory, count
			for waited := time.Duration(0); waited <= reliefTargets*second; waited += second / 10 {
				h, a := l.Headroom(waited, second, typical, memory), l.Aged(waited, second)
				if h > headroom || a > aged || h > headroomRequests*typical || l.Headroom(waited, second, memory, memory) > memory/2 {
					t.Fatalf("%+v after %s: headroom %d after %d, aged %d after %d", l, waited, h, headroom, a, aged)
				}
				if index > 0 && waited < reliefTargets*second && (h == 0 || a == 0) {
					t.Fatalf("%+v after %s: headroom %d, aged %d, too early", l, waited, h, a)
				}
				headroom, aged = h, a
			}
			if headroom != 0 || aged != 0 {
				t.Errorf("%+v: headroom %d and level %d at the stated time", l, headroom, aged)
			}
		}
	}
}

// Guards against requests that are refused though they could be served, and against retry delays
// that change where urgency does not matter or bring less urgent requests back first.
func TestRefusalsByLevel(t *testing.T) {
	middle, last, only := Level{1, 3}, Level{2, 3}, Level{0, 1}
	for _, c := range []struct {
		name          string
		level         Level
		ahead, placed int
		want          bool
	}{
		{"only one level", only, 1000, 1, false},
		{"the most urgent", Level{0, 3}, 1000, 1, false},
		{"no place lately", last, 1000, 0, false},
		{"slow, but twice as fast would do", last, 12, 12, false},
		{"even twice as fast would not do", last, 13, 12, true},
	} {
		if got := c.level.Hopeless(c.ahead, c.placed, 2*second, second); got != c.want {
			t.Errorf("%s: hopeless %t", c.name, got)
		}
	}
	// A count over too short a time would make requests seem hopeless.
	var r Rate
	now := time.Unix(100, 0)
	r.Add(now)
	if n, _ := r.Count(now.Add(second)); n != 0 {
		t.Errorf("%d events of an incomplete window", n)
	}
	if n, over := r.Count(now.Add(rateWindow + second)); n != 1 || over != rateWindow+second {
		t.Errorf("%d events over %s", n, over)
	}
	if got := only.RetryAfter(second); got != second {
		t.Errorf("one level: retry after %s", got)
	}
	if a, b, c := (Level{0, 3}).RetryAfter(second), middle.RetryAfter(second), last.RetryAfter(second); a != second || b <= a || c <= b || c > maxRetryFactor*second {
		t.Errorf("retry after %s, %s, %s", a, b, c)
	}
}

// Guards against a share that is not related to the quota, that lasts, or that grows the memory
// with the number of customers.
func TestSharesOfCustomers(t *testing.T) {
	now := time.Unix(100, 0)
	limited := func(name traffic.CustomerName, rate float64) *traffic.Customer {
		return &traffic.Customer{Name: name, Quota: traffic.Quota{Unit: traffic.QuotaTokens, Rate: rate}}
	}
	small, large, idle := limited("small", 10_000), limited("large", 100_000), limited("idle", 10_000)
	s := NewShares()
	s.Placed(nil, 1000, now)
	for range 10 {
		s.Placed(small, 1000, now)
		s.Placed(large, 10_000, now)
	}
	if a, b := s.Excess(small, now), s.Excess(large, now); a != 0 || b != 0 {
		t.Errorf("equal shares of unequal quotas: excess %d and %d", a, b)
	}
	s.Placed(small, 70_000, now)
	if a, b, c := s.Excess(small, now), s.Excess(large, now), s.Excess(idle, now); a < 2 || b != 0 || c != 0 {
		t.Errorf("a surge of the small one: excess %d, of the others %d and %d", a, b, c)
	}
	now = now.Add(time.Minute)
	s.Placed(large, 1000, now)
	if a := s.Excess(small, now); a != 0 {
		t.Errorf("a minute after the surge: excess %d", a)
	}
	for i := range 10 * maxSharers {
		s.Placed(limited(traffic.CustomerName(string(rune(i))), 1), 1, now)
	}
	if n := len(s.used.Entries); n > maxSharers {
		t.Errorf("%d customers in memory", n)
	}
}
