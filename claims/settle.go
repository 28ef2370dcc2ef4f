package claims

import (
	"context"
	"encoding/json"
	"errors"

	"greengagespoke/ports"
)

// recordOutcome records the outcome of a call. While Run is active, the outcome
// is stored in the background and the caller does not wait for it. Otherwise, or
// if too many outcomes are pending, it is stored before recordOutcome returns; if
// the store fails, it is held in memory where there is room.
func (c *Claimer) recordOutcome(ctx context.Context, held heldClaim, response ports.ServiceResponse) {
	if c.running.Load() && c.addPending(held, response) {
		select {
		case c.wake <- struct{}{}:
		default:
		}
		return
	}
	if c.storeOutcome(ctx, held, response, c.tryLimits.record) || c.addPending(held, response) {
		return
	}
	c.count.unsettled.Add(1)
}

func (c *Claimer) addPending(held heldClaim, response ports.ServiceResponse) bool {
	added := c.pending.add(held, response)
	c.count.outcomesWaiting.Set(int64(c.pending.size()))
	return added
}

// storeOutcome writes the outcome to the claim row, and a large body to the object
// store first. Each of the two writes is tried at most the given number of times.
func (c *Claimer) storeOutcome(ctx context.Context, held heldClaim, response ports.ServiceResponse, tries int) bool {
	held.row.State = stateDone
	if len(response.Body) <= MaxInlineBodyBytes {
		held.row.Outcome = &response
	} else {
		held.row.Object = objectKeyPrefix + held.row.Nonce
		if !c.putObject(ctx, held.row.Object, response, tries) {
			return false
		}
	}
	return c.replaceRow(ctx, held, ports.Write{Key: held.key, Value: encodeRow(held.row)}, tries)
}

func (c *Claimer) putObject(ctx context.Context, key string, response ports.ServiceResponse, tries int) bool {
	value, err := json.Marshal(response)
	if err != nil {
		return false
	}
	ctx = context.WithoutCancel(ctx)
	return c.retry(ctx, tries, func() error {
		putCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		return c.cfg.Objects.Put(putCtx, key, value)
	})
}

func decodeResponse(value []byte) (ports.ServiceResponse, error) {
	var response ports.ServiceResponse
	err := json.Unmarshal(value, &response)
	return response, err
}

// release releases a claim whose call was certainly not sent. A first attempt
// deletes its row. A resend marks its row as released, because an earlier attempt
// that is still in flight must not run after the resend has been told that
// nothing ran.
func (c *Claimer) release(ctx context.Context, held heldClaim) {
	c.count.released.Add(1)
	write := ports.Write{Key: held.key, Delete: true}
	if held.row.Attempt > 1 {
		held.row.State = stateReleased
		write = ports.Write{Key: held.key, Value: encodeRow(held.row)}
	}
	if !c.replaceRow(ctx, held, write, c.tryLimits.record) {
		c.count.stuck.Add(1)
	}
}

// replaceRow writes the row of a held claim. Only the holder writes to this row,
// so a condition that does not hold means that an earlier try took effect.
func (c *Claimer) replaceRow(ctx context.Context, held heldClaim, write ports.Write, tries int) bool {
	ctx = context.WithoutCancel(ctx)
	return c.retry(ctx, tries, func() error {
		_, err := c.committer.commit(ctx, ports.Condition{Key: held.key, Version: held.version}, write)
		return err
	})
}

// retry calls f until it succeeds, and backs off between tries. It returns false
// when all tries have failed, and at once if the store is down.
func (c *Claimer) retry(ctx context.Context, tries int, f func() error) bool {
	policy := newBackoff()
	for try := range tries {
		if try > 0 {
			_ = c.sleep(ctx, policy.NextBackOff())
		}
		err := f()
		if err == nil {
			return true
		}
		if errors.Is(err, ports.ErrStoreDown) {
			return false
		}
	}
	return false
}
