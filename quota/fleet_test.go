package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

// The bounds of the deployments, and the time in which a host that does not answer becomes suspect.
var testBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 140_000}

const (
	zoneDelay   = 5400 * time.Microsecond
	localDelay  = 300 * time.Microsecond
	suspectTime = 1500 * time.Millisecond
	gossipTime  = time.Second
)

var errTest = errors.New("host not reached")

// fleet is a set of hosts without a network. mu guards the switches of its hosts.
type fleet struct {
	mu    sync.Mutex
	hosts []*testHost
	start time.Time
	stop  context.CancelFunc
	tasks sync.WaitGroup
	// delay is added to each message to or from a host.
	delay map[domain.HostID]time.Duration
	// spends holds the charges of each customer that were not given back.
	spends map[traffic.CustomerName][]spend
}

type spend struct {
	at   time.Duration
	cost float64
}

type testHost struct {
	f            *fleet
	member       domain.Member
	q            *Quotas
	index        int
	dead, frozen bool
	// group is the side of a cut. hiddenSince is since when hosts of odd numbers do not reach it.
	group            int
	hiddenSince      time.Duration
	lastOK           []time.Duration
	heard, suspected time.Duration
	began            time.Duration
	members          atomic.Pointer[[]domain.Member]
	customers        map[traffic.CustomerName]*traffic.Customer
	version          domain.Revision
}

func newFleet(t *testing.T, hosts, zones int, customers ...*traffic.Customer) *fleet {
	ctx, stop := context.WithCancel(t.Context())
	f := &fleet{start: time.Now(), stop: stop, delay: make(map[domain.HostID]time.Duration), spends: make(map[traffic.CustomerName][]spend)}
	for i := range hosts {
		h := &testHost{f: f, index: i, lastOK: make([]time.Duration, hosts), version: 1, member: domain.Member{
			ID: domain.HostID(fmt.Sprint("h", i)), Zone: domain.Zone(fmt.Sprint("z", i%zones)), State: domain.MemberAlive, Incarnation: 1,
		}}
		h.configure(1, customers...)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.begin()
	}
	f.tasks.Go(func() {
		for ctx.Err() == nil {
			f.tick(ctx)
			time.Sleep(tickInterval)
		}
	})
	return f
}

func (f *fleet) now() time.Duration { return time.Since(f.start) }

// begin starts the process of a host, which knows the list of all hosts.
func (h *testHost) begin() {
	h.dead, h.frozen, h.suspected, h.heard, h.began = false, false, -time.Hour, -time.Hour, h.f.now()
	for i := range h.lastOK {
		h.lastOK[i] = h.f.now()
	}
	h.see()
	h.q = New(Config{
		Self: h.member.ID, Zone: h.member.Zone, Ready: func() bool { return true }, Clock: h.f.now,
		Members: func() []domain.Member { return *h.members.Load() },
		Contact: func() Contact {
			h.f.mu.Lock()
			defer h.f.mu.Unlock()
			return Contact{Heard: h.f.now() - h.heard, Suspected: h.f.now() - h.suspected}
		},
		Customer: func(name traffic.CustomerName) (*traffic.Customer, domain.Revision) {
			h.f.mu.Lock()
			defer h.f.mu.Unlock()
			return h.customers[name], h.version
		},
		Peer:            func(to domain.HostID) ports.QuotaPeer { return testPeer{h, to} },
		StartedTogether: h.startedTogether,
	})
	h.q.SetBounds(testBounds)
}

func (h *testHost) configure(version domain.Revision, customers ...*traffic.Customer) {
	h.version, h.customers = version, make(map[traffic.CustomerName]*traffic.Customer)
	for _, c := range customers {
		h.customers[c.Name] = c
	}
}

// see builds the host's view of the members.
func (h *testHost) see() {
	members := make([]domain.Member, len(h.f.hosts))
	for i, other := range h.f.hosts {
		members[i] = other.member
		if other != h && other.member.State == domain.MemberAlive && h.f.now()-h.lastOK[i] > suspectTime {
			members[i].State = domain.MemberSuspect
		}
	}
	h.members.Store(&members)
}

func (h *testHost) startedTogether(zone domain.Zone) bool {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	for _, other := range h.f.hosts {
		if other.member.Zone == zone && max(other.began-h.began, h.began-other.began) > time.Second {
			return false
		}
	}
	return true
}

// reach reports whether two hosts exchange messages.
func (f *fleet) reach(a, b *testHost) bool {
	if a.index%2 == 1 && b.hiddenSince > 0 || b.index%2 == 1 && a.hiddenSince > 0 {
		return false
	}
	return a != b && !a.dead && !b.dead && !a.frozen && !b.frozen && a.group == b.group
}

// tick lets the hosts probe each other and check their grants.
func (f *fleet) tick(ctx context.Context) {
	f.mu.Lock()
	now := f.now()
	var running []*Quotas
	holdsAlive := func(h *testHost, i int) bool { return now-h.lastOK[i] <= suspectTime }
	for _, h := range f.hosts {
		for i, other := range f.hosts {
			if f.reach(h, other) && !holdsAlive(h, i) {
				other.suspected = now
			}
		}
		if h.hiddenSince > 0 && now-h.hiddenSince > suspectTime+gossipTime {
			h.suspected = now
		}
	}
	for _, h := range f.hosts {
		if h.dead || h.frozen {
			continue
		}
		running = append(running, h.q)
		for i, other := range f.hosts {
			if f.reach(h, other) {
				h.lastOK[i], h.heard = now, now
			}
		}
		h.see()
	}
	f.mu.Unlock()
	var returning sync.WaitGroup
	for _, q := range running {
		q.tick(ctx, &returning)
	}
	returning.Wait()
}

