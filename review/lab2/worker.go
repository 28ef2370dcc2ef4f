package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengagespoke/platform/wire"
)

// run is one request that reached a worker and was not rejected.
type run struct {
	id, worker, service string
	at, ended           time.Time
	// cut says that the worker's process ended before the answer.
	cut bool
}

// runs holds what the workers ran.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (r *runs) add(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, n)
}

// worker is a stand-in for a worker of a plain service.
type worker struct {
	id, service, zone string
	work              time.Duration
	born              time.Time
	listener          net.Listener
	server            *http.Server
	slots             chan struct{}
	runs              *runs
	record            *record
	// crashes is called with the first request that crashes the process, unless it is nil.
	crashes func(id string)
	crash   sync.Once
	ctx     context.Context
	exit    context.CancelFunc
}

// crashingPath ends the path of the request that crashes workers.
const crashingPath = "/crash"

// workerSlots is the number of requests that a worker processes at once.
const workerSlots = 6

func newWorker(c *lab, id, service, zone string, work time.Duration, prepare func(*worker)) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w := &worker{id: id, service: service, zone: zone, work: work, born: time.Now(), listener: listener, slots: make(chan struct{}, workerSlots), runs: &c.runs, record: c.record}
	w.ctx, w.exit = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	if prepare != nil {
		prepare(w)
	}
	go func() { _ = w.server.Serve(listener) }()
	return w
}

// entry is what the worker says of itself in the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": workerSlots,
		"state": state, field("cold"): 0, "seq": 1, "born": w.born.UnixMilli(),
	}
}

// end ends the process: the listener and all connections are closed.
func (w *worker) end() {
	w.exit()
	_ = w.server.Close()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header()["Date"] = nil
	rw.Header().Set("Keep-Alive", "timeout=5")
	if strings.HasPrefix(r.URL.Path, ownPaths) {
		http.NotFound(rw, r)
		return
	}
	rw.Header().Set(field("instance"), w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(wire.HeaderRequestID)
	rw.Header().Set(wire.HeaderRequestID, id)
	if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-w.ctx.Done():
		return
	}
	defer func() { <-w.slots }()
	n := &run{id: id, worker: w.id, service: w.service, at: time.Now()}
	w.runs.add(n)
	w.record.noteAt(n.at, "run      %s at worker %s of %s", id, w.id, w.service)
	if w.crashes != nil && strings.HasSuffix(r.URL.Path, crashingPath) {
		// The run goes on, whether or not its connection is still open.
		w.crash.Do(func() { go w.crashes(id) })
		<-w.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	case <-w.ctx.Done():
		n.cut = true
		w.record.note("cut      %s, as worker %s exits", id, w.id)
		panic(http.ErrAbortHandler)
	}
	body := fmt.Sprintf("%s %s %s\n", w.service, w.id, id) + strings.Repeat("x", 760)
	rw.Header().Set(wire.HeaderSeal, fmt.Sprintf("%x.01.%x.%d.0.%s", w.born.UnixMilli(), len(body), len(body), id))
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
	n.ended = time.Now()
}
