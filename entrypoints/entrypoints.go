// Package entrypoints selects the entry host addresses that a caller should use.
// Callers ask any host, cache the answer for its max age and try the addresses in
// order.
package entrypoints

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
)

const (
	// DefaultMaxAge is the default time that callers may cache an answer.
	DefaultMaxAge = 30 * time.Second
	// DefaultMaxAddresses is the default maximum number of addresses in an answer.
	DefaultMaxAddresses = 6
	// DefaultConnectTimeout is the default timeout of a caller's connection attempt to
	// one address.
	DefaultConnectTimeout = time.Second
	// DefaultMaxBackoff is the default maximum back-off before a caller retries the list
	// from its start.
	DefaultMaxBackoff = 2 * time.Second
	// remoteShareDivisor reserves 1/remoteShareDivisor of the addresses in an answer
	// for hosts outside the caller's availability zone.
	remoteShareDivisor = 3
)

// Config holds the parameters of answers. Zero fields take the defaults.
type Config struct {
	// MaxAge is how long callers may cache an answer.
	MaxAge time.Duration
	// MaxAddresses is the maximum number of addresses in an answer.
	MaxAddresses int
	// ConnectTimeout is the timeout of a connection attempt to one address.
	ConnectTimeout time.Duration
	// MaxBackoff is the maximum back-off before the list is retried from its start.
	MaxBackoff time.Duration
}

// Request holds the parameters of a caller's query for addresses.
type Request struct {
	// Zone is the caller's availability zone, or empty if unknown.
	Zone domain.Zone
	// CallerHint makes the order of the addresses stable for a caller, for example its
	// identifier and address. An empty hint gives a random order.
	CallerHint string
}

// Address is the address of one host that the caller may use.
type Address struct {
	Host    domain.HostID `json:"host"`
	Zone    domain.Zone   `json:"zone"`
	Address string        `json:"address"`
}

// Answer lists the addresses to try, best first.
type Answer struct {
	Addresses []Address `json:"addresses"`
	// MaxAge is how long the caller may cache the answer.
	MaxAge domain.Duration `json:"max_age"`
	// OnFailure tells the caller what to do when an address fails.
	OnFailure FailureAdvice `json:"on_failure"`
}

// FailureAction is the first step that a caller takes when an address fails.
type FailureAction string

// Failure actions.
const (
	// TryNextAddress tells the caller to try the next address of the answer.
	TryNextAddress FailureAction = "try_next_address"
)

// FailureAdvice tells a caller what to do when an address refuses connections, does
// not answer, or rejects requests because the host is leaving.
type FailureAdvice struct {
	Action FailureAction `json:"action"`
	// ConnectTimeout is the time after which a connection attempt has failed.
	ConnectTimeout domain.Duration `json:"connect_timeout"`
	// KeepRequestID tells the caller to resend the same request with the same
	// identifier and the next attempt number.
	KeepRequestID bool `json:"keep_request_id"`
	// AskAgain tells the caller to fetch a new answer from the next working address,
	// even if the current answer has not reached its max age.
	AskAgain bool `json:"ask_again"`
	// MaxBackoff is the maximum back-off after all addresses have failed. The caller waits
	// a random time up to MaxBackoff and then retries the list from its start.
	MaxBackoff domain.Duration `json:"pause"`
}

// Select returns the answer to a caller's query, based on the members of a host's
// view. It lists only alive hosts: first those in the caller's availability zone, then
// those in its region, then the others. It falls back to suspect hosts if no host is
// alive.
func Select(req Request, members []domain.Member, cfg Config) Answer {
	cfg = withDefaults(cfg)
	chosen := selectAddresses(req, members, domain.MemberAlive, cfg.MaxAddresses)
	if len(chosen) == 0 {
		chosen = selectAddresses(req, members, domain.MemberSuspect, cfg.MaxAddresses)
	}
	return Answer{
		Addresses: chosen,
		MaxAge:    domain.Duration(cfg.MaxAge),
		OnFailure: FailureAdvice{
			Action:         TryNextAddress,
			ConnectTimeout: domain.Duration(cfg.ConnectTimeout),
			KeepRequestID:  true,
			AskAgain:       true,
			MaxBackoff:     domain.Duration(cfg.MaxBackoff),
		},
	}
}

