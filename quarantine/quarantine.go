// Package quarantine finds the requests that crash the upstreams that run them.
//
// A crash makes every request that ran on the upstream a suspect with one strike
// for that upstream. Suspects run apart from each other, so that each further
// crash tells them apart, and a suspect that finishes is cleared. A request with
// strikes on several distinct upstreams is refused for a while. Its strikes then
// explain the crashes that it caused, and the others that ran on those upstreams
// at the time are no longer suspect. Strikes spread between hosts with the
// membership messages.
package quarantine

import (
	"fmt"
	"sync"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
)

const (
	// DefaultStrikes is the number of distinct upstreams that a request may crash.
	DefaultStrikes = 3
	// DefaultTerm is how long strikes count.
	DefaultTerm = 10 * time.Minute
	// extraCrashes is the number of crashes beyond Strikes that a request may cause
	// where it crashes the same few upstreams again.
	extraCrashes = 1
	// maxRecords bounds the fingerprints that are remembered.
	maxRecords = 4096
	// sameCrash is the largest difference between the times that two hosts give
	// for one crash of an upstream.
	sameCrash = 15 * time.Second
)

var (
	defStrikes = counters.Define("quarantine_strikes",
		"strikes taken in, from crashes seen here and from other hosts")
	defCleared = counters.Define("quarantine_cleared",
		"suspects cleared by finishing")
	defExplained = counters.Define("quarantine_explained",
		"strikes explained by a request that was quarantined")
	defQuarantined = counters.Define("quarantine_quarantined",
		"fingerprints that reached the number of strikes")
	defRefused = counters.Define("quarantine_refused",
		"requests refused because their fingerprint is quarantined")
)

// Config holds what a list needs.
type Config struct {
	Counters *counters.Set
	// Strikes is the number of distinct upstreams after whose crashes a request
	// is refused; zero means DefaultStrikes. Where a pool has fewer upstreams, one
	// more crash than that suffices.
	Strikes int
	// Term is how long strikes count; zero means DefaultTerm.
	Term time.Duration
}

// List remembers strikes by the fingerprint of the request. It is safe for
// concurrent use.
type List struct {
	cfg Config

	mu      sync.Mutex
	records *bounded[*record]
	// culprits are the records that are quarantined.
	culprits map[uint64]*record
	// cleared remembers when suspects finished, so that older strikes that come
	// back from other hosts do not count.
	cleared *bounded[time.Time]
}

// record holds the strikes of one fingerprint.
type record struct {
	strikes []strike
	// quarantined says that the strikes reached the bound.
	quarantined bool
}

// strike is the crashes of one upstream.
type strike struct {
	upstream domain.UpstreamID
	// at is the time of the last crash and crashes their number.
	at      time.Time
	crashes int
	// suspects is the number of requests that ran on the upstream.
	suspects int
	// explained says that another request was found to have caused the crash.
	explained bool
	// sends is how often the strike is still to be spread.
	sends int
}

// New returns an empty list.
func New(cfg Config) *List {
	if cfg.Strikes == 0 {
		cfg.Strikes = DefaultStrikes
	}
	if cfg.Term == 0 {
		cfg.Term = DefaultTerm
	}
	return &List{
		cfg:      cfg,
		records:  newBounded[*record](maxRecords),
		culprits: make(map[uint64]*record),
		cleared:  newBounded[time.Time](maxRecords),
	}
}

// Check returns a refusal for a request that crashed too many upstreams, or nil.
func (l *List) Check(fingerprint uint64) *domain.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.live(fingerprint)
	if r == nil || !r.quarantined {
		return nil
	}
	l.count(defRefused, 1)
	return domain.Refuse(domain.RefusalQuarantined,
		fmt.Sprintf("upstreams crashed %d times while they ran this request", r.crashes()),
		"change the request, or send it again after the stated time").After(l.cfg.Term - time.Since(r.last()))
}

