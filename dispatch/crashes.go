package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/connloss"
	"greengagespoke/traffic"
)

const (
	// maxLoggedParts bounds the parts of a prompt that a log line names.
	maxLoggedParts = 8
	// maxLoggedPath bounds the path that a log line names, in bytes.
	maxLoggedPath = 80
)

// countFailure counts a call that failed without a word of the upstream.
func (g *Gate) countFailure(call *traffic.CallError) {
	switch {
	case call.Effect == traffic.EffectNotSent:
		g.metrics.notReached.Add(1)
	case call.Effect == traffic.EffectUnknown && !call.ConnectionLost:
		g.metrics.silent.Add(1)
	}
}

// observeFailure counts a call that failed because its connection was lost, and finds out
// whether the upstream's process has ended. If so, the request gets a strike, and so do those that
// were given up shortly before, as the upstream may still have run them. A leaving upstream closes
// its connections as planned, so its end is no crash.
func (g *Gate) observeFailure(ctx context.Context, f *inFlight, up *traffic.Upstream, call *traffic.CallError) {
	g.countFailure(call)
	t := g.stats.forUpstream(up)
	if call.Effect == traffic.EffectUnknown && !call.ConnectionLost {
		t.abandon(f, time.Now())
	}
	if call.ConnectionLost || call.Misdirected {
		g.prompts.Forget(up)
	}
	if call.ConnectionLost {
		g.metrics.connectionsLost.Add(1)
	} else if call.Effect != traffic.EffectNotSent || !connloss.Refused(call) || !t.hasAbandoned(time.Now()) {
		return
	}
	if !g.cfg.Catalog.Current(up) || !g.crashed(ctx, f, up) {
		return
	}
	upstream := domain.UpstreamID(up.Incarnation().String())
	for _, a := range t.takeAbandoned(time.Now()) {
		g.metrics.crashesAbandoned.Add(1)
		g.cfg.Quarantine.RecordCrash(g.cfg.Quarantine.Process(upstream, a.sentAt), []uint64{a.fingerprint}, a.parts...)
		klog.InfoS("upstream crashed after a request to it was given up", "fingerprint", a.fingerprint, "upstream", up.ID)
	}
	if !call.ConnectionLost {
		return
	}
	g.metrics.crashes.Add(1)
	process := g.cfg.Quarantine.Process(upstream, f.sentAt)
	g.cfg.Quarantine.RecordCrash(process, []uint64{f.req.Fingerprint}, f.parts...)
	klog.InfoS("upstream crashed while it had a request", "request", f.req.ID, "fingerprint", f.req.Fingerprint,
		"parts", f.parts[:min(len(f.parts), maxLoggedParts)], "upstreams_used", f.used(),
		"target", f.req.Host, "path", f.req.Path[:min(len(f.req.Path), maxLoggedPath)],
		"upstream", up.ID, "role", up.Role, "process", process)
}

// errMayBeCut means that an unframed response ended and may be incomplete.
var errMayBeCut = errors.New("the response has no length, and its upstream's process has ended or may have")

// checkUnframedEnd returns an error if an unframed response may have ended because the upstream's
// process did, so that it may be incomplete. That holds for upstreams that are ready, that drain and
// that are no longer registered: those that leave exit while they still send. If it is not known
// whether the process has ended, the response does not count as complete.
func (g *Gate) checkUnframedEnd(ctx context.Context, f *inFlight, up *traffic.Upstream) error {
	switch g.processState(ctx, f, up) {
	case processListens:
		return nil
	case processRefusesHere:
		// Only this host is refused. An upstream that leaves may have closed its listener first.
		if g.cfg.Catalog.Current(up) {
			return nil
		}
	case processUnknown, processEnded:
	}
	return &traffic.CallError{Effect: traffic.EffectUnknown, ConnectionLost: true, Err: errMayBeCut}
}

// crashed reports whether the process of a ready upstream that closed a connection has ended.
func (g *Gate) crashed(ctx context.Context, f *inFlight, up *traffic.Upstream) bool {
	return g.processState(ctx, f, up) == processEnded
}

// processState is what is known of the process of an upstream that closed a connection.
type processState int

const (
	// processUnknown means that its address was not reached.
	processUnknown processState = iota
	// processListens means that a process accepts connections there.
	processListens
	// processRefusesHere means that connections of this host are refused there, processEnded that
	// those of all hosts are.
	processRefusesHere
	processEnded
)

// processState finds out whether the process of an upstream that closed a connection accepts
// further ones. One request at a time asks, and the others use its result.
func (g *Gate) processState(ctx context.Context, f *inFlight, up *traffic.Upstream) processState {
	lostAt := time.Now()
	t := g.stats.forUpstream(up)
	t.crashTurn.Take()
	defer t.crashTurn.Give()
	if t.crashCheckedAt.After(lostAt) {
		return t.process
	}
	t.crashCheckedAt = time.Now()
	// The caller may have left since.
	listening, err := g.cfg.Upstreams.Listening(context.WithoutCancel(ctx), up)
	switch {
	case err != nil:
		t.process = processUnknown
		g.metrics.crashesUnknown.Add(1)
		klog.InfoS("upstream may have crashed", "request", f.req.ID, "fingerprint", f.req.Fingerprint, "upstream", up.ID, "err", err)
	case listening:
		t.process = processListens
	case g.cfg.Reach.Ended(ctx, up):
		t.process = processEnded
	default:
		t.process = processRefusesHere
	}
	return t.process
}

const (
	// abandonedTTL is how long after it was given up a request may have crashed its upstream.
	abandonedTTL = 2 * time.Second
	// maxAbandoned bounds the requests that were given up of which it is kept for an upstream.
	maxAbandoned = 16
)

// abandonedCall is a request that was given up while its upstream had it.
type abandonedCall struct {
	fingerprint uint64
	parts       []uint64
	sentAt, at  time.Time
}

// abandon notes that a request was given up.
func (t *upstreamStats) abandon(f *inFlight, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = append(t.abandoned, abandonedCall{fingerprint: f.req.Fingerprint, parts: f.parts, sentAt: f.sentAt, at: now})
	t.abandoned = t.abandoned[max(0, len(t.abandoned)-maxAbandoned):]
}

// hasAbandoned reports whether a request was given up lately.
func (t *upstreamStats) hasAbandoned(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.abandoned) > 0 && now.Sub(t.abandoned[len(t.abandoned)-1].at) <= abandonedTTL
}

// takeAbandoned removes the requests that were given up, and returns those of lately.
func (t *upstreamStats) takeAbandoned(now time.Time) []abandonedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	lately := slices.DeleteFunc(t.abandoned, func(a abandonedCall) bool { return now.Sub(a.at) > abandonedTTL })
	t.abandoned = nil
	return lately
}
