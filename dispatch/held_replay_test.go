package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/promptcache"
	"greengagespoke/traffic"
)

// The load of the replay.
const (
	replayPlays    = 2
	replayEngines  = 12
	replayHosts    = 4
	replaySessions = 48
	replayRequests = 2400
	replayMemory   = 28000
	// prefillFixed is the time of a prefill that does not depend on the prompt, firstStep that of the
	// first decode step.
	prefillFixed = 20 * time.Millisecond
	firstStep    = 40 * time.Millisecond
	// prefillPerToken and transferPerToken are the times for one token.
	prefillPerToken  = time.Millisecond / 33
	transferPerToken = time.Millisecond / 100
	replayGap        = 18 * time.Millisecond
	// In a burst, replayBurst requests of one session come one after another.
	replayBurst    = 60
	replayBurstGap = 10 * time.Millisecond
	// The share of requests that begin a burst.
	replayBurstShare = 0.004
)

// popularPart is the own part of session 0, the most popular one.
var popularPart = traffic.PromptPart{ID: 1000, Tokens: 3000}

// cachingEngine processes one prompt at a time and keeps its parts, least recently used first.
type cachingEngine struct {
	busyUntil time.Time
	inUse     int
	parts     []traffic.PromptPart
}

// take returns the tokens of a prompt that are not held, and holds them from now on.
func (e *cachingEngine) take(parts []traffic.PromptPart) int {
	missing, leading, size := 0, true, 0
	for _, p := range parts {
		leading = leading && slices.Contains(e.parts, p)
		if !leading {
			missing += p.Tokens
		}
	}
	for _, p := range slices.Backward(parts) {
		e.parts = append(slices.DeleteFunc(e.parts, func(q traffic.PromptPart) bool { return q == p }), p)
	}
	for i, p := range slices.Backward(e.parts) {
		if size += p.Tokens; size > replayMemory {
			e.parts = e.parts[i+1:]
			break
		}
	}
	return missing
}

// replay plays sessions that return with most of their prompt.
type replay struct {
	mu      sync.Mutex
	engines map[traffic.Incarnation]*cachingEngine
	// read and fetched are the tokens that prefill engines processed and decode engines fetched.
	read, fetched int
	waits         []time.Duration
	// holders are the prefill engines that read popularPart at some time.
	holders map[domain.UpstreamID]bool
}

func (r *replay) engine(up *traffic.Upstream) *cachingEngine {
	if r.engines[up.Incarnation()] == nil {
		r.engines[up.Incarnation()] = &cachingEngine{}
	}
	return r.engines[up.Incarnation()]
}

func (r *replay) reserveIdle(up *traffic.Upstream, tokens int) error {
	time.Sleep(2 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engine(up).inUse+tokens > replayMemory {
		return errRejected
	}
	return nil
}

// process queues a prompt at an engine, adds the tokens that it does not hold to sum and waits until it
// has the prompt.
func (r *replay) process(up *traffic.Upstream, req *traffic.Request, sum *int, fixed, perToken time.Duration) {
	r.mu.Lock()
	e, now := r.engine(up), time.Now()
	missing := e.take(req.PromptParts)
	*sum += missing
	e.inUse += missing // Requests share the parts that the engine holds.
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(fixed + time.Duration(missing)*perToken)
	end := e.busyUntil
	if up.Role == domain.RolePrefill && slices.Contains(req.PromptParts, popularPart) {
		r.holders[up.ID] = true
	}
	r.mu.Unlock()
	time.Sleep(time.Until(end))
	r.mu.Lock()
	e.inUse -= missing
	r.mu.Unlock()
}

func (r *replay) prefill(up *traffic.Upstream, req *traffic.Request) error {
	r.process(up, req, &r.read, prefillFixed, prefillPerToken)
	return nil
}

// stream fetches a prompt that was prefilled. Otherwise the decode engine reads it, in twice the time.
func (r *replay) stream(up *traffic.Upstream, req *traffic.Request, opts traffic.SendOptions) (traffic.Stream, error) {
	if opts.Prompt != nil {
		r.process(up, req, &r.fetched, 0, transferPerToken)
	} else {
		r.process(up, req, &r.read, prefillFixed, 2*prefillPerToken)
	}
	time.Sleep(firstStep)
	return newFakeStream(3, nil), nil
}

// request returns a request of a session: a common beginning, the session's own part, and a new one.
func (r *replay) request(session, number int) *traffic.Request {
	req := newRequest("/draft/x")
	req.ID = fmt.Sprint("q", number)
	own := 3000 + session%9*500
	req.PromptParts = []traffic.PromptPart{{ID: 1, Tokens: 400}, {ID: uint64(1000 + session), Tokens: own}, {ID: uint64(1_000_000 + number), Tokens: 600}}
	req.PromptTokens, req.MaxOutput, req.OutputHint = 400+own+600, 160, 68
	return req
}

// serve serves a request of a session and records the time to its first event.
func (r *replay) serve(g *Gate, session, number int) {
	req := r.request(session, number)
	g.Serve(context.Background(), req, &fakeCaller{onStart: func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.waits = append(r.waits, time.Since(req.Arrived))
	}})
}

