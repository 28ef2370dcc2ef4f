package claims

import (
	"crypto/sha256"
	"flag"
	"testing"
	"testing/synctest"
)

// The explorer drives the real claim code through every interleaving of the
// steps of a few sendings of one call, with every placement of a bounded number
// of faults. A step is one call of the store, one send to the upstream or one
// pause. It replays the code from the start for each path and leaves out states
// that it has seen: the stored rows, the writes on their way, and all that each
// sending has observed.

// explorer walks all runs.
type explorer struct {
	t        *testing.T
	sendings []sending
	faults   int
	seen     map[[sha256.Size]byte]bool
	runs     int
	answered int
}

func (e *explorer) walk() {
	stack := [][]int{nil}
	for len(stack) > 0 {
		prefix := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		stack = append(stack, e.run(prefix)...)
		if e.t.Failed() {
			return
		}
	}
}

// run replays a path, goes on to its end, and returns the paths that branch off.
func (e *explorer) run(path []int) [][]int {
	e.runs++
	w := newWorld(e.sendings, 2, e.faults)
	defer w.stop()
	var branches [][]int
	for depth := 0; ; depth++ {
		synctest.Wait()
		if err := w.check(); err != nil {
			e.t.Errorf("%v\nsendings %v\nsteps %v", err, e.sendings, w.trace)
			return nil
		}
		moves := w.allowed()
		if len(moves) == 0 {
			e.count(w)
			return branches
		}
		choice := 0
		if depth < len(path) {
			choice = path[depth]
		} else {
			key := w.key()
			if e.seen[key] {
				return branches
			}
			e.seen[key] = true
			for other := 1; other < len(moves); other++ {
				branches = append(branches, append(path[:depth:depth], other))
			}
			path = append(path[:depth:depth], 0)
		}
		w.take(moves[choice])
	}
}

func (w *world) allowed() []move {
	moves := w.moves()
	if w.faults > 0 {
		return moves
	}
	out := moves[:0]
	for _, m := range moves {
		if !m.fault {
			out = append(out, m)
		}
	}
	return out
}

func (w *world) take(m move) {
	if m.fault {
		w.faults--
	}
	w.trace = append(w.trace, m)
	m.do()
}

func (e *explorer) count(w *world) {
	for _, a := range w.actors {
		if a.done && a.err == nil {
			e.answered++
		}
	}
}

// stop ends all sendings of the run.
func (w *world) stop() {
	for host := range w.crashed {
		w.crash(host)
	}
	synctest.Wait()
}

// exploreFaults is the number of faults per run for three sendings. With 2 the
// exploration takes minutes.
var exploreFaults = flag.Int("explore.faults", 1, "faults per run where three sendings are explored")

// TestAtMostOnceInEveryInterleaving explores a first sending and two resends
// through two hosts.
func TestAtMostOnceInEveryInterleaving(t *testing.T) {
	for _, c := range []struct {
		name     string
		sendings []sending
		faults   int
	}{
		{"one resend, two faults", []sending{{0, 1}, {1, 2}}, 2},
		{"unmarked resend, two faults", []sending{{0, 1}, {1, 1}}, 2},
		{"resend at the same host, two faults", []sending{{0, 1}, {0, 2}}, 2},
		{"two resends", []sending{{0, 1}, {1, 2}, {0, 3}}, *exploreFaults},
		{"two resends at the other host", []sending{{0, 1}, {1, 2}, {1, 3}}, *exploreFaults},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				e := &explorer{t: t, sendings: c.sendings, faults: c.faults, seen: make(map[[sha256.Size]byte]bool)}
				e.walk()
				t.Logf("%d runs, %d states, %d responses", e.runs, len(e.seen), e.answered)
				if e.answered == 0 {
					t.Error("no run ended with a response; the explorer does not reach the end")
				}
			})
		})
	}
}
