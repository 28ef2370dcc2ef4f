package fairqueue

import (
	"fmt"
	"testing"

	"greengagespoke/domain"
)

func acceptAll(*Entry[int]) Verdict { return Accept }

func push(q *Queue[int], caller domain.CallerID, class domain.Class, weight, cost float64) *Entry[int] {
	e := &Entry[int]{Caller: caller, Class: class, Weight: weight, Cost: cost}
	q.Push(e)
	return e
}

func TestServiceFollowsWeights(t *testing.T) {
	q := New[int](DefaultPatientShare)
	served := map[domain.CallerID]float64{}
	for range 400 {
		push(q, "heavy", domain.ClassInteractive, 1, 2)
		push(q, "light", domain.ClassInteractive, 1, 1)
		push(q, "double", domain.ClassInteractive, 2, 1)
	}
	for range 400 {
		e := q.Serve(acceptAll)
		served[e.Caller] += e.Cost
	}
	if d := served["heavy"] - served["light"]; d < -2 || d > 2 {
		t.Errorf("equal weights received %v and %v", served["heavy"], served["light"])
	}
	if d := served["double"] - 2*served["light"]; d < -3 || d > 3 {
		t.Errorf("double weight received %v against %v", served["double"], served["light"])
	}
}

func TestPatientReceivesItsShareAndNoMore(t *testing.T) {
	q := New[int](0.2)
	for range 1000 {
		push(q, "a", domain.ClassInteractive, 1, 1)
		push(q, "b", domain.ClassPatient, 1, 1)
	}
	patient := 0
	for range 500 {
		if q.Serve(acceptAll).Class == domain.ClassPatient {
			patient++
		}
	}
	if patient < 99 || patient > 101 {
		t.Errorf("patient entries received %d of 500 at a share of 0.2", patient)
	}
}

func TestEntryThatDoesNotFitKeepsItsPosition(t *testing.T) {
	q := New[int](DefaultPatientShare)
	large := push(q, "a", domain.ClassInteractive, 1, 100)
	for range 5 {
		push(q, "b", domain.ClassInteractive, 1, 1)
	}
	acceptSmall := func(e *Entry[int]) Verdict {
		if e.Cost < 10 {
			return Accept
		}
		return NoRoom
	}
	for range 5 {
		if e := q.Serve(acceptSmall); e == nil || e.Caller != "b" {
			t.Fatalf("served %+v while the large entry does not fit", e)
		}
	}
	if large.Passed() != 5 {
		t.Errorf("large entry was passed %d times, want 5", large.Passed())
	}
	if q.Serve(acceptAll) != large {
		t.Error("the large entry was lost")
	}
}

// TestNotReadyEntryDoesNotBlockItsCaller checks that the next entry of the same
// caller is served while the first is not ready, and that the first entry keeps
// its position in the queue.
func TestNotReadyEntryDoesNotBlockItsCaller(t *testing.T) {
	q := New[int](DefaultPatientShare)
	first := push(q, "a", domain.ClassInteractive, 1, 1)
	second := push(q, "a", domain.ClassInteractive, 1, 1)
	third := push(q, "a", domain.ClassInteractive, 1, 1)
	ready := func(e *Entry[int]) Verdict {
		if e == first {
			return NotReady
		}
		return Accept
	}
	if q.Serve(ready) != second || q.Serve(acceptAll) != first || q.Serve(acceptAll) != third {
		t.Error("entries were served out of order")
	}
}

func TestIdleCallersAreForgotten(t *testing.T) {
	q := New[int](DefaultPatientShare)
	for i := range 45_000 {
		push(q, domain.CallerID(fmt.Sprint(i)), domain.ClassInteractive, 1, 1)
		if i >= 50 {
			q.Serve(acceptAll)
		}
	}
	if n := q.FlowCount(); n > 200 {
		t.Errorf("%d flows in memory with %d entries waiting, want at most 200", n, q.Len())
	}
	for q.Serve(acceptAll) != nil {
	}
	if n := q.FlowCount(); n != 0 {
		t.Errorf("%d flows in memory of an empty queue, want 0", n)
	}
}

func TestRemoveLeavesTheOthersInOrder(t *testing.T) {
	q := New[int](DefaultPatientShare)
	first := push(q, "a", domain.ClassInteractive, 1, 1)
	second := push(q, "a", domain.ClassInteractive, 1, 1)
	third := push(q, "a", domain.ClassInteractive, 1, 1)
	q.Remove(second)
	q.Remove(second)
	if q.Waiting("a") != 2 || q.Len() != 2 {
		t.Fatalf("waiting %d, length %d after a removal, want 2", q.Waiting("a"), q.Len())
	}
	if q.Serve(acceptAll) != first || q.Serve(acceptAll) != third {
		t.Error("entries of a caller were served out of order")
	}
}
