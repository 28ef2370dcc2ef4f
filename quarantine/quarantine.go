// Package quarantine detects and rejects requests that crash the upstreams that run
// them, and those that hold a part of a prompt that does.
//
// A crash makes every request that was running on the upstream a suspect, with one
// strike for that upstream, and likewise each part of its prompt that other requests may
// share. Suspects are to run on separate upstreams, so that the next crash strikes only
// one of them. A suspect that completes is cleared, with the parts of its prompt. A
// request or part with strikes from several distinct upstreams is quarantined: requests
// that hold it are rejected until its strikes expire. Its strikes then explain the crashes
// that it caused, and the others that ran on those upstreams at the time are no longer
// suspects. Hosts exchange strikes in the membership messages, and on the users' platform
// also through its store.
package quarantine

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/bounded"
	"greengagespoke/ports"
)

const (
	// DefaultStrikeLimit is the number of distinct upstreams after whose crashes a request
	// is quarantined.
	DefaultStrikeLimit = 3
	// DefaultStrikeTTL is the time after its last crash for which the strikes of a
	// request count.
	DefaultStrikeTTL = 10 * time.Minute
	// simultaneousWindow is the time between two crashes within which they are one occasion.
	// A part needs strikes from several: upstreams that end together for another reason all
	// ran the common parts. Config.RequestOccasions says so for requests.
	simultaneousWindow = 200 * time.Millisecond
	// extraPartStrikes is the number of strikes in addition to Config.StrikeLimit with which
	// two occasions suffice for a part.
	extraPartStrikes = 2
	// completedPartOccasions is the number of occasions for a part that completed within
	// Config.StrikeTTL before them. What ran well is less likely to be the cause.
	completedPartOccasions = 6
	// partRetryDelay is the time after the last crash from which on a quarantined part is
	// tried again, and completedPartRetryDelay that for a part that completed before. It
	// doubles with each trial that crashes an upstream.
	partRetryDelay          = time.Minute
	completedPartRetryDelay = 30 * time.Second
	// extraCrashes is the number of crashes in addition to Config.StrikeLimit after which a
	// request is quarantined that crashes the same few upstreams repeatedly.
	extraCrashes = 1
	// maxCompletionsBetween is the number of completions between two crashes up to which the
	// strikes before them count again: some requests crash only some upstreams, or not each
	// time. What runs well more often was there when others crashed them.
	maxCompletionsBetween = 8
	// maxRecords bounds the fingerprints with strikes, and those that completed, that are
	// kept in memory.
	maxRecords = 4096
	// maxUnsentCompletions bounds the completions that are still to be sent to other hosts.
	maxUnsentCompletions = 256
	// maxRecordStrikes bounds the strikes of one fingerprint.
	maxRecordStrikes = 16
	// sameCrashWindow is the maximum difference between the times at which two hosts
	// record the same crash of an upstream.
	sameCrashWindow = 15 * time.Second
	// sameSuccessorWindow replaces it for successors of an upstream, which have one name. It is
	// shorter than the time that most processes take to start.
	sameSuccessorWindow = 600 * time.Millisecond
	// successorSuffix marks the name of a successor.
	successorSuffix = "+"
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
	defUndecided = counters.Define("quarantine_undecided",
		"fingerprints at the limit of strikes that share all of these crashes with another one")
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
	// RequestOccasions is the number of occasions that quarantine a request at the limit of
	// strikes; zero means one. It is two where copies of many callers have one fingerprint:
	// some may run on all upstreams that end together for another reason. On one occasion,
	// the request is undecided.
	RequestOccasions int
	// OnObserved is called with each strike that this host records itself, and when a
	// suspect completes on this host. It must neither block nor call the list. It may be
	// nil.
	OnObserved func(ports.Strike)
}

// List holds strikes by the fingerprint of the request or part. It is safe for concurrent
// use.
type List struct {
	cfg Config

	mu      sync.Mutex
	records *bounded.Map[subject, *record]
	// culprits are the quarantined records.
	culprits map[subject]*record
	// cleared holds the times at which suspect requests completed, so that older strikes
	// that arrive from other hosts afterwards do not count. completedParts holds those of
	// all parts of prompts.
	cleared, completedParts *bounded.Map[subject, time.Time]
	// unsent holds the completions of suspects that are still to be sent to other hosts, with
	// the number of times.
	unsent *bounded.Map[subject, int]
	// ends holds the time of the first known crash of each upstream.
	ends *bounded.Map[domain.UpstreamID, time.Time]
	// mustJudge means that strikes changed so that judge may decide otherwise.
	mustJudge bool
}

// subject is what may have caused a crash: a request, or a part of prompts that requests
// share.
type subject struct {
	fingerprint uint64
	part        bool
}

