package window

import (
	"testing"
	"time"
)

func TestBusiest(t *testing.T) {
	start := time.Unix(1000, 0)
	var events []time.Time
	for _, second := range []int{0, 0, 0, 0, 10, 12, 13, 14, 20} {
		events = append(events, start.Add(time.Duration(second)*time.Second))
	}
	for from, want := range map[int]int{0: 4, 1: 3, 13: 2, 21: 0} {
		if got := Busiest(events, 4*time.Second, start.Add(time.Duration(from)*time.Second)); got != want {
			t.Errorf("%d events from second %d on, want %d", got, from, want)
		}
	}
}
