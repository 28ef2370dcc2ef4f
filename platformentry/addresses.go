package platformentry

import (
	"math/rand/v2"
	"time"

	"greengagespoke/domain"
)

const (
	// answerMaxAge is how long callers keep an address list. Some keep it three
	// times as long, which must fit into a planned stop.
	answerMaxAge = time.Second
	// maxAddresses bounds a list; callers take no more.
	maxAddresses = 64
	// zoneHosts is the number of hosts of the caller's own availability zone from
	// which on no others are named.
	zoneHosts = 2
)

// addressesFor returns the hosts that a caller of an availability zone should
// connect to: those of its own zone where there are enough, else all. A host that
// is only listed and was not heard of yet may have ended long ago.
func addressesFor(zone domain.Zone, members []domain.Member) []string {
	var near, all []string
	for _, m := range members {
		if m.State != domain.MemberAlive || m.CallerAddress == "" || m.Incarnation == 0 {
			continue
		}
		all = append(all, m.CallerAddress)
		if m.Zone == zone {
			near = append(near, m.CallerAddress)
		}
	}
	if len(near) >= zoneHosts {
		all = near
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxAddresses)]
}
