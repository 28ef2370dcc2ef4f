// Package quarantine detects and rejects requests that crash the upstreams that run
// them.
//
// A crash makes every request that was running on the upstream a suspect, with one
// strike for that upstream. Suspects are to run on separate upstreams, so that the next
// crash strikes only one of them. A suspect that completes is cleared. A request with
// strikes from several distinct upstreams is quarantined: it is rejected until its
// strikes expire. Its strikes then explain the crashes that it caused, and the other
// requests that ran on those upstreams at the time are no longer suspects. Hosts
// exchange strikes in the membership messages, and on the users' platform also through
// its store.
package quarantine

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// DefaultStrikeLimit is the number of distinct upstreams after whose crashes a request
	// is quarantined.
	DefaultStrikeLimit = 3
	// DefaultStrikeTTL is the time after its last crash for which the strikes of a
	// request count.
	DefaultStrikeTTL = 10 * time.Minute
	// extraCrashes is the number of crashes in addition to Config.StrikeLimit after which a
	// request is quarantined that crashes the same few upstreams repeatedly.
	extraCrashes = 1
	// maxRecords bounds the fingerprints with strikes, and those that were cleared, that
	// are kept in memory.
	maxRecords = 4096
	// sameCrashWindow is the maximum difference between the times at which two hosts
	// record the same crash of an upstream.
	sameCrashWindow = 15 * time.Second
)

var (
	defStrikes = counters.Define("quarantine_strikes",
		"strikes recorded, from crashes seen by this host and from other hosts")
	defStrikesReceived = counters.Define("quarantine_strikes_received",
		"strikes recorded that another host observed")
	defCleared = counters.Define("quarantine_cleared",
		"suspects cleared because they completed without a crash")
	defExplained = counters.Define("quarantine_explained",
		"strikes of other requests explained by a quarantined request")
	defQuarantined = counters.Define("quarantine_quarantined",
		"fingerprints quarantined because they reached the limit of strikes or crashes")
	defRefused = counters.Define("quarantine_refused",
		"requests refused because their fingerprint is quarantined")
)

// Config configures a List.
type Config struct {
	Counters *counters.Set
	// StrikeLimit is the number of distinct upstreams after whose crashes a request is
	// quarantined; zero means DefaultStrikeLimit. One more crash than that suffices even if
	// fewer upstreams crashed, as in a pool with fewer upstreams.
	StrikeLimit int
	// StrikeTTL is the time after its last crash for which the strikes of a request
	// count; zero means DefaultStrikeTTL.
	StrikeTTL time.Duration
	// DecisionDelay is the time after a crash in which the strikes of other hosts may still
	// arrive. A request at the limit is refused for that time only, as they may show that
	// it is not the cause. Zero means none.
	DecisionDelay time.Duration
	// OnObserved is called with each strike that this host records itself, and when a
	// suspect completes on this host. It must neither block nor call the list. It may be
	// nil.
	OnObserved func(ports.Strike)
}

// List holds strikes by the fingerprint of the request. It is safe for concurrent use.
type List struct {
	cfg Config

	mu      sync.Mutex
	records *boundedMap[*record]
	// culprits are the quarantined records.
	culprits map[uint64]*record
	// cleared holds the times at which suspects completed, so that older strikes that
	// arrive from other hosts afterwards do not count.
	cleared *boundedMap[time.Time]
}

// record holds the strikes of one fingerprint.
type record struct {
	strikes []strike
	// quarantined means that the strikes or crashes reached the limit.
	quarantined bool
}

// strike records the crashes of one upstream that ran the request.
type strike struct {
	upstream domain.UpstreamID
	// crashedAt is the time of the last crash, crashes the number of crashes.
	crashedAt time.Time
	crashes   int
	// suspects is the number of requests that ran on the upstream when it crashed.
	suspects int
	// explained means that a quarantined request is known to have caused the crash.
	explained bool
	// sendsLeft is the number of times that the strike is still to be sent to other
	// hosts.
	sendsLeft int
}

// New returns an empty list.
func New(cfg Config) *List {
	if cfg.StrikeLimit == 0 {
		cfg.StrikeLimit = DefaultStrikeLimit
	}
	if cfg.StrikeTTL == 0 {
		cfg.StrikeTTL = DefaultStrikeTTL
	}
	return &List{
		cfg:      cfg,
		records:  newBoundedMap[*record](maxRecords),
		culprits: make(map[uint64]*record),
		cleared:  newBoundedMap[time.Time](maxRecords),
	}
}

