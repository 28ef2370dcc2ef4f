package stages

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const (
	// prefillTimeUtilization and decodeMemoryUtilization are the shares of a prefill
	// engine's time and of a decode engine's memory that are assumed to be usable.
	// Prefill needs headroom, as prompts arrive unevenly and queue behind each other,
	// whereas requests wait for decode memory anyway.
	prefillTimeUtilization  = 0.60
	decodeMemoryUtilization = 0.9
	// prefillShortageRatio is the ratio of actual to wanted prefill engines below which
	// decode engines become prefill engines. While a decode engine changes its role, it
	// still grants reservations but rejects the requests for them, whose prefill is then
	// wasted.
	prefillShortageRatio = 0.5
	// maxDecodeChangeShare is the largest share of the decode engines that become prefill
	// engines at once. Until they have changed, the others take over their requests, and
	// prefill prompts themselves.
	maxDecodeChangeShare = 0.125
	// minPrefillSurplusShare is the surplus of prefill engines, as a share of all
	// engines, from which on they become decode engines. A smaller one is left alone, as
	// a change takes an engine out of service for seconds.
	minPrefillSurplusShare = 0.05
)

// The load of a model service that is assumed before the host has served requests,
// from the typical requests that the users specify. It has the weight of
// defaultLoadRequests requests and decays as the host serves its own.
const (
	defaultPromptTokens           = 3200    // tokens
	defaultPrefillTokensPerSecond = 33000.0 // tokens per second
	defaultHeldTokens             = 3500.0  // tokens of memory on a decode engine
	defaultHoldSeconds            = 3.2     // seconds for which the memory is held
	defaultLoadRequests           = 20
)

// Load is what the requests of a service need of its engines. Recent requests have more
// weight than older ones. It is safe to copy.
type Load struct {
	// requests is the number of requests, weighted by age like the sums below.
	requests float64
	// promptTokens is the sum of their prompt tokens, heldTokenSeconds that of the decode
	// memory in tokens times the seconds for which it was held.
	promptTokens, heldTokenSeconds float64
	// prefillTokensPerSecond is the rate at which one engine prefills.
	prefillTokensPerSecond float64
}

// DefaultLoad returns the load that is assumed before any request was served.
func DefaultLoad() Load {
	return Load{
		requests:               defaultLoadRequests,
		promptTokens:           defaultLoadRequests * defaultPromptTokens,
		heldTokenSeconds:       defaultLoadRequests * defaultHeldTokens * defaultHoldSeconds,
		prefillTokensPerSecond: defaultPrefillTokensPerSecond,
	}
}

// prefillShare returns the share of prefill engines at which prefill and decode engines
// have the same throughput in requests. memoryTokens is the memory of one engine.
func (l Load) prefillShare(memoryTokens int) float64 {
	if l.requests <= 0 || l.prefillTokensPerSecond <= 0 || memoryTokens <= 0 {
		return 0
	}
	prefillSeconds := l.promptTokens / l.requests / l.prefillTokensPerSecond / prefillTimeUtilization
	decodeSeconds := l.heldTokenSeconds / l.requests / float64(memoryTokens) / decodeMemoryUtilization
	return prefillSeconds / (prefillSeconds + decodeSeconds)
}

// Change assigns a new role to an engine.
type Change struct {
	Engine *traffic.Upstream
	Role   domain.Role
}

// Plan returns the role changes that balance the engines of a service, or none if they
// are nearly balanced or if one role has no engine. All changes are to the same role,
// and each role keeps at least one engine.
func Plan(engines []*traffic.Upstream, memoryTokens int, load Load) []Change {
	prefillEngines, decodeEngines := byRole(engines, domain.RolePrefill), byRole(engines, domain.RoleDecode)
	n := len(prefillEngines) + len(decodeEngines)
	if len(prefillEngines) == 0 || len(decodeEngines) == 0 {
		return nil
	}
	wantPrefill := int(math.Round(load.prefillShare(memoryTokens) * float64(n)))
	wantPrefill = min(max(wantPrefill, 1), n-1)
	surplus := len(prefillEngines) - wantPrefill
	switch {
	case surplus > 0 && float64(surplus) >= minPrefillSurplusShare*float64(n):
		return selectChanges(prefillEngines, surplus, domain.RoleDecode)
	case float64(len(prefillEngines)) < prefillShortageRatio*float64(wantPrefill):
		atOnce := max(1, int(maxDecodeChangeShare*float64(len(decodeEngines))))
		return selectChanges(decodeEngines, min(-surplus, atOnce), domain.RolePrefill)
	default:
		return nil
	}
}

func byRole(engines []*traffic.Upstream, role domain.Role) []*traffic.Upstream {
	var out []*traffic.Upstream
	for _, up := range engines {
		if up.Role == role {
			out = append(out, up)
		}
	}
	return out
}

// selectChanges picks n engines of one role, each from the availability zone that has
// the most of them left, so that both roles stay spread over the zones.
func selectChanges(engines []*traffic.Upstream, n int, role domain.Role) []Change {
	byZone := make(map[domain.Zone][]*traffic.Upstream)
	for _, up := range engines {
		byZone[up.Zone] = append(byZone[up.Zone], up)
	}
	zones := make([]domain.Zone, 0, len(byZone))
	for zone, list := range byZone {
		zones = append(zones, zone)
		slices.SortFunc(list, func(a, b *traffic.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	var out []Change
	for range n {
		slices.SortFunc(zones, func(a, b domain.Zone) int {
			return cmp.Or(cmp.Compare(len(byZone[b]), len(byZone[a])), strings.Compare(string(a), string(b)))
		})
		zone := zones[0]
		out = append(out, Change{Engine: byZone[zone][0], Role: role})
		byZone[zone] = byZone[zone][1:]
	}
	return out
}
