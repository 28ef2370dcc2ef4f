package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/eventstream"
	"greengagespoke/internal/pause"
	"greengagespoke/traffic"
)

const (
	// streamSilenceTimeout is how long a resumable stream may be silent before it is
	// resumed on another engine. It is longer than the pause of a preempted request
	// and shorter than the time that callers wait.
	streamSilenceTimeout = 1500 * time.Millisecond
)

// generation is the state of one request to model engines.
type generation struct {
	*inFlight
	caller traffic.Caller
	// headSent says that the caller has the head of the stream.
	headSent bool
	// lastEventID is the ID of the last event that the caller has, or "".
	lastEventID string
	// mayHaveRun says that some engine may have executed the request.
	mayHaveRun bool
	// originSent says that other hosts were told which software version began the stream.
	originSent bool
	// reservedAt is when the last slot was reserved.
	reservedAt time.Time
	// lastEngine is the engine that streamed last. It keeps the prompt for a while.
	lastEngine *traffic.Upstream
	// unusedPrompt is a prompt that was prefilled at prefilledAt and not used yet, unusedFor why.
	unusedPrompt *traffic.Prompt
	unusedFor    wasteCause
	prefilledAt  time.Time
	// prefillCalls and streamCalls count the calls to prefill the prompt and those
	// to start the stream, without calls that were not sent.
	prefillCalls, streamCalls int
	// prefilled says that a prefill call succeeded.
	prefilled bool
	// fetched says that the decode engine of the last stream got a prefilled prompt.
	fetched bool
	// prefillLost says that a prefill engine closed the connection. If it crashed, a
	// complete stream does not clear the request: it was prefilled elsewhere.
	prefillLost bool
}

// serveGeneration serves a generation.
func (g *Gate) serveGeneration(ctx context.Context, f *inFlight, caller traffic.Caller) {
	n := &generation{inFlight: f, caller: caller, lastEventID: f.req.LastEventID}
	if f.prompted {
		n.prefillCalls = 1
	}
	defer func() { g.discardUnused(ctx, n) }()
	for {
		refusal := g.attempt(ctx, n)
		if refusal == nil {
			return
		}
		if ctx.Err() == nil && g.mayRetry(n, refusal) {
			g.metrics.retried.Add(1)
			continue
		}
		if refusal.Kind == domain.RefusalCutOff && ctx.Err() == nil {
			if refusal = g.passOnGeneration(ctx, n); refusal == nil {
				return
			}
		}
		g.end(f, caller, n.headSent, refusal)
		return
	}
}

// mayRetry reports whether a generation that failed may be attempted again.
func (g *Gate) mayRetry(n *generation, refusal *domain.Refusal) bool {
	if refusal.Kind != domain.RefusalUpstreamFailed {
		return false
	}
	if n.mayHaveRun && !n.route.Resumable {
		return false
	}
	if n.left() == 0 && n.isGranted() {
		return false // The host that passed the request on may choose another one.
	}
	if n.streamCalls > n.limit {
		return false
	}
	return !n.mayHaveRun || n.left() > 0
}

// takeRetry reports whether the request may make one more call to the service. It
// spends a retry of the budget if priorCalls is not 0: the first prefill and the
// first stream of a request are no retries.
func (g *Gate) takeRetry(n *generation, priorCalls int) bool {
	if priorCalls == 0 || g.cfg.Budget.TakeRetry(n.service, time.Now()) {
		return true
	}
	klog.InfoS("retry budget used up", "request", n.req.ID, "service", n.service)
	return false
}

// overBudgetRefusal is the refusal of a request that must not be sent again because
// the retry budget is used up.
func overBudgetRefusal(n *generation) *domain.Refusal {
	return domain.Refuse(domain.RefusalOverloaded, "the retry budget is used up",
		"try again after the stated time").WithRan(n.ran()).WithRetryAfter(n.level.RetryAfter(busyRetryAfter))
}

