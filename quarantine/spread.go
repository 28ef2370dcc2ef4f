package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// sendsPerStrike is the number of times that a host sends a strike. Every host that
	// receives a new strike forwards it as often, so that few sends reach all hosts.
	sendsPerStrike = 12
	// maxStrikesPerMessage bounds the strikes that one message to another host carries.
	maxStrikesPerMessage = 8
	// maxCompletionsPerMessage bounds the completions among them.
	maxCompletionsPerMessage = 4
)

// pendingStrike is a strike that is still to be sent to other hosts.
type pendingStrike struct {
	of      subject
	strikes int
	strike  *strike
}

// Updates returns the strikes and completions to send in the next message to another host:
// completions, as other hosts may delay these requests, then the strikes of the requests with
// the most strikes. Each is returned a bounded number of times.
func (l *List) Updates() []ports.Strike {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var all []pendingStrike
	for f, r := range l.records.Entries {
		for i := range r.strikes {
			if r.strikes[i].sendsLeft > 0 {
				all = append(all, pendingStrike{of: f, strikes: len(r.strikes), strike: &r.strikes[i]})
			}
		}
	}
	slices.SortFunc(all, comparePending)
	out := l.unsentCompletions(now)
	for _, w := range all[:min(len(all), maxStrikesPerMessage-len(out))] {
		w.strike.sendsLeft--
		out = append(out, ports.Strike{
			Fingerprint: w.of.fingerprint,
			Part:        w.of.part,
			Upstream:    w.strike.upstream,
			Suspects:    w.strike.suspects,
			Age:         now.Sub(w.strike.crashedAt),
		})
	}
	return out
}

// unsentCompletions returns the completions for the next message.
func (l *List) unsentCompletions(now time.Time) []ports.Strike {
	unsent := slices.SortedFunc(maps.Keys(l.unsent.Entries), func(a, b subject) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	var out []ports.Strike
	for _, of := range unsent[:min(len(unsent), maxCompletionsPerMessage)] {
		if l.unsent.Entries[of]--; l.unsent.Entries[of] <= 0 {
			l.unsent.Remove(of)
		}
		out = append(out, ports.Strike{Fingerprint: of.fingerprint, Part: of.part, Age: now.Sub(l.completions(of).Entries[of])})
	}
	return out
}

// comparePending sorts strikes of requests with more strikes first, then strikes that
// were sent less often. The other keys make the order deterministic.
func comparePending(a, b pendingStrike) int {
	return cmp.Or(
		cmp.Compare(b.strikes, a.strikes),
		cmp.Compare(b.strike.sendsLeft, a.strike.sendsLeft),
		cmp.Compare(a.of.fingerprint, b.of.fingerprint),
		cmp.Compare(a.strike.upstream, b.strike.upstream),
	)
}

// Merge records the strikes received from another host. New ones are forwarded by
// Updates.
func (l *List) Merge(strikes []ports.Strike) { l.merge(strikes, sendsPerStrike) }

// MergeStored records strikes that all hosts read from the store, so that Updates does
// not forward them.
func (l *List) MergeStored(strikes []ports.Strike) { l.merge(strikes, 0) }

func (l *List) merge(strikes []ports.Strike, sends int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range strikes {
		// Nothing has happened in the future: it would never lapse.
		s.Age, s.Suspects = max(0, s.Age), max(0, s.Suspects)
		of := subject{fingerprint: s.Fingerprint, part: s.Part}
		if s.Upstream == "" {
			l.clearUntil(of, now.Add(-s.Age), sends)
			continue
		}
		recorded := l.recordStrike(of, strike{
			upstream:  s.Upstream,
			crashedAt: now.Add(-s.Age),
			suspects:  s.Suspects,
			sendsLeft: sends,
		})
		if recorded {
			l.count(defStrikesReceived, 1)
		}
	}
	l.judge()
}

// CrashedUpstreams returns the distinct upstreams that crashed while they ran the request.
func (l *List) CrashedUpstreams(request uint64) []domain.UpstreamID {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unexpiredRecord(subject{fingerprint: request})
	if r == nil {
		return nil
	}
	out := make([]domain.UpstreamID, len(r.strikes))
	for i, s := range r.strikes {
		out[i] = s.upstream
	}
	return out
}
