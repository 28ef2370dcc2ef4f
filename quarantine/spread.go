package quarantine

import (
	"cmp"
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// spreadSends is how often a host sends a strike. Each host that receives a
	// new strike sends it on, so that few sends reach all hosts.
	spreadSends = 12
	// maxUpdates bounds the strikes in one message.
	maxUpdates = 24
)

// waiting is a strike that is still to be spread.
type waiting struct {
	fingerprint uint64
	strikes     int
	strike      *strike
}

// Updates returns strikes to send to another host: those of the requests with
// the most strikes first. Each strike is returned a bounded number of times.
func (l *List) Updates() []ports.Strike {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var all []waiting
	for f, r := range l.records.entries {
		for i := range r.strikes {
			if r.strikes[i].sends > 0 {
				all = append(all, waiting{fingerprint: f, strikes: len(r.strikes), strike: &r.strikes[i]})
			}
		}
	}
	slices.SortFunc(all, compareWaiting)
	out := make([]ports.Strike, 0, min(len(all), maxUpdates))
	for _, w := range all[:min(len(all), maxUpdates)] {
		w.strike.sends--
		out = append(out, ports.Strike{
			Fingerprint: w.fingerprint,
			Upstream:    w.strike.upstream,
			Suspects:    w.strike.suspects,
			Age:         now.Sub(w.strike.at),
		})
	}
	return out
}

// compareWaiting puts requests with many strikes first, then strikes that were
// sent less often.
func compareWaiting(a, b waiting) int {
	return cmp.Or(
		cmp.Compare(b.strikes, a.strikes),
		cmp.Compare(b.strike.sends, a.strike.sends),
		cmp.Compare(a.fingerprint, b.fingerprint),
		cmp.Compare(a.strike.upstream, b.strike.upstream),
	)
}

// Merge takes in the strikes of another host. New ones are sent on.
func (l *List) Merge(strikes []ports.Strike) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range strikes {
		l.add(s.Fingerprint, strike{
			upstream: s.Upstream,
			at:       now.Add(-s.Age),
			suspects: s.Suspects,
			sends:    spreadSends,
		})
	}
}

// Strikes returns the distinct upstreams that crashed while they ran a request.
func (l *List) Strikes(fingerprint uint64) []domain.UpstreamID {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.live(fingerprint)
	if r == nil {
		return nil
	}
	out := make([]domain.UpstreamID, len(r.strikes))
	for i, s := range r.strikes {
		out[i] = s.upstream
	}
	return out
}
