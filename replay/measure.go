package replay

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"time"

	"greengagespoke/domain"
)

// Result is what the callers and stand-ins counted in one run.
type Result struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	Measures
	// Fairness is the mean of Jain's index over FairnessIntervals intervals.
	Fairness          float64 `json:"fairness"`
	FairnessIntervals int     `json:"fairness_intervals"`
	// SlotsBusy is the mean part of the decode slots in use.
	SlotsBusy float64 `json:"slots_busy"`
	// PrefillBusy is the mean part of the time that prefill upstreams computed.
	PrefillBusy float64 `json:"prefill_busy"`
	Crashes     int     `json:"crashes"`
	// InnocentsRefused counts refused requests that were not poisoned.
	InnocentsRefused int                          `json:"innocents_refused"`
	Callers          map[domain.CallerID]Measures `json:"callers"`
	// Problems describes the requests that were answered twice or wrongly, lost,
	// or left in memory.
	Problems []string `json:"-"`
	// Counters are the hosts' own counters, to explain the result.
	Counters map[string]int64 `json:"-"`
}

// Measures are the figures of a set of requests.
type Measures struct {
	// Goodput is the answers per second that met both latency targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the part of the computed prompt tokens that no answer
	// used; WastedCallerLeft is the part whose caller left after the prefill began.
	WastedPrefill    float64 `json:"wasted_prefill"`
	WastedCallerLeft float64 `json:"wasted_prefill_caller_left"`
	TTFTp95          float64 `json:"ttft_p95_ms"`
	TBTp95           float64 `json:"tbt_p95_ms"`
	Sent             int     `json:"sent"`
	Answered         int     `json:"answered"`
	Good             int     `json:"good"`
	Left             int     `json:"left"`
	// Refused counts refusals by kind.
	Refused       map[domain.RefusalKind]int `json:"refused,omitempty"`
	AnsweredTwice int                        `json:"answered_twice"`
	Doubled       int                        `json:"doubled"`
	Lost          int                        `json:"lost"`
	// Untruthful counts refusals that said "ran: no" of a request that ran.
	Untruthful int `json:"untruthful"`
	MemoryLeft int `json:"memory_left"`
}

