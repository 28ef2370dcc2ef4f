package counters

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordableMicros is the largest duration that a histogram distinguishes,
	// one minute.
	maxRecordableMicros = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of recorded durations in decimal digits.
	significantDigits = 2
)

// Histogram records the distribution of durations. It implements expvar.Var and is
// safe for concurrent use.
type Histogram struct {
	mu       sync.Mutex
	recorded *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{recorded: hdrhistogram.New(1, maxRecordableMicros, significantDigits)}
}

// Record adds a duration. Durations over one minute are recorded as one minute.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = h.recorded.RecordValue(min(max(d.Microseconds(), 1), maxRecordableMicros))
}

// summary is the JSON form of a histogram. Durations are in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String returns the count, mean, maximum and quantiles as a JSON object.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	const microsPerMilli = 1000
	percentileMillis := func(percentile float64) float64 {
		return float64(h.recorded.ValueAtQuantile(percentile)) / microsPerMilli
	}
	text, err := json.Marshal(summary{
		Count: h.recorded.TotalCount(), Mean: h.recorded.Mean() / microsPerMilli,
		P50: percentileMillis(50), P90: percentileMillis(90), P99: percentileMillis(99), Max: float64(h.recorded.Max()) / microsPerMilli,
	})
	if err != nil {
		return `{"error":"the histogram could not be encoded"}`
	}
	return string(text)
}

// Histogram returns the histogram for a definition and creates it on first use.
// Callers should keep the result, because each lookup takes a lock.
func (s *Set) Histogram(def Def) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.vars.Get(def.Name).(*Histogram); ok {
		return h
	}
	h := newHistogram()
	s.vars.Set(def.Name, h)
	return h
}
