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
	// queueHigh and queueLow are the waiting work of the prefill engines, as the
	// time they need for it, above and below which prefill is short or in excess.
	queueHigh = time.Second
	queueLow  = 100 * time.Millisecond
	// useHigh and useLow are the used share of the decode engines' slots or
	// memory, whichever is larger, above and below which decode is short or in
	// excess.
	useHigh = 0.9
	useLow  = 0.6
	// sustain is how long an imbalance must last before a role changes.
	sustain = 30 * time.Second
	// settle is the time after a change in which no other is made.
	settle = 2 * time.Minute
)

// direction is a wanted change of the number of prefill engines.
type direction int

const (
	balanced direction = iota
	morePrefill
	moreDecode
)

// balance applies hysteresis to the measured imbalance: both roles must be off in
// the same direction, without a break, for the sustain time.
type balance struct {
	polledAt  time.Time
	direction direction
	since     time.Time
	changedAt time.Time
}

// measure returns in which direction the engines are out of balance.
func measure(engines []domain.Upstream, loads map[domain.UpstreamID]ports.Load) direction {
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
	case queue > queueHigh && use < useLow:
		return morePrefill
	case queue < queueLow && use > useHigh:
		return moreDecode
	default:
		return balanced
	}
}

// due notes a measurement and says whether a role should change now.
func (b *balance) due(now time.Time, d direction) bool {
	if d != b.direction {
		b.direction, b.since = d, now
	}
	if d == balanced || now.Sub(b.since) < sustain {
		return false
	}
	return b.changedAt.IsZero() || now.Sub(b.changedAt) >= settle
}

// balanceRoles changes the role of one engine of the scope where the load calls for
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
	if !w.roles.due(now, measure(engines, loads)) {
		return
	}
	up, ok := chooseForRole(engines, loads, w.roles.direction)
	if !ok {
		return
	}
	if err := w.changeRole(ctx, up); err != nil {
		klog.InfoS("role not changed", "pool", pool.Name, "upstream", up.ID, "err", err)
		return
	}
	w.roles.changedAt = now
}

// chooseForRole returns the engine with the least work that can take the other
// role: its row states both a prefill rate and decode places.
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
		if !found || work(load) < work(loads[best.ID]) {
			best, found = up, true
		}
	}
	return best, found
}

// work orders engines by how much a change of role would disturb.
func work(load ports.Load) int {
	return load.Running*domain.TokensPerPiece + load.QueuedTokens
}

// changeRole edits the pool's row, so that keepers, operators and the audit trail
// see the change. The order to the engine follows from the row. The bounds are
// checked against the row that the edit replaces.
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
	return fmt.Errorf("pool %s is not in the pools table any more", w.scope.pool)
}

func (w *worker) editRole(ctx context.Context, row domain.VersionedRow, id domain.UpstreamID) error {
	var pool domain.Pool
	if err := json.Unmarshal(row.Value, &pool); err != nil {
		return fmt.Errorf("pool %s: %w; correct the row", row.Row, err)
	}
	if !flip(&pool, id, w.roles.direction) {
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

// flip changes an engine's role where the pool's bounds allow it, and reports
// whether it did.
func flip(pool *domain.Pool, id domain.UpstreamID, d direction) bool {
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
