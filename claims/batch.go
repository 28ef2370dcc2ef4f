package claims

import (
	"context"
	"sync"

	"greengagespoke/ports"
)

// maxBatchRows bounds the number of rows in one transaction.
const maxBatchRows = 64

// committer writes single rows and joins concurrent writes into one transaction
// (group commit). At most one transaction is in flight. The first waiting writer
// leads the next one, so that the committer needs no goroutine of its own.
type committer struct {
	store ports.TableService
	count claimCounters

	mu        sync.Mutex
	hasLeader bool
	queue     []*pendingWrite
}

// pendingWrite is a conditional write that waits for its transaction. A value on
// lead tells its goroutine to lead the next transaction.
type pendingWrite struct {
	txn  ports.Txn
	key  string
	done chan commitResult
	lead chan struct{}
}

// commitResult is the result of one write.
type commitResult struct {
	result ports.TxnResult
	err    error
}

func newCommitter(store ports.TableService, count claimCounters) *committer {
	return &committer{store: store, count: count}
}

// commit writes one row if the condition on it holds. It waits for the result
// even if the context ends, because the write may still take effect; each
// transaction is bounded by commitTimeout.
func (c *committer) commit(ctx context.Context, cond ports.Condition, put ports.Write) (ports.TxnResult, error) {
	w := &pendingWrite{
		txn:  ports.Txn{If: []ports.Condition{cond}, Then: []ports.Write{put}},
		key:  put.Key,
		done: make(chan commitResult, 1),
		lead: make(chan struct{}, 1),
	}
	c.mu.Lock()
	c.queue = append(c.queue, w)
	if !c.hasLeader {
		c.hasLeader = true
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

// leadBatch runs the next transaction and passes the leadership on. Writes that
// have no result when it returns or panics get ErrStoreUnknown.
func (c *committer) leadBatch(ctx context.Context) {
	defer c.passLeadership()
	batch := c.nextBatch()
	defer func() {
		for _, w := range batch {
			w.finish(commitResult{err: ports.ErrStoreUnknown})
		}
	}()
	c.runBatch(ctx, batch)
}

// runBatch runs writes in one transaction. One condition that does not hold
// rejects the whole transaction, and the service does not say which one it was;
// runBatch then retries each half on its own.
func (c *committer) runBatch(ctx context.Context, batch []*pendingWrite) {
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

// finish passes the result to the writer, unless the writer already has one.
func (w *pendingWrite) finish(out commitResult) {
	select {
	case w.done <- out:
	default:
	}
}

// nextBatch removes the first waiting writes from the queue, at most maxBatchRows
// of them and at most one for each row. The leader's own write is the first.
func (c *committer) nextBatch() []*pendingWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, remaining []*pendingWrite
	inBatch := make(map[string]bool)
	for _, w := range c.queue {
		if inBatch[w.key] || len(batch) == maxBatchRows {
			remaining = append(remaining, w)
			continue
		}
		inBatch[w.key] = true
		batch = append(batch, w)
	}
	c.queue = remaining
	return batch
}

// passLeadership makes the first waiting writer lead the next transaction.
func (c *committer) passLeadership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.hasLeader = false
		return
	}
	c.queue[0].lead <- struct{}{}
}

func (c *committer) run(ctx context.Context, txn ports.Txn) commitResult {
	c.count.transactions.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	result, err := c.store.Commit(ctx, txn)
	return commitResult{result: result, err: err}
}
