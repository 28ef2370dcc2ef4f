package peerrpc

import (
	"context"
	"time"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// relayService serves a ports.Relay.
type relayService struct{ relay ports.Relay }

func (s relayService) Read(ctx context.Context, req *peerpb.RelayRequest) (*peerpb.RelayResponse, error) {
	if s.relay == nil {
		return nil, toTwirp(ports.ErrRelayStale)
	}
	page, err := s.relay.Read(ctx, ports.RelayRequest{
		Table: req.GetTable(), All: req.GetAll(), After: req.GetAfter(),
		Wait: time.Duration(req.GetWaitMicros()) * time.Microsecond,
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &peerpb.RelayResponse{
		Rows: mapSlice(page.Rows, func(r ports.RelayedRow) *peerpb.RelayRow {
			return &peerpb.RelayRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
		}),
		Version: page.Version, Gone: page.HistoryTruncated,
		AgeMicros: page.Age.Microseconds(), SinceOutageMicros: page.SinceOutage.Microseconds(),
	}, nil
}

// relayClient implements ports.Relay by reading store rows from another host.
type relayClient struct {
	host domain.HostID
	rpc  peerpb.RelayService
}

// Read implements ports.Relay.
func (c relayClient) Read(ctx context.Context, req ports.RelayRequest) (ports.RelayPage, error) {
	resp, err := c.rpc.Read(ctx, &peerpb.RelayRequest{
		Table: req.Table, All: req.All, After: req.After, WaitMicros: req.Wait.Microseconds(),
	})
	if err != nil {
		return ports.RelayPage{}, fromTwirp(ctx, c.host, err)
	}
	return ports.RelayPage{
		Rows: mapSlice(resp.GetRows(), func(r *peerpb.RelayRow) ports.RelayedRow {
			return ports.RelayedRow{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted()}
		}),
		Version: resp.GetVersion(), HistoryTruncated: resp.GetGone(),
		Age:         time.Duration(resp.GetAgeMicros()) * time.Microsecond,
		SinceOutage: time.Duration(resp.GetSinceOutageMicros()) * time.Microsecond,
	}, nil
}
