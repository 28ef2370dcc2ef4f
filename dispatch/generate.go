package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"greengagespoke/traffic"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
)

const (
	// prefillTimeout bounds the reading of a prompt: several times that of the
	// largest prompt, behind a few others.
	prefillTimeout = 1500 * time.Millisecond
	// silenceLimit is how long a resumable stream may be silent before it goes on
	// elsewhere. It is longer than the pause of a preempted request and shorter
	// than callers wait.
	silenceLimit = 1500 * time.Millisecond
	// prefillsPerRequest bounds the prompts read for one place.
	prefillsPerRequest = 2
	// keptShare is the part of the life of a read prompt within which it may go to
	// another decode engine.
	keptShare = 0.6
)

// generation is a request to model engines on its way.
type generation struct {
	*flight
	caller traffic.Caller
	// started says that the caller has the head of a stream.
	started bool
	// lastEvent is the number of the last event that the caller has.
	lastEvent string
	// mayRun says that some engine may have run the request.
	mayRun bool
	events int
	// placed is when the request got its place.
	placed time.Time
	// last is the engine that streamed last. It keeps the prompt for a while.
	last *traffic.Upstream
	// kept is a prompt that was read at readAt and not used yet.
	kept   *traffic.Prompt
	readAt time.Time
	// prefills and sends count the calls that had the prompt read and those that
	// asked for the stream.
	prefills, sends int
	// read says that an engine answered a call to read the prompt.
	read bool
}

// generate serves a generation.
func (g *Gate) generate(ctx context.Context, f *flight, caller traffic.Caller) {
	n := &generation{flight: f, caller: caller}
	defer func() { g.dropPrompt(n.kept) }()
	for {
		refusal := g.attempt(ctx, n)
		if refusal == nil {
			return
		}
		if ctx.Err() == nil && g.mayRepeat(n, refusal) {
			g.counts.repeated.Add(1)
			continue
		}
		if n.started {
			g.counts.broken.Add(1)
			klog.InfoS("stream broken off", "request", f.req.ID, "events", n.events, "reason", refusal.Kind, "message", refusal.Message)
			caller.Abort()
			return
		}
		g.refuse(f.req, caller, refusal)
		return
	}
}

// mayRepeat reports whether a generation that failed may be tried again.
func (g *Gate) mayRepeat(n *generation, refusal *domain.Refusal) bool {
	if refusal.Kind != domain.RefusalUpstreamFailed {
		return false
	}
	if n.mayRun && !n.route.Resumable {
		return false
	}
	if n.sends > n.route.MaxAttempts {
		return false
	}
	return !n.mayRun || len(n.sent) < n.route.MaxAttempts
}

// mayCall reports whether one more call of the request to the service is within
// the retry budget. The first prompt read and the first stream are no repeats.
func (g *Gate) mayCall(n *generation, before int) bool {
	if before == 0 || g.cfg.Budget.Take(n.service, time.Now()) {
		return true
	}
	klog.InfoS("retry budget used up", "request", n.req.ID, "service", n.service)
	return false
}

// overBudget is the refusal of a request that must not be sent once more.
func overBudget(n *generation) *domain.Refusal {
	return domain.Refuse(domain.RefusalOverloaded, "the retry budget is used up",
		"try again after the stated time").WithRan(n.ran()).After(busyRetry)
}