// Check returns a refusal if the request is quarantined, or nil.
func (l *List) Check(fingerprint uint64) *domain.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unexpiredRecord(fingerprint)
	if r == nil || !r.quarantined {
		return nil
	}
	l.count(defRefused, 1)
	if undecidedFor := l.cfg.DecisionDelay - time.Since(r.lastCrash()); undecidedFor > 0 {
		return domain.Refuse(domain.RefusalOverloaded, "upstreams have just crashed while they ran this request",
			"try again after the stated time").WithRetryAfter(undecidedFor)
	}
	return domain.Refuse(domain.RefusalQuarantined,
		fmt.Sprintf("upstreams crashed %d times while they ran this request", r.crashes()),
		"change the request, or send it again after the stated time").WithRetryAfter(l.cfg.StrikeTTL - time.Since(r.lastCrash()))
}

// Suspect reports whether an upstream crashed while it ran the request, and no other
// request is known to have caused that crash.
func (l *List) Suspect(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unexpiredRecord(fingerprint)
	return r != nil && r.suspect()
}

// suspect reports whether a strike is not explained.
func (r *record) suspect() bool {
	return slices.ContainsFunc(r.strikes, func(s strike) bool { return !s.explained })
}

// AtLastStrike reports whether the request is a suspect that one more crash would
// quarantine.
func (l *List) AtLastStrike(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unexpiredRecord(fingerprint)
	if r == nil || r.quarantined || !r.suspect() {
		return false
	}
	return len(r.strikes) >= l.cfg.StrikeLimit-1 || r.crashes() == l.cfg.StrikeLimit+extraCrashes-1
}

// Undecided reports whether the request has strikes enough to be quarantined, but shares
// its crashes with another one.
func (l *List) Undecided(fingerprint uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unexpiredRecord(fingerprint)
	return r != nil && !r.quarantined && r.suspect() && len(r.strikes) >= l.cfg.StrikeLimit
}

// RecordCrash records a crash: it adds a strike for the upstream to all requests that ran
// on it.
func (l *List) RecordCrash(upstream domain.UpstreamID, fingerprints []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, f := range fingerprints {
		s := strike{upstream: upstream, crashedAt: now, suspects: len(fingerprints), sendsLeft: sendsPerStrike}
		if l.recordStrike(f, s) {
			l.observed(ports.Strike{Fingerprint: f, Upstream: upstream, Suspects: s.suspects})
		}
	}
}

func (l *List) observed(s ports.Strike) {
	if l.cfg.OnObserved != nil {
		l.cfg.OnObserved(s)
	}
}

// Clear clears a request that completed without a crash. Older strikes against it no
// longer count.
func (l *List) Clear(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.records.entries[fingerprint]; !ok {
		return
	}
	l.clearUntil(fingerprint, time.Now())
	l.observed(ports.Strike{Fingerprint: fingerprint})
}

// clearUntil removes the strikes of a request until the time at which it completed. They
// do not count if they arrive later.
func (l *List) clearUntil(fingerprint uint64, completedAt time.Time) {
	if !completedAt.After(l.cleared.entries[fingerprint]) {
		return
	}
	l.cleared.put(fingerprint, completedAt)
	r := l.unexpiredRecord(fingerprint)
	if r == nil {
		return
	}
	l.count(defCleared, 1)
	r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool { return !s.crashedAt.After(completedAt) })
	if len(r.strikes) == 0 {
		l.remove(fingerprint)
	}
	l.judgeAll()
}

// reachesLimit reports whether the strikes of a request suffice to quarantine it. At the
// limit they do not if another request was on all these upstreams when they crashed: one
// more crash tells which of them is the cause.
func (l *List) reachesLimit(fingerprint uint64, r *record) bool {
	if len(r.strikes) > l.cfg.StrikeLimit || r.crashes() >= l.cfg.StrikeLimit+extraCrashes {
		return true
	}
	if len(r.strikes) < l.cfg.StrikeLimit {
		return false
	}
	for f, other := range l.records.entries {
		if f != fingerprint && !slices.ContainsFunc(r.strikes, func(s strike) bool { return !other.sharesCrash(s) }) {
			return false
		}
	}
	return true
}

