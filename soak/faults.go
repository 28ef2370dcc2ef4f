package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// faultGap is the mean time between two faults; they overlap.
	faultGap = 250 * time.Millisecond
	// faultLength is the mean length of a fault.
	faultLength = 900 * time.Millisecond
	// aftermath is how long a fault of a host may explain what callers see.
	aftermath = 6 * time.Second
)

// injectFaults starts random faults until the length of the run has passed.
func (r *run) injectFaults(ctx context.Context) {
	kinds := []func(time.Duration){
		r.killHost, r.pauseHost, r.stopHost, r.hangUp, r.breakLink, r.breakLink,
		r.breakStore, r.forget, r.change, r.change, r.breakWorker, r.breakWorker, r.drainWorker, r.limitWorker, r.restoreStore,
		r.cutHost, r.cutHost, r.cutBesideBrokenWorkers, r.oddEntries, r.rejectAgain, r.replaceWorker, r.leaveWorker, r.restWorker, r.restWorker,
	}
	for end := time.Now().Add(r.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(r.draw.Int64N(int64(2 * faultGap))))
		length := faultLength/3 + time.Duration(r.draw.Int64N(int64(faultLength)))
		r.faults++
		kinds[r.draw.IntN(len(kinds))](length)
	}
}

func (r *run) anyHost() *host { return r.hosts[r.draw.IntN(len(r.hosts))] }

// restart starts a host again after its process has ended.
func (r *run) restart(h *host, limit time.Duration) {
	if err := h.wait(limit); err != nil {
		r.ledger.find("%v", err)
	}
	if h.beside != "" {
		h.binary, h.beside = h.beside, h.binary
	}
	if err := h.start(); err != nil {
		r.ledger.find("%v", err)
	}
}

func (r *run) killHost(length time.Duration) {
	h := r.anyHost()
	h.disturb(aftermath)
	h.signal(syscall.SIGKILL)
	time.Sleep(length / 4)
	r.restart(h, time.Second)
}

func (r *run) pauseHost(length time.Duration) {
	h := r.anyHost()
	h.disturb(length + aftermath)
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(length, func() { h.signal(syscall.SIGCONT) })
}

func (r *run) stopHost(time.Duration) {
	h := r.anyHost()
	h.disturb(aftermath)
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	r.restart(h, stopLimit)
}

func (r *run) hangUp(time.Duration) { r.anyHost().signal(syscall.SIGHUP) }

func (r *run) breakLink(length time.Duration) {
	h := r.anyHost()
	h.disturb(length + aftermath)
	modes := []platformtest.LinkMode{platformtest.LinkSlow, platformtest.LinkReset, platformtest.LinkOneWay, platformtest.LinkSilent}
	h.link.Set(modes[r.draw.IntN(len(modes))])
	time.AfterFunc(length, func() { h.link.Set(platformtest.LinkOpen) })
}

func (r *run) breakStore(length time.Duration) {
	r.store.SetMode(platformtest.StoreMode(1 + r.draw.IntN(3)))
	time.AfterFunc(length, func() { r.store.SetMode(platformtest.StoreUp) })
}

// restoreStore lets the store come back from a copy that is as old as length. The operator
// and the workers write again what was lost.
func (r *run) restoreStore(length time.Duration) {
	r.store.Copy()
	time.AfterFunc(length, func() {
		if r.healed.Load() != 0 {
			return // No fault begins after the last one.
		}
		r.store.Restore()
		r.mu.Lock()
		r.writeConfig()
		r.mu.Unlock()
		for _, w := range r.currentWorkers() {
			w.Register(r.store, "ready")
		}
	})
}

func (r *run) forget(time.Duration) { r.store.DiscardHistory() }

func (r *run) change(time.Duration) { r.configure() }

// breakWorker makes a worker spoil a part of its requests.
func (r *run) breakWorker(length time.Duration) {
	workers := r.currentWorkers()
	w := workers[r.draw.IntN(len(workers))]
	fault := platformtest.Fault(1 + r.draw.IntN(int(platformtest.FaultEndlessBody)))
	r.breakEachSecond(w, fault, length)
}

// breakEachSecond makes a worker spoil each second request for a while.
func (r *run) breakEachSecond(w *platformtest.Worker, fault platformtest.Fault, length time.Duration) {
	count := 0
	w.SetFault(func(*http.Request) platformtest.Fault {
		if count++; count%2 == 0 {
			return platformtest.FaultNone
		}
		return fault
	})
	time.AfterFunc(length, func() { w.SetFault(nil) })
}

// cutHost cuts a host from all workers, or from some of them.
func (r *run) cutHost(length time.Duration) {
	h := r.anyHost()
	mode := platformtest.LinkMode(1 + r.draw.IntN(int(platformtest.LinkOneWay)))
	all, odd := r.draw.IntN(2) == 0, 0
	h.workers.SetSome(mode, func(string) bool { odd++; return all || odd%2 == 0 })
	time.AfterFunc(2*length, func() { h.workers.Set(platformtest.LinkOpen) })
}

// cutBesideBrokenWorkers cuts a host from all workers while half of the runs fail everywhere.
func (r *run) cutBesideBrokenWorkers(length time.Duration) {
	h := r.anyHost()
	mode := platformtest.LinkMode(1 + r.draw.IntN(int(platformtest.LinkOneWay)))
	faults := []platformtest.Fault{platformtest.FaultNoResponse, platformtest.FaultReset, platformtest.FaultCut, platformtest.FaultFailed, platformtest.FaultReject}
	fault := faults[r.draw.IntN(len(faults))]
	h.workers.Set(mode)
	for _, w := range r.currentWorkers() {
		r.breakEachSecond(w, fault, 3*length)
	}
	time.AfterFunc(3*length, func() { h.workers.Set(platformtest.LinkOpen) })
}

// rejectAgain makes a worker reject requests and write the rejections once more.
func (r *run) rejectAgain(length time.Duration) {
	workers := r.currentWorkers()
	r.breakEachSecond(workers[r.draw.IntN(len(workers))], platformtest.FaultRejectAgain, length)
}

// oddEntries leaves rows of another writer in the tables.
func (r *run) oddEntries(length time.Duration) {
	values := platformtest.OddEntries()
	tables := []string{wire.TableUpstreams, "hosts", "strikes", "duties"}
	table, key := tables[r.draw.IntN(len(tables))], fmt.Sprint("odd-", r.draw.IntN(4))
	r.store.PutRaw(table, key, []byte(values[r.draw.IntN(len(values))]))
	time.AfterFunc(length, func() { r.store.Delete(table, key) })
}

// replaceWorker ends a decode worker, which starts again as another version under its
// identifier and address.
func (r *run) replaceWorker(time.Duration) {
	var engines []*platformtest.Worker
	for _, w := range r.currentWorkers() {
		if w.Stage == "decode" {
			engines = append(engines, w)
		}
	}
	w := engines[r.draw.IntN(len(engines))]
	w.End(otherVersion(w.Version))
}

// otherVersion returns the other one of the two software versions of a run.
func otherVersion(version string) string {
	if version == "v1" {
		return "v2"
	}
	return "v1"
}

func (r *run) drainWorker(length time.Duration) {
	workers := r.currentWorkers()
	id := workers[r.draw.IntN(len(workers))].ID
	r.register(id, "draining")
	time.AfterFunc(length, func() { r.register(id, "ready") })
}
