package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any window all hosts together stay within the shared budget, whatever the
// load and its shape, as long as each counts all hosts.
func TestBudgetIsKeptInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 5
		limits := BudgetLimits{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = NewBudget(func() int { return hosts })
			budgets[i].Set(limits)
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var log []event
		start := time.Unix(1000, 0)
		for at := time.Duration(0); at < 40*time.Second; at += 500 * time.Millisecond {
			requests := rapid.IntRange(0, 6).Draw(t, "requests")
			tries := rapid.IntRange(0, 12).Draw(t, "tries")
			for _, b := range budgets {
				for range requests {
					b.Request("s", start.Add(at))
					log = append(log, event{at, false})
				}
				for range tries {
					if b.Take("s", start.Add(at)) {
						log = append(log, event{at, true})
					}
				}
			}
		}
		for from := time.Duration(0); from < 40*time.Second; from += 500 * time.Millisecond {
			requests, repeats := 0, 0
			for _, e := range log {
				switch {
				case e.at < from || e.at >= from+limits.Window:
				case e.repeat:
					repeats++
				default:
					requests++
				}
			}
			before := 0
			for _, e := range log {
				if !e.repeat && e.at >= from-limits.Window && e.at < from {
					before++
				}
			}
			allowed := limits.Ratio*float64(max(requests, before)) + limits.Extra
			if float64(repeats) > allowed {
				t.Fatalf("%d repeats in the window from %s, allowed %.1f", repeats, from, allowed)
			}
		}
	})
}

func TestBudgetAllowsNothingBeforeItIsSet(t *testing.T) {
	if NewBudget(func() int { return 1 }).Take("s", time.Now()) {
		t.Fatal("a repeat was allowed without limits")
	}
}
