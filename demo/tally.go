package demo

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"greengagespoke/domain"
	"greengagespoke/standin/engine"
)

const (
	// Range and precision of the histograms, in microseconds.
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// completionResult is what a caller saw of one completion.
type completionResult struct {
	// times are the arrivals of the answer's parts since the request was sent.
	times  []time.Duration
	text   string
	tokens int
	err    error
}

// tally counts what the callers saw. It is safe for concurrent use.
type tally struct {
	mu            sync.Mutex
	sent          int
	answered      int
	gaveUp        int
	answeredTwice int
	lost          int
	onTarget      int
	refused       map[domain.RefusalKind]int
	first         *hdrhistogram.Histogram
	between       *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		refused: make(map[domain.RefusalKind]int),
		first:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		between: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// completion records one completion.
func (t *tally) completion(req modelRequest, r completionResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if r.err != nil {
		t.failure(r.err, req.gaveUp)
		return
	}
	t.answered++
	t.checkText(req, r)
	if t.record(req, r.times) {
		t.onTarget++
	}
}

// checkText compares an answer with the one that the engines give. A part that
// came twice counts as answered twice, a missing part as lost.
func (t *tally) checkText(req modelRequest, r completionResult) {
	want := 0
	answer := engine.AnswerTo(req.prompt)
	for n := 1; n <= r.tokens; n++ {
		want += len(answer.Token(n))
	}
	switch {
	case len(r.text) > want:
		t.answeredTwice++
	case len(r.text) < want || r.tokens == 0:
		t.lost++
	}
}

// record adds an answer's times and reports whether it met both targets.
func (t *tally) record(req modelRequest, times []time.Duration) bool {
	if len(times) == 0 {
		return false
	}
	_ = t.first.RecordValue(times[0].Microseconds())
	var sum time.Duration
	for i := 1; i < len(times); i++ {
		_ = t.between.RecordValue(max(histogramMin, (times[i] - times[i-1]).Microseconds()))
		sum += times[i] - times[i-1]
	}
	mean := sum / time.Duration(max(1, len(times)-1))
	return mean <= betweenTokens && (req.firstToken == 0 || times[0] <= req.firstToken)
}

// call records one service call.
func (t *tally) call(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if err != nil {
		t.failure(err, false)
		return
	}
	t.answered++
	t.onTarget++
}

// failure sorts a request without an answer: given up by the caller, refused,
// or lost.
func (t *tally) failure(err error, gaveUp bool) {
	if gaveUp && errors.Is(err, context.DeadlineExceeded) {
		t.gaveUp++
		return
	}
	if refusal, ok := domain.AsRefusal(err); ok && refusal.Kind != domain.RefusalInternal {
		t.refused[refusal.Kind]++
		return
	}
	t.lost++
}

// refusedTotal returns the number of refused requests.
func (t *tally) refusedTotal() int {
	n := 0
	for _, count := range t.refused {
		n += count
	}
	return n
}
