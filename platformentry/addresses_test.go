package platformentry

import (
	"fmt"
	"slices"
	"testing"

	"greengagespoke/domain"
)

func member(n int, zone domain.Zone, state domain.MemberState, incarnation uint64) domain.Member {
	id := fmt.Sprint("h", n)
	return domain.Member{ID: domain.HostID(id), Zone: zone, State: state, Incarnation: incarnation, CallerAddress: id}
}

// After a restart a host reads the rows of hosts that stopped long ago. It must not
// list them to callers until a gossip update confirms that they are alive.
func TestOnlyAliveHostsAreListed(t *testing.T) {
	members := []domain.Member{
		member(1, "a", domain.MemberAlive, 1), member(2, "a", domain.MemberAlive, 0),
		member(3, "a", domain.MemberSuspect, 1), member(4, "a", domain.MemberDead, 1),
		member(5, "a", domain.MemberLeaving, 1), member(6, "b", domain.MemberAlive, 1),
	}
	got := addressesFor("a", members)
	slices.Sort(got)
	if want := []string{"h1", "h6"}; !slices.Equal(got, want) {
		t.Fatalf("listed %v, want %v", got, want)
	}
}

func TestOwnZoneIsPreferredAndListsAreBounded(t *testing.T) {
	var members []domain.Member
	for i := range 200 {
		members = append(members, member(i, domain.Zone([]string{"a", "b"}[i%2]), domain.MemberAlive, 1))
	}
	got := addressesFor("a", members)
	if len(got) != maxAddresses {
		t.Fatalf("listed %d addresses, want %d", len(got), maxAddresses)
	}
	for _, m := range members {
		if m.Zone == "b" && slices.Contains(got, m.CallerAddress) {
			t.Fatalf("%s of another zone is listed", m.ID)
		}
	}
}
