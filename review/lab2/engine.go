package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengagespoke/platform/wire"
)

// Figures of the engines, as on the sheet.
const (
	drafting     = "drafting-models"
	engineSlots  = 64
	engineTokens = 42754
	// eventGap is the time between two events of a stream, streamEvents the number of its events.
	eventGap     = 50 * time.Millisecond
	streamEvents = 30
	// readTime is the time in which a prompt is read.
	readTime = 100 * time.Millisecond
	// spoilTime is how long engines spoil answers at a time, spoilPeriod the time from one begin to the next.
	spoilTime   = 5500 * time.Millisecond
	spoilPeriod = 6500 * time.Millisecond
)

// engine is a stand-in for a model worker. It drops a request when its connection closes, unless keeps is set.
type engine struct {
	id, zone, stage string
	born            time.Time
	listener        net.Listener
	record          *record
	next            atomic.Int64
	// preemptAfter is the number of events after which each run is preempted, 0 for none, and preempted is
	// the time until it has room again and goes on.
	preemptAfter int
	preempted    time.Duration
	keeps        bool
	// spoilEach is set if each so many answers are spoiled by bytes that are no event.
	spoilEach int64
	answers   atomic.Int64
	spans     *spans
}

// span is one run of a request by an engine.
type span struct {
	id, engine     string
	begun, stopped time.Time
}

// spans holds the runs of all engines.
type spans struct {
	mu  sync.Mutex
	all []*span
}

func (s *spans) begin(id, engine string) *span {
	n := &span{id: id, engine: engine, begun: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, n)
	return n
}

func (s *spans) stop(n *span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.stopped = time.Now()
}

func newEngine(c *lab, id, zone, stage string) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &engine{id: id, zone: zone, stage: stage, born: time.Now(), listener: listener, record: c.record, spans: &c.spans}
	return e
}

// serve registers the engine and lets it take requests.
func (e *engine) serve(c *lab) {
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(e.listener) }()
	c.store.put("servers", e.id, map[string]any{
		"service": drafting, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		field("cold"): 0, "stage": e.stage, "models": e.models(), "seq": 0, "born": e.born.UnixMilli(),
	})
	c.record.note("store    has engine %s (%s) as ready", e.id, e.stage)
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	w.Header().Set("Keep-Alive", "timeout=5")
	if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(field("instance"), e.id)
	case r.URL.Path == wire.PathReport:
		answer(w, http.StatusOK, map[string]any{
			"stage": e.stage, "models": e.models(), "busy": false, "seq": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": engineTokens,
			field("handles"): 0, "born": e.born.UnixMilli(),
		})
	case r.URL.Path == wire.PathReserve:
		answer(w, http.StatusOK, map[string]any{"hold": fmt.Sprintf("%s-%x", e.id, e.next.Add(1))})
	case r.URL.Path == wire.PathOrder:
		var order struct {
			Stage string `json:"stage"`
		}
		check(json.Unmarshal(body, &order))
		w.WriteHeader(http.StatusOK) // It is balanced, so that none is expected.
		e.record.note("order    to %s: %s", e.id, order.Stage)
	case strings.HasPrefix(r.URL.Path, ownPaths):
		answer(w, http.StatusOK, map[string]any{})
	case (r.Header.Get(wire.HeaderStage) == "prefill") != (e.stage == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.stage == "prefill":
		time.Sleep(readTime)
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		answer(w, http.StatusOK, map[string]any{field("handle"): fmt.Sprintf("%x", e.next.Add(1)), "tokens": 3000, "version": 1})
	default:
		e.stream(w, r)
	}
}

// wait waits, and reports whether the connection is still open.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stream runs a request.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderRequestID)
	last, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEventID))
	e.record.note("run      %s at engine %s, after event %d", id, e.id, last)
	w.Header().Set(wire.HeaderRequestID, id)
	w.Header().Set(wire.HeaderSeal, fmt.Sprintf("%x.01.%s", e.born.UnixMilli(), id))
	w.Header().Set(field("weights"), "1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	run := e.spans.begin(id, e.id)
	defer e.spans.stop(run)
	ctx := r.Context()
	if e.keeps {
		ctx = context.Background()
	}
	spoiling := e.spoilEach > 0 && e.record.since(time.Now())%spoilPeriod < spoilTime
	spoils := spoiling && e.answers.Add(1)%e.spoilEach == 0
	made := 0
	for n := last + 1; n <= streamEvents; n++ {
		if !wait(ctx, eventGap) {
			e.record.note("dropped  %s by engine %s, as its connection has closed", id, e.id)
			return
		}
		if made++; e.preemptAfter > 0 && made == e.preemptAfter+1 {
			e.record.note("preempt  %s by engine %s, for %s", id, e.id, e.preempted)
			if !wait(ctx, e.preempted) {
				e.record.note("dropped  %s by engine %s, as its connection has closed", id, e.id)
				return
			}
		}
		if spoils && made == 5 {
			e.record.note("spoil    %s by engine %s, at event %d", id, e.id, n)
			_, _ = fmt.Fprintf(w, "id: %d\n\x00\x13 spoiled\n\n", n)
			_ = control.Flush()
			continue
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = control.Flush()
	}
	e.record.note("ended    %s by engine %s", id, e.id)
}
