package groups

import (
	"testing"

	"greengagespoke/domain"
)

// TestKeeperPrefersAliveMembersOfTheZone checks the order of preference: alive
// members in the group's zones, other alive members, leaving members in the
// group's zones, other leaving members. A dead member is never chosen.
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
			t.Errorf("keeper among the first %d members is %q, want %q", i+1, got, members[i].ID)
		}
	}
	if got, ok := Keeper(group, members[:1]); ok {
		t.Errorf("keeper is the dead member %q, want none", got)
	}
}
