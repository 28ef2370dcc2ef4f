package keeper

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// crash is the report of a holder that an upstream died while it ran a request.
type crash struct {
	at time.Time
	// fingerprints are those of the requests that ran on the upstream.
	fingerprints []uint64
	// attempts are the attempts that ran there.
	attempts []domain.AttemptID
}

// crashReported notes that the decode upstream of a grant died. It receives no
// grants until it answers, and its answer shows whether it died for all.
func (g *group) crashReported(gr *grant, now time.Time) {
	d, ok := g.byDecode[gr.Decode]
	if !ok || gr.placed.Before(d.crashedAt) {
		return
	}
	c := &crash{at: now}
	for _, other := range d.grants {
		if other.promised {
			continue
		}
		c.attempts = append(c.attempts, other.Request)
		if other.Fingerprint != 0 {
			c.fingerprints = append(c.fingerprints, other.Fingerprint)
		}
	}
	d.crash, d.crashedAt = c, now
	d.listed = false
	g.list(&d.upstreamState)
}

// confirmCrash decides by a listing after the report. Where the upstream still
// runs one of the attempts, it did not die.
func (g *group) confirmCrash(u *upstreamState, began time.Time, running []ports.Running) {
	c := u.crash
	if c == nil || began.Before(c.at) {
		return
	}
	u.crash = nil
	for _, r := range running {
		if slices.Contains(c.attempts, r.ID) {
			g.keeper.metrics.falseCrashes.Add(1)
			return
		}
	}
	g.keeper.metrics.crashes.Add(1)
	klog.InfoS("upstream crashed", "upstream", u.up.ID, "group", g.id, "running", len(c.attempts))
	if g.keeper.cfg.Quarantine != nil {
		g.keeper.cfg.Quarantine.Crashed(u.up.ID, c.fingerprints)
	}
}

// refreshSuspicion marks a waiting request as suspect where a crash was seen
// since it was queued, and returns the refusal of a quarantined one.
func (g *group) refreshSuspicion(w *waiter) *domain.Refusal {
	q := g.keeper.cfg.Quarantine
	if q == nil || w.req.Fingerprint == 0 {
		return nil
	}
	w.req.Suspect = w.req.Suspect || q.Suspect(w.req.Fingerprint)
	return q.Check(w.req.Fingerprint)
}

// mustWait returns whether a request may not run now because of crashes: its
// part in one is not decided yet, or it is a suspect that runs already. A caller
// may send a request several times at once, but a suspect runs once at a time.
func (g *group) mustWait(w *waiter) bool {
	fingerprint := w.req.Fingerprint
	if fingerprint == 0 {
		return false
	}
	return g.accused(fingerprint) || (w.req.Suspect && g.suspects[fingerprint] > 0)
}

// accused returns whether a request ran on an upstream whose crash is not
// confirmed yet.
func (g *group) accused(fingerprint uint64) bool {
	for _, d := range g.decode {
		if d.crash != nil && slices.Contains(d.crash.fingerprints, fingerprint) {
			return true
		}
	}
	return false
}

// avoidCrashed returns the upstreams that a suspect must not use: those that
// crashed with it already are left out while there are others.
func (g *group) avoidCrashed(req *domain.PlaceRequest) []domain.UpstreamID {
	q := g.keeper.cfg.Quarantine
	if q == nil || req.Fingerprint == 0 {
		return req.Avoid
	}
	avoid := append(slices.Clone(req.Avoid), q.Strikes(req.Fingerprint)...)
	for _, d := range g.decode {
		if !slices.Contains(avoid, d.up.ID) {
			return avoid
		}
	}
	return req.Avoid
}

// countSuspect keeps the number of grants of a suspect request.
func (g *group) countSuspect(gr *grant, n int) {
	if !gr.Suspect || gr.Fingerprint == 0 {
		return
	}
	g.suspects[gr.Fingerprint] += n
	if g.suspects[gr.Fingerprint] <= 0 {
		delete(g.suspects, gr.Fingerprint)
	}
}
