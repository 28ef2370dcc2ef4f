package claims

import (
	"crypto/sha256"
	"flag"
	"testing"
	"testing/synctest"
)

// The explorer is a model checker that drives the real claim code through every
// interleaving of the steps of a few attempts at one call, with every placement
// of a bounded number of faults. A step is one call to the store, one send to the
// upstream or one backoff. The explorer replays the code from the start for each
// path and skips states that it has already visited. A state consists of the
// stored rows, the delayed writes and everything that each attempt has observed.

// explorer explores all runs by depth-first search.
type explorer struct {
	t        *testing.T
	attempts []callAttempt
	faults   int
	visited  map[[sha256.Size]byte]bool
	runs     int
	answered int
}

func (e *explorer) explore() {
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

// run replays a path, continues it to its end or to a state already visited, and
// returns the paths that branch off.
func (e *explorer) run(path []int) [][]int {
	e.runs++
	s := newSimulation(e.attempts, 2, e.faults)
	defer s.stop()
	var branches [][]int
	for depth := 0; ; depth++ {
		synctest.Wait()
		if err := s.checkInvariants(); err != nil {
			e.t.Errorf("%v\nattempts %v\nsteps %v", err, e.attempts, s.trace)
			return nil
		}
		transitions := s.enabledTransitions()
		if len(transitions) == 0 {
			e.count(s)
			return branches
		}
		choice := 0
		if depth < len(path) {
			choice = path[depth]
		} else {
			key := s.stateKey()
			if e.visited[key] {
				return branches
			}
			e.visited[key] = true
			for other := 1; other < len(transitions); other++ {
				branches = append(branches, append(path[:depth:depth], other))
			}
			path = append(path[:depth:depth], 0)
		}
		s.perform(transitions[choice])
	}
}

func (s *simulation) enabledTransitions() []transition {
	transitions := s.transitions()
	if s.faults > 0 {
		return transitions
	}
	out := transitions[:0]
	for _, m := range transitions {
		if !m.fault {
			out = append(out, m)
		}
	}
	return out
}

func (s *simulation) perform(m transition) {
	if m.fault {
		s.faults--
	}
	s.trace = append(s.trace, m)
	m.do()
}

func (e *explorer) count(s *simulation) {
	for _, a := range s.actors {
		if a.done && a.err == nil {
			e.answered++
		}
	}
}

// stop crashes all hosts so that every attempt of the run ends.
func (s *simulation) stop() {
	for host := range s.crashed {
		s.crash(host)
	}
	synctest.Wait()
}

// exploreFaults is the number of faults per run for three attempts. With 2 the
// exploration takes minutes.
var exploreFaults = flag.Int("explore.faults", 1, "faults per run with three attempts")

// TestAtMostOnceInEveryInterleaving explores a first attempt and up to two resends
// through two hosts, and checks that the call is executed at most once and that no
// attempt gets a wrong answer.
func TestAtMostOnceInEveryInterleaving(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts []callAttempt
		faults   int
	}{
		{"one resend, two faults", []callAttempt{{0, 1}, {1, 2}}, 2},
		{"unmarked resend, two faults", []callAttempt{{0, 1}, {1, 1}}, 2},
		{"resend at the same host, two faults", []callAttempt{{0, 1}, {0, 2}}, 2},
		{"two resends", []callAttempt{{0, 1}, {1, 2}, {0, 3}}, *exploreFaults},
		{"two resends at the other host", []callAttempt{{0, 1}, {1, 2}, {1, 3}}, *exploreFaults},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				e := &explorer{t: t, attempts: c.attempts, faults: c.faults, visited: make(map[[sha256.Size]byte]bool)}
				e.explore()
				t.Logf("%d runs, %d states, %d responses", e.runs, len(e.visited), e.answered)
				if e.answered == 0 {
					t.Error("no run ended with a response: the explorer does not reach completed calls")
				}
			})
		})
	}
}
