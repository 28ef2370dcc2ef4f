package replay

import (
	"sort"
	"sync"
	"time"

	"greengagespoke/domain"
)

const (
	// fairnessInterval is the length of the intervals in which service is
	// compared between callers.
	fairnessInterval = 10 * time.Second
	// backlogAfter is how long a request waits until its caller counts as
	// backlogged; shorter times are the ordinary time to a first token.
	backlogAfter = time.Second
)

// serviceMeter counts the tokens that callers received in each interval.
type serviceMeter struct {
	mu     sync.Mutex
	tokens map[domain.CallerID]map[int]int
}

func newServiceMeter() *serviceMeter {
	return &serviceMeter{tokens: make(map[domain.CallerID]map[int]int)}
}

func (m *serviceMeter) add(caller domain.CallerID, at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byInterval, ok := m.tokens[caller]
	if !ok {
		byInterval = make(map[int]int)
		m.tokens[caller] = byInterval
	}
	byInterval[int(at/fairnessInterval)]++
}

func (m *serviceMeter) in(caller domain.CallerID, interval int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tokens[caller][interval]
}

// span is a time during which a caller had a waiting request.
type span struct {
	from, to time.Duration
}

// backlog returns the merged spans in which a caller had a request that waited
// for its first token.
func backlog(calls []*call, start time.Time) map[domain.CallerID][]span {
	out := make(map[domain.CallerID][]span)
	for _, c := range calls {
		from := c.sent.Sub(start) + backlogAfter
		to := c.ended.Sub(start)
		if !c.first.IsZero() {
			to = c.first.Sub(start)
		}
		if to > from {
			out[c.arrival.Caller] = append(out[c.arrival.Caller], span{from: from, to: to})
		}
	}
	for caller, spans := range out {
		out[caller] = merge(spans)
	}
	return out
}

func merge(spans []span) []span {
	sort.Slice(spans, func(i, j int) bool { return spans[i].from < spans[j].from })
	var out []span
	for _, s := range spans {
		if n := len(out); n > 0 && s.from <= out[n-1].to {
			out[n-1].to = max(out[n-1].to, s.to)
			continue
		}
		out = append(out, s)
	}
	return out
}

func covers(spans []span, from, to time.Duration) bool {
	for _, s := range spans {
		if s.from <= from && s.to >= to {
			return true
		}
	}
	return false
}

// fairness returns the mean of Jain's index (Jain, Chiu and Hawe, 1984) of the
// weighted service among callers that were backlogged through a whole interval,
// and the number of intervals with at least two such callers.
func fairness(r *run, calls []*call) (index float64, intervals int) {
	t := r.env.Trace
	waiting := backlog(calls, r.env.Start)
	sum := 0.0
	for at := roundUp(t.MeasureFrom.D(), fairnessInterval); at+fairnessInterval <= t.Duration.D(); at += fairnessInterval {
		var service []float64
		for caller, spans := range waiting {
			if covers(spans, at, at+fairnessInterval) {
				tokens := r.service.in(caller, int(at/fairnessInterval))
				service = append(service, float64(tokens)/callerWeight(t, caller))
			}
		}
		if len(service) >= 2 {
			sort.Float64s(service)
			sum += jain(service)
			intervals++
		}
	}
	if intervals == 0 {
		return 1, 0
	}
	return sum / float64(intervals), intervals
}

// callerWeight returns the caller's weight on the first route that names it.
func callerWeight(t *Trace, caller domain.CallerID) float64 {
	for _, r := range t.Routes {
		if w, ok := r.Weights[caller]; ok && w > 0 {
			return w
		}
	}
	return 1
}

func roundUp(d, unit time.Duration) time.Duration {
	return (d + unit - 1) / unit * unit
}

func jain(x []float64) float64 {
	var sum, squares float64
	for _, v := range x {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(x)) * squares)
}
