package placement

import (
	"fmt"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

func newTestSnapshot(prefills, decodes int) *Snapshot {
	s := &Snapshot{CrossZoneDelay: 5 * time.Millisecond}
	for i := range prefills {
		s.Prefill = append(s.Prefill, Prefill{
			ID: domain.UpstreamID(fmt.Sprintf("p%d", i)), Zone: s.Zone(testZone(i)), IndexPosition: i, Rate: 20_000, LinkRate: 12e9,
		})
	}
	for i := range decodes {
		s.Decode = append(s.Decode, Decode{
			ID: domain.UpstreamID(fmt.Sprintf("d%d", i)), Zone: s.Zone(testZone(i)),
			Slots: 20, FreeSlots: 20, Pieces: 200, FreePieces: 200, LinkRate: 12e9,
		})
	}
	return s
}

func testZone(i int) domain.Zone { return domain.Zone(fmt.Sprintf("dakar-%d", i%3)) }

func decide(t *testing.T, s *Snapshot, r *Request, index *PrefixIndex) (Pair, bool) {
	t.Helper()
	return NewScheduler(index).Decide(s, r, &Decision{})
}

func TestPairPrefersZoneOfHolder(t *testing.T) {
	r := &Request{Zone: 1, PromptTokens: 2000, Pieces: 3}
	pair, ok := decide(t, newTestSnapshot(3, 3), r, nil)
	if !ok || pair.Prefill != 1 || pair.Decode != 1 {
		t.Errorf("chose %+v, %v; want both in zone 1", pair, ok)
	}
}

func TestRemoteZoneIsChosenWhenLocalPrefillIsBusy(t *testing.T) {
	s := newTestSnapshot(3, 3)
	s.Prefill[1].QueueDelay = time.Second
	r := &Request{Zone: 1, PromptTokens: 2000, Pieces: 3}
	pair, ok := decide(t, s, r, nil)
	if !ok || pair.Prefill == 1 {
		t.Errorf("chose the busy prefill upstream: %+v, %v", pair, ok)
	}
}

func TestFiltersRejectUpstreams(t *testing.T) {
	r := &Request{Zone: 0, PromptTokens: 1000, Pieces: 2, Avoid: []domain.UpstreamID{"d0"}, Suspect: true}
	s := newTestSnapshot(1, 5)
	s.Decode[1].Unusable = true
	s.Decode[2].Suspects = 1
	s.Decode[3].FreePieces = 1
	pair, ok := decide(t, s, r, nil)
	if !ok || pair.Decode != 4 {
		t.Errorf("chose %+v, %v; only decode upstream 4 is allowed", pair, ok)
	}
	s.Decode[4].FreeSlots = 0
	if pair, ok := decide(t, s, r, nil); ok {
		t.Errorf("chose %+v though no slot is free", pair)
	}
	s.Decode[4].PredictedReleases = []PredictedRelease{{In: 20 * time.Millisecond, Pieces: 2}}
	if pair, ok := decide(t, s, r, nil); !ok || pair.DecodeFreeIn != 20*time.Millisecond {
		t.Errorf("chose %+v, %v; want the slot that becomes free", pair, ok)
	}
}

// TestFreeSlotIsUsedWhenPromiseIsTooLate checks that a preferred upstream
// whose promised slot is free too late does not hide an upstream with a free
// slot.
func TestFreeSlotIsUsedWhenPromiseIsTooLate(t *testing.T) {
	s := newTestSnapshot(1, 4)
	for i := range s.Decode {
		s.Decode[i].FreeSlots = 0
	}
	s.Decode[0].PredictedReleases = []PredictedRelease{{In: 20 * time.Millisecond, Pieces: 2}}
	s.Decode[3].FreeSlots, s.Decode[3].Suspects = 1, 1
	pair, ok := decide(t, s, &Request{Zone: 0, PromptTokens: 100, Pieces: 1}, nil)
	if !ok || pair.Decode != 3 {
		t.Errorf("chose %+v, %v; want the free slot on upstream 3", pair, ok)
	}
}

func TestCachedPrefixOutweighsZonePenalty(t *testing.T) {
	index := NewPrefixIndex(3, 100)
	keys := []domain.PieceKey{1, 2, 3, 4}
	index.Apply(2, storedEvents(1, keys...))
	r := &Request{Zone: 0, PromptTokens: 4500, Pieces: 6, Keys: keys}
	pair, ok := decide(t, newTestSnapshot(3, 3), r, index)
	if !ok || pair.Prefill != 2 || pair.CachedTokens != 4096 {
		t.Errorf("chose %+v, %v; want prefill upstream 2 with 4096 cached tokens", pair, ok)
	}
}

func storedEvents(from uint64, keys ...domain.PieceKey) []ports.CacheEvent {
	var events []ports.CacheEvent
	for i, key := range keys {
		events = append(events, ports.CacheEvent{Sequence: from + uint64(i), Key: key})
	}
	return events
}