// attempt reserves a place, has the prompt read and relays the stream. It returns
// nil where the caller has the whole answer or has left.
func (g *Gate) attempt(ctx context.Context, n *generation) *domain.Refusal {
	if n.sends > 0 && !g.mayCall(n, n.sends) {
		return overBudget(n)
	}
	place, refusal := g.placeFor(ctx, n)
	if refusal != nil {
		return refusal
	}
	n.placed = time.Now()
	g.counts.wait.Record(n.placed.Sub(n.req.Arrived))
	t := g.tracks.of(place.Engine)
	t.begin()
	result := outcomeNone
	defer func() {
		t.end(result, 0, time.Now())
		g.places.queue(n.service).freed(place.Engine.ID)
	}()
	prompt := g.promptFor(ctx, n, place)
	if ctx.Err() != nil {
		g.dropPlace(place)
		g.dropPrompt(prompt)
		return n.ended(ctx)
	}
	// The first call that had the prompt read is no repeat only where an engine read it.
	if n.sends == 0 && !n.read && !g.mayCall(n, n.prefills) {
		g.dropPlace(place)
		return overBudget(n)
	}
	read := time.Now()
	stream, err := g.open(ctx, n, place, prompt)
	if err != nil {
		result, refusal = g.notOpened(ctx, n, place, prompt, asCallError(err))
		return refusal
	}
	n.mayRun, n.last = true, place.Engine
	defer stream.Close()
	klog.InfoS("stream started", "request", n.req.ID, "decode", place.Engine.ID, "prefill", promptEngine(prompt),
		"waited", n.placed.Sub(n.req.Arrived).Round(time.Millisecond), "read", read.Sub(n.placed).Round(time.Millisecond),
		"reserved", place.Tokens, "version", n.version)
	result, refusal = g.relayed(ctx, n, place, g.relay(ctx, n, stream))
	return refusal
}

// notOpened takes that a stream did not start. A prompt whose request did not reach
// the engine is kept for the next one.
func (g *Gate) notOpened(ctx context.Context, n *generation, place *traffic.Reservation, prompt *traffic.Prompt, call *traffic.CallError) (outcome, *domain.Refusal) {
	klog.InfoS("decode not started", "request", n.req.ID, "upstream", place.Engine.ID, "effect", call.Effect, "err", call.Err)
	if call.Effect != traffic.EffectUnknown {
		g.dropPlace(place)
	}
	switch {
	case call.Missed():
		n.kept = prompt
	case call.Effect == traffic.EffectRejected:
		g.dropPrompt(prompt)
	}
	n.mayRun = n.mayRun || call.Effect == traffic.EffectUnknown
	result := g.openOutcome(ctx, call)
	if ctx.Err() != nil {
		return result, n.ended(ctx)
	}
	return result, n.failed("the decode engine " + string(place.Engine.ID) + " failed")
}

// relayed takes how the relay of a stream ended.
func (g *Gate) relayed(ctx context.Context, n *generation, place *traffic.Reservation, err error) (outcome, *domain.Refusal) {
	switch {
	case err == nil:
		g.counts.answered.Add(1)
		g.cfg.Loads.Served(n.service, n.req.PromptTokens, place.Tokens, time.Since(n.placed))
		klog.InfoS("stream ended", "request", n.req.ID, "decode", place.Engine.ID, "events", n.events,
			"prompt", n.req.PromptTokens, "max output", n.req.MaxOutput, "hint", n.req.OutputHint, "reserved", place.Tokens,
			"took", time.Since(n.req.Arrived).Round(time.Millisecond))
		return outcomeAnswered, nil
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		return outcomeNone, n.ended(ctx)
	default:
		klog.InfoS("stream lost", "request", n.req.ID, "decode", place.Engine.ID, "events", n.events, "err", err)
		n.needed = time.Now()
		return outcomeBroken, n.failed("the stream of " + string(place.Engine.ID) + " broke")
	}
}

// promptFor returns the read prompt that goes with a place, or nil where the decode
// engine has the prompt or must read it itself.
func (g *Gate) promptFor(ctx context.Context, n *generation, place *traffic.Reservation) *traffic.Prompt {
	if place.Engine == n.last {
		return nil
	}
	if kept := n.kept; kept != nil {
		n.kept = nil
		if time.Since(n.readAt) < time.Duration(keptShare*float64(n.engine.HandleLife)) {
			return kept
		}
		g.dropPrompt(kept)
	}
	prompt := g.readPrompt(ctx, n, place)
	n.readAt = time.Now()
	return prompt
}

