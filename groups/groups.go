// Package groups divides the upstreams of a pool into groups and assigns each
// group to the entry host that keeps it.
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

// Scope says which upstreams of a pool share a group.
type Scope string

// The scopes.
const (
	// ScopeRegion puts all upstreams of a pool in one region into a group.
	ScopeRegion Scope = "region"
	// ScopeZone puts all upstreams of a pool in one availability zone into a group.
	ScopeZone Scope = "zone"
)

// Group is a set of upstreams of one pool whose places are granted together.
type Group struct {
	ID     domain.GroupID
	Pool   domain.PoolName
	Region domain.Region
	// Zones lists the availability zones of the upstreams, sorted.
	Zones     []domain.Zone
	Upstreams []domain.Upstream
}

// Of returns the groups of a pool in order of their identifiers. A scope with
// more than MaxUpstreams upstreams is split into equal shards.
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
		out = append(out, split(pool.Name, key, ups)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// split deals the upstreams of one scope out to shards, role by role, so that
// each shard has prefill and decode upstreams in the same proportion.
func split(pool domain.PoolName, scope string, ups []domain.Upstream) []Group {
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
		out[i].Zones = zonesOf(out[i].Upstreams)
	}
	return out
}

func zonesOf(ups []domain.Upstream) []domain.Zone {
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

// Keeper returns the host that keeps a group, by rendezvous hashing (Thaler and
// Ravishankar, 1998) over the alive members in the group's availability zones,
// or over all alive members where those zones have none. Where no member is
// alive, leaving members keep the groups until their own requests have ended. It
// returns false where there is neither.
func Keeper(group Group, members []domain.Member) (domain.HostID, bool) {
	for _, state := range []domain.MemberState{domain.MemberAlive, domain.MemberLeaving} {
		if host, ok := highest(group, members, state, true); ok {
			return host, true
		}
		if host, ok := highest(group, members, state, false); ok {
			return host, true
		}
	}
	return "", false
}

func highest(group Group, members []domain.Member, state domain.MemberState, sameZones bool) (domain.HostID, bool) {
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