// withDefaults replaces zero fields with the defaults.
func withDefaults(cfg Config) Config {
	cfg.MaxAge = cmp.Or(cfg.MaxAge, DefaultMaxAge)
	cfg.MaxAddresses = cmp.Or(cfg.MaxAddresses, DefaultMaxAddresses)
	cfg.ConnectTimeout = cmp.Or(cfg.ConnectTimeout, DefaultConnectTimeout)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, DefaultMaxBackoff)
	return cfg
}

// distance is the topological distance between a host and the caller.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
	distanceCount
)

func distanceOf(zone domain.Zone, region domain.Region, m *domain.Member) distance {
	switch {
	case zone == "":
		return elsewhere
	case m.Zone == zone:
		return sameZone
	case m.Zone.Region() == region:
		return sameRegion
	default:
		return elsewhere
	}
}

// candidate is a member with its rendezvous hashing score for a caller.
type candidate struct {
	member *domain.Member
	score  uint64
}

// selectAddresses returns at most limit members in the given state, in the caller's
// order. Members at the same distance are ordered by rendezvous hashing (Thaler and
// Ravishankar, 1998) of the hint: each host is the first choice of an equal share of
// callers, and if a host fails, its callers move to the others in equal shares.
func selectAddresses(req Request, members []domain.Member, state domain.MemberState, limit int) []Address {
	hint := req.CallerHint
	if hint == "" {
		hint = strconv.FormatUint(rand.Uint64(), 36)
	}
	var byDistance [distanceCount][]candidate
	found, remote := 0, 0
	for d := sameZone; d < distanceCount; d++ {
		if found >= limit && remote >= limit/remoteShareDivisor {
			break
		}
		byDistance[d] = highestScoring(hint, membersAtDistance(req.Zone, members, state, d), limit)
		found += len(byDistance[d])
		if d != sameZone {
			remote += len(byDistance[d])
		}
	}
	return mergeByDistance(byDistance, limit)
}

// membersAtDistance returns the members in the given state that have an address for
// callers and are at distance d from the zone.
func membersAtDistance(zone domain.Zone, members []domain.Member, state domain.MemberState, d distance) []*domain.Member {
	region := zone.Region()
	var out []*domain.Member
	for i := range members {
		m := &members[i]
		if m.State == state && m.CallerAddress != "" && distanceOf(zone, region, m) == d {
			out = append(out, m)
		}
	}
	return out
}

// highestScoring returns at most limit members with the highest scores.
func highestScoring(hint string, members []*domain.Member, limit int) []candidate {
	var out []candidate
	var key []byte
	for _, m := range members {
		key = append(append(key[:0], hint...), 0)
		key = append(key, m.ID...)
		out = insertByScore(out, candidate{m, xxhash.Sum64(key)}, limit)
	}
	return out
}

// insertByScore inserts a candidate into a list that is sorted by descending score, and
// truncates the list to at most limit entries.
func insertByScore(list []candidate, c candidate, limit int) []candidate {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	if at == limit {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), limit)]
}

// mergeByDistance concatenates the lists, nearest first, to at most limit addresses. It
// reserves addresses for hosts outside the caller's zone, so that the answer is still
// usable if the zone fails.
func mergeByDistance(byDistance [distanceCount][]candidate, limit int) []Address {
	remote := len(byDistance[sameRegion]) + len(byDistance[elsewhere])
	reserved := min(remote, limit/remoteShareDivisor)
	local := min(len(byDistance[sameZone]), limit-reserved)
	byDistance[sameZone] = byDistance[sameZone][:local]
	out := make([]Address, 0, limit)
	for _, group := range byDistance {
		for _, c := range group[:min(len(group), limit-len(out))] {
			out = append(out, Address{Host: c.member.ID, Zone: c.member.Zone, Address: c.member.CallerAddress})
		}
	}
	return out
}
