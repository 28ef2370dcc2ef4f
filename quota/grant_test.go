package quota

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

// alone is a host whose clock and contact a test sets. Another host of its zone asks it.
type alone struct {
	*Quotas
	now      time.Duration
	contact  Contact
	members  []domain.Member
	customer *traffic.Customer
	name     traffic.CustomerName
}

func newAlone(c *traffic.Customer, bounds Bounds) *alone {
	h := &alone{customer: c, name: c.Name, members: []domain.Member{{ID: "a", Zone: "z", State: domain.MemberAlive}}, contact: Contact{Suspected: time.Hour}}
	h.Quotas = New(Config{
		Self: "a", Zone: "z", Members: func() []domain.Member { return h.members }, Ready: func() bool { return true },
		Contact: func() Contact { return h.contact }, Clock: func() time.Duration { return h.now },
		Customer: func(traffic.CustomerName) (*traffic.Customer, domain.Revision) { return h.customer, 1 },
	})
	h.SetBounds(bounds)
	return h
}

// pass lets time pass with the checks of the process.
func (h *alone) pass(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+tickInterval)
		h.tick(context.Background(), new(sync.WaitGroup))
	}
}

func (h *alone) take(needed float64) ports.QuotaReply {
	reply, _ := h.Take(context.Background(), ports.QuotaRequest{From: "b", Customer: string(h.name), Needed: needed, ConfigVersion: 1})
	return reply
}

// A bucket that takes tokens back grants them a second time in a window in which the first ones may
// have been used: 28,000 tokens instead of 18,000 here, without the log of grants.
func TestReturnsStayWithinTheWindow(t *testing.T) {
	c := customer("c", 3000)
	c.Quota.Burst = 30_000
	h := newAlone(c, Bounds{})
	h.pass(20 * time.Second)
	limit := 8*1000 + 10_000.0
	if got := h.take(10_000); got.Granted != 10_000 {
		t.Fatalf("a full part grants %+v", got)
	}
	h.pass(5 * time.Second)
	spent := h.take(5000).Granted
	_ = h.GiveBack(context.Background(), ports.QuotaReturn{Customer: "c", Tokens: 10_000, Age: 5 * time.Second})
	spent += h.take(10_000).Granted
	for range 80 {
		spent += h.take(100).Granted
		h.pass(100 * time.Millisecond)
	}
	if spent > limit || spent < 0.7*limit {
		t.Errorf("%.0f tokens in a window, of %.0f", spent, limit)
	}
	if _ = h.GiveBack(context.Background(), ports.QuotaReturn{Customer: "c", Tokens: 1e9}); h.parts[partKey{"c", 0}].bucket.tokens > 10_000 {
		t.Error("more tokens were taken back than granted")
	}
}

// A host that may not be the only granting one granted: one that was suspended, is suspected, heard
// nobody, has just become the granting one, or leaves.
func TestGrantsOnlyWhileItMayBeTheOnlyOne(t *testing.T) {
	other := domain.Member{ID: "b", Zone: "z", State: domain.MemberAlive}
	for _, test := range []struct {
		name   string
		change func(h *alone)
		// after is how long it grants nothing, once the cause has ended.
		after time.Duration
	}{
		{"suspended", func(h *alone) { h.now += suspendedAfter + tickInterval }, 2 * time.Second},
		{"suspected", func(h *alone) { h.contact.Suspected = 0 }, 2 * time.Second},
		{"silence", func(h *alone) { h.contact.Heard = heardWithin + 1; h.askedAt = -time.Hour; h.pass(tickInterval) }, 2 * time.Second},
		{"replaced", func(h *alone) {
			h.members = []domain.Member{{ID: "a", Zone: "z", State: domain.MemberLeaving}, other}
			h.pass(tickInterval)
		}, 2 * time.Second},
		{"half of the zone lost", func(h *alone) {
			h.members = []domain.Member{h.members[0], {ID: "b", Zone: "z", State: domain.MemberDead}, {ID: "c", Zone: "z", State: domain.MemberDead}}
			h.pass(tickInterval)
		}, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newAlone(customer("c", 90_000), testBounds)
			h.members = append(h.members, other)
			for i := 0; ; i++ { // A customer whose first part this host grants.
				h.customer = customer(fmt.Sprint("c", i), 90_000)
				h.name = h.customer.Name
				if host, _, _ := newView(h.members, 0, nil).grantingHost(h.name, 0); host == "a" {
					break
				}
			}
			before := h.members
			h.pass(10 * time.Second)
			if h.take(1).Granted != 1 {
				t.Fatal("nothing granted before")
			}
			test.change(h)
			if got := h.take(1); !got.NotGranting {
				t.Errorf("%+v", got)
			}
			h.members, h.contact.Heard = before, 0
			for left := test.after - tickInterval; left > 0; left -= tickInterval {
				h.contact.Suspected += tickInterval
				h.pass(tickInterval)
			}
			if got := h.take(1); !got.NotGranting {
				t.Errorf("%+v shortly before the end", got)
			}
			h.contact.Suspected = time.Hour
			h.pass(2 * tickInterval)
			full := h.take(10_000).Granted+h.take(20_000).Granted > 15_000
			if full != (test.name == "silence") { // After it nobody has replaced the host.
				t.Errorf("the bucket is full: %v", full)
			}
		})
	}
}

