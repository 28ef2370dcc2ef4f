package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagespoke/platform/wire"
)

// row is a row of the metadata store, as PROTOCOL.md describes it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It serves transactions, reads of a table and reads of changes.
type store struct {
	started time.Time

	mu      sync.Mutex
	version int64
	rows    map[[3]string]row
	history []row
	changed chan struct{}
}

// storeLatency is the time that a transaction takes (tx_ms).
const storeLatency = 5 * time.Millisecond

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[[3]string]row), changed: make(chan struct{})}
}

func (s *store) nowMillis() int64 { return time.Since(s.started).Milliseconds() }

// apply writes a row at the current version. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	key := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does. The write is acknowledged when put returns.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: text})
	s.notify()
}

// remove removes a row as the platform does when a worker has left.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Deleted: true})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST " + wire.PathTransaction:
		s.transaction(w, r)
	case "GET " + wire.PathRange:
		s.get(w, r)
	case "GET " + wire.PathFeed:
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Version   int64 `json:"ver"`
	Now       int64 `json:"now_ms"`
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var tx wire.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := rowsAnswer{Rows: []row{}}
	conflict := false
	for _, e := range tx.Expected {
		now := s.rows[[3]string{e.Table, e.Part, e.Key}]
		conflict = conflict || now.Version != e.Version
		if now.Version != 0 {
			current.Rows = append(current.Rows, now)
		}
	}
	for _, c := range append(slices.Clone(tx.Writes), tx.Remove...) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current.Version, current.Now = s.version, s.nowMillis()
	if conflict {
		answer(w, http.StatusPreconditionFailed, current)
		return
	}
	s.version++
	for _, c := range tx.Writes {
		s.apply(row(c))
	}
	for _, c := range tx.Remove {
		c.Deleted = true
		s.apply(row(c))
	}
	s.notify()
	answer(w, http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version, Now: s.nowMillis()})
}

// maxRows is the number of rows of one answer.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.nowMillis()}
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") && (q.Get("to") == "" || c.Key < q.Get("to")) {
			a.Rows = append(a.Rows, c)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.Truncated = a.Rows[:limit], true
	}
	answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		a := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.nowMillis()}
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Version > after {
				a.Rows = append(a.Rows, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // The caller may have left.
}
