package platform

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// MaxTxnWrites bounds the writes of one transaction.
	MaxTxnWrites = 128
	// MaxScanRows bounds the rows of one scan.
	MaxScanRows = 1000
	// staleVersions is the number of old versions kept per row for stale reads.
	staleVersions = 32
)

// ErrTxnTooLarge means that a transaction has more than MaxTxnWrites writes.
var ErrTxnTooLarge = errors.New("transaction too large; split it")

// rowVersion is the state of a row from one moment on.
type rowVersion struct {
	row     ports.Row
	deleted bool
	at      time.Time
}

// tableStore keeps the rows with a few old versions each.
type tableStore struct {
	mu      sync.RWMutex
	version int64
	rows    map[string][]rowVersion
	keys    []string
}

func newTableStore() *tableStore {
	return &tableStore{rows: make(map[string][]rowVersion)}
}

// at returns the row as it was at a moment.
func (s *tableStore) at(key string, moment time.Time) (ports.Row, bool) {
	versions := s.rows[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].at.After(moment) {
			continue
		}
		return cloneRow(versions[i].row), !versions[i].deleted
	}
	return ports.Row{}, false
}

func (s *tableStore) get(key string, moment time.Time) (ports.Row, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.at(key, moment)
}

func (s *tableStore) scan(from, to string, limit int, moment time.Time) []ports.Row {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []ports.Row
	for i := sort.SearchStrings(s.keys, from); i < len(s.keys); i++ {
		if s.keys[i] >= to || len(out) == limit {
			break
		}
		if row, ok := s.at(s.keys[i], moment); ok {
			out = append(out, row)
		}
	}
	return out
}

// commit runs a transaction against the newest state.
func (s *tableStore) commit(txn ports.Txn) ports.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cond := range txn.If {
		if s.newest(cond.Key) != cond.Version {
			return ports.TxnResult{}
		}
	}
	if len(txn.Then) == 0 {
		return ports.TxnResult{Applied: true, Version: s.version}
	}
	s.version++
	now := time.Now()
	for _, write := range txn.Then {
		s.put(write, now)
	}
	return ports.TxnResult{Applied: true, Version: s.version}
}

// newest returns the version of a row, or 0 where it does not exist.
func (s *tableStore) newest(key string) int64 {
	versions := s.rows[key]
	if len(versions) == 0 || versions[len(versions)-1].deleted {
		return 0
	}
	return versions[len(versions)-1].row.Version
}

func (s *tableStore) put(write ports.Write, now time.Time) {
	versions, known := s.rows[write.Key]
	if !known {
		i := sort.SearchStrings(s.keys, write.Key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = write.Key
	}
	row := ports.Row{Key: write.Key, Value: append([]byte(nil), write.Value...), Version: s.version}
	versions = append(versions, rowVersion{row: row, deleted: write.Delete, at: now})
	if len(versions) > staleVersions {
		versions = append([]rowVersion(nil), versions[len(versions)-staleVersions:]...)
	}
	s.rows[write.Key] = versions
}

func cloneRow(row ports.Row) ports.Row {
	row.Value = append([]byte(nil), row.Value...)
	return row
}

// tableService implements ports.TableService.
type tableService struct{ p *Platform }

// Get implements ports.TableService.
func (t tableService) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	moment, err := t.p.beginRead(ctx)
	if err != nil {
		return ports.Row{}, false, err
	}
	row, ok := t.p.tables.get(key, moment)
	if err := wait(ctx, t.p.faults.delay()/2, ports.ErrStoreDown); err != nil {
		return ports.Row{}, false, err
	}
	return row, ok, nil
}

// Scan implements ports.TableService.
func (t tableService) Scan(ctx context.Context, from, to string, limit int) ([]ports.Row, error) {
	moment, err := t.p.beginRead(ctx)
	if err != nil {
		return nil, err
	}
	if limit <= 0 || limit > MaxScanRows {
		limit = MaxScanRows
	}
	rows := t.p.tables.scan(from, to, limit, moment)
	if err := wait(ctx, t.p.faults.delay()/2, ports.ErrStoreDown); err != nil {
		return nil, err
	}
	return rows, nil
}

// beginRead admits a read, waits for the first half of the latency and returns
// the moment whose state the read sees.
func (p *Platform) beginRead(ctx context.Context) (time.Time, error) {
	if err := p.admit(false); err != nil {
		return time.Time{}, err
	}
	if err := wait(ctx, p.faults.delay()/2, ports.ErrStoreDown); err != nil {
		return time.Time{}, err
	}
	return p.faults.readTime(), nil
}

// Commit implements ports.TableService. A transaction whose context ends before
// the answer still takes effect after its latency.
func (t tableService) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	if len(txn.Then) > MaxTxnWrites {
		return ports.TxnResult{}, ErrTxnTooLarge
	}
	if err := t.p.admit(true); err != nil {
		return ports.TxnResult{}, err
	}
	fault := t.p.faults.nextWrite(txn)
	switch fault {
	case FaultDown:
		return ports.TxnResult{}, ports.ErrStoreDown
	case FaultLoseRequest:
		return ports.TxnResult{}, t.p.loseAnswer(ctx)
	}
	result, err := t.p.applyAfter(ctx, txn)
	if err != nil {
		return ports.TxnResult{}, err
	}
	if fault == FaultLoseAnswer {
		return ports.TxnResult{}, t.p.loseAnswer(ctx)
	}
	if err := wait(ctx, t.p.faults.delay()/2, ports.ErrStoreUnknown); err != nil {
		return ports.TxnResult{}, err
	}
	return result, nil
}

// loseAnswer waits for the latency and returns ports.ErrStoreUnknown.
func (p *Platform) loseAnswer(ctx context.Context) error {
	if err := wait(ctx, p.faults.delay(), ports.ErrStoreUnknown); err != nil {
		return err
	}
	return ports.ErrStoreUnknown
}

// applyAfter applies the transaction after half of the latency, whether or not
// the context lasts that long.
func (p *Platform) applyAfter(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	half := p.faults.delay() / 2
	if half <= 0 {
		return p.apply(txn), nil
	}
	done := make(chan ports.TxnResult, 1)
	pause.AfterFunc(half, func() { done <- p.apply(txn) })
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
		return ports.TxnResult{}, fmt.Errorf("%w: %w", ports.ErrStoreUnknown, ctx.Err())
	}
}

func (p *Platform) apply(txn ports.Txn) ports.TxnResult {
	result := p.tables.commit(txn)
	if result.Applied {
		p.counts.rows.Add(int64(len(txn.Then)))
		p.faults.applied()
	}
	return result
}