// followHeld always follows the longest prefix that is worth it, whatever the wait, ignoreHeld never does.
type (
	followHeld struct{ *promptcache.Cache }
	ignoreHeld struct{ *promptcache.Cache }
)

func (f followHeld) Weigh(ups []*traffic.Upstream, memory int, parts []traffic.PromptPart, tokens int, now time.Time) []promptcache.Weight {
	weights := f.Cache.Weigh(ups, memory, parts, tokens, now)
	for i := range weights {
		weights[i].Busy, weights[i].Queued = 1, 0 // No wait counts, also not against the decode engine.
		weights[i].Gain, weights[i].MaxWait = time.Duration(weights[i].Held)*time.Second, time.Hour
	}
	return weights
}

func (ignoreHeld) Weigh([]*traffic.Upstream, int, []traffic.PromptPart, int, time.Time) []promptcache.Weight {
	return nil
}

// replayResult is the mean time to the first event and its 95th percentile, with the counts.
type replayResult struct {
	mean, late, worst time.Duration
	read, fetched     int
}

func weighHeld(c *promptcache.Cache) heldPrompts { return c }

// newReplay returns the gates of a few hosts in front of the same engines.
func newReplay(t *testing.T, policy func(*promptcache.Cache) heldPrompts) (*replay, *fixture, []*Gate) {
	t.Helper()
	r := &replay{engines: make(map[traffic.Incarnation]*cachingEngine), holders: make(map[domain.UpstreamID]bool)}
	f := newFixture(t, replayHosts)
	f.reserveIdle, f.prefillRequest, f.streamRequest = r.reserveIdle, r.prefill, r.stream
	for i := range replayEngines - 2 {
		f.add(domain.UpstreamID(fmt.Sprint("f", i+3)), testService, domain.RolePrefill)
		f.add(domain.UpstreamID(fmt.Sprint("d", i+3)), testService, domain.RoleDecode)
	}
	config := *f.catalog.Config()
	config.Version, config.Services = 2, map[traffic.ServiceName]traffic.Service{
		testService: {Name: testService, Engine: &traffic.Engine{Slots: 24, MemoryTokens: replayMemory, ReservationTTL: 2 * time.Second}},
	}
	f.catalog.Apply(&config, "test")
	gates := make([]*Gate, replayHosts)
	for i := range gates {
		gates[i] = newTestGate(f, f.catalog, replayHosts)
		gates[i].prompts = policy(promptcache.New())
		if _, ok := gates[i].prompts.(followHeld); ok {
			f.reserveIdle = func(*traffic.Upstream, int) error { return nil } // Whatever the wait.
		}
	}
	return r, f, gates
}

