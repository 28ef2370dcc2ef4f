// Package groups divides the upstreams of a pool into groups and assigns each
// group to the entry host that owns it, its keeper.
package groups

import (
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

// MaxUpstreams bounds the number of upstreams in one group.
const MaxUpstreams = 64

// Scope selects which upstreams of a pool are grouped together.
type Scope string

// The scopes.
const (
	// ScopeRegion groups the upstreams of a pool by region.
	ScopeRegion Scope = "region"
	// ScopeZone groups the upstreams of a pool by availability zone.
	ScopeZone Scope = "zone"
)

// Group is a set of upstreams of one pool whose slots are granted by the same
// keeper.
type Group struct {
	ID     domain.GroupID
	Pool   domain.PoolName
	Region domain.Region
	// Zones lists the distinct availability zones of the upstreams, sorted.
	Zones     []domain.Zone
	Upstreams []domain.Upstream
}

// Of returns the groups of a pool, sorted by identifier. A region or availability
// zone with more than MaxUpstreams upstreams is split into several groups whose
// sizes differ by at most one.
func Of(pool domain.Pool, scope Scope) []Group {
	byScope := make(map[string][]domain.Upstream)
	for _, up := range pool.Upstreams {
		key := string(up.Zone.Region())
		if scope == ScopeZone {
			key = string(up.Zone)
		}
		byScope[key] = append(byScope[key], up)
	}
	var out []Group
	for key, ups := range byScope {
		out = append(out, splitScope(pool.Name, key, ups)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// splitScope returns the groups of one region or availability zone. It assigns
// the upstreams round-robin in order of their roles, so that each group has about
// the same ratio of prefill to decode upstreams.
func splitScope(pool domain.PoolName, scope string, ups []domain.Upstream) []Group {
	sort.Slice(ups, func(i, j int) bool {
		if ups[i].Role != ups[j].Role {
			return ups[i].Role < ups[j].Role
		}
		return ups[i].ID < ups[j].ID
	})
	shards := (len(ups) + MaxUpstreams - 1) / MaxUpstreams
	out := make([]Group, shards)
	for i := range out {
		out[i].ID = domain.GroupID(fmt.Sprintf("%s/%s/%d", pool, scope, i))
		out[i].Pool = pool
		out[i].Region = ups[0].Zone.Region()
	}
	for i, up := range ups {
		shard := &out[i%shards]
		shard.Upstreams = append(shard.Upstreams, up)
	}
	for i := range out {
		out[i].Zones = sortedZones(out[i].Upstreams)
	}
	return out
}

func sortedZones(ups []domain.Upstream) []domain.Zone {
	seen := make(map[domain.Zone]bool)
	var zones []domain.Zone
	for _, up := range ups {
		if !seen[up.Zone] {
			seen[up.Zone] = true
			zones = append(zones, up.Zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}

// Keeper returns the host that owns a group, by rendezvous hashing (Thaler and
// Ravishankar, 1998) over the alive members in the group's availability zones,
// or over all alive members if there are none in those zones. If no member is
// alive, leaving members are used in the same way, as they own groups until
// their own requests have ended. It returns false if no member is alive or
// leaving.
func Keeper(group Group, members []domain.Member) (domain.HostID, bool) {
	for _, state := range []domain.MemberState{domain.MemberAlive, domain.MemberLeaving} {
		if host, ok := highestScore(group, members, state, true); ok {
			return host, true
		}
		if host, ok := highestScore(group, members, state, false); ok {
			return host, true
		}
	}
	return "", false
}

// highestScore returns the member in the given state with the highest rendezvous
// score for the group, and false if there is none. With sameZones, it considers
// only members in the group's availability zones.
func highestScore(group Group, members []domain.Member, state domain.MemberState, sameZones bool) (domain.HostID, bool) {
	var best domain.HostID
	var bestScore uint64
	found := false
	for _, m := range members {
		if m.State != state {
			continue
		}
		if sameZones && !slices.Contains(group.Zones, m.Zone) {
			continue
		}
		score := xxhash.Sum64String(string(group.ID) + "\x00" + string(m.ID))
		if !found || score > bestScore || (score == bestScore && m.ID < best) {
			best, bestScore, found = m.ID, score, true
		}
	}
	return best, found
}