// A lowered limit took effect when the bucket of the earlier one was empty. A name with other keys
// had a second quota.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	h := newAlone(customer("c", 300_000), Bounds{})
	h.pass(10 * time.Second)
	_ = h.take(1)
	lowered := customer("c", 30_000)
	lowered.Keys = []traffic.Credential{traffic.NewCredential("other")}
	h.customer = lowered
	if got := h.take(10_001); got.Granted > 10_000 && h.take(1).Granted > 0 {
		t.Errorf("%+v granted beyond the lowered burst", got)
	}
	h.customer = customer("c", 300_000)
	h.pass(time.Second)
	if got := h.take(90_000); got.Granted != 90_000 {
		t.Errorf("%+v after the limit was raised", got)
	}
	h.customer = &traffic.Customer{Name: "c"}
	if got := h.take(1e6); got.Granted != 1e6 {
		t.Errorf("%+v without a limit", got)
	}
	h.customer = nil
	if got := h.take(1); !got.NotGranting {
		t.Errorf("%+v of an unknown customer", got)
	}
}

// Numbers of a faulty host broke the bucket for all others.
func TestOddMessages(t *testing.T) {
	h := newAlone(customer("c", 90_000), testBounds)
	h.pass(10 * time.Second)
	for _, odd := range []float64{math.NaN(), math.Inf(1), -5} {
		if got := h.take(odd); got.Granted != 0 {
			t.Errorf("%+v for %v", got, odd)
		}
		_ = h.GiveBack(context.Background(), ports.QuotaReturn{Customer: "c", Tokens: odd})
	}
	for _, part := range []int{-1, partCount} {
		reply, _ := h.Take(context.Background(), ports.QuotaRequest{Customer: "c", Part: part, Needed: 1})
		if !reply.NotGranting {
			t.Errorf("part %d: %+v", part, reply)
		}
	}
	if got := h.take(30_000); got.Granted != 30_000 {
		t.Errorf("%+v after odd messages", got)
	}
}

// A request was refused if no part alone had its tokens, and tokens of requests that did not run were
// lost if the grant had expired, or expired later.
func TestTokensOfSeveralParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := customer("c", 900)
		c.Quota.Burst = 30_000 // With the share of the slack, 13,000 for each part.
		f := newFleet(t, 3, 3, c)
		defer f.end()
		time.Sleep(50 * time.Second)
		for round := range 3 {
			var charges []Charge
			for i := range 4 {
				charge, denial := f.hosts[0].q.Charge(t.Context(), c, 9000, time.Second, 1)
				if denial != nil {
					t.Errorf("round %d, request %d: %+v", round, i, denial)
				}
				charges = append(charges, charge)
			}
			_, denial := f.hosts[0].q.Charge(t.Context(), c, 9000, time.Second, 1)
			if denial == nil || !denial.Over || denial.RetryAfter < 4*time.Second {
				t.Errorf("round %d, beyond the burst: %+v", round, denial)
			}
			if round == 0 { // In the next one, the tokens expire after they were given back.
				time.Sleep(1500 * time.Millisecond)
			}
			for _, charge := range charges {
				f.hosts[0].q.Refund(charge)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// Small requests were refused while no granting host answers, or admitted without a bound.
func TestAllowance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := customer("c", 300_000)
		f := newFleet(t, 10, 2, c)
		defer f.end()
		f.set(func() {
			for i, h := range f.hosts {
				h.group = i
			}
		})
		time.Sleep(5 * time.Second)
		admitted := 0.0
		for range 100 {
			if _, denial := f.hosts[0].q.Charge(t.Context(), c, 200, time.Millisecond, 1); denial == nil {
				admitted += 200
			} else if denial.Over {
				t.Fatalf("refused as over the quota: %+v", denial)
			}
		}
		if want := 3400.0; admitted != want {
			t.Errorf("%.0f tokens admitted, want %.0f of the %.0f of a host", admitted, want, testBounds.Slack/4/10)
		}
		if _, denial := f.hosts[1].q.Charge(t.Context(), c, 2000, time.Millisecond, 1); denial == nil {
			t.Error("a large request was admitted")
		}
	})
}