// attempt reserves a slot, has the prompt prefilled and relays the stream. It
// returns nil if the caller has the complete response, and the reason otherwise.
func (g *Gate) attempt(ctx context.Context, n *generation) *domain.Refusal {
	if refusal := g.versionGone(n.inFlight); refusal != nil {
		return refusal.WithRan(n.ran())
	}
	if g.isCutOff(n.inFlight) {
		return cutOffRefusal(n.service).WithRan(n.ran())
	}
	end, refusal := g.beginAttempt(ctx, n.inFlight)
	if refusal != nil {
		return refusal.WithRan(n.ran())
	}
	defer end()
	if n.streamCalls > 0 && !g.takeRetry(n, n.streamCalls) {
		return overBudgetRefusal(n)
	}
	n.held = heldPrompt{}
	reservation, refusal := g.reserveSlot(ctx, n)
	if refusal != nil {
		return refusal.WithRan(n.ran())
	}
	if refusal := g.quarantined(n.inFlight); refusal != nil {
		g.returnReservation(reservation)
		return refusal.WithRan(n.ran())
	}
	n.reservedAt = time.Now()
	g.metrics.slotWait.Record(n.reservedAt.Sub(n.req.Arrived))
	g.urgency.placed(n.inFlight, n.reservedAt)
	t := g.stats.forUpstream(reservation.Engine)
	t.callStarted()
	result := outcomeIgnored
	defer func() {
		t.callEnded(result, 0, time.Now())
		g.slots.queue(n.service).requestEnded(reservation.Engine.ID)
	}()
	announced := g.announce(ctx, n, reservation.Engine)
	prompt := g.prefillFor(ctx, n, reservation)
	if ctx.Err() != nil {
		g.returnReservation(reservation)
		g.discardPrompt(prompt, wasteCallerGone)
		return g.endedRefusal(ctx, n)
	}
	if refusal := g.quarantined(n.inFlight); refusal != nil {
		g.returnReservation(reservation)
		g.discardPrompt(prompt, wasteQuarantined)
		return refusal.WithRan(n.ran())
	}
	// The first prefill call is free only if an engine prefilled the prompt.
	if n.streamCalls == 0 && !n.prefilled && !g.takeRetry(n, n.prefillCalls) {
		g.returnReservation(reservation)
		return overBudgetRefusal(n)
	}
	if refusal := announced(); refusal != nil {
		g.returnReservation(reservation)
		n.unusedPrompt, n.unusedFor = prompt, wasteSlotLost
		return refusal.WithRan(n.ran())
	}
	prefillEnd := time.Now()
	stream, err := g.openStream(ctx, n, reservation, prompt)
	if err != nil {
		result, refusal = g.streamNotStarted(ctx, n, reservation, prompt, asCallError(err))
		return refusal
	}
	n.mayHaveRun, n.lastEngine = true, reservation.Engine
	t.streamStarted()
	defer stream.Close()
	n.fetched = prompt != nil
	g.recordHeldStream(n, reservation.Engine)
	g.countResumption(n, reservation.Engine)
	klog.InfoS("stream started", append([]any{
		"request", n.req.ID, "decode", reservation.Engine.ID, "prefill", prefillEngineID(prompt),
		"process", reservation.Engine.Incarnation().String(), "software", reservation.Engine.Version, "resumes", n.req.Resumes, "after", n.lastEventID,
		"waited", n.reservedAt.Sub(n.req.Arrived).Round(time.Millisecond), "read", prefillEnd.Sub(n.reservedAt).Round(time.Millisecond),
		"reserved", reservation.Tokens, "held_prefill", n.held.prefill.Held, "held_decode", n.held.decode.Held,
		"event_time", n.held.decode.eventTime, "version", n.configVersion,
	}, n.levelDetails()...)...)
	result, refusal = g.streamEnded(ctx, n, reservation, g.relayEvents(ctx, n, stream))
	return refusal
}