// testPeer calls a host from another one.
type testPeer struct {
	from *testHost
	to   domain.HostID
}

// send delivers one message, or waits until the caller gives up.
func (p testPeer) send(ctx context.Context) (*Quotas, error) {
	f := p.from.f
	f.mu.Lock()
	var to *testHost
	for _, h := range f.hosts {
		if h.member.ID == p.to {
			to = h
		}
	}
	delay := localDelay + f.delay[p.from.member.ID] + f.delay[p.to]
	if to.member.Zone != p.from.member.Zone {
		delay += zoneDelay
	}
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	q, dead, lost := to.q, to.dead, to.frozen || p.from != to && !f.reach(p.from, to)
	f.mu.Unlock()
	if lost && !dead {
		<-ctx.Done()
	}
	if dead || ctx.Err() != nil {
		return nil, errTest
	}
	return q, nil
}

func (p testPeer) Take(ctx context.Context, req ports.QuotaRequest) (ports.QuotaReply, error) {
	to, err := p.send(ctx)
	if err != nil {
		return ports.QuotaReply{}, err
	}
	reply, _ := to.Take(ctx, req)
	_, err = testPeer{p.from, p.to}.send(ctx) // The way back takes as long.
	return reply, err
}

func (p testPeer) GiveBack(ctx context.Context, ret ports.QuotaReturn) error {
	to, err := p.send(ctx)
	if err != nil {
		return err
	}
	return to.GiveBack(ctx, ret)
}

// set changes the switches of the fleet.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// load is the demand of one customer.
type load struct {
	customer *traffic.Customer
	// rate is in tokens a second. plain is the share of plain calls, the others are prompts.
	rate, plain float64
	// host chooses the host of a request. Nil means any one that runs.
	host func() *testHost
}

// result counts requests. beyond is the number of those that one bucket for all hosts would refuse.
type result struct{ sent, over, unknown, beyond int }

// wrong returns the share of requests that were refused within the quota.
func (r result) wrong() float64 { return float64(r.over+r.unknown-r.beyond) / float64(max(1, r.sent)) }

// requestCost is the cost of a request: a plain call, or a prompt with its output.
func requestCost(r *rand.Rand, plain float64) float64 {
	if r.Float64() < plain {
		return 200
	}
	return min(6760, max(400, 3268+1300*r.NormFloat64()))
}

// run sends the requests of the loads for a time and returns what became of them.
func (f *fleet) run(seed uint64, length time.Duration, loads ...load) map[traffic.CustomerName]result {
	results := make(map[traffic.CustomerName]result)
	var senders, requests sync.WaitGroup
	for i, l := range loads {
		senders.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			mean := l.plain*200 + (1-l.plain)*3268
			one := bucket{filledAt: -1}
			for end := time.Now().Add(length); time.Now().Before(end); {
				time.Sleep(time.Duration(r.ExpFloat64() * mean / l.rate * float64(time.Second)))
				cost, at := requestCost(r, l.plain), r.IntN(len(f.hosts))
				one.fill(f.now(), 0, 0, l.customer.Quota.Rate, l.customer.Quota.Burst)
				beyond := one.wait(cost, l.customer.Quota.Rate, l.customer.Quota.Burst) > 0
				if !beyond {
					one.tokens -= cost
				}
				requests.Go(func() { f.request(l, cost, at, beyond, results) })
			}
		})
	}
	senders.Wait()
	requests.Wait()
	return results
}

func (f *fleet) request(l load, cost float64, at int, beyond bool, results map[traffic.CustomerName]result) {
	f.mu.Lock()
	h := f.hosts[at]
	if l.host != nil {
		h = l.host()
	}
	if h.dead || h.frozen {
		f.mu.Unlock()
		return
	}
	customer := h.customers[l.customer.Name]
	q, version := h.q, h.version
	f.mu.Unlock()
	_, denial := q.Charge(context.Background(), customer, cost, 400*time.Millisecond, version)
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead || h.q != q {
		return
	}
	res := results[customer.Name]
	res.sent++
	if beyond {
		res.beyond++
	}
	switch {
	case denial == nil:
		f.spends[customer.Name] = append(f.spends[customer.Name], spend{f.now(), cost})
	case denial.Over:
		res.over++
	default:
		res.unknown++
	}
	results[customer.Name] = res
}

// worst returns the greatest cost in any window of the bound.
func (f *fleet) worst(name traffic.CustomerName) (worst, total float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum, first := 0.0, 0
	for _, s := range f.spends[name] {
		sum, total = sum+s.cost, total+s.cost
		for f.spends[name][first].at < s.at-testBounds.Window {
			sum -= f.spends[name][first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst, total
}

// check fails the test if a customer exceeded the bound of a quota.
func (f *fleet) check(t *testing.T, name traffic.CustomerName, q traffic.Quota) {
	t.Helper()
	bound := (q.Rate*testBounds.Window.Seconds()+q.Burst)*(1+testBounds.Overage) + testBounds.Slack
	if worst, _ := f.worst(name); worst > bound {
		t.Errorf("customer %s had %.0f tokens in a window, the bound is %.0f", name, worst, bound)
	}
}

func (f *fleet) end() {
	f.stop()
	f.tasks.Wait()
	time.Sleep(time.Second) // The questions that are not answered end.
}

// customer returns a customer with a quota in tokens whose burst is that of a second.
func customer(name string, rate float64) *traffic.Customer {
	return &traffic.Customer{Name: traffic.CustomerName(name), Quota: traffic.Quota{Unit: traffic.QuotaTokens, Rate: rate, Burst: rate, PlainTokens: 200}}
}
