package claims

import (
	"context"
	"errors"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// stored is a claim row as it was read.
type stored struct {
	claimRow
	version int64
	exists  bool
}

// acquisition is the state of taking one claim.
type acquisition struct {
	held claim
	// base is the row version that the claim is written on.
	base int64
	// exists says that another sending is known to have claimed the call.
	exists  bool
	lastErr error
}

// acquire takes the claim of a call. It returns the held claim, or the finished
// claim of an earlier sending, or a refusal.
func (c *Claimer) acquire(ctx context.Context, call Call) (claim, *claimRow, *domain.Refusal) {
	a := &acquisition{held: claim{key: rowKey(call), row: c.newRow(call)}}
	pause := newBackoff()
	for try := range c.tries.claim {
		if try > 0 && c.pause(ctx, pause.NextBackOff()) != nil {
			return a.held, nil, canceledBefore(call, a.exists)
		}
		done, found, refusal := c.tryClaim(ctx, call, a)
		if done || found != nil || refusal != nil {
			return a.held, found, refusal
		}
	}
	return a.held, nil, c.unavailable(call, a.exists, a.lastErr)
}

// tryClaim writes the claim once. Where that fails, or its answer is lost, it
// reads the row back; the nonce tells whose claim it is.
func (c *Claimer) tryClaim(ctx context.Context, call Call, a *acquisition) (done bool, found *claimRow, refusal *domain.Refusal) {
	result, err := c.committer.commit(ctx, ports.Condition{Key: a.held.key, Version: a.base}, ports.Write{Key: a.held.key, Value: encode(a.held.row)})
	a.lastErr = err
	switch {
	case errors.Is(err, ports.ErrStoreUnknown):
		c.count.lostAnswers.Add(1)
	case err != nil:
		return false, nil, c.unavailable(call, a.exists, err)
	case result.Applied:
		a.held.version = result.Version
		return true, nil, nil
	default:
		a.exists = true
	}
	row, err := c.settled(ctx, call, a.held)
	if err != nil {
		return false, nil, c.unavailable(call, a.exists, err)
	}
	if row.exists && row.Nonce == a.held.row.Nonce {
		a.held.version = row.version
		return true, nil, nil
	}
	a.exists = a.exists || row.exists
	a.base = row.version
	found, refusal = c.judge(call, row)
	return false, found, refusal
}

// settled reads the claim row of a call. While another sending holds it open, it
// waits a little for the outcome.
func (c *Claimer) settled(ctx context.Context, call Call, held claim) (stored, error) {
	pause := newBackoff()
	row, err := c.read(ctx, held.key)
	for range c.tries.wait {
		waits := err == nil && row.exists && row.State == stateOpen && row.Nonce != held.row.Nonce && row.Digest == call.Digest
		if !waits || c.pause(ctx, pause.NextBackOff()) != nil {
			break
		}
		row, err = c.read(ctx, held.key)
	}
	return row, err
}

// judge says what the claim of another sending means for a call: an outcome, a
// refusal, or neither where the call may be claimed on top of it.
func (c *Claimer) judge(call Call, row stored) (*claimRow, *domain.Refusal) {
	switch {
	case !row.exists:
		return nil, nil
	case row.Digest != call.Digest:
		c.count.duplicates.Add(1)
		return nil, otherContent(call, row.claimRow)
	case row.State == stateDone:
		c.count.repeated.Add(1)
		return &row.claimRow, nil
	case row.State == stateReleased && call.Attempt > row.Attempt:
		return nil, nil
	case row.State == stateReleased:
		return nil, superseded(call, row.claimRow)
	default:
		c.count.unknown.Add(1)
		return nil, withoutOutcome(row.claimRow)
	}
}

// read reads a claim row.
func (c *Claimer) read(ctx context.Context, key string) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, ok, err := c.cfg.Store.Get(ctx, key)
	if err != nil || !ok {
		return stored{}, err
	}
	decoded, err := decode(row)
	return stored{claimRow: decoded, version: row.Version, exists: true}, err
}

// answer returns the outcome of a finished claim.
func (c *Claimer) answer(ctx context.Context, row *claimRow) (ports.ServiceResponse, error) {
	if row.Outcome != nil {
		return *row.Outcome, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := c.cfg.Objects.Get(ctx, row.Object)
	if err != nil {
		return ports.ServiceResponse{}, outcomeUnreadable(err)
	}
	response, err := decodeResponse(value)
	if err != nil {
		return ports.ServiceResponse{}, outcomeUnreadable(err)
	}
	return response, nil
}