// streamNotStarted handles a stream that did not start. The prompt is kept for the
// next attempt if the request did not reach the engine.
func (g *Gate) streamNotStarted(ctx context.Context, n *generation, reservation *traffic.Reservation, prompt *traffic.Prompt, call *traffic.CallError) (outcome, *domain.Refusal) {
	klog.InfoS("decode not started", "request", n.req.ID, "fingerprint", n.req.Fingerprint, "upstream", reservation.Engine.ID,
		"effect", call.Effect, "lost", call.ConnectionLost, "err", call.Err)
	g.observeFailure(ctx, n.inFlight, reservation.Engine, call)
	if call.Effect != traffic.EffectUnknown {
		g.discardReservation(reservation)
	}
	switch {
	case call.NotDelivered(), call.Rests:
		n.unusedPrompt, n.unusedFor = prompt, notStartedCause(call)
	case call.Effect == traffic.EffectRejected:
		g.discardPrompt(prompt, n.rejectedCause(reservation, time.Now()))
	case prompt != nil:
		g.countWaste(ctx, wasteAnswerLost)
	}
	if call.Misdirected {
		n.replaced[reservation.Engine.Incarnation()] = true
	}
	if call.Effect == traffic.EffectUnknown {
		n.mayHaveRun = true
		g.countBreak(n, reservation.Engine, call)
	}
	result := g.openOutcome(ctx, call)
	if ctx.Err() != nil {
		return result, g.endedRefusal(ctx, n)
	}
	return result, n.failedRefusal("the decode engine " + string(reservation.Engine.ID) + " failed")
}

// streamEnded handles the end of a relayed stream. err is nil if the stream was
// complete.
func (g *Gate) streamEnded(ctx context.Context, n *generation, reservation *traffic.Reservation, err error) (outcome, *domain.Refusal) {
	switch {
	case err == nil:
		if !n.prefillLost {
			g.cfg.Quarantine.Clear(n.req.Fingerprint, n.parts...)
		}
		g.metrics.answered.Add(1)
		g.pace.record(n.inFlight, time.Since(n.reservedAt))
		g.cfg.Loads.RecordRequest(n.service, n.req.PromptTokens, reservation.Tokens, time.Since(n.reservedAt))
		klog.InfoS("stream ended", "request", n.req.ID, "decode", reservation.Engine.ID, "events", n.eventsSent,
			"prompt", n.req.PromptTokens, "max output", n.req.MaxOutput, "hint", n.req.OutputHint, "reserved", reservation.Tokens,
			"took", time.Since(n.req.Arrived).Round(time.Millisecond))
		return outcomeAnswered, nil
	case ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		return outcomeIgnored, g.endedRefusal(ctx, n)
	default:
		call := asCallError(err)
		klog.InfoS("stream lost", "request", n.req.ID, "fingerprint", n.req.Fingerprint, "decode", reservation.Engine.ID,
			"events", n.eventsSent, "lost", call.ConnectionLost, "err", err)
		g.observeFailure(ctx, n.inFlight, reservation.Engine, call)
		n.slotNeededSince = time.Now()
		g.countBreak(n, reservation.Engine, err)
		return outcomeConnectionFailed, n.failedRefusal("the stream of " + string(reservation.Engine.ID) + " broke")
	}
}

// countBreak counts a stream that broke at an engine. One whose response was not the stream is
// not asked to go on with it.
func (g *Gate) countBreak(n *generation, engine *traffic.Upstream, err error) {
	n.breaks[engine.Incarnation()]++
	if errors.Is(err, eventstream.ErrMalformed) {
		g.metrics.streamsMalformed.Add(1)
		n.breaks[engine.Incarnation()] += maxBreaksAtEngine
	}
}

// reserveSlot reserves a slot. A broken stream is resumed on the same engine if
// that engine still takes new work and grants a slot, because it has the prompt.
func (g *Gate) reserveSlot(ctx context.Context, n *generation) (*traffic.Reservation, *domain.Refusal) {
	if n.lastEngine != nil && n.mayStream(n.lastEngine) && !(n.isWorn(n.lastEngine) && g.hasOtherEngine(n.inFlight)) &&
		g.cfg.Catalog.Current(n.lastEngine) && g.cfg.RateLimits.Take(ctx, n.lastEngine) {
		ttl := min(reservationTTL, n.engine.ReservationTTL)
		if r, err := g.reserve(ctx, n.inFlight, n.lastEngine, estimateTokens(n.req), ttl); err == nil {
			return r, nil
		}
		g.cfg.RateLimits.GiveBack(n.lastEngine)
	}
	return g.slots.acquire(ctx, n.inFlight)
}

