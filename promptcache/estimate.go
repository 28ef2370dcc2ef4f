package promptcache

import (
	"math"
	"math/bits"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const (
	// sampleDecay is the factor by which each call reduces the weight of earlier ones, so that
	// about the last hundred count.
	sampleDecay = 0.99
	// minSamples is the weight of calls from which a time per token is derived.
	minSamples = 12
	// insignificantShare is the share of a prompt that may be held for the call to count as one
	// that processed all of it.
	insignificantShare = 0.1
	// defaultPerToken is the time per prompt token in seconds that prefill engines are expected to take
	// until it is learned. The platform's take 1 ms for 33 tokens.
	defaultPerToken = 1.0 / 33000
	// leastDecay is applied to the least time per token with each call, so that a time that no
	// engine reaches any more is discarded over time.
	leastDecay = 0.995
	// newestResultWeight is the weight of the newest result in the reliability.
	newestResultWeight = 0.1
	// newestShareWeight is the weight of the newest prompt in the shares of a service.
	newestShareWeight = 0.02
	// reliabilityHalfLife is the time after which half of the lost reliability has returned, so
	// that held parts are tried again.
	reliabilityHalfLife = 30 * time.Second
)

// estimateKey identifies what an estimate is about: the prefill of a service's prompts, or their
// transfer to decode engines.
type estimateKey struct {
	service traffic.ServiceName
	role    domain.Role
}

// estimate learns how the duration of a call depends on the tokens that it processes, as a line
// fitted to the calls, and how much of the expected savings came true.
type estimate struct {
	// The weighted sums over the calls: their number n, tokens x and seconds y.
	n, x, y, xx, xy, yy float64
	// least is the least time per token of a recent call, in seconds. It is more than the
	// part of it that depends on the tokens.
	least float64
	// perToken is used until the line is known.
	perToken float64
	// reused is the share of the prompts' tokens that were sent to some engine before.
	reused average
	// processed is the share of the prompts' tokens that the engines processed rather than held.
	processed average
	// results holds what came true of expectations, by their age.
	results [ageClasses]results
}

// average is a moving average of shares.
type average float64

func (a *average) add(share float64) {
	*a += average(newestShareWeight * (min(1, max(0, share)) - float64(*a)))
}

// ageClasses is the number of classes of ages. Each but the first one spans twice the time of the
// class before it; the last one begins at 64 s, beyond heldTTL.
const ageClasses = 9

// youngest is the end of the first class: about the time in which a busy engine reads a few prompts.
const youngest = 250 * time.Millisecond

// results is the share of the expected savings that did not come true.
type results struct {
	missed float64
	at     time.Time
}

// ageClass returns the class of an age.
func ageClass(age time.Duration) int {
	return min(ageClasses-1, bits.Len64(uint64(max(0, age)/youngest)))
}

func (e *estimate) add(tokens int, elapsed time.Duration) {
	x, y := float64(tokens), elapsed.Seconds()
	for _, sum := range []*float64{&e.n, &e.x, &e.y, &e.xx, &e.xy, &e.yy} {
		*sum *= sampleDecay
	}
	if y > 0 && x > 0 && (e.least == 0 || y/x < e.least/leastDecay) {
		e.least = y / x
	} else {
		e.least /= leastDecay
	}
	e.n, e.x, e.y = e.n+1, e.x+x, e.y+y
	e.xx, e.xy, e.yy = e.xx+x*x, e.xy+x*y, e.yy+y*y
}

// line returns the fixed time of a call and the time per token, both in seconds. The time per token
// is reduced by its standard error, as what is not certain saves nothing. It is 0 if it is not known.
func (e *estimate) line() (fixed, perToken float64) {
	perToken = e.perToken
	if slope := e.slope(); slope > 0 {
		perToken = slope
	}
	if e.least > 0 {
		perToken = min(perToken, e.least)
	}
	if e.n > 0 {
		fixed = max(0, (e.y-perToken*e.x)/e.n)
	}
	return fixed, perToken
}

func (e *estimate) slope() float64 {
	if e.n < minSamples {
		return 0
	}
	meanX, meanY := e.x/e.n, e.y/e.n
	varX, varY := e.xx/e.n-meanX*meanX, e.yy/e.n-meanY*meanY
	if varX < 1 {
		return 0
	}
	slope := (e.xy/e.n - meanX*meanY) / varX
	return slope - math.Sqrt(max(0, varY-slope*slope*varX)/varX/e.n)
}

// reliability returns the share of the expected savings that is expected to come true.
func (e *estimate) reliability(age time.Duration, now time.Time) float64 {
	r := e.results[ageClass(age)]
	return 1 - r.missed*math.Exp2(-now.Sub(r.at).Seconds()/reliabilityHalfLife.Seconds())
}

// observe records the duration of a call with a prompt.
func (e *estimate) observe(tokens int, w Weight, elapsed time.Duration, now time.Time) {
	if tokens <= 0 {
		return
	}
	if float64(w.Held) <= insignificantShare*float64(tokens) {
		e.add(tokens, elapsed)
		e.processed.add(1)
		return
	}
	fixed, perToken := e.line()
	if perToken == 0 {
		return
	}
	saved := (fixed + perToken*float64(tokens) - elapsed.Seconds()) / (perToken * float64(w.Held))
	missed := 1 - min(1, max(0, saved))
	e.processed.add(1 - (1-missed)*float64(w.Held)/float64(tokens))
	before := 1 - e.reliability(w.Age, now)
	e.results[ageClass(w.Age)] = results{missed: before + newestResultWeight*(missed-before), at: now}
}

// estimateOf returns the estimate of a service. The caller holds the lock.
func (c *Cache) estimateOf(service traffic.ServiceName, role domain.Role) *estimate {
	key := estimateKey{service, role}
	e, ok := c.estimates[key]
	if !ok {
		e = &estimate{processed: 1}
		if role == domain.RolePrefill {
			e.perToken = defaultPerToken
		}
		c.estimates[key] = e
	}
	return e
}

// Observe records the duration of a call to an engine with a prompt, and what was expected of the
// engine: a prefill call, or the time to the first event of a decode engine.
func (c *Cache) Observe(up *traffic.Upstream, tokens int, expected Weight, elapsed time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimateOf(up.Service, up.Role).observe(tokens, expected, elapsed, now)
}
