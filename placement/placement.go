// Package placement chooses the prefill and decode upstreams of a request as a
// pair. A decision runs named steps over an immutable snapshot of a group:
// filters reject candidates, scores add predicted delay, and a last step picks
// the pair with the smallest predicted time to the first token. A decision is
// linear in the number of upstreams.
package placement

import (
	"time"

	"greengagespoke/domain"
)

// Prefill is the state of one prefill upstream.
type Prefill struct {
	ID domain.UpstreamID
	// Zone is the index of the availability zone in the snapshot.
	Zone int
	// Position names the upstream in the prefix index.
	Position int
	// Rate is in prompt tokens per second.
	Rate float64
	// Queue is how long the work that is already granted keeps it busy.
	Queue time.Duration
	// LinkRate is in bytes per second; zero means that it is not known.
	LinkRate int64
	// LinkQueue is how long the granted transfers keep its link busy.
	LinkQueue time.Duration
	// Suspect says that it may compute the prompt of a suspect request now.
	Suspect bool
	// Unusable says that it is leaving, unhealthy or of unknown state.
	Unusable bool
}

// Decode is the state of one decode upstream.
type Decode struct {
	ID domain.UpstreamID
	// Zone is the index of the availability zone in the snapshot.
	Zone int
	// Slots and Pieces are its size, FreeSlots and FreePieces what is not
	// granted. Free values are negative where more is in use than there is.
	Slots, FreeSlots   int
	Pieces, FreePieces int
	// Freeing lists predicted releases in order of time that may be promised.
	Freeing  []Freeing
	LinkRate int64
	// Suspects is the number of suspect requests that it runs, Innocents the
	// number of others.
	Suspects, Innocents int
	Unusable            bool
	// Reserved says that its places are kept for another waiting request.
	Reserved bool
}

// Freeing is a predicted release of one slot with its memory.
type Freeing struct {
	In     time.Duration
	Pieces int
}

// Snapshot is the state of a group at one moment. It is not changed during a
// decision.
type Snapshot struct {
	// Zones are the availability zones of the group. Upstreams and requests name
	// them by index.
	Zones   []domain.Zone
	Prefill []Prefill
	Decode  []Decode
	// CrossZone is the one-way delay between availability zones.
	CrossZone time.Duration
}

// Zone returns the index of an availability zone and adds it where needed.
func (s *Snapshot) Zone(zone domain.Zone) int {
	for i, known := range s.Zones {
		if known == zone {
			return i
		}
	}
	s.Zones = append(s.Zones, zone)
	return len(s.Zones) - 1
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Zone is the index of the holder's availability zone in the snapshot.
	Zone         int
	PromptTokens int
	Pieces       int
	Keys         []domain.PieceKey
	Avoid        []domain.UpstreamID
	Suspect      bool
	// FreeOnly says that the decode place must be free now.
	FreeOnly bool
}

// Pair is the outcome of a decision.
type Pair struct {
	// Prefill and Decode are indices into the snapshot.
	Prefill, Decode int
	// CachedTokens is the part of the prompt that is expected in the cache.
	CachedTokens int
	// PrefillWork is the predicted computing time and Transfer the predicted
	// transfer time.
	PrefillWork, Transfer time.Duration
	// Ready is the predicted end of the transfer.
	Ready time.Duration
	// DecodeIn is when the decode place is predicted to be free.
	DecodeIn time.Duration
	// FirstToken is the predicted time until decoding starts.
	FirstToken time.Duration
}

// Candidate is the working state of one upstream in a decision.
type Candidate struct {
	Rejected bool
	// Delay is the predicted delay before the upstream's part is done.
	Delay time.Duration
	// Penalty makes an upstream less preferred without delaying the request.
	Penalty time.Duration
	// CachedTokens is set for prefill upstreams, Free for decode upstreams.
	CachedTokens int
	FreeIn       time.Duration
}

// Decision is the working state of one decision. It can be used again.
type Decision struct {
	Prefill []Candidate
	Decode  []Candidate
	zones   []zoneBest
}

// Step is one named filter or score.
type Step interface {
	Name() string
	Run(s *Snapshot, r *Request, d *Decision)
}