// openOutcome returns the outcome of a stream that did not start. A single rejection may be due
// to the memory of the prompt.
func (g *Gate) openOutcome(ctx context.Context, call *traffic.CallError) outcome {
	switch {
	case call.Misdirected:
		return outcomeReplaced
	case call.Effect == traffic.EffectRejected && !call.Rests:
		return outcomeStreamRejected
	case call.Effect == traffic.EffectRejected, ctx.Err() != nil, errors.Is(call, errEngineLeaving), errors.Is(call, errEngineRests):
		return outcomeIgnored
	default:
		return outcomeConnectionFailed
	}
}

// endedRefusal is the refusal of a request whose deadline passed, whose caller disconnected
// or whose host ends.
func (g *Gate) endedRefusal(ctx context.Context, n *generation) *domain.Refusal {
	if g.hostEnds.Err() != nil {
		return endingRefusal(n.ran())
	}
	kind, message := domain.RefusalCanceled, "the caller left"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind, message = domain.RefusalDeadline, "the answer was not complete in time"
	}
	return domain.Refuse(kind, message, "send the request again").WithRan(n.ran())
}

func (n *generation) failedRefusal(message string) *domain.Refusal {
	return domain.Refuse(domain.RefusalUpstreamFailed, message, "send the request again").WithRan(n.ran())
}

func (n *generation) ran() domain.Ran {
	if n.mayHaveRun {
		return domain.RanUnknown
	}
	return domain.RanNo
}

// discardReservation releases an unused reservation in the background.
func (g *Gate) discardReservation(reservation *traffic.Reservation) {
	go g.releaseReservation(context.Background(), reservation)
}

// releaseReservation releases an unused reservation, unless its engine wants no calls. It expires
// then.
func (g *Gate) releaseReservation(ctx context.Context, reservation *traffic.Reservation) {
	if !g.cfg.RateLimits.Resting(reservation.Engine) {
		g.cfg.Upstreams.ReleaseReservation(ctx, reservation)
	}
}

// returnReservation releases a reservation whose engine was not sent the request.
func (g *Gate) returnReservation(reservation *traffic.Reservation) {
	g.cfg.RateLimits.GiveBack(reservation.Engine)
	g.discardReservation(reservation)
}

func prefillEngineID(p *traffic.Prompt) domain.UpstreamID {
	if p == nil {
		return ""
	}
	return p.Engine.ID
}

// sendOptions returns the options that are sent to an engine with the request.
func (n *generation) sendOptions(reservation *traffic.Reservation, prompt *traffic.Prompt) traffic.SendOptions {
	return traffic.SendOptions{
		Remaining: n.timeLeft(time.Now()), Resume: n.lastEventID != "", LastEventID: n.lastEventID,
		Verify: n.route.Resumable,
		Prompt: prompt, Reservation: reservation, Urgency: n.engineUrgency(),
	}
}

// errEngineLeaving means that an engine stopped taking work after a slot on it was
// reserved.
var errEngineLeaving = errors.New("the engine no longer takes work; another one is chosen")

// errEngineRests means that an engine asked for rest after a slot on it was reserved.
var errEngineRests = errors.New("the engine asked for rest; another one is chosen")

// errAttemptsUsed means that the configuration lowered the number of upstreams meanwhile.
var errAttemptsUsed = errors.New("the route no longer allows another upstream; send the request again")

