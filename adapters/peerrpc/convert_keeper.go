package peerrpc

import (
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
)

// mapSlice converts each element of a slice; an empty slice becomes nil.
func mapSlice[From, To any](in []From, convert func(From) To) []To {
	if len(in) == 0 {
		return nil
	}
	out := make([]To, len(in))
	for i, v := range in {
		out[i] = convert(v)
	}
	return out
}

func attemptToPB(id domain.AttemptID) *peerpb.AttemptID {
	return &peerpb.AttemptID{
		Caller:  string(id.Caller),
		Request: string(id.Request),
		Attempt: int32(id.Attempt),
	}
}

func attemptFromPB(id *peerpb.AttemptID) domain.AttemptID {
	return domain.AttemptID{
		Caller:  domain.CallerID(id.GetCaller()),
		Request: domain.RequestID(id.GetRequest()),
		Attempt: int(id.GetAttempt()),
	}
}

func slotRequestToPB(p domain.SlotRequest) *peerpb.PlaceRequest {
	return &peerpb.PlaceRequest{
		Id:               attemptToPB(p.ID),
		Holder:           string(p.Holder),
		HolderZone:       string(p.HolderZone),
		Pool:             string(p.Pool),
		Route:            string(p.Route),
		Class:            string(p.Class),
		Weight:           p.Weight,
		PromptTokens:     int32(p.PromptTokens),
		OutputTokens:     int32(p.OutputTokens),
		PieceKeys:        mapSlice(p.PieceKeys, func(k domain.PieceKey) uint64 { return uint64(k) }),
		WaitedNs:         int64(p.Waited),
		FirstTokenLeftNs: int64(p.FirstTokenRemaining),
		MaxWaiting:       int32(p.MaxWaiting),
		Avoid:            mapSlice(p.Avoid, func(id domain.UpstreamID) string { return string(id) }),
		Suspect:          p.Suspect,
		Fingerprint:      p.Fingerprint,
	}
}

func slotRequestFromPB(p *peerpb.PlaceRequest) domain.SlotRequest {
	return domain.SlotRequest{
		ID:                  attemptFromPB(p.GetId()),
		Holder:              domain.HostID(p.GetHolder()),
		HolderZone:          domain.Zone(p.GetHolderZone()),
		Pool:                domain.PoolName(p.GetPool()),
		Route:               domain.RouteName(p.GetRoute()),
		Class:               domain.Class(p.GetClass()),
		Weight:              p.GetWeight(),
		PromptTokens:        int(p.GetPromptTokens()),
		OutputTokens:        int(p.GetOutputTokens()),
		PieceKeys:           mapSlice(p.GetPieceKeys(), func(k uint64) domain.PieceKey { return domain.PieceKey(k) }),
		Waited:              time.Duration(p.GetWaitedNs()),
		FirstTokenRemaining: time.Duration(p.GetFirstTokenLeftNs()),
		MaxWaiting:          int(p.GetMaxWaiting()),
		Avoid:               mapSlice(p.GetAvoid(), func(id string) domain.UpstreamID { return domain.UpstreamID(id) }),
		Suspect:             p.GetSuspect(),
		Fingerprint:         p.GetFingerprint(),
	}
}

func grantToPB(g domain.Grant) *peerpb.Grant {
	return &peerpb.Grant{
		Id:             string(g.ID),
		Request:        attemptToPB(g.Request),
		Holder:         string(g.Holder),
		Pool:           string(g.Pool),
		Decode:         string(g.Decode),
		Prefill:        string(g.Prefill),
		Pieces:         int32(g.Pieces),
		CachedTokens:   int32(g.CachedTokens),
		ExpectedTokens: int32(g.ExpectedTokens),
		TermNs:         int64(g.TTL),
		DecodeInNs:     int64(g.DecodeFreeIn),
		Suspect:        g.Suspect,
		Fingerprint:    g.Fingerprint,
	}
}

func grantFromPB(g *peerpb.Grant) domain.Grant {
	return domain.Grant{
		ID:             domain.GrantID(g.GetId()),
		Request:        attemptFromPB(g.GetRequest()),
		Holder:         domain.HostID(g.GetHolder()),
		Pool:           domain.PoolName(g.GetPool()),
		Decode:         domain.UpstreamID(g.GetDecode()),
		Prefill:        domain.UpstreamID(g.GetPrefill()),
		Pieces:         int(g.GetPieces()),
		CachedTokens:   int(g.GetCachedTokens()),
		ExpectedTokens: int(g.GetExpectedTokens()),
		TTL:            time.Duration(g.GetTermNs()),
		DecodeFreeIn:   time.Duration(g.GetDecodeInNs()),
		Suspect:        g.GetSuspect(),
		Fingerprint:    g.GetFingerprint(),
	}
}

func releaseToPB(r domain.Release) *peerpb.Release {
	return &peerpb.Release{
		Grant:        grantToPB(r.Grant),
		Reason:       string(r.Reason),
		OutputTokens: int32(r.OutputTokens),
	}
}

func releaseFromPB(r *peerpb.Release) domain.Release {
	return domain.Release{
		Grant:        grantFromPB(r.GetGrant()),
		Reason:       domain.ReleaseReason(r.GetReason()),
		OutputTokens: int(r.GetOutputTokens()),
	}
}

func refusalToPB(r *domain.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Kind:         string(r.Kind),
		Message:      r.Message,
		Remedy:       r.Remedy,
		Ran:          string(r.Ran),
		RetryAfterNs: int64(r.RetryAfter),
	}
}

func refusalFromPB(r *peerpb.Refusal) *domain.Refusal {
	return &domain.Refusal{
		Kind:       domain.RefusalKind(r.GetKind()),
		Message:    r.GetMessage(),
		Remedy:     r.GetRemedy(),
		Ran:        domain.Ran(r.GetRan()),
		RetryAfter: time.Duration(r.GetRetryAfterNs()),
	}
}
