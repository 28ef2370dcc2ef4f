// Package entrypoints chooses the addresses that a caller should use. Callers ask
// any host, keep the answer for its max age and connect to the addresses in order.
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
	// DefaultMaxAge is how long callers keep an answer.
	DefaultMaxAge = 30 * time.Second
	// DefaultMaxAddresses bounds the addresses in an answer.
	DefaultMaxAddresses = 6
	// DefaultConnectTimeout is when a caller gives up connecting to an address.
	DefaultConnectTimeout = time.Second
	// DefaultPause is the longest wait before a caller starts over with the list.
	DefaultPause = 2 * time.Second
	// fallbackShare is the part of an answer, as its inverse, that is kept for
	// hosts outside the caller's availability zone.
	fallbackShare = 3
)

// Config bounds answers. Zero fields take the defaults.
type Config struct {
	MaxAge         time.Duration
	MaxAddresses   int
	ConnectTimeout time.Duration
	Pause          time.Duration
}

// Request is a caller's question.
type Request struct {
	// Zone is the caller's availability zone; empty where it is not known.
	Zone domain.Zone
	// CallerHint gives a caller the same order each time, for example its
	// identifier and address; empty gives a random order.
	CallerHint string
}

// Address is one host that the caller may use.
type Address struct {
	Host    domain.HostID `json:"host"`
	Zone    domain.Zone   `json:"zone"`
	Address string        `json:"address"`
}

// Answer lists the addresses to try, best first.
type Answer struct {
	Addresses []Address `json:"addresses"`
	// MaxAge is how long the answer may be kept.
	MaxAge domain.Duration `json:"max_age"`
	// OnFailure says what to do when an address does not work.
	OnFailure FailureAdvice `json:"on_failure"`
}

// FailureAction is the first thing to do when an address fails.
type FailureAction string

// The failure actions.
const (
	// TryNextAddress means to go on with the next address of the answer.
	TryNextAddress FailureAction = "try_next_address"
)

// FailureAdvice says what a caller does when an address refuses connections, does
// not answer, or refuses work because it is leaving.
type FailureAdvice struct {
	Action FailureAction `json:"action"`
	// ConnectTimeout is when an address counts as failed.
	ConnectTimeout domain.Duration `json:"connect_timeout"`
	// KeepRequestID says that the same request is sent with the same identifier
	// and the next attempt number.
	KeepRequestID bool `json:"keep_request_id"`
	// AskAgain says that the caller asks the next address that works for a new
	// answer, also before the max age.
	AskAgain bool `json:"ask_again"`
	// Pause is the longest wait, chosen at random up to it, before the list is
	// tried again from its start once all addresses have failed.
	Pause domain.Duration `json:"pause"`
}

// Select answers a caller's question from the members of the view. Only alive
// hosts are listed, those of the caller's availability zone first, then those of
// its region. Suspect hosts are listed only where no host is alive.
func Select(req Request, members []domain.Member, cfg Config) Answer {
	cfg = withDefaults(cfg)
	chosen := choose(req, members, domain.MemberAlive, cfg.MaxAddresses)
	if len(chosen) == 0 {
		chosen = choose(req, members, domain.MemberSuspect, cfg.MaxAddresses)
	}
	return Answer{
		Addresses: chosen,
		MaxAge:    domain.Duration(cfg.MaxAge),
		OnFailure: FailureAdvice{
			Action:         TryNextAddress,
			ConnectTimeout: domain.Duration(cfg.ConnectTimeout),
			KeepRequestID:  true,
			AskAgain:       true,
			Pause:          domain.Duration(cfg.Pause),
		},
	}
}

func withDefaults(cfg Config) Config {
	cfg.MaxAge = cmp.Or(cfg.MaxAge, DefaultMaxAge)
	cfg.MaxAddresses = cmp.Or(cfg.MaxAddresses, DefaultMaxAddresses)
	cfg.ConnectTimeout = cmp.Or(cfg.ConnectTimeout, DefaultConnectTimeout)
	cfg.Pause = cmp.Or(cfg.Pause, DefaultPause)
	return cfg
}

// distance orders hosts by how far they are from the caller.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
	distances
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

// candidate is a member with its score in the caller's order.
type candidate struct {
	member *domain.Member
	score  uint64
}

// choose returns at most limit members in the state, in the caller's order. Within
// a distance the order is that of rendezvous hashing (Thaler and Ravishankar, 1998)
// over the hint: each host is first for an equal share of callers, and the callers
// of a host that fails go to the others in equal shares.
func choose(req Request, members []domain.Member, state domain.MemberState, limit int) []Address {
	hint := req.CallerHint
	if hint == "" {
		hint = strconv.FormatUint(rand.Uint64(), 36)
	}
	var byDistance [distances][]candidate
	found, remote := 0, 0
	for d := sameZone; d < distances; d++ {
		if found >= limit && remote >= limit/fallbackShare {
			break
		}
		byDistance[d] = best(hint, within(req.Zone, members, state, d), limit)
		found += len(byDistance[d])
		if d != sameZone {
			remote += len(byDistance[d])
		}
	}
	return merge(byDistance, limit)
}

// within returns the members in the state, with an address for callers, that lie
// at a distance from the zone.
func within(zone domain.Zone, members []domain.Member, state domain.MemberState, d distance) []*domain.Member {
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

// best returns at most limit members with the highest scores.
func best(hint string, members []*domain.Member, limit int) []candidate {
	var out []candidate
	var key []byte
	for _, m := range members {
		key = append(append(key[:0], hint...), 0)
		key = append(key, m.ID...)
		out = insert(out, candidate{m, xxhash.Sum64(key)}, limit)
	}
	return out
}

// insert adds a candidate to a list that is sorted by score, highest first, and
// has at most limit entries.
func insert(list []candidate, c candidate, limit int) []candidate {
	at, _ := slices.BinarySearchFunc(list, c, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	if at == limit {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(len(list), limit)]
}

// merge joins the lists by distance and keeps places for hosts outside the
// caller's zone, so that the answer helps when the zone is lost.
func merge(byDistance [distances][]candidate, limit int) []Address {
	remote := len(byDistance[sameRegion]) + len(byDistance[elsewhere])
	places := min(remote, limit/fallbackShare)
	local := min(len(byDistance[sameZone]), limit-places)
	byDistance[sameZone] = byDistance[sameZone][:local]
	out := make([]Address, 0, limit)
	for _, group := range byDistance {
		for _, c := range group[:min(len(group), limit-len(out))] {
			out = append(out, Address{Host: c.member.ID, Zone: c.member.Zone, Address: c.member.CallerAddress})
		}
	}
	return out
}
