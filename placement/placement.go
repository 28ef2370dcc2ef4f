// Package placement chooses the prefill and decode upstreams of a request as a
// pair. A decision runs a series of steps over an immutable snapshot of a
// group: filters reject candidates, scores add predicted delays and penalties,
// and the last step picks the pair with the lowest cost, which is the
// predicted time to first token plus penalties. A decision takes time linear
// in the number of upstreams.
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
	// IndexPosition is the index of the upstream in the PrefixIndex.
	IndexPosition int
	// Rate is the prefill throughput in prompt tokens per second.
	Rate float64
	// QueueDelay is how long the upstream is predicted to be busy with granted
	// requests.
	QueueDelay time.Duration
	// LinkRate is the bandwidth of the upstream's link in bytes per second, or
	// zero if it is not known.
	LinkRate int64
	// LinkQueueDelay is how long the link is predicted to be busy with granted
	// transfers.
	LinkQueueDelay time.Duration
	// Suspect is true if the upstream may be computing the prompt of a suspect
	// request.
	Suspect bool
	// Unusable is true if the upstream is leaving, unhealthy or in an unknown
	// state.
	Unusable bool
}

// Decode is the state of one decode upstream.
type Decode struct {
	ID domain.UpstreamID
	// Zone is the index of the availability zone in the snapshot.
	Zone int
	// Slots and Pieces are the capacity of the upstream. FreeSlots and
	// FreePieces are the parts that are not granted, negative if more is in
	// use than the capacity.
	Slots, FreeSlots   int
	Pieces, FreePieces int
	// PredictedReleases lists the predicted releases that may be promised, earliest
	// first.
	PredictedReleases []PredictedRelease
	// LinkRate is in bytes per second, or zero if it is not known.
	LinkRate int64
	// Suspects is the number of suspect requests that the upstream runs, and
	// NonSuspects the number of its other requests.
	Suspects, NonSuspects int
	Unusable              bool
	// Reserved is true if the slots of the upstream are kept for another
	// waiting request.
	Reserved bool
}

// PredictedRelease is a predicted release of one slot and its memory.
type PredictedRelease struct {
	In     time.Duration
	Pieces int
}

// Snapshot is the state of a group at one point in time. A decision does not
// modify it.
type Snapshot struct {
	// Zones are the availability zones of the group. Upstreams and requests
	// refer to them by index.
	Zones   []domain.Zone
	Prefill []Prefill
	Decode  []Decode
	// CrossZoneDelay is the one-way delay between availability zones.
	CrossZoneDelay time.Duration
}

// Zone returns the index of an availability zone, which it adds if it is
// missing.
func (s *Snapshot) Zone(zone domain.Zone) int {
	for i, known := range s.Zones {
		if known == zone {
			return i
		}
	}
	s.Zones = append(s.Zones, zone)
	return len(s.Zones) - 1
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// Zone is the index of the holder's availability zone in the snapshot.
	Zone         int
	PromptTokens int
	Pieces       int
	Keys         []domain.PieceKey
	Avoid        []domain.UpstreamID
	Suspect      bool
	// RequireFreeSlot excludes decode upstreams whose slot is promised rather than
	// free now.
	RequireFreeSlot bool
}

// Pair is the result of a decision.
type Pair struct {
	// Prefill and Decode are indices into the snapshot.
	Prefill, Decode int
	// CachedTokens is the number of prompt tokens that are expected to be in
	// the prefix cache of the prefill upstream.
	CachedTokens int
	// PrefillDuration is the predicted compute time of the prefill, and Transfer
	// the predicted duration of the KV cache transfer.
	PrefillDuration, Transfer time.Duration
	// TransferEnd is the predicted time until the transfer ends.
	TransferEnd time.Duration
	// DecodeFreeIn is the predicted time until the decode slot is free, zero if it
	// is free now.
	DecodeFreeIn time.Duration
	// FirstToken is the predicted time until decoding starts.
	FirstToken time.Duration
}

// Candidate is the state of one upstream during a decision.
type Candidate struct {
	Rejected bool
	// Delay is the predicted time until a prefill upstream has computed the
	// prompt.
	Delay time.Duration
	// Penalty is added to the cost of an upstream, but does not delay the
	// request.
	Penalty time.Duration
	// CachedTokens is set for prefill upstreams, and FreeIn for decode
	// upstreams.
	CachedTokens int
	FreeIn       time.Duration
}

// Decision is the working state of one decision. It can be reused to avoid
// allocations.
type Decision struct {
	Prefill []Candidate
	Decode  []Candidate
	zones   []zoneCandidates
}

// Step is one filter or score of a decision.
type Step interface {
	Name() string
	Run(s *Snapshot, r *Request, d *Decision)
}