// judge quarantines a request that reaches the limit, and releases one that no longer
// does.
func (l *List) judge(fingerprint uint64, r *record) {
	reaches := l.reachesLimit(fingerprint, r)
	switch {
	case reaches && !r.quarantined:
		r.quarantined = true
		l.culprits[fingerprint] = r
		l.count(defQuarantined, 1)
		klog.InfoS("request quarantined", "fingerprint", fingerprint, "crashes", r.crashes())
		l.explain(fingerprint, r)
	case !reaches && r.quarantined:
		r.quarantined = false
		delete(l.culprits, fingerprint)
		klog.InfoS("request no longer quarantined", "fingerprint", fingerprint, "crashes", r.crashes())
		for _, other := range l.records.entries {
			for i := range other.strikes {
				other.strikes[i].explained = l.isExplained(other.strikes[i])
			}
		}
	}
}

// judgeAll judges the requests that are at the limit, after the strikes of another one
// have changed.
func (l *List) judgeAll() {
	for f, r := range l.records.entries {
		if len(r.strikes) >= l.cfg.StrikeLimit || r.quarantined {
			l.judge(f, r)
		}
	}
}

// recordStrike records a strike unless it is known, expired or older than the time at
// which the request was cleared, and quarantines the request if it reaches the limit. It
// reports whether it recorded the strike.
func (l *List) recordStrike(fingerprint uint64, s strike) bool {
	now := time.Now()
	if fingerprint == 0 || now.Sub(s.crashedAt) > l.cfg.StrikeTTL || !s.crashedAt.After(l.cleared.entries[fingerprint]) {
		return false
	}
	r := l.unexpiredRecord(fingerprint)
	if r == nil {
		r = &record{}
		l.records.put(fingerprint, r)
	}
	if len(r.strikes) > l.cfg.StrikeLimit || r.crashes() >= l.cfg.StrikeLimit+extraCrashes {
		return false
	}
	s.explained = l.isExplained(s)
	if !r.addStrike(s) {
		return false
	}
	l.count(defStrikes, 1)
	if len(r.strikes) >= l.cfg.StrikeLimit {
		l.judgeAll()
	} else {
		l.judge(fingerprint, r)
	}
	return true
}

// addStrike adds a strike and reports whether it is for a crash that was not known.
func (r *record) addStrike(s strike) bool {
	s.crashes = 1
	for i := range r.strikes {
		own := &r.strikes[i]
		if own.upstream != s.upstream {
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

// explain marks as explained the strikes of other requests for crashes that the
// quarantined request caused.
func (l *List) explain(culprit uint64, r *record) {
	for f, other := range l.records.entries {
		if f == culprit || other.quarantined {
			continue
		}
		for i := range other.strikes {
			if !other.strikes[i].explained && r.sharesCrash(other.strikes[i]) {
				other.strikes[i].explained = true
				l.count(defExplained, 1)
			}
		}
	}
}

// isExplained reports whether a quarantined request caused the crash of a strike.
func (l *List) isExplained(s strike) bool {
	for f, r := range l.culprits {
		if l.records.entries[f] != r {
			delete(l.culprits, f)
			continue
		}
		if r.sharesCrash(s) {
			return true
		}
	}
	return false
}

// sharesCrash reports whether the record has a strike for the same crash.
func (r *record) sharesCrash(s strike) bool {
	for _, own := range r.strikes {
		if own.upstream == s.upstream && own.crashedAt.Sub(s.crashedAt).Abs() <= sameCrashWindow {
			return true
		}
	}
	return false
}

func (r *record) lastCrash() time.Time {
	var lastCrash time.Time
	for _, s := range r.strikes {
		if s.crashedAt.After(lastCrash) {
			lastCrash = s.crashedAt
		}
	}
	return lastCrash
}

// unexpiredRecord returns the record of a fingerprint, or nil if there is none. It
// removes a record whose last crash is older than the TTL.
func (l *List) unexpiredRecord(fingerprint uint64) *record {
	r, ok := l.records.entries[fingerprint]
	if !ok {
		delete(l.culprits, fingerprint)
		return nil
	}
	if time.Since(r.lastCrash()) > l.cfg.StrikeTTL {
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
