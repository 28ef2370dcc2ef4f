package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"greengagespoke/domain"
)

func members(hosts, zones int) []domain.Member {
	var out []domain.Member
	for i := range hosts {
		out = append(out, domain.Member{
			ID: domain.HostID(fmt.Sprint("h", i)), Zone: domain.Zone(fmt.Sprint("z", i%zones)), State: domain.MemberAlive,
		})
	}
	return out
}

// The first choices lie in different zones, all hosts are used, and the loss of a host changes
// no choice that was not this host.
func TestSpread(t *testing.T) {
	all := members(12, 3)
	zone := make(map[domain.HostID]domain.Zone)
	for _, m := range all {
		zone[m.ID] = m.Zone
	}
	first := make(map[domain.HostID]int)
	for key := range uint64(1200) {
		order := Spread(all, key)
		if len(order) != len(all) || zone[order[0]] == zone[order[1]] || zone[order[1]] == zone[order[2]] || zone[order[0]] == zone[order[2]] {
			t.Fatalf("order %v", order)
		}
		first[order[0]]++
		lost := slices.Clone(all)
		lost[3].State = domain.MemberSuspect
		if got := Spread(lost, key); order[0] != lost[3].ID && got[0] != order[0] {
			t.Fatalf("first choice %s without %s, %s with it", got[0], lost[3].ID, order[0])
		}
	}
	for host, n := range first {
		if n < 40 || n > 200 {
			t.Errorf("%s is the first choice for %d of 1200 keys", host, n)
		}
	}
}

// Hosts agree on the best one, whichever of them asks.
func TestBestIsTheSameForAll(t *testing.T) {
	all := members(9, 3)
	for key := range uint64(100) {
		want := Best("h0", all, key)
		for _, m := range all {
			if got := Best(m.ID, all, key); got != want {
				t.Fatalf("key %d: %s chooses %s, h0 chooses %s", key, m.ID, got, want)
			}
		}
	}
}

// A host that leaves chose itself while all others chose another host, so that two of them granted
// the whole of an upstream's rate limit until the leaving one had ended.
func TestLeavingHostAgreesWithTheOthers(t *testing.T) {
	all := members(9, 3)
	all[4].State = domain.MemberLeaving
	for key := range uint64(100) {
		want := Best("h0", all, key)
		for _, m := range all {
			if got := Best(m.ID, all, key); got != want {
				t.Fatalf("key %d: %s chooses %s, h0 chooses %s", key, m.ID, got, want)
			}
		}
	}
	if got := Best("h4", all[4:5], 1); got != "h4" {
		t.Errorf("a host that leaves and sees no other one chooses %s", got)
	}
}
