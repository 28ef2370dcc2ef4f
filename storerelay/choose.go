package storerelay

import (
	"cmp"
	"maps"
	"slices"

	"greengagespoke/domain"
)

const (
	// smallFleet is the number of hosts up to which all of them read the store: the
	// calls cost less than the hop.
	smallFleet = 16
	// hostsPerReader is the number of hosts of an availability zone for which one of
	// them reads the store: it answers each once or twice a second.
	hostsPerReader = 40
	// fewestZones is the number of zones from which on one reader a zone is enough,
	// as readers of other zones stand in for it.
	fewestZones = 2
)

// Large reports whether a fleet is so large that its hosts relay the store.
func Large(hosts int) bool { return hosts > smallFleet }

// Readers returns the other hosts that relay the store to this one, the preferred
// one first, or direct true where this host reads the store itself. The first ones
// are of its zone, the last one is of another.
func Readers(self domain.HostID, members []domain.Member) (readers []domain.HostID, direct bool) {
	i := slices.IndexFunc(members, func(m domain.Member) bool { return m.ID == self })
	if !Large(len(members)) || i < 0 {
		return nil, true
	}
	zones := make(map[domain.Zone][]domain.HostID)
	for _, m := range members {
		if m.ID == self || m.State == domain.MemberAlive && m.Incarnation > 0 {
			zones[m.Zone] = append(zones[m.Zone], m.ID)
		}
	}
	own := members[i].Zone
	near := chosen(zones[own], len(zones))
	if len(near) == 0 || slices.Contains(near, self) {
		return nil, true
	}
	// The hosts of a zone spread over its readers.
	turn := int(self.RingPosition() % uint64(len(near)))
	readers = append(slices.Clone(near[turn:]), near[:turn]...)
	if far, ok := nextZone(own, zones); ok {
		readers = append(readers, chosen(zones[far], len(zones))[0])
	}
	return readers, false
}

// chosen returns the hosts of a zone that read the store.
func chosen(hosts []domain.HostID, zones int) []domain.HostID {
	n := (len(hosts) + hostsPerReader - 1) / hostsPerReader
	if zones < fewestZones {
		n = max(n, fewestZones)
	}
	slices.SortFunc(hosts, func(a, b domain.HostID) int { return cmp.Compare(a.RingPosition(), b.RingPosition()) })
	return hosts[:min(n, len(hosts))]
}

// nextZone returns the zone after one in a ring of all zones.
func nextZone(own domain.Zone, zones map[domain.Zone][]domain.HostID) (domain.Zone, bool) {
	names := slices.Sorted(maps.Keys(zones))
	i := slices.Index(names, own)
	next := names[(i+1)%len(names)]
	return next, next != own
}
