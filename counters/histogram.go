package counters

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestMicros is the largest time that a histogram tells apart, one minute.
	longestMicros = int64(time.Minute / time.Microsecond)
	// digits is the number of significant digits of a recorded time.
	digits = 2
)

// Histogram counts times. It implements expvar.Var and is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{times: hdrhistogram.New(1, longestMicros, digits)}
}

// Record counts a time. Those over a minute count as one.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Times within the bounds are always taken.
	_ = h.times.RecordValue(min(max(d.Microseconds(), 1), longestMicros))
}

// summary is what a histogram shows, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String returns count, mean and quantiles as a JSON object.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	const perMilli = 1000
	at := func(q float64) float64 { return float64(h.times.ValueAtQuantile(q)) / perMilli }
	text, err := json.Marshal(summary{
		Count: h.times.TotalCount(), Mean: h.times.Mean() / perMilli,
		P50: at(50), P90: at(90), P99: at(99), Max: float64(h.times.Max()) / perMilli,
	})
	if err != nil {
		return `{"error":"the histogram could not be encoded"}`
	}
	return string(text)
}

// Histogram returns the set's histogram for a definition and creates it on first
// use. Callers keep the result, as the lookup takes a lock.
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
