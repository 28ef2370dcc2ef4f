package claims

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/storeguard"
)

const (
	// DefaultRetention is how long claims are kept. A resend that comes later is
	// taken for a new call.
	DefaultRetention = 7 * 24 * time.Hour
	// sweepInterval is the mean time between two pages of the sweep.
	sweepInterval = 30 * time.Second
	// sweepRows is the number of rows that are read for one page.
	sweepRows = 500
	// endRows is the end of the keys of claim rows.
	endRows = "claims0"
	// clockTrust bounds how far this host's clock may be ahead of the newest claim
	// of another host.
	clockTrust = time.Hour
)

// sweeper removes claims that are older than the retention, page by page. Each
// host sweeps on its own; removing a row twice does no harm.
type sweeper struct {
	store     ports.TableService
	clock     ports.Clock
	host      domain.HostID
	retention time.Duration
	count     claimCounters
	// cursor is the key at which the next page begins.
	cursor string
	// newest is the latest time in the claims of other hosts. A host whose clock
	// is ahead would otherwise remove claims that are still needed.
	newest time.Time
}

func newSweeper(cfg Config, count claimCounters) *sweeper {
	retention := cfg.Retention
	if retention <= 0 {
		retention = DefaultRetention
	}
	return &sweeper{store: cfg.Store, clock: cfg.Clock, host: cfg.Host, retention: retention, count: count, cursor: prefixRows}
}

// page reads the next page and removes its old claims in one transaction for
// each maxBatch rows.
func (s *sweeper) page(ctx context.Context) error {
	ctx = storeguard.WithClass(ctx, storeguard.ClassEdits)
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	rows, err := s.store.Scan(readCtx, s.cursor, endRows, sweepRows)
	cancel()
	if err != nil {
		return err
	}
	s.cursor = prefixRows
	if len(rows) == sweepRows {
		s.cursor = rows[sweepRows-1].Key + "\x00"
	}
	old := s.old(rows)
	for len(old) > 0 {
		batch := old[:min(maxBatch, len(old))]
		old = old[len(batch):]
		if err := s.remove(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// old returns the rows that are older than the retention.
func (s *sweeper) old(rows []ports.Row) []ports.Row {
	var aged []ports.Row
	var times []time.Time
	for _, row := range rows {
		decoded, err := decode(row)
		if err != nil {
			continue
		}
		if decoded.Host != s.host && decoded.At.After(s.newest) {
			s.newest = decoded.At
		}
		aged = append(aged, row)
		times = append(times, decoded.At)
	}
	now := s.clock.Now()
	if limit := s.newest.Add(clockTrust); now.After(limit) {
		now = limit
	}
	old := aged[:0]
	for i, row := range aged {
		if times[i].Before(now.Add(-s.retention)) {
			old = append(old, row)
		}
	}
	return old
}

// remove deletes rows, provided that none of them changed.
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

// sweepLoop sweeps until the context ends. Failures are left to the next page.
func (c *Claimer) sweepLoop(ctx context.Context) {
	s := newSweeper(c.cfg, c.count)
	pause := newBackoff()
	pause.InitialInterval = sweepInterval
	pause.MaxInterval = sweepInterval
	for sleep(ctx, pause.NextBackOff()) == nil {
		_ = s.page(ctx)
	}
}
