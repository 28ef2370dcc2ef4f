package storerelay

import (
	"cmp"
	"maps"
	"slices"

	"greengagespoke/domain"
)

const (
	// maxDirectFleetSize is the largest number of hosts for which all of them read the
	// store directly: up to this size the calls cost less than the extra hop.
	maxDirectFleetSize = 16
	// hostsPerStoreReader is the number of hosts in an availability zone per store
	// reader. The reader answers each of them once or twice a second.
	hostsPerStoreReader = 40
	// minStoreReaders is the minimum number of hosts that read the store in a large
	// fleet, so that one of them may fail. With at least this many zones, one reader
	// in each zone is enough, as the readers of other zones are its fallback.
	minStoreReaders = 2
)

// UsesRelays reports whether a fleet has so many hosts that only some of them read the
// store and relay it to the rest.
func UsesRelays(hosts int) bool { return hosts > maxDirectFleetSize }

// RelaysFor returns the hosts that relay the store to the host self, in order of
// preference. The readers of its own availability zone come first; one reader of
// another zone comes last, if there is another zone. If self reads the store
// directly, RelaysFor returns no hosts and direct is true: in a small fleet, if self is
// a reader itself, or if it is not among the members.
func RelaysFor(self domain.HostID, members []domain.Member) (readers []domain.HostID, direct bool) {
	selfIndex := slices.IndexFunc(members, func(m domain.Member) bool { return m.ID == self })
	if !UsesRelays(len(members)) || selfIndex < 0 {
		return nil, true
	}
	hostsByZone := make(map[domain.Zone][]domain.HostID)
	for _, m := range members {
		if m.ID == self || m.State == domain.MemberAlive && m.Incarnation > 0 {
			hostsByZone[m.Zone] = append(hostsByZone[m.Zone], m.ID)
		}
	}
	ownZone := members[selfIndex].Zone
	ownZoneReaders := storeReaders(hostsByZone[ownZone], len(hostsByZone))
	if len(ownZoneReaders) == 0 || slices.Contains(ownZoneReaders, self) {
		return nil, true
	}
	// The host's ring position selects its first reader, which spreads the hosts of a
	// zone over its readers.
	offset := int(self.RingPosition() % uint64(len(ownZoneReaders)))
	readers = append(slices.Clone(ownZoneReaders[offset:]), ownZoneReaders[:offset]...)
	if otherZone, ok := nextZone(ownZone, hostsByZone); ok {
		readers = append(readers, storeReaders(hostsByZone[otherZone], len(hostsByZone))[0])
	}
	return readers, false
}

// storeReaders returns those of a zone's hosts that read the store: the first ones
// in ring order. It sorts hosts in place.
func storeReaders(hosts []domain.HostID, zoneCount int) []domain.HostID {
	count := (len(hosts) + hostsPerStoreReader - 1) / hostsPerStoreReader
	if zoneCount < minStoreReaders {
		count = max(count, minStoreReaders)
	}
	slices.SortFunc(hosts, func(a, b domain.HostID) int { return cmp.Compare(a.RingPosition(), b.RingPosition()) })
	return hosts[:min(count, len(hosts))]
}

// nextZone returns the zone that follows the given one in the sorted ring of all
// zones. It reports false if there is no other zone.
func nextZone(zone domain.Zone, hostsByZone map[domain.Zone][]domain.HostID) (domain.Zone, bool) {
	names := slices.Sorted(maps.Keys(hostsByZone))
	i := slices.Index(names, zone)
	next := names[(i+1)%len(names)]
	return next, next != zone
}
