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
	var all map[string]summary
	if err := json.Unmarshal([]byte(set.String()), &all); err != nil {
		t.Fatal(err)
	}
	got := all["times"]
	if got.Count != 101 || got.P50 < 49 || got.P50 > 53 || got.Max < 59000 {
		t.Fatalf("summary %+v", got)
	}
	if set.Histogram(Def{Name: "times"}) != h {
		t.Fatal("a second histogram of the same name")
	}
}
