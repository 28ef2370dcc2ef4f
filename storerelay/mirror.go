package storerelay

import (
	"context"
	"maps"
	"sync"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const (
	// maxHistoryRows limits the changes that are kept for each table. A reader that is
	// further behind must read the whole table.
	maxHistoryRows = 512
	// MaxCopyAge is the maximum age of a copy that is relayed. Together with the wait
	// of one more read it stays below the time within which a change must be applied.
	MaxCopyAge = 1500 * time.Millisecond
)

// Mirror holds copies of the store's tables and relays them to other hosts. It
// implements ports.Relay and is safe for concurrent use.
type Mirror struct {
	mu     sync.Mutex
	tables map[string]*table
}

// table is the copy of one table with its recent changes.
type table struct {
	rows    map[string]ports.RelayedRow
	changes []ports.RelayedRow
	// changes holds every change after historyStart, up to version.
	historyStart, version int64
	// confirmedAt is the time of the last successful read. fromStore is false if that
	// read was relayed by another host.
	confirmedAt      time.Time
	fromStore        bool
	storeUnavailable bool
	// recoveredAt is the time of the first successful read after an outage, or zero if
	// there has been no outage.
	recoveredAt time.Time
	// maxAge is the maximum age of the copy when it is relayed.
	maxAge time.Duration
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// NewMirror returns an empty mirror. Its tables count as stale until they are filled
// by Replace or Append.
func NewMirror() *Mirror { return &Mirror{tables: make(map[string]*table)} }

// getOrCreate returns the copy of a table, which is empty if the table is new. The
// caller must hold m.mu.
func (m *Mirror) getOrCreate(name string) *table {
	t := m.tables[name]
	if t == nil {
		t = &table{rows: make(map[string]ports.RelayedRow), changed: make(chan struct{}), maxAge: MaxCopyAge}
		m.tables[name] = t
	}
	return t
}

// SetMaxAge replaces MaxCopyAge for a table that is read less often, as it hardly ever
// changes.
func (m *Mirror) SetMaxAge(name string, maxAge time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.getOrCreate(name).maxAge = maxAge
}

// Replace sets all rows of a table as of version and discards its history. fromStore
// is false if the rows were relayed by another host.
func (m *Mirror) Replace(name string, rows []ports.RelayedRow, version int64, fromStore bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.getOrCreate(name)
	clear(t.rows)
	for _, r := range rows {
		t.rows[r.Key] = r
	}
	t.changes, t.historyStart = nil, version
	t.recordRead(version, fromStore)
	t.notifyReaders()
}

// Append applies changes of a table in order and advances it to version. It sets the
// version in rows that have none. fromStore is false if the changes were relayed by
// another host.
func (m *Mirror) Append(name string, rows []ports.RelayedRow, version int64, fromStore bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.getOrCreate(name)
	for i, r := range rows {
		if r.Version == 0 {
			rows[i].Version = version
		}
		if r.Deleted {
			delete(t.rows, r.Key)
		} else {
			t.rows[r.Key] = r
		}
	}
	t.changes = append(t.changes, rows...)
	if excess := len(t.changes) - maxHistoryRows; excess > 0 {
		t.historyStart = t.changes[excess-1].Version
		t.changes = append([]ports.RelayedRow(nil), t.changes[excess:]...)
	}
	t.recordRead(version, fromStore)
	if len(rows) > 0 {
		t.notifyReaders()
	}
}

// MarkUnavailable records that the table cannot be read from the store. The copy is not relayed
// until the next Replace or Append.
func (m *Mirror) MarkUnavailable(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.getOrCreate(name).storeUnavailable = true
}

// recordRead records a successful read, which ends an outage.
func (t *table) recordRead(version int64, fromStore bool) {
	now := time.Now()
	t.version = max(t.version, version)
	t.confirmedAt, t.fromStore = now, fromStore
	if t.storeUnavailable {
		t.storeUnavailable, t.recoveredAt = false, now
	}
}

// notifyReaders wakes the reads that wait for a change.
func (t *table) notifyReaders() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Read implements ports.Relay. It returns ports.ErrRelayStale unless the copy was
// read directly from the store within its maximum age and the store is available, and
// ctx.Err() if ctx ends while it waits for changes.
func (m *Mirror) Read(ctx context.Context, req ports.RelayRequest) (ports.RelayPage, error) {
	page, changed, err := m.readCopy(req)
	if err != nil || req.All || page.HistoryTruncated || len(page.Rows) > 0 || req.Wait <= 0 {
		return page, err
	}
	timer := pause.NewTimer(req.Wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return ports.RelayPage{}, ctx.Err()
	}
	page, _, err = m.readCopy(req)
	return page, err
}

// readCopy answers a request from the copy. It also returns a channel that is closed
// with the next change.
func (m *Mirror) readCopy(req ports.RelayRequest) (ports.RelayPage, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.getOrCreate(req.Table)
	age := time.Since(t.confirmedAt)
	if !t.fromStore || t.storeUnavailable || age > t.maxAge {
		return ports.RelayPage{}, nil, ports.ErrRelayStale
	}
	page := ports.RelayPage{Version: t.version, Age: age}
	if !t.recoveredAt.IsZero() {
		page.SinceOutage = time.Since(t.recoveredAt)
	}
	switch {
	case req.All:
		for row := range maps.Values(t.rows) {
			page.Rows = append(page.Rows, row)
		}
	case req.After < t.historyStart:
		page.HistoryTruncated = true
	default:
		for _, row := range t.changes {
			if row.Version > req.After {
				page.Rows = append(page.Rows, row)
			}
		}
	}
	return page, t.changed, nil
}
