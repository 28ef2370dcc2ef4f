package engine

import (
	"container/heap"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// kvCache is what a transfer carries from a prefill to a decode engine.
type kvCache struct {
	id     domain.AttemptID
	handle string
	// promptHash seeds the answer's text.
	promptHash uint64
	// tokens is the length of prompt and delivered output.
	tokens int
	// delivered is the number of output tokens that the caller already has.
	delivered int
	// total is the length of the whole answer in tokens.
	total    int
	poisoned bool
}

func (k kvCache) bytes() int64 {
	return int64(k.tokens) * domain.KVBytesPerToken
}

// result is a finished prefill that waits for its transfer.
type result struct {
	kv     kvCache
	holder domain.HostID
	pieces int
	// pinned counts transfers in progress, which keep the result alive.
	pinned  int
	expires time.Time
}

// prefillJob is one queued or running prefill.
type prefillJob struct {
	kv       kvCache
	holder   domain.HostID
	keys     []domain.PieceKey
	priority int
	sequence int
	index    int
	cached   int
	started  time.Time
	takes    time.Duration
	timer    *time.Timer
	// done receives the outcome once.
	done chan prefillOutcome
}

type prefillOutcome struct {
	result ports.PrefillResult
	err    error
}

// Prefill implements ports.Engine. A queued prefill stays queued when ctx ends;
// Cancel removes it.
func (e *Engine) Prefill(ctx context.Context, req ports.PrefillRequest) (ports.PrefillResult, error) {
	if err := e.enter(ctx); err != nil {
		return ports.PrefillResult{}, err
	}
	job, err := e.enqueue(req)
	e.mu.Unlock()
	if err != nil {
		return ports.PrefillResult{}, err
	}
	select {
	case out := <-job.done:
		return out.result, out.err
	case <-ctx.Done():
		return ports.PrefillResult{}, e.errorf(ports.EngineUnreachable, "no answer in time: %v", ctx.Err())
	}
}

func (e *Engine) enqueue(req ports.PrefillRequest) (*prefillJob, error) {
	if err := e.accepts(domain.RolePrefill, req.Model); err != nil {
		return nil, err
	}
	if _, busy := e.byAttempt[req.ID]; busy {
		return nil, e.errorf(ports.EngineInvalid, "attempt is queued already; use a new attempt number")
	}
	e.handles++
	job := &prefillJob{
		kv:       e.newCache(req),
		holder:   req.Holder,
		keys:     domain.PieceKeys(req.Model, req.Prompt),
		priority: req.Priority,
		sequence: e.handles,
		done:     make(chan prefillOutcome, 1),
	}
	e.byAttempt[req.ID] = job
	heap.Push(&e.jobs, job)
	e.startNextPrefill()
	e.sampleLoad()
	return job, nil
}

func (e *Engine) newCache(req ports.PrefillRequest) kvCache {
	return kvCache{
		id:         req.ID,
		handle:     fmt.Sprintf("%s/%d/%d", e.cfg.Upstream.ID, e.life, e.handles),
		promptHash: xxhash.Sum64String(req.Prompt),
		tokens:     domain.TokenCount(req.Prompt) + req.DeliveredTokens,
		delivered:  req.DeliveredTokens,
		total:      min(max(1, e.cfg.OutputTokens(req.Prompt, req.MaxTokens)), max(1, req.MaxTokens)),
		poisoned:   strings.Contains(req.Prompt, PoisonMarker),
	}
}

func (e *Engine) startNextPrefill() {
	if e.active != nil || len(e.jobs) == 0 {
		return
	}
	job := heap.Pop(&e.jobs).(*prefillJob)
	e.active = job
	job.cached = min(e.cache.match(job.keys)*domain.TokensPerPiece, job.kv.tokens)
	job.started = time.Now()
	job.takes = e.scaled(e.cfg.PrefillOverhead + e.prefillTime(job.kv.tokens-job.cached))
	e.fabric.ledger.prefillStarted(job.kv)
	job.timer = e.after(job.takes, func() { e.finishPrefill(job) })
}

func (e *Engine) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(e.cfg.Upstream.PrefillRate)
}

func (e *Engine) finishPrefill(job *prefillJob) {
	if e.active != job {
		return
	}
	e.active = nil
	delete(e.byAttempt, job.kv.id)
	e.countPrefill(job, job.kv.tokens-job.cached)
	stored, removed := e.cache.store(job.keys)
	e.events.add(e, stored, false)
	e.events.add(e, removed, true)
	e.keepResult(job)
	job.done <- prefillOutcome{result: ports.PrefillResult{
		Handle:       job.kv.handle,
		Bytes:        job.kv.bytes(),
		CachedTokens: job.cached,
		ExpiresIn:    e.cfg.ResultLifetime,
	}}
	e.startNextPrefill()
	e.sampleLoad()
}

func (e *Engine) countPrefill(job *prefillJob, tokens int) {
	e.counts.Prefills++
	e.counts.PrefillTokens += tokens
	e.fabric.ledger.prefillEnded(job.kv, tokens)
}

func (e *Engine) keepResult(job *prefillJob) {
	r := &result{
		kv:      job.kv,
		holder:  job.holder,
		pieces:  domain.Pieces(job.kv.tokens),
		expires: time.Now().Add(e.cfg.ResultLifetime),
	}
	e.results[r.kv.handle] = r
	e.after(e.cfg.ResultLifetime, func() { e.expireResult(r) })
}

// alive says whether the result's lifetime is not over.
func (r *result) alive() bool {
	return time.Now().Before(r.expires)
}

func (e *Engine) expireResult(r *result) {
	if r.pinned == 0 {
		delete(e.results, r.kv.handle)
	}
}

// cancelPrefill ends a queued or running prefill and drops results of the
// attempt. Tokens that were computed until then count as computed.
func (e *Engine) cancelPrefill(id domain.AttemptID) {
	for handle, r := range e.results {
		if r.kv.id == id {
			delete(e.results, handle)
		}
	}
	job := e.byAttempt[id]
	if job == nil {
		return
	}
	delete(e.byAttempt, id)
	if e.active == job {
		job.timer.Stop()
		e.active = nil
		e.countPrefill(job, job.computed(time.Now()))
		e.startNextPrefill()
	} else {
		heap.Remove(&e.jobs, job.index)
	}
	job.done <- prefillOutcome{err: e.errorf(ports.EngineCanceled, "the attempt was canceled")}
}

// computed estimates the tokens that a running prefill has computed by now.
func (j *prefillJob) computed(now time.Time) int {
	if j.takes <= 0 {
		return 0
	}
	part := float64(now.Sub(j.started)) / float64(j.takes)
	return int(min(1, part) * float64(j.kv.tokens-j.cached))
}

// jobQueue is a heap of waiting prefills: larger priority first, then arrival.
type jobQueue []*prefillJob

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q jobQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *jobQueue) Push(x any) {
	job := x.(*prefillJob)
	job.index = len(*q)
	*q = append(*q, job)
}

// Pop implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	job := old[len(old)-1]
	*q = old[:len(old)-1]
	return job
}
