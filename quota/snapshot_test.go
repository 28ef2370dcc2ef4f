package quota

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// Guards against a status that tells other amounts than were charged, refunded and refused, that
// keeps them for good, or that names a granting host which the others do not take for it.
func TestSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := customer("c", 30_000)
		c.Priority, c.HasPriority = 3, true
		f := newFleet(t, 6, 3, c)
		defer f.end()
		time.Sleep(5 * time.Second)
		q := f.hosts[0].q
		charge, denial := q.Charge(t.Context(), c, 4000, time.Second, 1)
		if denial != nil {
			t.Fatalf("not charged: %+v", denial)
		}
		if _, denial = q.Charge(t.Context(), c, 3000, time.Second, 1); denial != nil {
			t.Fatalf("not charged: %+v", denial)
		}
		q.Refund(charge)
		if _, denial = q.Charge(t.Context(), c, 900_000, time.Second, 1); denial == nil || !denial.Over {
			t.Fatalf("not refused as over the quota: %+v", denial)
		}
		time.Sleep(grantLifetime + 2*tickInterval) // Until the refunded tokens are given back.
		s := q.Snapshot(10)
		if len(s.Customers) != 1 || s.LeftOut != 0 {
			t.Fatalf("%+v", s)
		}
		got := s.Customers[0]
		if got.Recent.Charged != 3000 || got.Recent.Over != 900_000 || got.Recent.Unknown != 0 || got.Recent.GivenBack < 4000 || !got.InForce ||
			got.Priority == nil || *got.Priority != 3 || got.Rate != c.Quota.Rate || got.Unit != "tokens" {
			t.Errorf("%+v", got)
		}
		granted := make(map[int]domain.HostID)
		for _, h := range f.hosts {
			for _, other := range h.q.Snapshot(10).Customers {
				for _, g := range other.Grant {
					granted[g.Part] = h.member.ID
					if !g.Granting || g.Tokens > g.Capacity || g.Window > g.WindowLimit {
						t.Errorf("%s: %+v", h.member.ID, g)
					}
				}
			}
		}
		for _, p := range got.Parts {
			if want, ok := granted[p.Part]; ok && (p.Host != want || !p.Known || p.Failed) || len(got.Parts) != partsOf(c.Quota) {
				t.Errorf("part %+v is granted by %q", p, want)
			}
		}
		if len(granted) == 0 {
			t.Error("no host shows a part that it grants")
		}
		f.set(func() {
			for i, h := range f.hosts {
				h.group = i
			}
		})
		time.Sleep(2 * recentHalf)
		if _, denial = q.Charge(t.Context(), c, 2000, time.Millisecond, 1); denial == nil || denial.Over {
			t.Fatalf("not refused as unknown: %+v", denial)
		}
		if got = q.Snapshot(10).Customers[0]; got.Recent.Charged != 0 || got.Recent.Over != 0 || got.Recent.GivenBack != 0 || got.Recent.Unknown != 2000 {
			t.Errorf("cut off: %+v", got.Recent)
		}
	})
}

// Guards against a look at the status that changes what is granted: here one that fills or empties the
// bucket of a part or forgets the log of its grants.
func TestSnapshotChangesNothing(t *testing.T) {
	c := customer("c", 3000)
	c.Quota.Burst = 30_000
	seen, unseen := newAlone(c, Bounds{}), newAlone(c, Bounds{})
	for i := range 60 {
		for _, h := range []*alone{seen, unseen} {
			h.pass(time.Second)
			h.take(float64(i%7) * 1000)
		}
		seen.now += tickInterval
		first, _ := json.Marshal(seen.Snapshot(5))
		second, _ := json.Marshal(seen.Snapshot(5))
		seen.now -= tickInterval
		key := partKey{"c", 0}
		if a, b := seen.parts[key], unseen.parts[key]; string(first) != string(second) || a.bucket != b.bucket || a.log.total != b.log.total || len(a.log.slices) != len(b.log.slices) {
			t.Fatalf("after %d s: %+v, without a look %+v; %s, then %s", i, a, b, first, second)
		}
	}
}

// Guards against a status that grows with the customers, or that leaves out those that are refused.
func TestSnapshotIsBounded(t *testing.T) {
	h := newAlone(customer("c0", 3000), Bounds{})
	h.pass(time.Second)
	for i := range 300 {
		a := h.account(traffic.CustomerName(fmt.Sprint("c", i)))
		a.countCharge(h.now, float64(i))
	}
	h.account("c1").finish(&waiter{cost: 5, ready: make(chan struct{})}, Charge{}, &Denial{Over: true})
	s := h.Snapshot(200)
	if len(s.Customers) != 200 || s.LeftOut != 100 || s.Customers[0].Name != "c1" || s.Customers[1].Recent.Charged != 299 {
		t.Errorf("%d customers, %d left out, first %+v, then %+v", len(s.Customers), s.LeftOut, s.Customers[0], s.Customers[1])
	}
}
