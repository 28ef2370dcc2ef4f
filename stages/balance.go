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
	// readUse and holdUse are the parts of their time and memory that prefill and
	// decode engines can use. Prompts come unevenly and wait for each other, while
	// requests wait for memory anyway.
	readUse = 0.60
	holdUse = 0.9
	// scarceShare is the part of the wanted prefill engines below which decode
	// engines become prefill engines. While one changes, it still gives places and
	// rejects the requests, whose prompts are then read in vain.
	scarceShare = 0.5
	// leastShift is the part of all engines by which roles must be off before any
	// engine changes: a change takes an engine out for seconds.
	leastShift = 0.05
)

// Usual requests of model services, by the users' sheets. They count as much as
// usualWeight requests, until a host has seen its own.
const (
	usualPrompt   = 3200    // tokens
	usualReadRate = 33000.0 // tokens per second
	usualHeld     = 3500.0  // tokens held on a decode engine
	usualTime     = 3.2     // seconds that they are held
	usualWeight   = 20
)

// Load is what requests of a service need of its engines. It is safe to copy.
type Load struct {
	// requests is the number of requests that count.
	requests float64
	// prompt is the sum of their prompt tokens, held that of memory times time in
	// token seconds.
	prompt, held float64
	// readRate is how fast an engine reads, in tokens per second.
	readRate float64
}

// UsualLoad returns the load to expect before any request.
func UsualLoad() Load {
	return Load{
		requests: usualWeight, prompt: usualWeight * usualPrompt, held: usualWeight * usualHeld * usualTime,
		readRate: usualReadRate,
	}
}

// readerShare returns the part of the engines that should read prompts: both roles
// then have the same throughput.
func (l Load) readerShare(memoryTokens int) float64 {
	if l.requests <= 0 || l.readRate <= 0 || memoryTokens <= 0 {
		return 0
	}
	read := l.prompt / l.requests / l.readRate / readUse
	hold := l.held / l.requests / float64(memoryTokens) / holdUse
	return read / (read + hold)
}

// Change is an engine and the role that it should have.
type Change struct {
	Engine *traffic.Upstream
	Role   domain.Role
}

// Plan returns the changes that bring the roles of a service's engines into
// balance, or none where they are near it. All changes are to the same role, and at
// least one engine keeps each.
func Plan(engines []*traffic.Upstream, memoryTokens int, load Load) []Change {
	readers, decoders := byRole(engines, domain.RolePrefill), byRole(engines, domain.RoleDecode)
	n := len(readers) + len(decoders)
	if len(readers) == 0 || len(decoders) == 0 {
		return nil
	}
	want := int(math.Round(load.readerShare(memoryTokens) * float64(n)))
	want = min(max(want, 1), n-1)
	surplus := len(readers) - want
	switch {
	case surplus > 0 && float64(surplus) >= leastShift*float64(n):
		return change(readers, surplus, domain.RoleDecode)
	case float64(len(readers)) < scarceShare*float64(want):
		return change(decoders, -surplus, domain.RolePrefill)
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

// change picks engines of one role, by turns from the availability zone that has
// the most of them, so that both roles stay spread.
func change(engines []*traffic.Upstream, n int, role domain.Role) []Change {
	zones := make(map[domain.Zone][]*traffic.Upstream)
	for _, up := range engines {
		zones[up.Zone] = append(zones[up.Zone], up)
	}
	names := make([]domain.Zone, 0, len(zones))
	for zone, list := range zones {
		names = append(names, zone)
		slices.SortFunc(list, func(a, b *traffic.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	var out []Change
	for range n {
		slices.SortFunc(names, func(a, b domain.Zone) int {
			return cmp.Or(cmp.Compare(len(zones[b]), len(zones[a])), strings.Compare(string(a), string(b)))
		})
		zone := names[0]
		out = append(out, Change{Engine: zones[zone][0], Role: role})
		zones[zone] = zones[zone][1:]
	}
	return out
}