// A request that does not run gives its tokens back, to the next one while the grant lasts and to the
// granting host afterwards. Runs with the race detector from many goroutines.
func TestRefunds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := customer("c", 300_000)
		f := newFleet(t, 6, 3, c)
		defer f.end()
		time.Sleep(5 * time.Second)
		var requests sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for i := range 1200 { // 12 times the burst in a second.
			requests.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				charge, denial := f.hosts[i%6].q.Charge(t.Context(), c, 3000, time.Second, 1)
				if denial != nil {
					mu.Lock()
					defer mu.Unlock()
					refused++
					return
				}
				time.Sleep(time.Duration(i%20) * time.Millisecond)
				f.hosts[i%6].q.Refund(charge)
			})
		}
		requests.Wait()
		time.Sleep(3 * time.Second)
		if refused > 60 {
			t.Errorf("%d of 1200 requests refused, though none ran", refused)
		}
		spent := int64(0)
		for _, h := range f.hosts {
			spent += h.q.counts.spent.Value()
			if a := h.q.account("c"); !a.unused(f.now(), 0) {
				t.Errorf("%s has grants or requests left", h.member.ID)
			}
		}
		if spent != 0 {
			t.Errorf("%d tokens count as spent", spent)
		}
	})
}

// A caller comes back once only. If it is called back before the hosts that start together grant
// anything, its request is lost.
func TestCallersReturnAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Config{
			Self: "h", Members: func() []domain.Member { return nil }, Ready: func() bool { return false },
			Contact:  func() Contact { return Contact{Heard: time.Hour, Suspected: time.Hour} },
			Customer: func(traffic.CustomerName) (*traffic.Customer, domain.Revision) { return nil, 1 },
		})
		began := time.Now()
		for _, c := range []struct{ at, least, most time.Duration }{
			{0, startupTime, startupTime + unknownRetryAfter},
			{2 * time.Second, 500 * time.Millisecond, time.Second},
			{10 * time.Second, unknownRetryAfter, 2 * unknownRetryAfter},
		} {
			time.Sleep(time.Until(began.Add(c.at)))
			_, denial := q.Charge(t.Context(), customer("c", 1000), 100, time.Millisecond, 1)
			if denial == nil || denial.Over || denial.RetryAfter < c.least-10*time.Millisecond || denial.RetryAfter > c.most {
				t.Errorf("after %v: %+v, want to be called back in %v to %v", c.at, denial, c.least, c.most)
			}
		}
	})
}

// One of two hosts of a zone that was lost without a word, and stays on the list of hosts, must not stop
// the parts of that zone. Of two halves of the fleet only one may grant them.
func TestHalfOfAZone(t *testing.T) {
	member := func(id, zone string, state domain.MemberState) domain.Member {
		return domain.Member{ID: domain.HostID(id), Zone: domain.Zone(zone), State: state}
	}
	grants := func(lost ...string) map[int]domain.HostID {
		var members []domain.Member
		for _, id := range []string{"a1", "a2", "b1", "b2", "c1", "c2"} {
			state := domain.MemberAlive
			if slices.Contains(lost, id) {
				state = domain.MemberDead
			}
			members = append(members, member(id, id[:1], state))
		}
		granting, v := make(map[int]domain.HostID), newView(members, 0, nil)
		for part := range partCount {
			if host, _, ok := v.grantingHost("c", part); ok {
				granting[part] = host
			}
		}
		return granting
	}
	for _, lost := range []string{"a1", "a2"} {
		if got := grants(lost); len(got) != partCount {
			t.Errorf("%s lost: granting hosts %v", lost, got)
		}
	}
	one, other := grants("a1", "b1", "c1"), grants("a2", "b2", "c2")
	for part := range partCount {
		if _, both := one[part]; both == (other[part] != "") {
			t.Errorf("part %d: the halves of the fleet grant it at %q and %q", part, one[part], other[part])
		}
	}
}

// A request beyond the burst must be refused after a few questions, instead of being asked for without
// a pause until its wait ends.
func TestRequestBeyondTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := customer("c", 1000)
		c.Quota.Burst = 1000
		f := newFleet(t, 3, 3, c)
		defer f.end()
		time.Sleep(60 * time.Second)
		for range 2 {
			began, asked := time.Now(), f.hosts[0].q.counts.asked.Value()
			_, denial := f.hosts[0].q.Charge(t.Context(), c, 200_000, time.Second, 1)
			if denial == nil || !denial.Over || time.Since(began) > 500*time.Millisecond {
				t.Errorf("%+v after %v", denial, time.Since(began))
			}
			if n := f.hosts[0].q.counts.asked.Value() - asked; n > 5 {
				t.Errorf("asked %d times", n)
			}
		}
	})
}
