package keeper

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// crashReport is a holder's report that an upstream crashed while it ran a
// request.
type crashReport struct {
	reportedAt time.Time
	// fingerprints are those of the requests that ran on the upstream.
	fingerprints []uint64
	// attempts are the attempts that ran there.
	attempts []domain.AttemptID
}

// handleCrashReport records that the decode upstream of a grant is reported to
// have crashed. The upstream receives no grants until it answers a listing,
// which also shows whether it really crashed.
func (g *group) handleCrashReport(gr *grant, now time.Time) {
	d, ok := g.decodeByID[gr.Decode]
	if !ok || gr.slotAssignedAt.Before(d.crashedAt) {
		return
	}
	c := &crashReport{reportedAt: now}
	for _, other := range d.grants {
		if other.promised {
			continue
		}
		c.attempts = append(c.attempts, other.Request)
		if other.Fingerprint != 0 {
			c.fingerprints = append(c.fingerprints, other.Fingerprint)
		}
	}
	d.reportedCrash, d.crashedAt = c, now
	d.listed = false
	g.requestListing(&d.upstreamState)
}

// confirmCrash confirms or denies a reported crash by a listing that was
// requested after the report. If the upstream still runs one of the attempts, it
// did not crash.
func (g *group) confirmCrash(u *upstreamState, began time.Time, running []ports.Running) {
	c := u.reportedCrash
	if c == nil || began.Before(c.reportedAt) {
		return
	}
	u.reportedCrash = nil
	for _, r := range running {
		if slices.Contains(c.attempts, r.ID) {
			g.keeper.metrics.falseCrashes.Add(1)
			return
		}
	}
	g.keeper.metrics.crashes.Add(1)
	klog.InfoS("upstream crashed", "upstream", u.up.ID, "group", g.id, "running", len(c.attempts))
	if g.keeper.cfg.Quarantine != nil {
		g.keeper.cfg.Quarantine.RecordCrash(u.up.ID, c.fingerprints)
	}
}

// refreshSuspicion marks a waiting request as suspect if an upstream crashed
// with it since it was queued. It returns the refusal if the request is
// quarantined.
func (g *group) refreshSuspicion(w *waiter) *domain.Refusal {
	q := g.keeper.cfg.Quarantine
	if q == nil || w.req.Fingerprint == 0 {
		return nil
	}
	w.req.Suspect = w.req.Suspect || q.Suspect(w.req.Fingerprint)
	return q.Check(w.req.Fingerprint)
}

// blockedByCrash returns whether a request may not run now because of crashes: a
// crash of an upstream that ran it is not confirmed yet, or it is a suspect that
// is already running. A caller may send the same request several times at once,
// but a suspect runs only once at a time.
func (g *group) blockedByCrash(w *waiter) bool {
	fingerprint := w.req.Fingerprint
	if fingerprint == 0 {
		return false
	}
	return g.inUnconfirmedCrash(fingerprint) || (w.req.Suspect && g.suspectGrants[fingerprint] > 0)
}

// inUnconfirmedCrash returns whether a request ran on an upstream whose crash is
// not confirmed yet.
func (g *group) inUnconfirmedCrash(fingerprint uint64) bool {
	for _, d := range g.decode {
		if d.reportedCrash != nil && slices.Contains(d.reportedCrash.fingerprints, fingerprint) {
			return true
		}
	}
	return false
}

// avoidedUpstreams returns the upstreams that a request must not use. Upstreams
// that already crashed with it are added, as long as there are others.
func (g *group) avoidedUpstreams(req *domain.SlotRequest) []domain.UpstreamID {
	q := g.keeper.cfg.Quarantine
	if q == nil || req.Fingerprint == 0 {
		return req.Avoid
	}
	avoid := append(slices.Clone(req.Avoid), q.CrashedUpstreams(req.Fingerprint)...)
	for _, d := range g.decode {
		if !slices.Contains(avoid, d.up.ID) {
			return avoid
		}
	}
	return req.Avoid
}

// addSuspectGrants adds n to the number of grants of a suspect request.
func (g *group) addSuspectGrants(gr *grant, n int) {
	if !gr.Suspect || gr.Fingerprint == 0 {
		return
	}
	g.suspectGrants[gr.Fingerprint] += n
	if g.suspectGrants[gr.Fingerprint] <= 0 {
		delete(g.suspectGrants, gr.Fingerprint)
	}
}