// subjectsOf returns the subjects of a request. A request or part that is not known has
// the fingerprint 0.
func subjectsOf(request uint64, parts []uint64) []subject {
	subjects := make([]subject, 0, 1+len(parts))
	if request != 0 {
		subjects = append(subjects, subject{fingerprint: request})
	}
	for _, part := range parts {
		if part != 0 {
			subjects = append(subjects, subject{fingerprint: part, part: true})
		}
	}
	return subjects
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
		cfg:            cfg,
		records:        bounded.New[subject, *record](maxRecords),
		culprits:       make(map[subject]*record),
		cleared:        bounded.New[subject, time.Time](maxRecords),
		completedParts: bounded.New[subject, time.Time](maxRecords),
		unsent:         bounded.New[subject, int](maxUnsentCompletions),
		ends:           bounded.New[domain.UpstreamID, time.Time](maxRecords),
	}
}

// Check returns a refusal if the request, or one of the parts of its prompt, is
// quarantined, or nil.
func (l *List) Check(request uint64, parts ...uint64) *domain.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.quarantinedRecord(subjectsOf(request, parts))
	if r == nil {
		return nil
	}
	l.count(defRefused, 1)
	if undecidedFor := l.cfg.DecisionDelay - time.Since(r.lastCrash()); undecidedFor > 0 {
		return domain.Refuse(domain.RefusalOverloaded, "upstreams have just crashed while they ran this request",
			"try again after the stated time").WithRetryAfter(undecidedFor)
	}
	return domain.Refuse(domain.RefusalQuarantined,
		fmt.Sprintf("upstreams crashed %d times while they ran this request, or others with a part of its prompt", r.crashes()),
		"change the request, or send it again after the stated time").WithRetryAfter(l.cfg.StrikeTTL - time.Since(r.lastCrash()))
}

// quarantinedRecord returns the record for which a request with these subjects is refused,
// or nil: one that is quarantined, or one whose rivals are all among the subjects, so that
// one of them is the cause.
func (l *List) quarantinedRecord(subjects []subject) *record {
	for _, s := range subjects {
		r := l.unexpiredRecord(s)
		if r == nil {
			continue
		}
		if r.quarantined && !l.onTrial(s, r) || len(r.rivals) > 0 && containsAll(subjects, r.rivals) {
			return r
		}
	}
	return nil
}

// onTrial reports whether a quarantined part is tried again, one request at a time: it may
// have been there when upstreams crashed for another reason.
func (l *List) onTrial(of subject, r *record) bool {
	if !r.quarantined || !of.part {
		return false
	}
	delay := partRetryDelay
	if l.completedBefore(of) {
		delay = completedPartRetryDelay
	}
	return time.Since(r.lastCrash()) > delay<<min(r.failedTrials, maxRecordStrikes)
}

func containsAll(subjects, wanted []subject) bool {
	return !slices.ContainsFunc(wanted, func(s subject) bool { return !slices.Contains(subjects, s) })
}

// Suspect reports whether an upstream crashed while it ran the request, and no other
// request is known to have caused that crash.
func (l *List) Suspect(request uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.unexpiredRecord(subject{fingerprint: request})
	return r != nil && r.suspect()
}

// AtLastStrike reports whether the request, or a part of its prompt, is a suspect that one
// more crash would quarantine.
func (l *List) AtLastStrike(request uint64, parts ...uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(subjectsOf(request, parts), func(s subject) bool {
		r := l.unexpiredRecord(s)
		return r != nil && (l.onTrial(s, r) || !r.quarantined && r.suspect() && l.nearLimit(s, r))
	})
}

// Undecided reports whether the request or a part of its prompt has strikes enough to be
// quarantined, but shares its crashes with another subject, has all of them from one occasion
// or is tried again. It returns the fingerprint by which hosts agree on the one that runs it: the
// smallest one of a subject and its rivals, so that rivals run one after the other.
func (l *List) Undecided(request uint64, parts ...uint64) (fingerprint uint64, undecided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range subjectsOf(request, parts) {
		if r := l.unexpiredRecord(s); r != nil && (len(r.rivals) > 0 || l.onTrial(s, r) || l.onOneOccasion(s, r)) {
			for _, rival := range r.rivals {
				s.fingerprint = min(s.fingerprint, rival.fingerprint)
			}
			return s.fingerprint, true
		}
	}
	return 0, false
}

// RecordCrash records a crash: it adds a strike for the upstream to all requests that ran
// on it, and to the parts that their prompts share with others.
func (l *List) RecordCrash(upstream domain.UpstreamID, requests []uint64, parts ...uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, f := range requests {
		l.recordOwn(subject{fingerprint: f}, strike{upstream: upstream, crashedAt: now, suspects: len(requests), sendsLeft: sendsPerStrike})
	}
	for _, f := range parts {
		l.recordOwn(subject{fingerprint: f, part: true}, strike{upstream: upstream, crashedAt: now, suspects: len(requests), sendsLeft: sendsPerStrike})
	}
	l.judge()
}

