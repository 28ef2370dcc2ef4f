package peerrpc

import (
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

func memberToPB(m domain.Member) *peerpb.Member {
	return &peerpb.Member{
		Id:            string(m.ID),
		Zone:          string(m.Zone),
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		State:         string(m.State),
		Incarnation:   m.Incarnation,
		Revision:      int64(m.Revision),
	}
}

func memberFromPB(m *peerpb.Member) domain.Member {
	return domain.Member{
		ID:            domain.HostID(m.GetId()),
		Zone:          domain.Zone(m.GetZone()),
		PeerAddress:   m.GetPeerAddress(),
		CallerAddress: m.GetCallerAddress(),
		State:         domain.MemberState(m.GetState()),
		Incarnation:   m.GetIncarnation(),
		Revision:      domain.Revision(m.GetRevision()),
	}
}

func strikeToPB(s ports.Strike) *peerpb.Strike {
	return &peerpb.Strike{
		Fingerprint: s.Fingerprint,
		Part:        s.Part,
		Upstream:    string(s.Upstream),
		Suspects:    int32(s.Suspects),
		AgeNs:       int64(s.Age),
	}
}

func strikeFromPB(s *peerpb.Strike) ports.Strike {
	return ports.Strike{
		Fingerprint: s.GetFingerprint(),
		Part:        s.GetPart(),
		Upstream:    domain.UpstreamID(s.GetUpstream()),
		Suspects:    int(s.GetSuspects()),
		Age:         time.Duration(s.GetAgeNs()),
	}
}

func probeToPB(m ports.ProbeMessage) *peerpb.ProbeMessage {
	return &peerpb.ProbeMessage{
		From:     string(m.From),
		Revision: int64(m.Revision),
		Updates:  mapSlice(m.Updates, memberToPB),
		Strikes:  mapSlice(m.Strikes, strikeToPB),
	}
}

func probeFromPB(m *peerpb.ProbeMessage) ports.ProbeMessage {
	return ports.ProbeMessage{
		From:     domain.HostID(m.GetFrom()),
		Revision: domain.Revision(m.GetRevision()),
		Updates:  mapSlice(m.GetUpdates(), memberFromPB),
		Strikes:  mapSlice(m.GetStrikes(), strikeFromPB),
	}
}

func viewToPB(view []domain.Member) *peerpb.View {
	return &peerpb.View{Members: mapSlice(view, memberToPB)}
}

func viewFromPB(view *peerpb.View) []domain.Member {
	return mapSlice(view.GetMembers(), memberFromPB)
}
