package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"greengagespoke/traffic"
)

// The load that this answers: decode engines of different speed, which slow down for moments. A host
// has few streams of its own, so that engines without one of them look alike to it and get equal
// shares, whatever their speed. An average over several streams lets slow moments pass.

const (
	// maxSpeedStreams bounds the streams of an engine that its averages are taken over.
	maxSpeedStreams = 20
	// newestSpreadWeight is the weight of the newest stream in the spread of a service.
	newestSpreadWeight = 0.02
	// maxBlockedShare is the share of a stream's time that its caller may block it for the stream
	// to say something about the engine.
	maxBlockedShare = 0.1
	// minSpeedEvents is the number of events from which the time of a stream counts.
	minSpeedEvents = 8
)

// average is a mean of the last streams of one engine.
type average struct {
	streams float64
	mean    float64
}

// add adds a value, and returns the square of its deviation relative to the mean, or -1 if it is the
// first one.
func (a *average) add(value float64) float64 {
	deviation := -1.0
	if a.streams > 0 && a.mean > 0 {
		relative := value/a.mean - 1
		// The mean of n streams deviates too.
		deviation = relative * relative * a.streams / (a.streams + 1)
	}
	a.streams = min(maxSpeedStreams, a.streams+1)
	a.mean += (value - a.mean) / a.streams
	return deviation
}

// spread is the variance of one stream's value around the mean of its engine, relative to the mean.
type spread struct {
	mu       sync.Mutex
	variance float64
}

// streamPace measures the events of one stream, and the time for which its caller blocked it.
type streamPace struct {
	events  int
	last    time.Time
	blocked time.Duration
}

// arrived records an event, delivered that its caller got it.
func (p *streamPace) arrived(now time.Time) { p.events, p.last = p.events+1, now }

func (p *streamPace) delivered(now time.Time) { p.blocked, p.last = p.blocked+now.Sub(p.last), now }

// recordSpeed records the times of a stream that was called at calledAt. It does not count if its
// caller was slow, or if the engine read the prompt itself.
func (g *Gate) recordSpeed(n *generation, p *streamPace, calledAt time.Time) {
	if p.events < minSpeedEvents {
		return
	}
	elapsed := p.last.Sub(calledAt)
	if !n.fetched || elapsed <= 0 || float64(p.blocked) > maxBlockedShare*float64(elapsed) {
		return
	}
	s := g.spreadOf(n.service)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := g.stats.forUpstream(n.lastEngine)
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&s.variance, t.eventTime.add(elapsed.Seconds()/float64(p.events)))
}

// update adds the square of a deviation to a variance. It starts with that of the first one.
func update(variance *float64, deviation float64) {
	switch {
	case deviation < 0:
	case *variance == 0:
		*variance = deviation
	default:
		*variance += newestSpreadWeight * (deviation - *variance)
	}
}

func (g *Gate) spreadOf(service traffic.ServiceName) *spread {
	var found *spread
	g.spreads.Update(service, func(s *spread, ok bool) (*spread, bool) {
		if !ok {
			s = &spread{}
		}
		found = s
		return s, true
	})
	return found
}

// significance is the number of standard deviations by which engines must differ more than by chance.
const significance = 4

// minEventTime bounds how much faster than others an engine counts.
const minEventTime = 0.1

// minSpread is the least variance of one stream: it keeps engines of nearly no variance from
// counting as different for a few percent.
const minSpread = 0.01

// relative returns the values of engines relative to their mean, or nil if they do not differ more
// than chance explains. Each one is drawn to the mean as far as chance explains its difference,
// and is 1 if there are no streams.
func relative(values []average, variance float64) []float64 {
	variance = max(variance, minSpread)
	known, sum := 0.0, 0.0
	for _, v := range values {
		if v.streams > 0 {
			known, sum = known+1, sum+v.mean
		}
	}
	if known < 2 || sum <= 0 {
		return nil
	}
	mean := sum / known
	between, standardized := 0.0, 0.0
	for _, v := range values {
		if v.streams > 0 {
			square := (v.mean/mean - 1) * (v.mean/mean - 1)
			between += (square - variance/v.streams) / (known - 1)
			standardized += square * v.streams / variance
		}
	}
	// The sum has the mean known-1 and the variance 2*(known-1) if all engines are equal.
	if between <= 0 || standardized <= known-1+significance*math.Sqrt(2*(known-1)) {
		return nil
	}
	relatives := make([]float64, len(values))
	for i, v := range values {
		relatives[i] = 1
		if v.streams > 0 {
			relatives[i] += (v.mean/mean - 1) * between / (between + variance/v.streams)
		}
	}
	return relatives
}

// weighSpeed sets the relative times of decode engines, unless they differ no more than chance
// explains.
func (g *Gate) weighSpeed(service traffic.ServiceName, engines []candidate) {
	times := make([]average, len(engines))
	for i, c := range engines {
		times[i] = c.health.eventTime
	}
	s := g.spreadOf(service)
	s.mu.Lock()
	variance := s.variance
	s.mu.Unlock()
	for i, t := range relative(times, variance) {
		engines[i].eventTime = max(minEventTime, t)
	}
}

// tieBreak returns a random cost. Of engines that cost the same otherwise, the chance that one has the
// least of all is proportional to its speed.
func (c candidate) tieBreak() time.Duration {
	if c.eventTime == 0 {
		return rand.N(maxTieBreakCost)
	}
	return time.Duration(rand.ExpFloat64() * c.eventTime * float64(maxTieBreakCost))
}
