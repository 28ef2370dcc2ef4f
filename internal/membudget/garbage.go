package membudget

import "runtime"

// maxGarbage returns the garbage beyond which a collection is begun.
func (b *Budget) maxGarbage() int64 { return b.Total() / garbageParts }

// discard counts buffers that are no longer held. They take memory until they are collected, so claims
// that are not small find less room meanwhile. A collection begins in the background when there is
// much garbage.
func (b *Budget) discard(n int64) {
	if n < minGarbage || !b.Limited() {
		return
	}
	if b.garbage.Add(n) > b.maxGarbage() && b.collecting.CompareAndSwap(false, true) {
		go b.collect()
	}
}

func (b *Budget) collect() {
	defer b.collecting.Store(false)
	for b.garbage.Load() > b.maxGarbage() {
		n := b.garbage.Load()
		runtime.GC()
		b.garbage.Add(-n)
	}
}
