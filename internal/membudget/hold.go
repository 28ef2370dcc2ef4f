package membudget

import "sync/atomic"

// Hold is the memory that one request or message holds. Whoever keeps a reference to what is held
// retains the hold; all of it is given back when the last one releases it. The zero value and nil
// belong to no budget and get any room. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	users  atomic.Int32
	held   [uses]atomic.Int64
}

// Open makes an unused hold one of the budget, with one user.
func (b *Budget) Open(h *Hold) {
	h.budget = b
	h.users.Store(1)
}

// Take takes n bytes, and reports whether there was room.
func (h *Hold) Take(c Claim, n int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	if !h.budget.take(c, n) {
		return false
	}
	h.held[c.Use].Add(n)
	return true
}

// Limited reports whether the hold belongs to a budget with a limit.
func (h *Hold) Limited() bool { return h != nil && h.budget != nil && h.budget.Limited() }

// Refused counts a claim that was given up for lack of room.
func (h *Hold) Refused(use Use) {
	if h != nil && h.budget != nil {
		h.budget.refused[use].Add(1)
	}
}

// Give gives n bytes back.
func (h *Hold) Give(use Use, n int64) {
	if h == nil || h.budget == nil || n == 0 {
		return
	}
	h.held[use].Add(-n)
	h.budget.add(use, -n)
}

// Retain adds a user.
func (h *Hold) Retain() {
	if h != nil && h.budget != nil {
		h.users.Add(1)
	}
}

// Release removes a user. The last one gives back all that is held.
func (h *Hold) Release() {
	if h == nil || h.budget == nil || h.users.Add(-1) > 0 {
		return
	}
	for use := range uses {
		n := h.held[use].Load()
		h.discard(n)
		h.Give(use, n)
	}
}

// discard counts a buffer that is no longer used.
func (h *Hold) discard(n int64) {
	if h != nil && h.budget != nil {
		h.budget.discard(n)
	}
}

func (h *Hold) cost(n int64) int64 {
	if h == nil || h.budget == nil {
		return n
	}
	return h.budget.cost(n)
}
