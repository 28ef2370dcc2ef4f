package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// prefillBacklogHigh and prefillBacklogLow are thresholds for the queued work
	// of the prefill engines, as the time that they need to process it. Above the
	// high one, prefill capacity is short; below the low one, it is in excess.
	prefillBacklogHigh = time.Second
	prefillBacklogLow  = 100 * time.Millisecond
	// decodeUseHigh and decodeUseLow are thresholds for the used share of the
	// decode engines' slots or memory, whichever is larger. Above the high one,
	// decode capacity is short; below the low one, it is in excess.
	decodeUseHigh = 0.9
	decodeUseLow  = 0.6
	// minImbalanceDuration is how long an imbalance must last before a role
	// changes.
	minImbalanceDuration = 30 * time.Second
	// roleChangeCooldown is the minimum time between two role changes.
	roleChangeCooldown = 2 * time.Minute
)

// direction is the role that needs more engines, if any.
type direction int

const (
	balanced direction = iota
	morePrefill
	moreDecode
)

// roleBalance applies hysteresis to the measured imbalance: both roles must be
// out of balance in the same direction, without interruption, for
// minImbalanceDuration.
type roleBalance struct {
	polledAt  time.Time
	direction direction
	since     time.Time
	changedAt time.Time
}

// measureImbalance returns in which direction the engines are out of balance.
func measureImbalance(engines []domain.Upstream, loads map[domain.UpstreamID]ports.Load) direction {
	var queued, rate float64
	var slots, running, pieces, free int
	for _, up := range engines {
		load, ok := loads[up.ID]
		if !ok {
			continue
		}
		switch up.Role {
		case domain.RolePrefill:
			queued += float64(load.QueuedTokens)
			rate += float64(up.PrefillRate)
		case domain.RoleDecode:
			slots += up.Slots
			running += load.Running
			pieces += up.Pieces
			free += load.FreePieces
		}
	}
	if rate == 0 || slots == 0 || pieces == 0 {
		return balanced
	}
	queue := time.Duration(queued / rate * float64(time.Second))
	use := max(float64(running)/float64(slots), 1-float64(free)/float64(pieces))
	switch {
	case queue > prefillBacklogHigh && use < decodeUseLow:
		return morePrefill
	case queue < prefillBacklogLow && use > decodeUseHigh:
		return moreDecode
	default:
		return balanced
	}
}

// shouldChange records a measurement and reports whether a role should change
// now.
func (b *roleBalance) shouldChange(now time.Time, d direction) bool {
	if d != b.direction {
		b.direction, b.since = d, now
	}
	if d == balanced || now.Sub(b.since) < minImbalanceDuration {
		return false
	}
	return b.changedAt.IsZero() || now.Sub(b.changedAt) >= roleChangeCooldown
}

// balanceRoles changes the role of one engine of the scope if the load requires
// it and the pool's row allows it.
func (w *worker) balanceRoles(ctx context.Context, pool domain.Pool) {
	if w.c.cfg.Editor == nil || pool.MinPrefill >= pool.MaxPrefill {
		return
	}
	now := time.Now()
	if now.Sub(w.roles.polledAt) < pollInterval {
		return
	}
	w.roles.polledAt = now
	engines := w.engines(ctx, pool)
	loads := w.c.loads(ctx, engines)
	if !w.roles.shouldChange(now, measureImbalance(engines, loads)) {
		return
	}
	up, ok := chooseForRole(engines, loads, w.roles.direction)
	if !ok {
		return
	}
	if err := w.changeRole(ctx, up); err != nil {
		klog.InfoS("role change failed", "pool", pool.Name, "upstream", up.ID, "err", err)
		return
	}
	w.roles.changedAt = now
}

// chooseForRole returns the engine with the least work that can take the other
// role: its row must state a prefill rate, decode slots and pieces of memory.
func chooseForRole(engines []domain.Upstream, loads map[domain.UpstreamID]ports.Load, d direction) (domain.Upstream, bool) {
	from := domain.RoleDecode
	if d == moreDecode {
		from = domain.RolePrefill
	}
	var best domain.Upstream
	found := false
	for _, up := range engines {
		load, reachable := loads[up.ID]
		if up.Role != from || !reachable || up.PrefillRate == 0 || up.Slots == 0 || up.Pieces == 0 {
			continue
		}
		if !found || disruption(load) < disruption(loads[best.ID]) {
			best, found = up, true
		}
	}
	return best, found
}

// disruption estimates, in tokens, how much running and queued work a role change
// or load of the engine would disturb.
func disruption(load ports.Load) int {
	return load.Running*domain.TokensPerPiece + load.QueuedTokens
}

// changeRole edits the pool's row, so that keepers, operators and the audit trail
// see the change. The order to the engine follows from the row. The bounds are
// checked against the row version that the edit replaces.
func (w *worker) changeRole(ctx context.Context, up domain.Upstream) error {
	if _, err := w.lease.Term(); err != nil {
		return err
	}
	snapshot, err := w.c.cfg.Editor.Snapshot(ctx)
	if err != nil {
		return err
	}
	for _, row := range snapshot.Rows {
		if row.Table == domain.TablePools && row.Row == string(w.scope.pool) {
			return w.editRole(ctx, row, up.ID)
		}
	}
	return fmt.Errorf("pool %s is no longer in the pools table", w.scope.pool)
}

func (w *worker) editRole(ctx context.Context, row domain.VersionedRow, id domain.UpstreamID) error {
	var pool domain.Pool
	if err := json.Unmarshal(row.Value, &pool); err != nil {
		return fmt.Errorf("pool %s: %w; correct the row", row.Row, err)
	}
	if !flipRole(&pool, id, w.roles.direction) {
		return nil
	}
	value, err := json.Marshal(pool)
	if err != nil {
		return err
	}
	_, err = w.c.cfg.Editor.Apply(ctx, domain.Edit{
		ID:          fmt.Sprintf("role-%s-%s-%d", row.Row, id, row.Version),
		Table:       domain.TablePools,
		Row:         row.Row,
		BaseVersion: row.Version,
		Value:       value,
		Editor:      "orders@" + string(w.c.cfg.Self),
	})
	if err != nil {
		return err
	}
	w.c.counts.roles.Add(1)
	klog.InfoS("role changed", "pool", row.Row, "upstream", id)
	return nil
}

// flipRole changes an engine's role if the pool's bounds allow it, and reports
// whether it did.
func flipRole(pool *domain.Pool, id domain.UpstreamID, d direction) bool {
	prefill := 0
	var up *domain.Upstream
	for i := range pool.Upstreams {
		if pool.Upstreams[i].Role == domain.RolePrefill {
			prefill++
		}
		if pool.Upstreams[i].ID == id {
			up = &pool.Upstreams[i]
		}
	}
	switch {
	case up == nil:
		return false
	case d == morePrefill && up.Role == domain.RoleDecode && prefill < pool.MaxPrefill:
		up.Role = domain.RolePrefill
	case d == moreDecode && up.Role == domain.RolePrefill && prefill > pool.MinPrefill:
		up.Role = domain.RoleDecode
	default:
		return false
	}
	return true
}
