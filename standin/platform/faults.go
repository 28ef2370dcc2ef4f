package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// Fault is what happens to one write.
type Fault int

// The faults of a write.
const (
	// FaultNone lets the write through.
	FaultNone Fault = iota
	// FaultLoseAnswer applies the write and loses the answer.
	FaultLoseAnswer
	// FaultLoseRequest loses the request before it takes effect; the client
	// cannot tell it from a lost answer.
	FaultLoseRequest
	// FaultDown refuses the write as an outage does.
	FaultDown
)

// faults is the script of what goes wrong.
type faults struct {
	mu              sync.Mutex
	random          *rand.Rand
	outage          bool
	outageAfterNext bool
	latency         time.Duration
	loseAnswers     int
	loseRequests    int
	answerLoss      float64
	staleAge        time.Duration
	staleShare      float64
	hook            func(ports.Txn) Fault
}

func newFaults(seed uint64, latency time.Duration) *faults {
	return &faults{random: rand.New(rand.NewPCG(seed, 0)), latency: latency}
}

// SetOutage starts or ends an outage of the table service and the object store.
func (p *Platform) SetOutage(on bool) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.outage = on
}

// OutageAfterNextCommit starts an outage right after the next transaction that
// is applied. Its answer still arrives.
func (p *Platform) OutageAfterNextCommit() {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.outageAfterNext = true
}

// SetLatency changes the time from a call to its answer.
func (p *Platform) SetLatency(d time.Duration) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.latency = d
}

// LoseAnswers loses the answers of the next n writes after they took effect.
func (p *Platform) LoseAnswers(n int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.loseAnswers = n
}

// LoseRequests loses the next n writes before they take effect.
func (p *Platform) LoseRequests(n int) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.loseRequests = n
}

// SetAnswerLoss loses the given share (0 to 1) of the answers to writes, after
// they took effect.
func (p *Platform) SetAnswerLoss(share float64) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.answerLoss = share
}

// SetStaleReads answers the given share (0 to 1) of the row reads and scans from
// the state of the given age. Transactions always see the newest state.
func (p *Platform) SetStaleReads(age time.Duration, share float64) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.staleAge, p.faults.staleShare = age, share
}

// SetCommitHook asks the function for the fault of each transaction, before any
// other script; nil removes the hook.
func (p *Platform) SetCommitHook(hook func(ports.Txn) Fault) {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	p.faults.hook = hook
}

func (f *faults) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latency
}

// nextWrite returns the fault of the next write.
func (f *faults) nextWrite(txn ports.Txn) Fault {
	f.mu.Lock()
	hook := f.hook
	f.mu.Unlock()
	if hook != nil {
		if fault := hook(txn); fault != FaultNone {
			return fault
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseRequests > 0 {
		f.loseRequests--
		return FaultLoseRequest
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return FaultLoseAnswer
	}
	if f.answerLoss > 0 && f.random.Float64() < f.answerLoss {
		return FaultLoseAnswer
	}
	return FaultNone
}

// applied notes that a transaction took effect.
func (f *faults) applied() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outageAfterNext {
		f.outageAfterNext = false
		f.outage = true
	}
}

// readTime returns the moment whose state the next read sees.
func (f *faults) readTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.staleShare > 0 && f.random.Float64() < f.staleShare {
		return now.Add(-f.staleAge)
	}
	return now
}

// wait sleeps for d or until the context ends, and then returns an error of the
// given kind.
func wait(ctx context.Context, d time.Duration, kind error) error {
	if pause.For(ctx, d) {
		return nil
	}
	return fmt.Errorf("%w: %w", kind, ctx.Err())
}
