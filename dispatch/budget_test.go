package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any window, the retries of all hosts together must stay within the shared
// budget under any load, as long as each host counts all hosts.
func TestRetriesStayWithinTheBudgetInEveryWindow(t *testing.T) {
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
					b.RecordRequest("s", start.Add(at))
					log = append(log, event{at, false})
				}
				for range tries {
					if b.TakeRetry("s", start.Add(at)) {
						log = append(log, event{at, true})
					}
				}
			}
		}
		for from := time.Duration(0); from < 40*time.Second; from += 500 * time.Millisecond {
			requests, retries := 0, 0
			for _, e := range log {
				switch {
				case e.at < from || e.at >= from+limits.Window:
				case e.repeat:
					retries++
				default:
					requests++
				}
			}
			priorRetries := 0
			for _, e := range log {
				if !e.repeat && e.at >= from-limits.Window && e.at < from {
					priorRetries++
				}
			}
			allowed := limits.Ratio*float64(max(requests, priorRetries)) + limits.Extra
			if float64(retries) > allowed {
				t.Fatalf("%d retries in the window from %s, allowed %.1f", retries, from, allowed)
			}
		}
	})
}

func TestBudgetAllowsNothingBeforeItIsSet(t *testing.T) {
	if NewBudget(func() int { return 1 }).TakeRetry("s", time.Now()) {
		t.Fatal("a retry was allowed without limits")
	}
}