// Suspect returns whether an upstream crashed while it ran the request, and no
// other request is known to have caused that.
func (l *List) Suspect(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.live(fingerprint)
	if r == nil {
		return false
	}
	for _, s := range r.strikes {
		if !s.explained {
			return true
		}
	}
	return false
}

// Crashed adds a strike for an upstream to all requests that ran on it when it
// crashed.
func (l *List) Crashed(upstream domain.UpstreamID, fingerprints []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, f := range fingerprints {
		l.add(f, strike{upstream: upstream, at: now, suspects: len(fingerprints), sends: spreadSends})
	}
}

// Finished clears a request that ended without a crash.
func (l *List) Finished(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.records.entries[fingerprint]; !ok {
		return
	}
	l.remove(fingerprint)
	l.cleared.put(fingerprint, time.Now())
	l.count(defCleared, 1)
}

// add takes in a strike, unless it is known, too old or from before the request
// was cleared.
func (l *List) add(fingerprint uint64, s strike) {
	now := time.Now()
	if fingerprint == 0 || now.Sub(s.at) > l.cfg.Term || !s.at.After(l.cleared.entries[fingerprint]) {
		return
	}
	r := l.live(fingerprint)
	if r == nil {
		r = &record{}
		l.records.put(fingerprint, r)
	}
	if r.quarantined {
		return
	}
	s.explained = l.isExplained(s)
	if !r.merge(s) {
		return
	}
	l.count(defStrikes, 1)
	if len(r.strikes) >= l.cfg.Strikes || r.crashes() >= l.cfg.Strikes+extraCrashes {
		r.quarantined = true
		l.culprits[fingerprint] = r
		l.count(defQuarantined, 1)
		l.explain(fingerprint, r)
	}
}

// merge adds a strike and returns whether it is for a crash that is not known.
func (r *record) merge(s strike) bool {
	s.crashes = 1
	for i := range r.strikes {
		own := &r.strikes[i]
		if own.upstream != s.upstream {
			continue
		}
		own.suspects = max(own.suspects, s.suspects)
		if s.at.Sub(own.at) <= sameCrash {
			return false
		}
		s.crashes += own.crashes
		*own = s
		return true
	}
	r.strikes = append(r.strikes, s)
	return true
}

func (r *record) crashes() int {
	n := 0
	for _, s := range r.strikes {
		n += s.crashes
	}
	return n
}

// explain marks the strikes of other requests for the crashes that a quarantined
// request caused.
func (l *List) explain(culprit uint64, r *record) {
	for f, other := range l.records.entries {
		if f == culprit || other.quarantined {
			continue
		}
		for i := range other.strikes {
			if !other.strikes[i].explained && r.caused(other.strikes[i]) {
				other.strikes[i].explained = true
				l.count(defExplained, 1)
			}
		}
	}
}

// isExplained returns whether a quarantined request caused a crash.
func (l *List) isExplained(s strike) bool {
	for f, r := range l.culprits {
		if l.records.entries[f] != r {
			delete(l.culprits, f)
			continue
		}
		if r.caused(s) {
			return true
		}
	}
	return false
}

// caused returns whether a strike is for a crash that the record has too.
func (r *record) caused(s strike) bool {
	for _, own := range r.strikes {
		if own.upstream == s.upstream && own.at.Sub(s.at).Abs() <= sameCrash {
			return true
		}
	}
	return false
}

func (r *record) last() time.Time {
	var last time.Time
	for _, s := range r.strikes {
		if s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// live returns the record of a fingerprint, without strikes that are too old.
func (l *List) live(fingerprint uint64) *record {
	r, ok := l.records.entries[fingerprint]
	if !ok {
		delete(l.culprits, fingerprint)
		return nil
	}
	if time.Since(r.last()) > l.cfg.Term {
		l.remove(fingerprint)
		return nil
	}
	return r
}

func (l *List) remove(fingerprint uint64) {
	l.records.remove(fingerprint)
	delete(l.culprits, fingerprint)
}

func (l *List) count(def counters.Def, n int64) { l.cfg.Counters.Int(def).Add(n) }
