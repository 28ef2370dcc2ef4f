package keeper

import "time"

const (
	// smoothingFactor is the weight of a new sample once there are many.
	smoothingFactor = 0.05
	// priorTokenInterval is the time between tokens that is assumed before any
	// answer was observed.
	priorTokenInterval = 40 * time.Millisecond
	// priorOutputShare is the share of the largest output that is expected before
	// any answer was observed.
	priorOutputShare = 0.5
)

// ewma is an exponentially weighted mean with variance. The first samples have
// equal weight.
type ewma struct {
	count          int
	mean, variance float64
}

func (a *ewma) add(sample float64) {
	a.count++
	rate := max(smoothingFactor, 1/float64(a.count))
	diff := sample - a.mean
	step := rate * diff
	a.mean += step
	a.variance = (1 - rate) * (a.variance + diff*step)
}

// lengthEstimator estimates the output lengths of one route.
type lengthEstimator struct {
	tokens ewma
}

func (l *lengthEstimator) add(tokens int) { l.tokens.add(float64(tokens)) }

// expectedTokens returns the mean output length in tokens for an output of at
// most limit tokens.
func (l *lengthEstimator) expectedTokens(limit int) int {
	if l.tokens.count == 0 {
		return max(1, int(priorOutputShare*float64(limit)))
	}
	return clampTokens(int(l.tokens.mean), limit)
}

// remainingTokens returns the expected number of output tokens that follow the
// emitted ones. If the lengths deviate little, the remainder counts down from
// the mean. If the standard deviation is as large as the mean, as in an
// exponential distribution, the remainder is the mean at any time.
func (l *lengthEstimator) remainingTokens(limit, emitted int) float64 {
	mean, variation := float64(l.expectedTokens(limit)), 1.0
	if l.tokens.count > 0 && l.tokens.mean > 0 {
		variation = min(1, l.tokens.variance/(l.tokens.mean*l.tokens.mean))
	}
	done := float64(max(0, emitted))
	left := max(0, mean-done) + variation*min(mean, done)
	return min(left, float64(max(1, limit-emitted)))
}

func clampTokens(tokens, limit int) int { return max(1, min(tokens, limit)) }

// paceEstimator estimates the time between tokens and the time for which a slot
// is held.
type paceEstimator struct {
	interval ewma
	holdTime ewma
}

// tokenInterval returns the mean time between tokens.
func (p *paceEstimator) tokenInterval() time.Duration {
	if p.interval.count == 0 {
		return priorTokenInterval
	}
	return time.Duration(p.interval.mean)
}

// add records the timing of a finished answer.
func (p *paceEstimator) add(hold, decoding time.Duration, tokens int) {
	if tokens <= 0 || decoding <= 0 {
		return
	}
	p.interval.add(float64(decoding) / float64(tokens))
	p.holdTime.add(float64(hold))
}

// remainingTime returns the expected time until a grant ends.
func (g *group) remainingTime(gr *grant, now time.Time) time.Duration {
	interval := g.pace.tokenInterval()
	emitted := int(max(0, now.Sub(gr.decodeStart)) / interval)
	tokens := g.lengthEstimator(gr.route).remainingTokens(gr.maxOutputTokens, emitted)
	return max(0, gr.decodeStart.Sub(now)) + time.Duration(tokens*float64(interval))
}
