package dispatch

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const (
	// defaultTokenTime is the time that a stream is assumed to take for each output token that its
	// caller expects, before the host has served streams of the service.
	defaultTokenTime = 5 * time.Millisecond
	// streamTimeMargin is the factor by which the expected time of a stream may fall short, as
	// callers' estimates of the output do.
	streamTimeMargin = 1.5
	// newestTokenTimeWeight is the weight of the newest stream in the average.
	newestTokenTimeWeight = 0.1
)

// pace learns how long the streams of each service take for an output token that callers expect.
// It is safe for concurrent use.
type pace struct {
	mu        sync.Mutex
	tokenTime map[traffic.ServiceName]time.Duration
}

func newPace() *pace { return &pace{tokenTime: make(map[traffic.ServiceName]time.Duration)} }

// weight is what the time of a stream is taken to grow with, in tokens.
func (p *pace) weight(req *traffic.Request) time.Duration {
	return time.Duration(expectedOutput(req) + outputHeadroomTokens)
}

// record records a stream that took some time from the reservation of its slot.
func (p *pace) record(f *inFlight, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := took / p.weight(f.req)
	average, known := p.tokenTime[f.service]
	if !known {
		average = newest
	}
	p.tokenTime[f.service] = average + time.Duration(newestTokenTimeWeight*float64(newest-average))
}

// expected returns how long a stream is expected to take at most.
func (p *pace) expected(f *inFlight) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokenTime, known := p.tokenTime[f.service]
	if !known {
		tokenTime = defaultTokenTime
	}
	return time.Duration(streamTimeMargin * float64(p.weight(f.req)*tokenTime))
}

// Stop is the state of a planned stop.
type Stop struct {
	// Left is the time until the host ends the requests in flight.
	Left time.Duration
	// NoStreams says that the host begins no further streams.
	NoStreams bool
}

// EndRequests ends the requests that are still in flight when the host must end: each gets its final
// answer at once, or its stream is broken off.
func (g *Gate) EndRequests() { g.endAll() }

// stopsTooSoon returns the refusal of a request that has not begun and is not expected to end
// before this host does, or nil. admitted says that the request was taken already, and waits. The
// load that it answers: a rolling stop, while callers still come to the host with streams of several
// seconds, or with calls to a service that is slow.
func (g *Gate) stopsTooSoon(f *inFlight, admitted bool) *domain.Refusal {
	begun := f.slotNeededSince.After(f.req.Arrived)
	if begun || g.cfg.Stopping == nil {
		return nil
	}
	stop, stopping := g.cfg.Stopping()
	if !stopping {
		return nil
	}
	var expected time.Duration
	if f.isGeneration() {
		expected = g.pace.expected(f)
	} else {
		expected, stop.NoStreams = g.expectedCall(f.service), false
	}
	if expected <= stop.Left && (admitted || !stop.NoStreams) {
		return nil
	}
	klog.InfoS("request not begun before the stop", "request", f.req.ID, "left", stop.Left, "expected", expected, "admitted", admitted)
	return leavingRefusal()
}

// expectedCall returns how long a call to a plain service is expected to take at most: the mean time
// of the upstream that answers soonest, and a margin.
func (g *Gate) expectedCall(service traffic.ServiceName) time.Duration {
	now := time.Now()
	least := time.Duration(-1)
	for _, up := range g.cfg.Catalog.Ready(service) {
		if mean := g.stats.forUpstream(up).health(now).meanLatency; least < 0 || mean < least {
			least = mean
		}
	}
	return time.Duration(streamTimeMargin * float64(max(0, least)))
}

// endingRefusal is the refusal of a request that is in flight when the host ends.
func endingRefusal(ran domain.Ran) *domain.Refusal {
	refusal := leavingRefusal().WithRan(ran)
	if ran != domain.RanNo {
		refusal.Remedy = "check whether the request took effect before sending it again"
	}
	return refusal
}

// leavingRefusal is the refusal of a host that is stopping.
func leavingRefusal() *domain.Refusal {
	return domain.Refuse(domain.RefusalLeaving, "this host is stopping",
		"ask for the addresses again and use another one").WithRetryAfter(leavingRetryAfter)
}