// openStream starts the stream on the reserved decode engine, and keeps count of the
// calls and of the upstreams that received the request.
func (g *Gate) openStream(ctx context.Context, n *generation, reservation *traffic.Reservation, prompt *traffic.Prompt) (traffic.Stream, error) {
	up := reservation.Engine
	if !g.cfg.Catalog.Current(up) {
		return nil, &traffic.CallError{Effect: traffic.EffectNotSent, Err: errEngineLeaving}
	}
	if g.cfg.RateLimits.Resting(up) {
		return nil, &traffic.CallError{Effect: traffic.EffectNotSent, Err: errEngineRests}
	}
	g.lowerLimit(n.inFlight)
	if !n.maySend(up) {
		return nil, &traffic.CallError{Effect: traffic.EffectNotSent, Err: errAttemptsUsed}
	}
	sentBefore := n.wasSent(up)
	n.streamCalls++
	n.add(up)
	stream, err := g.startStream(ctx, n, reservation, prompt)
	g.observeReach(ctx, n.service, err)
	if err == nil {
		return stream, nil
	}
	call := asCallError(err)
	if call.Effect == traffic.EffectNotSent {
		n.streamCalls--
	}
	if !sentBefore && call.NotDelivered() {
		g.forget(n.inFlight, up)
	}
	return nil, err
}

// startStream sends the request to the decode engine. On a resumable route, the call
// is canceled if the engine does not respond within streamSilenceTimeout.
func (g *Gate) startStream(ctx context.Context, n *generation, reservation *traffic.Reservation, prompt *traffic.Prompt) (traffic.Stream, error) {
	g.cfg.RateLimits.Sent(reservation.Engine)
	n.sentAt = time.Now()
	options := n.sendOptions(reservation, prompt)
	if !n.route.Resumable {
		return g.cfg.Upstreams.Stream(ctx, reservation.Engine, n.req, options)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := pause.AfterFunc(streamSilenceTimeout, cancel)
	stream, err := g.cfg.Upstreams.Stream(ctx, reservation.Engine, n.req, options)
	timer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	return cancellingStream{stream, cancel}, nil
}

// cancellingStream cancels its context when it is closed.
type cancellingStream struct {
	traffic.Stream
	cancel context.CancelFunc
}

// Close implements Stream.
func (s cancellingStream) Close() {
	s.Stream.Close()
	s.cancel()
}

// errCallerDisconnected means that an event could not be delivered.
var errCallerDisconnected = errors.New("the caller disconnected; nothing more is sent")

// relayEvents passes the events on to the caller until the stream ends. It returns
// nil if the stream is complete.
func (g *Gate) relayEvents(ctx context.Context, n *generation, stream traffic.Stream) error {
	events, first := sequence{last: n.lastEventID}, true
	var pace streamPace
	defer func() { g.recordSpeed(n, &pace, n.sentAt) }()
	for {
		wait := time.Until(n.answerDeadline)
		if n.route.Resumable {
			wait = min(wait, streamSilenceTimeout)
		}
		event, err := events.next(stream, wait)
		if errors.Is(err, io.EOF) && stream.Unframed() {
			if err := g.checkUnframedEnd(ctx, n.inFlight, n.lastEngine); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		g.cfg.Reach.Reached(n.service)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pace.arrived(time.Now())
		if first {
			g.firstEventArrived(n)
			first = false
		}
		if !n.headSent {
			n.sendHead(stream)
		}
		g.bindVersion(n, stream)
		if err := n.caller.Event(event); err != nil {
			g.metrics.disconnected.Add(1)
			return errCallerDisconnected
		}
		pace.delivered(time.Now())
		if event.ID != "" {
			n.eventSent()
			n.lastEventID = event.ID
		}
	}
}

// countResumption counts a stream that goes on at an engine within the same response.
func (g *Gate) countResumption(n *generation, engine *traffic.Upstream) {
	if n.eventsSent == 0 {
		return
	}
	g.metrics.streamsResumed.Add(1)
	if !n.fits(engine) {
		g.metrics.streamsOtherVersion.Add(1)
	}
}

func (n *generation) sendHead(stream traffic.Stream) {
	n.headSent = true
	n.caller.Start(stream.Head())
}
