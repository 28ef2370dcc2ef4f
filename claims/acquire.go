package claims

import (
	"context"
	"errors"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// storedRow is a claim row as it was read from the table service.
type storedRow struct {
	claimRow
	version int64
	exists  bool
}

// acquisition is the state of acquiring one claim, across its tries.
type acquisition struct {
	held heldClaim
	// baseVersion is the row version on which the write of the claim is
	// conditional; 0 means that the row must not exist.
	baseVersion int64
	// rowExists is set once another attempt is known to have claimed the call.
	rowExists bool
	lastErr   error
}

// acquire acquires the claim of a call. It returns the held claim, or the
// finished claim of an earlier attempt, or a refusal.
func (c *Claimer) acquire(ctx context.Context, call Call) (heldClaim, *claimRow, *domain.Refusal) {
	a := &acquisition{held: heldClaim{key: rowKey(call), row: c.newRow(call)}}
	policy := newBackoff()
	for try := range c.tryLimits.claim {
		if try > 0 && c.sleep(ctx, policy.NextBackOff()) != nil {
			return a.held, nil, canceledWhileClaiming(call, a.rowExists)
		}
		done, finished, refusal := c.tryClaim(ctx, call, a)
		if done || finished != nil || refusal != nil {
			return a.held, finished, refusal
		}
	}
	return a.held, nil, c.storeUnavailable(call, a.rowExists, a.lastErr)
}

// tryClaim tries once to write the claim. If the row has another version or the
// response to the write is lost, it reads the row back; the nonce tells whose
// claim it is.
func (c *Claimer) tryClaim(ctx context.Context, call Call, a *acquisition) (done bool, finished *claimRow, refusal *domain.Refusal) {
	result, err := c.committer.commit(ctx, ports.Condition{Key: a.held.key, Version: a.baseVersion}, ports.Write{Key: a.held.key, Value: encodeRow(a.held.row)})
	a.lastErr = err
	switch {
	case errors.Is(err, ports.ErrStoreUnknown):
		c.count.lostAnswers.Add(1)
	case err != nil:
		return false, nil, c.storeUnavailable(call, a.rowExists, err)
	case result.Applied:
		a.held.version = result.Version
		return true, nil, nil
	default:
		a.rowExists = true
	}
	row, err := c.pollRow(ctx, call, a.held)
	if err != nil {
		return false, nil, c.storeUnavailable(call, a.rowExists, err)
	}
	if row.exists && row.Nonce == a.held.row.Nonce {
		a.held.version = row.version
		return true, nil, nil
	}
	a.rowExists = a.rowExists || row.exists
	a.baseVersion = row.version
	finished, refusal = c.evaluateExisting(call, row)
	return false, finished, refusal
}

// pollRow reads the claim row of a call. While another attempt with the same
// content holds the row open, it polls for the outcome, a limited number of times.
func (c *Claimer) pollRow(ctx context.Context, call Call, held heldClaim) (storedRow, error) {
	policy := newBackoff()
	row, err := c.read(ctx, held.key)
	for range c.tryLimits.poll {
		awaitsOutcome := err == nil && row.exists && row.State == stateOpen && row.Nonce != held.row.Nonce && row.Digest == call.Digest
		if !awaitsOutcome || c.sleep(ctx, policy.NextBackOff()) != nil {
			break
		}
		row, err = c.read(ctx, held.key)
	}
	return row, err
}

// evaluateExisting decides what the claim row of another attempt means for a
// call: it returns the finished claim, or a refusal, or neither if the call may
// claim the row.
func (c *Claimer) evaluateExisting(call Call, row storedRow) (*claimRow, *domain.Refusal) {
	switch {
	case !row.exists:
		return nil, nil
	case row.Digest != call.Digest:
		c.count.duplicates.Add(1)
		return nil, keyReused(call, row.claimRow)
	case row.State == stateDone:
		c.count.repeated.Add(1)
		return &row.claimRow, nil
	case row.State == stateReleased && call.Attempt > row.Attempt:
		return nil, nil
	case row.State == stateReleased:
		return nil, superseded(call, row.claimRow)
	default:
		c.count.unknown.Add(1)
		return nil, outcomeUnknown(row.claimRow)
	}
}

// read reads and decodes a claim row.
func (c *Claimer) read(ctx context.Context, key string) (storedRow, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, ok, err := c.cfg.Store.Get(ctx, key)
	if err != nil || !ok {
		return storedRow{}, err
	}
	decoded, err := decodeRow(row)
	return storedRow{claimRow: decoded, version: row.Version, exists: true}, err
}

// loadOutcome returns the outcome of a finished claim, from the row or from the
// object store.
func (c *Claimer) loadOutcome(ctx context.Context, row *claimRow) (ports.ServiceResponse, error) {
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
