package platformentry

import (
	"math/rand/v2"
	"time"

	"greengagespoke/domain"
)

const (
	// addressListTTL is how long callers may keep an address list. Some keep it three
	// times as long, and a graceful shutdown must allow for that.
	addressListTTL = time.Second
	// maxAddresses limits the length of an address list; callers accept no more.
	maxAddresses = 64
	// minSameZoneHosts is the number of hosts in the caller's own availability zone that
	// is enough to list no hosts of other zones.
	minSameZoneHosts = 2
)

// addressesFor returns the addresses that a caller in an availability zone should
// connect to, in random order: those of its own zone if there are enough, otherwise
// those of all zones. It skips hosts with incarnation 0, which are only known from the
// host list and may have stopped long ago.
func addressesFor(zone domain.Zone, members []domain.Member) []string {
	var sameZone, addresses []string
	for _, m := range members {
		if m.State != domain.MemberAlive || m.CallerAddress == "" || m.Incarnation == 0 {
			continue
		}
		addresses = append(addresses, m.CallerAddress)
		if m.Zone == zone {
			sameZone = append(sameZone, m.CallerAddress)
		}
	}
	if len(sameZone) >= minSameZoneHosts {
		addresses = sameZone
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)]
}
