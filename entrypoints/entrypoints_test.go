package entrypoints

import (
	"fmt"
	"math"
	"testing"

	"greengagespoke/domain"
)

// fleet returns alive members, distributed round-robin over zones. Each region has
// three zones.
func fleet(hosts, zones int) []domain.Member {
	out := make([]domain.Member, hosts)
	for i := range out {
		zone := i % zones
		out[i] = domain.Member{
			ID:            domain.HostID(fmt.Sprintf("entry-%03d", i)),
			Zone:          domain.Zone(fmt.Sprintf("region%d-%d", zone/3, zone%3)),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:7100", i/256, i%256),
			State:         domain.MemberAlive,
		}
	}
	return out
}

// maxSpreadRatio returns the bound that the ratio of the busiest host's callers to the
// mean exceeds by chance in 1 of a million runs. It uses the Chernoff bound
// P(X >= (1+e)mean) <= exp(-mean*e*e/3) and a union bound over the hosts.
func maxSpreadRatio(callers, hosts int) float64 {
	mean := float64(callers) / float64(hosts)
	return 1 + math.Sqrt(3*math.Log(float64(hosts)*1e6)/mean)
}

func TestCallersSpreadEvenly(t *testing.T) {
	for _, size := range []struct{ hosts, zones, callers int }{{9, 3, 45_000}, {340, 11, 45_000}} {
		callers := size.callers
		members := fleet(size.hosts, size.zones)
		first, second := make(map[domain.HostID]int), make(map[domain.HostID]int)
		failed := members[0]
		inZone := 0
		for i := range callers {
			req := Request{CallerHint: fmt.Sprintf("caller-%d", i), Zone: members[i%size.hosts].Zone}
			answer := Select(req, members, Config{})
			first[answer.Addresses[0].Host]++
			if answer.Addresses[0].Host == failed.ID {
				second[answer.Addresses[1].Host]++
			}
			if answer.Addresses[0].Zone == req.Zone {
				inZone++
			}
		}
		if inZone != callers {
			t.Errorf("%d hosts: %d of %d callers got a host of their zone first", size.hosts, inZone, callers)
		}
		checkSpread(t, "first choice", first, callers, size.hosts)
		peers := (size.hosts+size.zones-1)/size.zones - 1
		checkSpread(t, "second choice after a failure", second, first[failed.ID], peers)
	}
}

func checkSpread(t *testing.T, what string, counts map[domain.HostID]int, callers, hosts int) {
	t.Helper()
	busiest := 0
	for _, n := range counts {
		busiest = max(busiest, n)
	}
	ratio := float64(busiest) * float64(hosts) / float64(callers)
	bound := maxSpreadRatio(callers, hosts)
	t.Logf("%s, %d callers over %d hosts: max/mean %.3f, bound %.3f", what, callers, hosts, ratio, bound)
	if len(counts) != hosts || ratio > bound {
		t.Errorf("%s over %d hosts: %d used, max/mean %.3f, bound %.3f", what, hosts, len(counts), ratio, bound)
	}
}

func TestOnlyAliveHostsAreListed(t *testing.T) {
	members := fleet(9, 3)
	members[0].State = domain.MemberLeaving
	members[1].State = domain.MemberSuspect
	members[2].State = domain.MemberDead
	for i := range 100 {
		answer := Select(Request{CallerHint: fmt.Sprint(i), Zone: members[i%9].Zone}, members, Config{MaxAddresses: 9})
		if len(answer.Addresses) != 6 {
			t.Fatalf("got %d addresses, want the 6 alive hosts", len(answer.Addresses))
		}
		for _, a := range answer.Addresses {
			if a.Host <= members[2].ID {
				t.Fatalf("host %s is listed though it is not alive", a.Host)
			}
		}
	}
}

func TestSuspectsAreTheLastResort(t *testing.T) {
	members := fleet(3, 3)
	members[0].State = domain.MemberLeaving
	members[1].State = domain.MemberDead
	members[2].State = domain.MemberSuspect
	answer := Select(Request{}, members, Config{})
	if len(answer.Addresses) != 1 || answer.Addresses[0].Host != members[2].ID {
		t.Errorf("got %+v, want the suspect host alone", answer.Addresses)
	}
}

func TestAnswerReservesAddressesForOtherZones(t *testing.T) {
	members := fleet(340, 11)
	zone := members[4].Zone
	answer := Select(Request{CallerHint: "c", Zone: zone}, members, Config{})
	if len(answer.Addresses) != DefaultMaxAddresses {
		t.Fatalf("got %d addresses, want %d", len(answer.Addresses), DefaultMaxAddresses)
	}
	var distances []distance
	for _, a := range answer.Addresses {
		distances = append(distances, distanceOf(zone, zone.Region(), &domain.Member{Zone: a.Zone}))
	}
	want := []distance{sameZone, sameZone, sameZone, sameZone, sameRegion, sameRegion}
	if fmt.Sprint(distances) != fmt.Sprint(want) {
		t.Errorf("got distances %v, want %v", distances, want)
	}
}

func TestHintGivesStableOrder(t *testing.T) {
	members := fleet(340, 11)
	req := Request{CallerHint: "caller-7", Zone: members[0].Zone}
	a, b := Select(req, members, Config{}), Select(req, members, Config{})
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("two answers to the same caller differ: %v and %v", a, b)
	}
	firsts := make(map[domain.HostID]bool)
	for range 50 {
		firsts[Select(Request{Zone: members[0].Zone}, members, Config{}).Addresses[0].Host] = true
	}
	if len(firsts) < 2 {
		t.Error("answers without a hint are not in random order")
	}
}

func TestEmptyView(t *testing.T) {
	answer := Select(Request{Zone: "z"}, nil, Config{})
	if len(answer.Addresses) != 0 || answer.OnFailure.Action != TryNextAddress || answer.MaxAge.D() != DefaultMaxAge {
		t.Errorf("got %+v", answer)
	}
}

func BenchmarkSelect340(b *testing.B) {
	members := fleet(340, 11)
	req := Request{CallerHint: "caller-7", Zone: members[0].Zone}
	b.ReportAllocs()
	for b.Loop() {
		Select(req, members, Config{})
	}
}
