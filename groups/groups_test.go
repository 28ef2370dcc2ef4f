package groups

import (
	"testing"

	"greengagespoke/domain"
)

// TestKeeperPrefersAliveMembersOfTheZone checks the order in which members are
// taken: alive ones of the group's zones, other alive ones, then leaving ones.
func TestKeeperPrefersAliveMembersOfTheZone(t *testing.T) {
	group := Group{ID: "pool/zone/0", Zones: []domain.Zone{"z-1"}}
	member := func(id domain.HostID, zone domain.Zone, state domain.MemberState) domain.Member {
		return domain.Member{ID: id, Zone: zone, State: state}
	}
	members := []domain.Member{
		member("dead", "z-1", domain.MemberDead),
		member("leaving-far", "z-2", domain.MemberLeaving),
		member("leaving-near", "z-1", domain.MemberLeaving),
		member("alive-far", "z-2", domain.MemberAlive),
		member("alive-near", "z-1", domain.MemberAlive),
	}
	for i := len(members) - 1; i > 0; i-- {
		if got, ok := Keeper(group, members[:i+1]); !ok || got != members[i].ID {
			t.Errorf("of %d members %q keeps the group, want %q", i+1, got, members[i].ID)
		}
	}
	if got, ok := Keeper(group, members[:1]); ok {
		t.Errorf("the dead member %q keeps the group", got)
	}
}
