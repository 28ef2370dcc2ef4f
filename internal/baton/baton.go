// Package baton lets goroutines do one after the other what waits for other processes.
package baton

import "sync"

// Baton is held by one goroutine at a time, in the order in which they asked. Unlike a mutex, it may
// be held while its holder waits: in the virtual time of testing/synctest, goroutines that wait for
// a mutex keep the clock from going on. Its zero value is free.
type Baton struct {
	mu      sync.Mutex
	taken   bool
	waiting []chan struct{}
}

// Take waits until it is the caller's turn.
func (b *Baton) Take() {
	b.mu.Lock()
	if !b.taken {
		b.taken = true
		b.mu.Unlock()
		return
	}
	mine := make(chan struct{})
	b.waiting = append(b.waiting, mine)
	b.mu.Unlock()
	<-mine
}

// Give ends the caller's turn.
func (b *Baton) Give() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.taken = false
		return
	}
	close(b.waiting[0])
	b.waiting = b.waiting[1:]
}
