package quota

import (
	"cmp"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// recentHalf is half of the longest time that Recent covers. It leaves an operator some seconds to
// see a burst.
const recentHalf = 5 * time.Second

// recent sums up the tokens of the last recentHalf to 2*recentHalf.
type recent struct{ halves meter }

// scaled converts a time so that a second of a meter is recentHalf.
func scaled(now time.Duration) time.Duration { return now / time.Duration(recentHalf/time.Second) }

func (r *recent) add(now time.Duration, tokens float64) { r.halves.add(scaled(now), tokens) }

// sum is not negative: the charge of a request may be older than its refund. It leaves r as it is.
func (r recent) sum(now time.Duration) float64 {
	r.halves.advance(scaled(now))
	return max(0, r.halves.last+r.halves.current)
}

// usage is what an account shows of the last seconds.
type usage struct{ charged, givenBack, over, unknown recent }

// Snapshot is what this host knows of the quotas of customers.
type Snapshot struct {
	// RecentSeconds is the time that the sums of Recent cover.
	RecentSeconds float64 `json:"recent_s"`
	// Customers are those that this host charged in the last minute or so, or grants parts of. Those
	// with the most refused and charged tokens come first.
	Customers []CustomerSnapshot `json:"customers"`
	// LeftOut is the number of further customers.
	LeftOut int `json:"left_out"`
}

// CustomerSnapshot is what this host knows of the quota of a customer.
type CustomerSnapshot struct {
	Name traffic.CustomerName `json:"name"`
	// InForce says that the configuration in force has the customer.
	InForce bool `json:"in_force"`
	// Priority is nil if the customer has none.
	Priority *int    `json:"priority,omitempty"`
	Unit     string  `json:"unit"`
	Rate     float64 `json:"rate_per_s"`
	Burst    float64 `json:"burst"`
	Recent   Recent  `json:"recent"`
	// Held is the number of granted tokens that this host has not used.
	Held  float64         `json:"held"`
	Parts []PartSnapshot  `json:"parts"`
	Grant []GrantSnapshot `json:"granted_here,omitempty"`
}

// Recent sums up the tokens of requests in the last seconds.
type Recent struct {
	// Charged leaves out those of requests that did not run.
	Charged float64 `json:"charged"`
	// GivenBack were granted and not used.
	GivenBack float64 `json:"given_back"`
	// Over was refused as over the quota, Unknown because no granting host answered.
	Over    float64 `json:"refused_over"`
	Unknown float64 `json:"refused_unknown"`
}

// PartSnapshot is what this host knows of the granting host of a part.
type PartSnapshot struct {
	Part int `json:"part"`
	// Host is empty and Known false if this host knows of no granting host.
	Host  domain.HostID `json:"host,omitempty"`
	Known bool          `json:"known"`
	// Failed says that it did not answer the last question, or does not grant.
	Failed bool `json:"failed"`
	// Tokens is what it is taken to have since it denied the last question, nil if it did not.
	Tokens *float64 `json:"tokens,omitempty"`
}

// GrantSnapshot is the state of a part that this host grants.
type GrantSnapshot struct {
	Part int `json:"part"`
	// Granting is false while the host may not be the only one that grants the part.
	Granting bool    `json:"granting"`
	Tokens   float64 `json:"tokens"`
	Capacity float64 `json:"capacity"`
	// Window is what was granted in the window of the bound, of at most WindowLimit.
	Window      float64 `json:"window"`
	WindowLimit float64 `json:"window_limit"`
}

// Snapshot returns what is known of at most limit customers. It changes nothing.
func (q *Quotas) Snapshot(limit int) Snapshot {
	now := q.cfg.Clock()
	granted := q.grantSnapshots(now)
	type usedCustomer struct {
		name   traffic.CustomerName
		recent Recent
	}
	var used []usedCustomer
	for _, a := range q.accounts.Values() {
		used = append(used, usedCustomer{a.name, a.recent()})
	}
	for name := range granted {
		if _, ok := q.accounts.Load(name); !ok {
			used = append(used, usedCustomer{name: name})
		}
	}
	slices.SortFunc(used, func(x, y usedCustomer) int {
		a, b := &x.recent, &y.recent
		return cmp.Or(cmp.Compare(b.Over+b.Unknown, a.Over+a.Unknown), cmp.Compare(b.Charged, a.Charged), cmp.Compare(x.name, y.name))
	})
	shown := used[:min(limit, len(used))]
	s := Snapshot{
		RecentSeconds: (recentHalf + now%recentHalf).Seconds(), LeftOut: len(used) - len(shown),
		Customers: make([]CustomerSnapshot, 0, len(shown)),
	}
	for _, u := range shown {
		c := q.customerSnapshot(now, u.name)
		c.Recent, c.Grant = u.recent, granted[u.name]
		s.Customers = append(s.Customers, c)
	}
	return s
}

// Customer returns what is known of one customer. It changes nothing.
func (q *Quotas) Customer(name traffic.CustomerName) CustomerSnapshot {
	now := q.cfg.Clock()
	c := q.customerSnapshot(now, name)
	if a, used := q.accounts.Load(name); used {
		c.Recent = a.recent()
	}
	c.Grant = q.grantSnapshots(now)[name]
	return c
}

func (a *account) recent() Recent {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, u := a.q.cfg.Clock(), &a.usage
	return Recent{Charged: u.charged.sum(now), GivenBack: u.givenBack.sum(now), Over: u.over.sum(now), Unknown: u.unknown.sum(now)}
}

// customerSnapshot returns what is known of a customer, but not what was counted and granted.
func (q *Quotas) customerSnapshot(now time.Duration, name traffic.CustomerName) CustomerSnapshot {
	c := CustomerSnapshot{Name: name, Unit: "requests"}
	var quota traffic.Quota
	if customer, _ := q.cfg.Customer(name); customer != nil {
		c.InForce, quota = true, customer.Quota
		if customer.HasPriority {
			c.Priority = &customer.Priority
		}
	}
	a, used := q.accounts.Load(name)
	if used {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !c.InForce {
			quota = a.quota
		}
		for _, g := range a.grants {
			if now < g.expires {
				c.Held += g.tokens
			}
		}
	}
	if quota.Unit == traffic.QuotaTokens {
		c.Unit = "tokens"
	}
	c.Rate, c.Burst = quota.Rate, quota.Burst
	v := q.current.Load()
	for i := range partsOf(quota) {
		p := PartSnapshot{Part: i}
		p.Host, _, p.Known = v.grantingHost(name, i)
		if used {
			a.addSource(now, &p)
		}
		c.Parts = append(c.Parts, p)
	}
	return c
}

// addSource adds what the account knows of the granting host of a part, if it asked that host. a.mu
// must be held.
func (a *account) addSource(now time.Duration, p *PartSnapshot) {
	for _, s := range a.sources {
		if s.part != p.Part || s.host != p.Host || !s.known {
			continue
		}
		p.Failed = s.failed
		if level, unknown := a.avail(now, s); !unknown {
			p.Tokens = &level
		}
	}
}

// grantSnapshots returns the parts of which this host is the granting one, as they would be if they
// were asked for now.
func (q *Quotas) grantSnapshots(now time.Duration) map[traffic.CustomerName][]GrantSnapshot {
	q.mu.Lock()
	defer q.mu.Unlock()
	granted := make(map[traffic.CustomerName][]GrantSnapshot)
	for key, p := range q.parts {
		customer, _ := q.cfg.Customer(key.customer)
		if !p.best || customer == nil || !customer.Quota.Limited() || key.part >= partsOf(customer.Quota) {
			continue
		}
		l, filled := q.limitsOf(customer.Quota), part{since: p.since, bucket: p.bucket}
		filled.fill(now, q, l)
		granted[key.customer] = append(granted[key.customer], GrantSnapshot{
			Part: key.part, Granting: now >= q.grantsFrom(now, p), Tokens: filled.bucket.tokens, Capacity: l.capacity,
			Window: p.log.sum(now, l.logged), WindowLimit: l.window,
		})
	}
	for _, parts := range granted {
		slices.SortFunc(parts, func(x, y GrantSnapshot) int { return cmp.Compare(x.Part, y.Part) })
	}
	return granted
}