// placeFor reserves a place. A stream that broke goes on where it was if that
// engine still answers, as it has the prompt.
func (g *Gate) placeFor(ctx context.Context, n *generation) (*traffic.Reservation, *domain.Refusal) {
	if n.last != nil && g.cfg.Catalog.Current(n.last) {
		life := min(reserveLife, n.engine.ReservationLife)
		if r, err := g.reserve(ctx, n.flight, n.last, reserveTokens(n.req), life); err == nil {
			return r, nil
		}
	}
	return g.places.acquire(ctx, n.flight)
}

// openOutcome says what a stream that did not start tells of the engine. A
// rejection may be due to the prompt's memory, so it tells nothing.
func (g *Gate) openOutcome(ctx context.Context, call *traffic.CallError) outcome {
	switch {
	case call.Misdirected:
		return outcomeReplaced
	case call.Effect == traffic.EffectRejected, ctx.Err() != nil, errors.Is(call, errLeft):
		return outcomeNone
	default:
		return outcomeBroken
	}
}

// ended is the refusal of a request whose time is over or whose caller left.
func (n *generation) ended(ctx context.Context) *domain.Refusal {
	kind, message := domain.RefusalCanceled, "the caller left"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind, message = domain.RefusalDeadline, "the answer was not complete in time"
	}
	return domain.Refuse(kind, message, "send the request again").WithRan(n.ran())
}

func (n *generation) failed(message string) *domain.Refusal {
	return domain.Refuse(domain.RefusalUpstreamFailed, message, "send the request again").WithRan(n.ran())
}

func (n *generation) ran() domain.Ran {
	if n.mayRun {
		return domain.RanUnknown
	}
	return domain.RanNo
}

// dropPlace frees a place that is not used. It does not wait.
func (g *Gate) dropPlace(place *traffic.Reservation) {
	go g.cfg.Upstreams.DropReservation(context.Background(), place)
}

// dropPrompt frees a prompt that is not used; nil is none.
func (g *Gate) dropPrompt(prompt *traffic.Prompt) {
	if prompt != nil {
		g.counts.vain.Add(1)
		g.cfg.Upstreams.DropPrompt(prompt)
	}
}

func promptEngine(p *traffic.Prompt) domain.UpstreamID {
	if p == nil {
		return ""
	}
	return p.Engine.ID
}

// readPrompt has the prompt read by a prefill engine near the place. It returns
// nil where none does; the decode engine then reads it itself.
func (g *Gate) readPrompt(ctx context.Context, n *generation, place *traffic.Reservation) *traffic.Prompt {
	tried := make(map[domain.UpstreamID]bool)
	for range prefillsPerRequest {
		engines := g.candidates(n.service, time.Now(), func(up *traffic.Upstream) bool {
			return up.Role == domain.RolePrefill && !tried[up.ID]
		})
		if len(engines) > 0 && engines[0].health.out {
			// All are out. Each would reject the call or fail, which the budget pays.
			klog.InfoS("prompt left to the decode engine", "request", n.req.ID, "reason", "no prefill engine is sound")
			return nil
		}
		up, delay := g.reader(ctx, n, engines, place.Engine.Zone)
		if up == nil || !g.mayCall(n, n.prefills) {
			return nil
		}
		if own := g.readers.ownTime(n.service, n.req.PromptTokens); own > 0 && delay > own {
			klog.InfoS("prompt left to the decode engine", "request", n.req.ID, "expected delay", delay, "own time", own)
			return nil
		}
		tried[up.ID] = true
		n.prefills++
		prompt, err := g.prefill(ctx, n, up)
		if err == nil {
			n.read = true
			return prompt
		}
		klog.InfoS("prompt not read", "request", n.req.ID, "upstream", up.ID, "effect", asCallError(err).Effect, "err", err)
		if ctx.Err() != nil {
			return nil
		}
		if asCallError(err).Effect == traffic.EffectNotSent {
			n.prefills--
		}
	}
	return nil
}

