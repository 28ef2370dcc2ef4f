package claims

import (
	"context"
	"sync"

	"greengagespoke/ports"
)

// maxBatch bounds the rows of one transaction.
const maxBatch = 64

// committer writes single rows, and joins those that wait at the same time into
// one transaction (group commit). At most one transaction is in flight; the
// first of the waiting writers leads the next one, so that no goroutine of its
// own is needed.
type committer struct {
	store ports.TableService
	count claimCounters

	mu    sync.Mutex
	busy  bool
	queue []*write
}

// write is one conditional write that waits for its transaction.
type write struct {
	txn  ports.Txn
	key  string
	done chan outcome
	lead chan struct{}
}

// outcome is the result of one write.
type outcome struct {
	result ports.TxnResult
	err    error
}

func newCommitter(store ports.TableService, count claimCounters) *committer {
	return &committer{store: store, count: count}
}

// commit writes one row if the condition on it holds. It waits for the answer
// also when the context ends, as the write may take effect; each transaction is
// bounded by commitTimeout.
func (c *committer) commit(ctx context.Context, cond ports.Condition, put ports.Write) (ports.TxnResult, error) {
	w := &write{
		txn:  ports.Txn{If: []ports.Condition{cond}, Then: []ports.Write{put}},
		key:  put.Key,
		done: make(chan outcome, 1),
		lead: make(chan struct{}, 1),
	}
	c.mu.Lock()
	c.queue = append(c.queue, w)
	if !c.busy {
		c.busy = true
		w.lead <- struct{}{}
	}
	c.mu.Unlock()
	select {
	case out := <-w.done:
		return out.result, out.err
	case <-w.lead:
	}
	c.leadBatch(ctx)
	out := <-w.done
	return out.result, out.err
}

// leadBatch runs the next transaction and passes the lead on.
func (c *committer) leadBatch(ctx context.Context) {
	defer c.passLead()
	batch := c.nextBatch()
	defer func() {
		for _, w := range batch {
			w.finish(outcome{err: ports.ErrStoreUnknown})
		}
	}()
	c.runBatch(ctx, batch)
}

// runBatch runs writes in one transaction. One condition that does not hold stops
// them all, and the service does not say which: then each half is tried alone.
func (c *committer) runBatch(ctx context.Context, batch []*write) {
	joined := ports.Txn{}
	for _, w := range batch {
		joined.If = append(joined.If, w.txn.If...)
		joined.Then = append(joined.Then, w.txn.Then...)
	}
	out := c.run(ctx, joined)
	if out.err != nil || out.result.Applied || len(batch) == 1 {
		for _, w := range batch {
			w.finish(out)
		}
		return
	}
	c.count.split.Add(1)
	c.runBatch(ctx, batch[:len(batch)/2])
	c.runBatch(ctx, batch[len(batch)/2:])
}

// finish hands the result to the writer, unless it has one.
func (w *write) finish(out outcome) {
	select {
	case w.done <- out:
	default:
	}
}

// nextBatch takes the first waiting writes, at most one of each row. The leader
// is the first of them.
func (c *committer) nextBatch() []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*write
	taken := make(map[string]bool)
	for _, w := range c.queue {
		if taken[w.key] || len(batch) == maxBatch {
			rest = append(rest, w)
			continue
		}
		taken[w.key] = true
		batch = append(batch, w)
	}
	c.queue = rest
	return batch
}

// passLead lets the first waiting writer lead the next transaction.
func (c *committer) passLead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.busy = false
		return
	}
	c.queue[0].lead <- struct{}{}
}

func (c *committer) run(ctx context.Context, txn ports.Txn) outcome {
	c.count.transactions.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	result, err := c.store.Commit(ctx, txn)
	return outcome{result: result, err: err}
}
