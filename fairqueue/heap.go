package fairqueue

// flowHeap is a binary min-heap of flows, ordered by key and then by sequence
// number. A flow is in at most one heap at a time and stores its index there, so
// that it can be moved or removed in O(log n).
type flowHeap[T any] struct {
	flows []*flow[T]
}

func (h *flowHeap[T]) len() int { return len(h.flows) }

func (h *flowHeap[T]) min() *flow[T] {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

func (h *flowHeap[T]) push(f *flow[T]) {
	f.index = len(h.flows)
	h.flows = append(h.flows, f)
	h.up(f.index)
}

func (h *flowHeap[T]) remove(f *flow[T]) {
	last := len(h.flows) - 1
	i := f.index
	h.swap(i, last)
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.index = -1
	if i < last {
		h.fix(i)
	}
}

func (h *flowHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *flowHeap[T]) less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (h *flowHeap[T]) swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index = i
	h.flows[j].index = j
}

func (h *flowHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *flowHeap[T]) down(start int) bool {
	i := start
	for {
		child := 2*i + 1
		if child >= len(h.flows) {
			break
		}
		if right := child + 1; right < len(h.flows) && h.less(right, child) {
			child = right
		}
		if !h.less(child, i) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