// prefill has one engine read the prompt.
func (g *Gate) prefill(ctx context.Context, n *generation, up *traffic.Upstream) (*traffic.Prompt, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	t := g.tracks.of(up)
	t.begin()
	began := time.Now()
	prompt, err := g.cfg.Upstreams.Prefill(ctx, up, n.req, n.options(nil, nil))
	took := time.Since(began)
	g.counts.prefill.Record(took)
	t.end(g.outcomeOf(ctx, &traffic.Answer{}, err), took, time.Now())
	if err == nil {
		g.readers.read(n.service, n.req.PromptTokens, took)
		g.cfg.Loads.Read(n.service, n.req.PromptTokens, took)
	}
	return prompt, err
}

// options returns what goes with the request to an engine.
func (n *generation) options(place *traffic.Reservation, prompt *traffic.Prompt) traffic.SendOptions {
	return traffic.SendOptions{
		Left: n.left(time.Now()), Resume: n.started && n.lastEvent != "", LastEvent: n.lastEvent,
		Prompt: prompt, Reservation: place,
	}
}

// errLeft means that an engine began to leave after a place on it was reserved.
var errLeft = errors.New("the engine no longer takes work; another one is chosen")

// open starts the stream on the decode engine.
func (g *Gate) open(ctx context.Context, n *generation, place *traffic.Reservation, prompt *traffic.Prompt) (traffic.Stream, error) {
	up := place.Engine
	if !g.cfg.Catalog.Current(up) {
		return nil, &traffic.CallError{Effect: traffic.EffectNotSent, Err: errLeft}
	}
	had := n.sent[up.ID]
	n.sends++
	n.sent[up.ID] = true
	stream, err := g.startStream(ctx, n, place, prompt)
	if err == nil {
		return stream, nil
	}
	call := asCallError(err)
	if call.Effect == traffic.EffectNotSent {
		n.sends--
	}
	if !had && call.Missed() {
		delete(n.sent, up.ID)
	}
	return nil, err
}

// startStream sends the request to the decode engine. Where the stream may go on
// elsewhere, an engine that stays silent is given up.
func (g *Gate) startStream(ctx context.Context, n *generation, place *traffic.Reservation, prompt *traffic.Prompt) (traffic.Stream, error) {
	options := n.options(place, prompt)
	if !n.route.Resumable {
		return g.cfg.Upstreams.Stream(ctx, place.Engine, n.req, options)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := pause.AfterFunc(silenceLimit, cancel)
	stream, err := g.cfg.Upstreams.Stream(ctx, place.Engine, n.req, options)
	timer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	return cancellingStream{stream, cancel}, nil
}

// cancellingStream ends its context when it is closed.
type cancellingStream struct {
	traffic.Stream
	cancel context.CancelFunc
}

// Close implements Stream.
func (s cancellingStream) Close() {
	s.Stream.Close()
	s.cancel()
}

// errCallerGone means that an event could not be delivered.
var errCallerGone = errors.New("the caller left; nothing more is sent")

// relay passes the events on until the stream ends.
func (g *Gate) relay(ctx context.Context, n *generation, stream traffic.Stream) error {
	for {
		wait := time.Until(n.final)
		if n.route.Resumable {
			wait = min(wait, silenceLimit)
		}
		event, err := stream.Next(wait)
		if errors.Is(err, io.EOF) {
			if !n.started {
				n.start(stream)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !n.started {
			n.start(stream)
		}
		if err := n.caller.Event(event); err != nil {
			g.counts.gone.Add(1)
			return errCallerGone
		}
		n.events++
		if event.ID != "" {
			n.lastEvent = event.ID
		}
	}
}

func (n *generation) start(stream traffic.Stream) {
	n.started = true
	n.caller.Start(stream.Head())
}
