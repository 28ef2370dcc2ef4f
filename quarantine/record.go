package quarantine

import (
	"slices"
	"strings"
	"time"

	"greengagespoke/domain"
)

// record holds the strikes of one subject.
type record struct {
	strikes []strike
	// cleared holds the strikes of a request from before it completed. completions counts how
	// often it did on this host since its last strike.
	cleared     []strike
	completions int
	// relapsed means that the request crashed an upstream after it had completed, so that a
	// completion does not clear it any more.
	relapsed bool
	// quarantined means that the subject is known to crash upstreams.
	quarantined bool
	// rivals are, of a subject with strikes enough to be quarantined, the others of which
	// one may be the cause instead.
	rivals []subject
	// failedTrials is the number of crashes when the quarantined subject was tried again.
	failedTrials int
}

// strike records the crashes of one upstream that ran the request, or one with the part.
type strike struct {
	upstream domain.UpstreamID
	// crashedAt is the time of the last crash, crashes the number of crashes.
	crashedAt time.Time
	crashes   int
	// suspects is the number of requests that ran on the upstream when it crashed.
	suspects int
	// explained means that a quarantined request or part is known to have caused the crash.
	explained bool
	// sendsLeft is the number of times that the strike is still to be sent to other
	// hosts.
	sendsLeft int
}

// successor reports whether the strike is for a successor of an upstream.
func (s strike) successor() bool { return strings.HasSuffix(string(s.upstream), successorSuffix) }

// sameCrash reports whether two strikes are for the same crash.
func (s strike) sameCrash(other strike) bool {
	window := sameCrashWindow
	if s.successor() {
		window = sameSuccessorWindow
	}
	return s.upstream == other.upstream && s.crashedAt.Sub(other.crashedAt).Abs() <= window
}

// suspect reports whether a strike is not explained.
func (r *record) suspect() bool {
	return slices.ContainsFunc(r.strikes, func(s strike) bool { return !s.explained })
}

// addStrike adds a strike and reports whether it is for a crash that was not known.
func (r *record) addStrike(s strike) bool {
	s.crashes = 1
	for i := range r.strikes {
		own := &r.strikes[i]
		if own.upstream != s.upstream || s.successor() && !own.sameCrash(s) {
			continue
		}
		own.suspects = max(own.suspects, s.suspects)
		if s.crashedAt.Sub(own.crashedAt) <= sameCrashWindow {
			return false
		}
		s.crashes += own.crashes
		*own = s
		return true
	}
	if len(r.strikes) >= maxRecordStrikes {
		oldest := slices.MinFunc(r.strikes, func(a, b strike) int { return a.crashedAt.Compare(b.crashedAt) })
		if s.crashedAt.Before(oldest.crashedAt) {
			return false
		}
		r.strikes = slices.DeleteFunc(r.strikes, func(known strike) bool { return known == oldest })
	}
	r.strikes = append(r.strikes, s)
	return true
}

// clear clears the strikes until a completion, and returns them.
func (r *record) clear(completedAt time.Time) []strike {
	var cleared []strike
	r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool {
		isCleared := !s.crashedAt.After(completedAt)
		if isCleared {
			cleared = append(cleared, s)
		}
		return isCleared
	})
	return cleared
}

// completedBefore reports whether a request with strikes has completed before.
func (r *record) completedBefore() bool { return r.relapsed || len(r.strikes) == 0 }

// reinstate lets the cleared strikes of a request count again that crashed an upstream after it
// had completed.
func (r *record) reinstate() {
	if len(r.cleared) > 0 {
		r.relapsed = true
		r.strikes = append(r.cleared, r.strikes...)
		r.strikes = r.strikes[max(0, len(r.strikes)-maxRecordStrikes):]
	}
	r.cleared, r.completions = nil, 0
}

// addLate adds a strike that arrived after the request had completed, from before that. It reports
// whether it counts now, as the request has crashed an upstream since.
func (r *record) addLate(s strike) bool {
	if r.relapsed {
		return r.addStrike(s)
	}
	before := record{strikes: r.cleared}
	before.addStrike(s)
	r.cleared = before.strikes
	if len(r.strikes) == 0 {
		return false
	}
	completions := r.completions
	r.reinstate()
	r.completions = completions
	return true
}

func (r *record) crashes() int {
	n := 0
	for _, s := range r.strikes {
		n += s.crashes
	}
	return n
}

func (r *record) explainedStrikes() int {
	n := 0
	for _, s := range r.strikes {
		if s.explained {
			n++
		}
	}
	return n
}

// sharesCrash reports whether the record has a strike for the same crash.
func (r *record) sharesCrash(s strike) bool {
	for _, own := range r.strikes {
		if own.sameCrash(s) {
			return true
		}
	}
	return false
}

func (r *record) lastCrash() time.Time {
	var lastCrash time.Time
	for _, strikes := range [][]strike{r.strikes, r.cleared} {
		for _, s := range strikes {
			if s.crashedAt.After(lastCrash) {
				lastCrash = s.crashedAt
			}
		}
	}
	return lastCrash
}
