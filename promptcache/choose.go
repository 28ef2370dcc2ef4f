package promptcache

import (
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

// minGain is the time that another engine must gain for a choice to be changed: as much as the
// estimated costs of another availability zone, a new connection and the random tie-break of one
// choice add up to (dispatch). At 33 tokens per millisecond it is 825 tokens.
const minGain = 25 * time.Millisecond

const (
	// maxExtraWait is the longest wait for what an engine holds, beyond that at the cheapest engine. It is
	// a quarter of the strictest target latency of a stream. A popular beginning is read by another
	// engine then.
	maxExtraWait = 200 * time.Millisecond
	// maxExtraDecodeWait is the same at decode engines, where calls do not wait but slow each other
	// down: about four more of them.
	maxExtraDecodeWait = 60 * time.Millisecond
	// evictedWeight is the cost of reading an evicted token again: it delays its own request, and
	// takes time of the engine from others.
	evictedWeight = 2
	// minProcessed is the least share of waiting prompts that an engine is expected to process.
	minProcessed = 0.05
	// maxReadAgain bounds how often a token is expected to be read again after it is evicted.
	maxReadAgain = 4
)

// readAgain returns how often a token is read again because it is evicted, if it is needed again with
// the given probability. Reading it again evicts another one, and so on.
func readAgain(probability float64) float64 {
	return min(maxReadAgain, probability/max(1e-9, 1-probability))
}

// Weight is what the parts that an engine holds are worth for one prompt.
type Weight struct {
	// Held is the number of leading tokens of the prompt that the engine is believed to hold.
	Held int
	// Worth says that they save enough to change a choice if the engine still holds them.
	Worth bool
	// Gain is the time that they save, less the time to read again what the engine would evict
	// for the prompt.
	Gain time.Duration
	// Age is the time since the last of the parts that it holds was sent there.
	Age time.Duration
	// Call is the expected duration of a call with the whole prompt, without others before it.
	Call time.Duration
	// MaxWait is how much longer than at the cheapest engine the prompt may wait for the gain.
	MaxWait time.Duration
	// Busy is how long the engine is expected to process what this host sent, Queued the expected
	// duration of one prompt of which nothing is known.
	Busy   time.Duration
	Queued time.Duration
	// Spare is the number of tokens of other hosts' prompts before it that take as long as the prompt
	// itself is expected to gain, if as much of them is held as usual.
	Spare int
}

// Weigh returns the weights of upstreams of one service and role for a prompt, or nil if none holds
// any of it. The gains are 0 if no upstream saves enough to change a choice.
func (c *Cache) Weigh(ups []*traffic.Upstream, memoryTokens int, parts []traffic.PromptPart, promptTokens int, now time.Time) []Weight {
	if len(ups) == 0 || len(parts) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := partKeys(parts)
	held := c.match(ups, parts, keys, now)
	if held == nil {
		return nil
	}
	learned := c.estimateOf(ups[0].Service, ups[0].Role)
	_, perToken := learned.line()
	weights := make([]Weight, len(ups))
	worth := false
	for i := range ups {
		tokens := min(held[i].tokens, promptTokens)
		weights[i] = Weight{Held: tokens, Age: held[i].age, Worth: seconds(perToken*float64(tokens)) >= minGain}
		worth = worth || weights[i].Worth
	}
	if worth {
		c.weighGains(weights, ups, learned, memoryTokens, promptTokens, keys, now)
	}
	return weights
}

// weighGains sets what the engines gain and how long they take.
func (c *Cache) weighGains(weights []Weight, ups []*traffic.Upstream, learned *estimate, memoryTokens, promptTokens int, keys []domain.PieceKey, now time.Time) {
	fixed, perToken := learned.line()
	reused := readAgain(float64(c.estimateOf(ups[0].Service, domain.RolePrefill).reused))
	queued := perToken * max(minProcessed, float64(learned.processed))
	for i, up := range ups {
		w := &weights[i]
		w.Call, w.Queued = seconds(fixed+perToken*float64(promptTokens)), seconds(fixed+queued*float64(promptTokens))
		if w.MaxWait = maxExtraWait; up.Role == domain.RoleDecode {
			w.MaxWait = maxExtraDecodeWait
		}
		saved := learned.reliability(w.Age, now) * float64(w.Held)
		evicts := c.evicted(up, memoryTokens, promptTokens-int(saved), keys, reused)
		w.Gain = seconds(perToken * (saved + evictedWeight*(reused*float64(promptTokens)-evicts)))
		if e := c.engines[up.ID]; e != nil && e.is(up) {
			w.Busy = max(0, e.busyUntil.Sub(now))
		}
		if own := seconds(perToken*saved) - minGain; w.Worth && own > 0 && w.Gain > minGain {
			w.Spare = int(min(own, w.Gain-minGain).Seconds() / queued)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Option is one engine that may be chosen.
type Option struct {
	// Cost is the cost of the engine without regard to what it holds.
	Cost time.Duration
	// Wait is the part of the cost that a gain is weighed against: what is known of the engine,
	// without the duration of the call itself.
	Wait time.Duration
	// Gain, MaxWait and Worth are those of its Weight.
	Gain, MaxWait time.Duration
	Worth         bool
}

// Choose returns the index of the option with the least cost, or that of another one that gains
// minGain over it after its longer wait, with changed set. It returns -1 if there are no options.
func Choose(options []Option) (chosen int, changed bool) {
	cheapest := -1
	for i, o := range options {
		if cheapest < 0 || o.Cost < options[cheapest].Cost {
			cheapest = i
		}
	}
	best, gain := cheapest, minGain-1
	for i, o := range options {
		base := options[cheapest]
		wait := o.Wait - base.Wait
		if over := o.Gain - base.Gain - wait; o.Worth && wait <= o.MaxWait && over > gain {
			best, gain = i, over
		}
	}
	return best, best != cheapest
}