// playSessions plays the load with one policy. restarts restarts a third of the engines in the middle.
func playSessions(t *testing.T, policy func(*promptcache.Cache) heldPrompts, seed uint64, restarts bool) (result replayResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r, f, gates := newReplay(t, policy)
		draw := rand.New(rand.NewPCG(7, seed))
		var running sync.WaitGroup
		for number := 0; number < replayRequests; {
			// Low numbers are the popular sessions.
			session := int(draw.Float64() * draw.Float64() * replaySessions)
			count, gap := 1, time.Duration(draw.ExpFloat64()*float64(replayGap))
			if draw.Float64() < replayBurstShare {
				count, gap = replayBurst, replayBurstGap
			}
			for range count {
				id := number
				running.Go(func() { r.serve(gates[session%replayHosts], session, id) })
				number++
				time.Sleep(gap)
			}
			if restarts && number >= replayRequests/2 {
				restarts = false
				for i := range replayEngines / 3 {
					f.restart(domain.UpstreamID(fmt.Sprint("f", i+1)), domain.RolePrefill)
				}
			}
		}
		running.Wait()
		if len(r.waits) < replayRequests {
			t.Errorf("%d of %d requests were answered", len(r.waits), replayRequests)
		}
		slices.Sort(r.waits)
		for _, w := range r.waits {
			result.mean += w / time.Duration(len(r.waits))
		}
		result.worst = r.waits[len(r.waits)*99/100]
		result.late, result.read, result.fetched = r.waits[len(r.waits)*95/100], r.read, r.fetched
	})
	return result
}

// restart registers another process of an engine.
func (f *fixture) restart(id domain.UpstreamID, role domain.Role) {
	f.catalog.Change([]traffic.UpstreamChange{{ID: id, Upstream: &traffic.Upstream{
		ID: id, Service: testService, Address: "10.0.0.1:1", Zone: testZone, Role: role, Slots: 6, Version: "v1", StartedAtMillis: time.Now().UnixMilli(),
	}}}, time.Now())
}

// Sessions that return with most of their prompt: guards against ignoring what engines hold, which
// reads all prompts in full, and against always following it, which queues popular sessions at
// one engine.
func TestSessionsThatReturn(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarts=%t", restarts), func(t *testing.T) {
			var weighed, ignored, followed replayResult
			for seed := range uint64(replayPlays) {
				weighed.add(playSessions(t, weighHeld, seed, restarts))
				ignored.add(playSessions(t, func(c *promptcache.Cache) heldPrompts { return ignoreHeld{c} }, seed, restarts))
				followed.add(playSessions(t, func(c *promptcache.Cache) heldPrompts { return followHeld{c} }, seed, restarts))
			}
			t.Logf("ignored  %s", ignored)
			t.Logf("followed %s", followed)
			t.Logf("weighed  %s", weighed)
			weighed.wantBetter(t, ignored, 0.78, 0.92, 0.5)
			weighed.wantBetter(t, followed, 0.75, 0.6, 2) // Always following reads less, and queues for it.
		})
	}
}

// add adds the result of one of replayPlays plays.
func (r *replayResult) add(o replayResult) {
	r.mean, r.late, r.worst = r.mean+o.mean/replayPlays, r.late+o.late/replayPlays, r.worst+o.worst/replayPlays
	r.read, r.fetched = r.read+o.read/replayPlays, r.fetched+o.fetched/replayPlays
}

func (r replayResult) String() string {
	return fmt.Sprintf("mean %s, 95th percentile %s, 99th %s, %d tokens read, %d fetched",
		r.mean.Round(time.Millisecond), r.late.Round(time.Millisecond), r.worst.Round(time.Millisecond), r.read, r.fetched)
}

// wantBetter checks the result against shares of another one.
func (r replayResult) wantBetter(t *testing.T, other replayResult, mean, late, read float64) {
	t.Helper()
	if float64(r.mean) > mean*float64(other.mean) || float64(r.late) > late*float64(other.late) || float64(r.read) > read*float64(other.read) {
		t.Errorf("%s, want shares of %.2f, %.2f and %.2f of %s", r, mean, late, read, other)
	}
}
