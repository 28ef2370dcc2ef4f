package keeper

import "time"

const (
	// learningRate is the weight of a new sample once there are many.
	learningRate = 0.05
	// priorTokenInterval is assumed between tokens before any answer was seen.
	priorTokenInterval = 40 * time.Millisecond
	// priorOutputShare is the part of the largest output that is expected before
	// any answer was seen.
	priorOutputShare = 0.5
)

// average is an exponentially weighted mean with variance. The first samples
// count equally.
type average struct {
	count          int
	mean, variance float64
}

func (a *average) add(sample float64) {
	a.count++
	rate := max(learningRate, 1/float64(a.count))
	diff := sample - a.mean
	step := rate * diff
	a.mean += step
	a.variance = (1 - rate) * (a.variance + diff*step)
}

// lengths estimates the output lengths of one route.
type lengths struct {
	tokens average
}

func (l *lengths) add(tokens int) { l.tokens.add(float64(tokens)) }

// expected returns the mean output length in tokens for an output of at most
// limit tokens.
func (l *lengths) expected(limit int) int {
	if l.tokens.count == 0 {
		return max(1, int(priorOutputShare*float64(limit)))
	}
	return clamp(int(l.tokens.mean), limit)
}

// remaining returns the expected output tokens after emitted ones. Lengths with
// little deviation count down to the mean; lengths that deviate as much as their
// mean, like exponential ones, have the mean still to come at any time.
func (l *lengths) remaining(limit, emitted int) float64 {
	mean, spread := float64(l.expected(limit)), 1.0
	if l.tokens.count > 0 && l.tokens.mean > 0 {
		spread = min(1, l.tokens.variance/(l.tokens.mean*l.tokens.mean))
	}
	done := float64(max(0, emitted))
	left := max(0, mean-done) + spread*min(mean, done)
	return min(left, float64(max(1, limit-emitted)))
}

func clamp(tokens, limit int) int { return max(1, min(tokens, limit)) }

// pace estimates the time between tokens and the time that a place is held.
type pace struct {
	interval average
	hold     average
}

// tokenInterval returns the mean time between tokens.
func (p *pace) tokenInterval() time.Duration {
	if p.interval.count == 0 {
		return priorTokenInterval
	}
	return time.Duration(p.interval.mean)
}

// learn takes in a finished answer.
func (p *pace) learn(hold, decoding time.Duration, tokens int) {
	if tokens <= 0 || decoding <= 0 {
		return
	}
	p.interval.add(float64(decoding) / float64(tokens))
	p.hold.add(float64(hold))
}

// remaining returns the expected time until a grant ends.
func (g *group) remaining(gr *grant, now time.Time) time.Duration {
	interval := g.pace.tokenInterval()
	emitted := int(max(0, now.Sub(gr.decoding)) / interval)
	tokens := g.route(gr.route).remaining(gr.limit, emitted)
	return max(0, gr.decoding.Sub(now)) + time.Duration(tokens*float64(interval))
}
