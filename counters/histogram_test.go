package counters

import (
	"encoding/json"
	"testing"
	"time"
)

func TestHistogramShowsQuantiles(t *testing.T) {
	set := NewSet()
	h := set.Histogram(Def{Name: "times"})
	for i := range 100 {
		h.Record(time.Duration(i+1) * time.Millisecond)
	}
	h.Record(time.Hour)
	var histograms map[string]summary
	if err := json.Unmarshal([]byte(set.String()), &histograms); err != nil {
		t.Fatal(err)
	}
	got := histograms["times"]
	if got.Count != 101 || got.P50 < 49 || got.P50 > 53 || got.Max < 59000 {
		t.Fatalf("summary %+v, want count 101, p50 of 49 to 53 ms and max of at least 59000 ms", got)
	}
	if set.Histogram(Def{Name: "times"}) != h {
		t.Fatal("Histogram returned another histogram for the same name")
	}
}
