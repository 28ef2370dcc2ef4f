package claims

import (
	"context"
	"encoding/json"
	"errors"

	"greengagespoke/ports"
)

// settle keeps the outcome of a call. With Run, the caller does not wait for it.
// Without Run, or where there are too many, it is kept at once if the store
// allows.
func (c *Claimer) settle(ctx context.Context, held claim, response ports.ServiceResponse) {
	if c.running.Load() && c.addLate(held, response) {
		select {
		case c.wake <- struct{}{}:
		default:
		}
		return
	}
	if c.keep(ctx, held, response, c.tries.settle) || c.addLate(held, response) {
		return
	}
	c.count.unsettled.Add(1)
}

func (c *Claimer) addLate(held claim, response ports.ServiceResponse) bool {
	added := c.late.add(held, response)
	c.count.late.Set(int64(c.late.size()))
	return added
}

// keep writes the outcome to the claim, within a number of tries.
func (c *Claimer) keep(ctx context.Context, held claim, response ports.ServiceResponse, tries int) bool {
	held.row.State = stateDone
	if len(response.Body) <= MaxRowBytes {
		held.row.Outcome = &response
	} else {
		held.row.Object = prefixObjects + held.row.Nonce
		if !c.putObject(ctx, held.row.Object, response, tries) {
			return false
		}
	}
	return c.replace(ctx, held, ports.Write{Key: held.key, Value: encode(held.row)}, tries)
}

func (c *Claimer) putObject(ctx context.Context, key string, response ports.ServiceResponse, tries int) bool {
	value, err := json.Marshal(response)
	if err != nil {
		return false
	}
	ctx = context.WithoutCancel(ctx)
	return c.repeat(ctx, tries, func() error {
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

// release gives up a claim whose call was certainly not sent. A first sending
// deletes its row. A resend leaves it as released: an earlier sending that is
// still on its way must not run after the resend was told that nothing ran.
func (c *Claimer) release(ctx context.Context, held claim) {
	c.count.released.Add(1)
	write := ports.Write{Key: held.key, Delete: true}
	if held.row.Attempt > 1 {
		held.row.State = stateReleased
		write = ports.Write{Key: held.key, Value: encode(held.row)}
	}
	if !c.replace(ctx, held, write, c.tries.settle) {
		c.count.stuck.Add(1)
	}
}

// replace writes the row of a held claim. Nobody else writes to the row, so that
// a condition that does not hold means that an earlier try took effect.
func (c *Claimer) replace(ctx context.Context, held claim, write ports.Write, tries int) bool {
	ctx = context.WithoutCancel(ctx)
	return c.repeat(ctx, tries, func() error {
		_, err := c.committer.commit(ctx, ports.Condition{Key: held.key, Version: held.version}, write)
		return err
	})
}

// repeat calls f until it succeeds, with pauses. It returns false when the tries
// are used up, and at once where the store is down.
func (c *Claimer) repeat(ctx context.Context, tries int, f func() error) bool {
	pause := newBackoff()
	for try := range tries {
		if try > 0 {
			_ = c.pause(ctx, pause.NextBackOff())
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
