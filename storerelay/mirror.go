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
	// historyRows bounds the changes that a copy keeps of a table. A reader that
	// is further behind reads the whole table.
	historyRows = 512
	// MaxAge is how old a copy may be that is handed on. With the wait of one more
	// read it stays below the time in which changes must be in force.
	MaxAge = 1500 * time.Millisecond
)

// Mirror holds copies of tables of the store. It implements ports.Relay and is
// safe for concurrent use.
type Mirror struct {
	mu     sync.Mutex
	tables map[string]*table
}

// table is the copy of one table.
type table struct {
	rows    map[string]ports.RelayedRow
	changes []ports.RelayedRow
	// since is the version after which changes has all changes.
	since, version int64
	// confirmed is when the store was last heard, direct whether that was without
	// another host.
	confirmed time.Time
	direct    bool
	lost      bool
	regained  time.Time
	// changed is closed and made anew with each change.
	changed chan struct{}
}

// NewMirror returns a mirror without tables.
func NewMirror() *Mirror { return &Mirror{tables: make(map[string]*table)} }

// of returns the copy of a table. The caller holds the lock.
func (m *Mirror) of(name string) *table {
	t := m.tables[name]
	if t == nil {
		t = &table{rows: make(map[string]ports.RelayedRow), changed: make(chan struct{})}
		m.tables[name] = t
	}
	return t
}

// Replace takes all rows of a table.
func (m *Mirror) Replace(name string, rows []ports.RelayedRow, version int64, direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.of(name)
	clear(t.rows)
	for _, r := range rows {
		t.rows[r.Key] = r
	}
	t.changes, t.since = nil, version
	t.heard(version, direct)
	t.signal()
}

// Append takes changes of a table in order.
func (m *Mirror) Append(name string, rows []ports.RelayedRow, version int64, direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.of(name)
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
	if extra := len(t.changes) - historyRows; extra > 0 {
		t.since = t.changes[extra-1].Version
		t.changes = append([]ports.RelayedRow(nil), t.changes[extra:]...)
	}
	t.heard(version, direct)
	if len(rows) > 0 {
		t.signal()
	}
}

// Lost notes that the store cannot be read.
func (m *Mirror) Lost(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.of(name).lost = true
}

func (t *table) heard(version int64, direct bool) {
	now := time.Now()
	t.version = max(t.version, version)
	t.confirmed, t.direct = now, direct
	if t.lost {
		t.lost, t.regained = false, now
	}
}

func (t *table) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Read implements ports.Relay. It hands on only what came from the store itself a
// short time ago.
func (m *Mirror) Read(ctx context.Context, req ports.RelayRequest) (ports.RelayPage, error) {
	page, changed, err := m.look(req)
	if err != nil || req.All || page.Gone || len(page.Rows) > 0 || req.Wait <= 0 {
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
	page, _, err = m.look(req)
	return page, err
}

// look answers a request from the copy and returns what is closed with the next
// change.
func (m *Mirror) look(req ports.RelayRequest) (ports.RelayPage, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.of(req.Table)
	age := time.Since(t.confirmed)
	if !t.direct || t.lost || age > MaxAge {
		return ports.RelayPage{}, nil, ports.ErrRelayStale
	}
	page := ports.RelayPage{Version: t.version, Age: age}
	if !t.regained.IsZero() {
		page.SinceOutage = time.Since(t.regained)
	}
	switch {
	case req.All:
		for row := range maps.Values(t.rows) {
			page.Rows = append(page.Rows, row)
		}
	case req.After < t.since:
		page.Gone = true
	default:
		for _, row := range t.changes {
			if row.Version > req.After {
				page.Rows = append(page.Rows, row)
			}
		}
	}
	return page, t.changed, nil
}
