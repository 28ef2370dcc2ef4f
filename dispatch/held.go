package dispatch

import (
	"time"

	"greengagespoke/promptcache"
	"greengagespoke/traffic"
)

// heldPrompts knows what engines hold of prompts; see promptcache.Cache.
type heldPrompts interface {
	Weigh(ups []*traffic.Upstream, memoryTokens int, parts []traffic.PromptPart, promptTokens int, now time.Time) []promptcache.Weight
	Observe(up *traffic.Upstream, tokens int, expected promptcache.Weight, elapsed time.Duration, now time.Time)
	Record(up *traffic.Upstream, memoryTokens int, parts []traffic.PromptPart, now time.Time)
	Forget(up *traffic.Upstream)
}

// heldChoice is what was expected of an engine when it was chosen.
type heldChoice struct {
	promptcache.Weight
	// changed says that another engine would have been chosen without regard to what engines hold.
	changed bool
	// eventTime is the relative time of a decode engine's streams, 0 if engines do not differ.
	eventTime float64
}

// heldPrompt is what was expected of the engines that a request was sent to last.
type heldPrompt struct {
	prefill, decode heldChoice
}

// matters reports whether the engine holds enough of the prompt to be worth a choice.
func (h heldChoice) matters() bool { return h.Worth }

// processed returns the tokens of a prompt that the engine was expected to process.
func (h heldChoice) processed(tokens int) int {
	if !h.matters() {
		return tokens
	}
	return max(1, tokens-h.Held)
}

// wholeCall returns how long a call would have taken at least if the engine held nothing. It keeps
// what is learned of the engine's speed free of what it happens to hold.
func (h heldChoice) wholeCall(elapsed time.Duration) time.Duration {
	if !h.matters() {
		return elapsed
	}
	return max(elapsed, h.Call)
}

// weighHeld sets the weights of engines of one role for the prompt of a request.
func (g *Gate) weighHeld(f *inFlight, engines []candidate, now time.Time) {
	if len(f.req.PromptParts) == 0 || f.engine.MemoryTokens <= 0 {
		return
	}
	ups := make([]*traffic.Upstream, len(engines))
	for i, c := range engines {
		ups[i] = c.up
	}
	for i, w := range g.prompts.Weigh(ups, f.engine.MemoryTokens, f.req.PromptParts, f.req.PromptTokens, now) {
		engines[i].weight = w
	}
}

// recordHeldPrefill records the duration of a prefill call.
func (g *Gate) recordHeldPrefill(n *generation, choice prefillChoice, elapsed time.Duration) {
	n.held.prefill = choice.held
	now := time.Now()
	g.countHeld(choice.held)
	g.metrics.heldPrefillTokens.Add(int64(choice.held.Held))
	g.prompts.Observe(choice.up, n.req.PromptTokens, choice.held.Weight, elapsed, now)
}

// recordHeldStream records that a decode engine fetched the prompt of a request.
func (g *Gate) recordHeldStream(n *generation, engine *traffic.Upstream) {
	g.countHeld(n.held.decode)
	g.metrics.heldDecodeTokens.Add(int64(n.held.decode.Held))
	g.prompts.Record(engine, n.engine.MemoryTokens, n.req.PromptParts, time.Now())
}

// firstEventArrived records the time from the call of a decode engine to its first event. It
// depends on the tokens that the engine fetched only if the prompt was prefilled elsewhere.
func (g *Gate) firstEventArrived(n *generation) {
	if n.fetched && n.lastEventID == "" {
		now := time.Now()
		g.prompts.Observe(n.lastEngine, n.req.PromptTokens, n.held.decode.Weight, now.Sub(n.sentAt), now)
	}
}

func (g *Gate) countHeld(h heldChoice) {
	if h.changed {
		g.metrics.heldChoices.Add(1)
	}
}