// Process returns the name under which to record that an upstream crashed with a request that
// was sent to it at a time. If the upstream had crashed so long before that another process can have
// taken its place, it is that one, which the registry does not show yet. Other hosts state the time of
// a crash by a clock that they know roughly, so a shorter time before tells nothing.
func (l *List) Process(upstream domain.UpstreamID, sentAt time.Time) domain.UpstreamID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if endedAt, ended := l.ends.Entries[upstream]; ended && sentAt.Sub(endedAt) > sameSuccessorWindow {
		return upstream + successorSuffix
	}
	return upstream
}

// recordOwn records a strike that this host observed.
func (l *List) recordOwn(of subject, s strike) {
	if l.recordStrike(of, s) {
		l.observed(ports.Strike{Fingerprint: of.fingerprint, Part: of.part, Upstream: s.upstream, Suspects: s.suspects})
	}
}

func (l *List) observed(s ports.Strike) {
	if l.cfg.OnObserved != nil {
		l.cfg.OnObserved(s)
	}
}

// Clear clears a request that completed without a crash, and the parts of its prompt.
// Older strikes against them no longer count.
func (l *List) Clear(request uint64, parts ...uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, s := range subjectsOf(request, parts) {
		r, known := l.records.Entries[s]
		if known && r.completedBefore() {
			l.completedAgain(s, r)
			continue
		}
		if known || s.part {
			l.clearUntil(s, now, sendsPerStrike)
		}
		if known {
			l.observed(ports.Strike{Fingerprint: s.fingerprint, Part: s.part})
		}
	}
	l.judge()
}

// completions returns the times at which subjects of this kind completed.
func (l *List) completions(of subject) *bounded.Map[subject, time.Time] {
	if of.part {
		return l.completedParts
	}
	return l.cleared
}

// clearUntil clears the strikes of a subject until the time at which it completed. They do not
// count if they arrive later. If there were any, the completion is sent to other hosts.
func (l *List) clearUntil(of subject, completedAt time.Time, sends int) {
	completions := l.completions(of)
	if !completedAt.After(completions.Entries[of]) {
		return
	}
	completions.Put(of, completedAt)
	r := l.unexpiredRecord(of)
	if r == nil {
		return
	}
	if r.completedBefore() {
		return
	}
	if sends > 0 {
		l.unsent.Put(of, sends)
	}
	l.count(defCleared, 1)
	if len(r.strikes) > 1 {
		klog.InfoS("suspect completed", "fingerprint", of.fingerprint, "part", of.part, "strikes", len(r.strikes))
	}
	l.mustJudge = l.mustJudge || len(r.strikes) >= l.cfg.StrikeLimit || r.crashes() > l.cfg.StrikeLimit
	cleared := r.clear(completedAt)
	if !of.part {
		r.cleared, r.completions = cleared, 1
	} else if len(r.strikes) == 0 {
		l.remove(of)
	}
}

// completedAgain counts a completion on this host of a request that had completed before, and
// drops its strikes for good once it ran well often enough.
func (l *List) completedAgain(of subject, r *record) {
	if r.completions++; r.completions > maxCompletionsBetween {
		l.mustJudge = l.mustJudge || len(r.strikes) > 0
		l.remove(of)
	}
}

// recordStrike records a strike unless it is known, expired or older than the time at
// which the subject completed. It reports whether it recorded the strike. A strike of a request that
// is older counts as those do that were known when it completed.
func (l *List) recordStrike(of subject, s strike) bool {
	now := time.Now()
	if endedAt, known := l.ends.Entries[s.upstream]; !known || s.crashedAt.Before(endedAt) {
		l.ends.Put(s.upstream, s.crashedAt)
	}
	if of.fingerprint == 0 || now.Sub(s.crashedAt) > l.cfg.StrikeTTL {
		return false
	}
	r := l.unexpiredRecord(of)
	if !s.crashedAt.After(l.completions(of).Entries[of]) {
		if r != nil && !of.part {
			l.mustJudge = r.addLate(s) || l.mustJudge
		}
		return false
	}
	if r == nil {
		r = &record{}
		l.records.Put(of, r)
	}
	s.explained = l.isExplained(s)
	trial := l.onTrial(of, r)
	if !r.addStrike(s) {
		return false
	}
	if !of.part {
		r.reinstate()
	}
	if trial {
		r.failedTrials++
	}
	l.count(defStrikes, 1)
	// Also strikes that are explained so far may show that the culprit is undecided.
	l.mustJudge = l.mustJudge || len(r.strikes) >= l.cfg.StrikeLimit || r.crashes() > l.cfg.StrikeLimit
	return true
}

// unexpiredRecord returns the record of a subject, or nil if there is none. It removes a
// record whose last crash is older than the TTL.
func (l *List) unexpiredRecord(of subject) *record {
	r, ok := l.records.Entries[of]
	if !ok {
		delete(l.culprits, of)
		return nil
	}
	if time.Since(r.lastCrash()) > l.cfg.StrikeTTL {
		l.remove(of)
		return nil
	}
	return r
}

func (l *List) remove(of subject) {
	l.records.Remove(of)
	delete(l.culprits, of)
}

func (l *List) count(def counters.Def, n int64) { l.cfg.Counters.Int(def).Add(n) }
