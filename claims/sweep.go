package claims

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/storeguard"
)

const (
	// DefaultRetention is how long claims are kept by default. A resend that
	// arrives later is treated as a new call.
	DefaultRetention = 7 * 24 * time.Hour
	// sweepInterval is the mean time between two pages of a sweep.
	sweepInterval = 30 * time.Second
	// sweepPageRows is the maximum number of rows read for one page.
	sweepPageRows = 500
	// rowKeyEnd is the exclusive upper bound of the keys of claim rows.
	rowKeyEnd = "claims0"
	// maxClockLead bounds how far this host's clock is trusted to be ahead of the
	// newest claim of another host.
	maxClockLead = time.Hour
)

// sweeper removes claims that are older than the retention, one page at a time.
// Each host sweeps independently; removing a row twice is harmless.
type sweeper struct {
	store     ports.TableService
	clock     ports.Clock
	host      domain.HostID
	retention time.Duration
	count     claimCounters
	// cursor is the key at which the next page starts.
	cursor string
	// newestOtherClaim is the latest timestamp in the claims of other hosts. It
	// limits the time by which claims expire, because a host whose clock is ahead
	// would otherwise remove claims that are still needed. Until a claim of
	// another host has been read, no claim expires.
	newestOtherClaim time.Time
}

func newSweeper(cfg Config, count claimCounters) *sweeper {
	retention := cfg.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	return &sweeper{store: cfg.Store, clock: cfg.Clock, host: cfg.Host, retention: retention, count: count, cursor: rowKeyPrefix}
}

// sweepPage reads the next page and removes its expired claims, in transactions of
// at most maxBatchRows rows.
func (s *sweeper) sweepPage(ctx context.Context) error {
	ctx = storeguard.WithClass(ctx, storeguard.ClassEdits)
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	rows, err := s.store.Scan(readCtx, s.cursor, rowKeyEnd, sweepPageRows)
	cancel()
	if err != nil {
		return err
	}
	s.cursor = rowKeyPrefix
	if len(rows) == sweepPageRows {
		s.cursor = rows[sweepPageRows-1].Key + "\x00"
	}
	expired := s.expired(rows)
	for len(expired) > 0 {
		batch := expired[:min(maxBatchRows, len(expired))]
		expired = expired[len(batch):]
		if err := s.remove(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// expired returns the rows that are older than the retention. Rows that cannot be
// decoded are never returned.
func (s *sweeper) expired(rows []ports.Row) []ports.Row {
	var decodable []ports.Row
	var claimedAt []time.Time
	for _, row := range rows {
		decoded, err := decodeRow(row)
		if err != nil {
			continue
		}
		if decoded.Host != s.host && decoded.At.After(s.newestOtherClaim) {
			s.newestOtherClaim = decoded.At
		}
		decodable = append(decodable, row)
		claimedAt = append(claimedAt, decoded.At)
	}
	now := s.clock.Now()
	if limit := s.newestOtherClaim.Add(maxClockLead); now.After(limit) {
		now = limit
	}
	expired := decodable[:0]
	for i, row := range decodable {
		if claimedAt[i].Before(now.Add(-s.retention)) {
			expired = append(expired, row)
		}
	}
	return expired
}

// remove deletes the rows in one transaction, provided that none of them changed.
func (s *sweeper) remove(ctx context.Context, rows []ports.Row) error {
	var txn ports.Txn
	for _, row := range rows {
		txn.If = append(txn.If, ports.Condition{Key: row.Key, Version: row.Version})
		txn.Then = append(txn.Then, ports.Write{Key: row.Key, Delete: true})
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := s.store.Commit(ctx, txn)
	if err == nil && result.Applied {
		s.count.swept.Add(int64(len(rows)))
	}
	return err
}

// sweepLoop sweeps until the context ends. Errors are ignored: rows that could not
// be removed are found again by a later sweep.
func (c *Claimer) sweepLoop(ctx context.Context) {
	s := newSweeper(c.cfg, c.count)
	policy := newBackoff()
	policy.InitialInterval = sweepInterval
	policy.MaxInterval = sweepInterval
	for sleep(ctx, policy.NextBackOff()) == nil {
		_ = s.sweepPage(ctx)
	}
}
