package quarantine

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// completedBefore reports whether a part of prompts completed within the strike TTL.
func (l *List) completedBefore(of subject) bool {
	return of.part && time.Since(l.completedParts.Entries[of]) <= l.cfg.StrikeTTL
}

// evidence is what speaks against a subject: its strikes that no culprit explains.
type evidence struct {
	// strikes counts upstreams, crashes also repeated crashes of one.
	strikes, crashes int
	// occasions counts simultaneous crashes as one.
	occasions int
}

func (r *record) evidence() evidence {
	var e evidence
	times := make([]time.Time, 0, len(r.strikes))
	for _, s := range r.strikes {
		if !s.explained {
			e.strikes++
			e.crashes += s.crashes
			times = append(times, s.crashedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var last time.Time
	for _, at := range times {
		if e.occasions == 0 || at.Sub(last) > simultaneousWindow {
			e.occasions++
			last = at
		}
	}
	return e
}

// atLimit reports whether the strikes of a subject suffice to quarantine it, unless it has
// rivals.
func (l *List) atLimit(of subject, r *record) bool { return l.suffices(of, r.evidence()) }

// nearLimit reports whether one more crash would bring a subject to its limit, or it is
// there.
func (l *List) nearLimit(of subject, r *record) bool {
	e := r.evidence()
	if of.part && e.occasions < l.cfg.StrikeLimit-1 {
		return false // Many simultaneous crashes are no reason to delay requests.
	}
	return l.suffices(of, evidence{strikes: e.strikes + 1, crashes: e.crashes + 1, occasions: e.occasions + 1})
}

func (l *List) suffices(of subject, e evidence) bool {
	switch {
	case l.completedBefore(of):
		return e.occasions >= completedPartOccasions
	case of.part:
		return e.occasions >= l.cfg.StrikeLimit || e.occasions > 1 && e.strikes >= l.cfg.StrikeLimit+extraPartStrikes
	default:
		return l.enoughStrikes(e) && e.occasions >= l.cfg.RequestOccasions
	}
}

// enoughStrikes reports whether a request has strikes enough to be quarantined.
func (l *List) enoughStrikes(e evidence) bool {
	return e.strikes >= l.cfg.StrikeLimit || e.crashes >= l.cfg.StrikeLimit+extraCrashes
}

// onOneOccasion reports whether the upstreams whose crashes speak against a request ended
// together, so that it may have been there for another reason.
func (l *List) onOneOccasion(of subject, r *record) bool {
	e := r.evidence()
	return !of.part && l.enoughStrikes(e) && e.occasions < l.cfg.RequestOccasions
}

// rivals returns the other subjects that were on all upstreams whose crashes speak against
// a subject at its limit, so that one more crash must tell which of them is the cause. A
// part that completed before is no rival to what never did. Requests with extraCrashes
// more than the limit have none but parts.
func (l *List) rivals(of subject, r *record) []subject {
	var rivals []subject
	decided := !of.part && r.evidence().crashes >= l.cfg.StrikeLimit+extraCrashes
	for s, other := range l.records.Entries {
		if s == of || other.quarantined || decided && !s.part || l.completedBefore(s) && !l.completedBefore(of) {
			continue
		}
		if !slices.ContainsFunc(r.strikes, func(s strike) bool { return !s.explained && !other.sharesCrash(s) }) {
			rivals = append(rivals, s)
		}
	}
	return rivals
}

// judge finds the culprits among the subjects that are at their limits, those with the most
// strikes first, as their strikes explain those of others.
func (l *List) judge() {
	if !l.mustJudge {
		return
	}
	l.mustJudge = false
	before, undecided := l.culprits, l.undecided()
	l.culprits = make(map[subject]*record)
	explained := l.resetVerdicts()
	for {
		of, r := l.nextCulprit()
		if r == nil {
			break
		}
		r.quarantined, r.rivals = true, nil
		l.culprits[of] = r
		l.explain(of, r)
	}
	explainedNow := 0
	for _, r := range l.records.Entries {
		explainedNow += r.explainedStrikes()
	}
	l.count(defExplained, int64(max(0, explainedNow-explained)))
	for of, r := range l.culprits {
		if before[of] == nil {
			l.count(defQuarantined, 1)
			klog.InfoS("request quarantined", "fingerprint", of.fingerprint, "part", of.part, "crashes", r.crashes())
		}
	}
	for of := range l.undecided() {
		if !undecided[of] {
			l.count(defUndecided, 1)
			klog.InfoS("request undecided", "fingerprint", of.fingerprint, "part", of.part, "rivals", len(l.records.Entries[of].rivals))
		}
	}
	for of := range before {
		if l.culprits[of] == nil {
			klog.InfoS("request no longer quarantined", "fingerprint", of.fingerprint, "part", of.part)
		}
	}
}

// undecided returns the subjects at their limits that have rivals.
func (l *List) undecided() map[subject]bool {
	found := make(map[subject]bool)
	for of, r := range l.records.Entries {
		if len(r.rivals) > 0 {
			found[of] = true
		}
	}
	return found
}

// resetVerdicts drops what judge decided, and returns how many strikes were explained.
func (l *List) resetVerdicts() int {
	explained := 0
	for _, r := range l.records.Entries {
		explained += r.explainedStrikes()
		r.quarantined, r.rivals = false, nil
		for i := range r.strikes {
			r.strikes[i].explained = false
		}
	}
	return explained
}

// nextCulprit returns the subject at its limit that has the most unexplained strikes and no
// rivals, or nil, and notes the rivals of the others.
func (l *List) nextCulprit() (subject, *record) {
	var found subject
	var best *record
	for of, r := range l.records.Entries {
		if r.quarantined {
			continue
		}
		r.rivals = nil
		if !l.atLimit(of, r) {
			continue
		}
		if r.rivals = l.rivals(of, r); len(r.rivals) > 0 {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(r.evidence().strikes, best.evidence().strikes),
			cmp.Compare(found.fingerprint, of.fingerprint),
		) > 0 {
			found, best = of, r
		}
	}
	return found, best
}

// explain marks as explained the strikes of others for crashes that a culprit caused.
func (l *List) explain(culprit subject, r *record) {
	for s, other := range l.records.Entries {
		if s == culprit || other.quarantined {
			continue
		}
		for i := range other.strikes {
			other.strikes[i].explained = other.strikes[i].explained || r.sharesCrash(other.strikes[i])
		}
	}
}

// isExplained reports whether a culprit caused the crash of a strike.
func (l *List) isExplained(s strike) bool {
	for of, r := range l.culprits {
		if l.records.Entries[of] != r {
			delete(l.culprits, of)
			continue
		}
		if r.sharesCrash(s) {
			return true
		}
	}
	return false
}