// JSON returns the result as one line.
func (r Result) JSON() string {
	data, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func measure(r *run, calls []*call) Result {
	t := r.env.Trace
	result := Result{
		Trace:    t.Name,
		Seed:     t.Seed,
		Measures: r.measures(calls, func(domain.CallerID) bool { return true }),
		Callers:  make(map[domain.CallerID]Measures),
	}
	result.Fairness, result.FairnessIntervals = fairness(r, calls)
	result.Fairness = round(result.Fairness)
	if r.slots.total > 0 {
		result.SlotsBusy = round(float64(r.slots.used) / float64(r.slots.total))
	}
	result.PrefillBusy = round(prefillBusy(r))
	for _, e := range r.env.Fabric.Engines() {
		result.Crashes += e.Counts().Crashes
	}
	byCaller := make(map[domain.CallerID][]*call)
	for _, c := range calls {
		byCaller[c.arrival.Caller] = append(byCaller[c.arrival.Caller], c)
		if c.refused() && !c.arrival.Poison {
			result.InnocentsRefused++
		}
		if problem := c.problem(); problem != "" {
			result.Problems = append(result.Problems, problem)
		}
	}
	for caller, own := range byCaller {
		result.Callers[caller] = r.measures(own, func(id domain.CallerID) bool { return id == caller })
	}
	return result
}

// prefillBusy estimates the part of the arrivals' time that the prefill upstreams
// needed for the tokens that they computed.
func prefillBusy(r *run) float64 {
	var busy, total float64
	for _, e := range r.env.Fabric.Engines() {
		up := e.Upstream()
		if up.Role != domain.RolePrefill {
			continue
		}
		busy += float64(e.Counts().PrefillTokens) / float64(up.PrefillRate)
		total += r.env.Trace.Duration.D().Seconds()
	}
	return busy / max(total, 1)
}

// measures works out the figures of some calls.
func (r *run) measures(calls []*call, match func(domain.CallerID) bool) Measures {
	m := Measures{Sent: len(calls), Refused: make(map[domain.RefusalKind]int)}
	var firsts, gaps []time.Duration
	inWindow := 0
	for _, c := range calls {
		m.count(c)
		if !c.first.IsZero() {
			firsts = append(firsts, c.first.Sub(c.sent))
		}
		gaps = append(gaps, c.gaps...)
		if c.good() {
			m.Good++
			if r.inWindow(c.last) {
				inWindow++
			}
		}
	}
	m.Goodput = round(float64(inWindow) / r.env.Trace.window().Seconds())
	m.TTFTp95 = milliseconds(percentile(firsts, 95))
	m.TBTp95 = milliseconds(percentile(gaps, 95))
	totals := r.env.Fabric.Ledger().PrefillsOf(func(key domain.RequestKey) bool { return match(key.Caller) })
	if totals.Computed > 0 {
		m.WastedPrefill = round(float64(totals.Wasted) / float64(totals.Computed))
		m.WastedCallerLeft = round(float64(totals.WastedCallerLeft) / float64(totals.Computed))
	}
	return m
}

func (m *Measures) count(c *call) {
	switch {
	case c.whole:
		m.Answered++
	case c.left:
		m.Left++
	case c.refused():
		m.Refused[c.refusal.Kind]++
	default:
		m.Lost++
	}
	if c.repeated > 0 || c.wrong > 0 {
		m.AnsweredTwice++
	}
	if c.memory {
		m.MemoryLeft++
	}
	if c.untruthful() {
		m.Untruthful++
	}
}

// problem describes what went wrong with a request, or returns nothing.
func (c *call) problem() string {
	lost := !c.whole && !c.left && !c.refused()
	if !lost && c.repeated+c.wrong == 0 && !c.memory && !c.untruthful() {
		return ""
	}
	return fmt.Sprintf("%v sent at %v ended at %v: whole %v, left %v, refusal %v, %d tokens, %d repeated, %d wrong, memory left %v",
		c.key(), c.sent.Sub(c.run.env.Start), c.ended.Sub(c.run.env.Start), c.whole, c.left, c.refusal, c.tokens, c.repeated, c.wrong, c.memory)
}

// inWindow says whether a time lies in the measured part of the run.
func (r *run) inWindow(at time.Time) bool {
	since := at.Sub(r.env.Start)
	return since >= r.env.Trace.MeasureFrom.D() && since < r.env.Trace.Duration.D()
}

// admissionRefusals are the refusals that a patient request may receive: those
// given when it was sent, or because it crashes upstreams.
var admissionRefusals = map[domain.RefusalKind]bool{
	domain.RefusalQueueFull:   true,
	domain.RefusalTooLarge:    true,
	domain.RefusalQuarantined: true,
	domain.RefusalLeaving:     true,
}

// latencyRefusals are the refusals that an interactive request may receive
// besides, because its first token would come too late.
var latencyRefusals = map[domain.RefusalKind]bool{
	domain.RefusalLate:       true,
	domain.RefusalOverloaded: true,
	domain.RefusalNoUpstream: true,
}

// refused says whether the request ended with a refusal that its class allows,
// before any of its answer was delivered. All other ends without an answer are
// losses: a failure, a broken connection, or a patient request that is dropped
// after it was admitted.
func (c *call) refused() bool {
	if c.whole || c.left || c.refusal == nil || c.tokens > 0 {
		return false
	}
	if admissionRefusals[c.refusal.Kind] {
		return true
	}
	return c.route.Class == domain.ClassInteractive && latencyRefusals[c.refusal.Kind]
}

// untruthful says whether the caller was told that the request did not run while
// an engine had begun to work on it.
func (c *call) untruthful() bool {
	return c.refused() && c.refusal.Ran == domain.RanNo && c.run.env.Fabric.Ledger().Began(c.key())
}

// good says whether the answer was whole and met both latency targets of its
// route. The target between tokens is met when 95 in 100 gaps and their mean are
// within it. A route without a target has none to meet.
func (c *call) good() bool {
	if !c.whole || c.wrong > 0 || c.repeated > 0 {
		return false
	}
	if target := c.route.FirstToken.D(); target > 0 && c.first.Sub(c.sent) > target {
		return false
	}
	target := c.route.BetweenTokens.D()
	if target <= 0 || len(c.gaps) == 0 {
		return true
	}
	mean := c.last.Sub(c.first) / time.Duration(len(c.gaps))
	return mean <= target && percentile(c.gaps, 95) <= target
}

// percentile returns the nearest-rank percentile. It does not change the slice.
func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	rank := int(math.Ceil(p / percent * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}

func milliseconds(d time.Duration) float64 {
	return round(float64(d) / float64(time.Millisecond))
}

// round keeps four digits after the point.
func round(x float64) float64 {
	return math.Round(x*1e4) / 1e4
}
