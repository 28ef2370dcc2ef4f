package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

func newList() *List { return New(Config{Counters: counters.NewSet()}) }

func TestThreeDistinctUpstreamsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		for _, up := range []domain.UpstreamID{"u1", "u1", "u2"} {
			l.RecordCrash(up, []uint64{7})
		}
		if r := l.Check(7); r != nil {
			t.Fatalf("refused after two distinct upstreams: %v", r)
		}
		l.RecordCrash("u3", []uint64{7})
		r := l.Check(7)
		if r == nil || r.Kind != domain.RefusalQuarantined || r.Ran != domain.RanNo || r.RetryAfter <= 0 {
			t.Fatalf("got %+v, want a refusal of kind quarantined that says the request did not run, with a retry time", r)
		}
		time.Sleep(DefaultStrikeTTL + time.Second)
		if l.Check(7) != nil || l.Suspect(7) {
			t.Error("still refused or suspect after the strike TTL")
		}
	})
}

// In a pool with fewer upstreams than the strike limit, a request that crashes the same
// two upstreams repeatedly must be refused as well.
func TestRepeatedCrashesOfTwoUpstreamsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		for i := range DefaultStrikeLimit + extraCrashes {
			if l.Check(7) != nil {
				t.Fatalf("refused after %d crashes of two upstreams", i)
			}
			l.RecordCrash(domain.UpstreamID(fmt.Sprint("u", i%2)), []uint64{7})
			time.Sleep(sameCrashWindow)
		}
		if l.Check(7) == nil {
			t.Error("not refused at the crash limit")
		}
	})
}

// Requests that ran on a crashed upstream along with the culprit must no longer be
// suspects once the culprit is quarantined.
func TestSuspectsClearedOnceCulpritIsQuarantined(t *testing.T) {
	l := newList()
	batch := []uint64{1, 2, 3, 4, 99}
	l.RecordCrash("u1", batch)
	for _, f := range batch {
		if !l.Suspect(f) {
			t.Errorf("request %d is not suspect after the crash", f)
		}
	}
	l.RecordCrash("u2", []uint64{5, 99})
	l.RecordCrash("u3", []uint64{6, 99})
	for f := uint64(1); f <= 6; f++ {
		if l.Suspect(f) || l.Check(f) != nil {
			t.Errorf("innocent %d is still suspect or refused", f)
		}
	}
	if l.Check(99) == nil {
		t.Error("the culprit is not refused")
	}
}

func TestClearedRequestIgnoresOlderStrikes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := newList(), newList()
		l.RecordCrash("u1", []uint64{1})
		peer.Merge(l.Updates())
		time.Sleep(time.Second)
		l.Clear(1)
		l.Merge(peer.Updates())
		if l.Suspect(1) {
			t.Error("an older strike from a peer made a cleared request a suspect again")
		}
		time.Sleep(time.Second)
		l.RecordCrash("u2", []uint64{1})
		if !l.Suspect(1) {
			t.Error("a later crash did not make a cleared request a suspect")
		}
	})
}

func TestStrikesPropagateBetweenHosts(t *testing.T) {
	a, b, c := newList(), newList(), newList()
	a.RecordCrash("u1", []uint64{1})
	b.RecordCrash("u2", []uint64{1})
	c.RecordCrash("u3", []uint64{1})
	b.Merge(a.Updates())
	c.Merge(b.Updates())
	if c.Check(1) == nil {
		t.Error("strikes of three hosts were not added up")
	}
	for range 100 {
		c.Updates()
	}
	if n := len(c.Updates()); n != 0 {
		t.Errorf("%d strikes are still sent after 100 messages", n)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		for i := range 3 * maxRecords {
			l.RecordCrash(domain.UpstreamID(fmt.Sprint("u", i%7)), []uint64{uint64(i + 1)})
			if i%3 == 0 {
				l.Clear(uint64(i + 1))
			}
		}
		if held, marks := len(l.records.Entries), len(l.cleared.Entries); held > maxRecords || marks > maxRecords {
			t.Errorf("%d records and %d times of cleared requests held", held, marks)
		}
	})
}

// A request that completed on another host must no longer be a suspect here, whichever of
// the reports arrives first; a crash after that counts again.
func TestCompletionOnAnotherHostClears(t *testing.T) {
	for _, completionFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var observed []ports.Strike
			a := New(Config{Counters: counters.NewSet(), OnObserved: func(s ports.Strike) { observed = append(observed, s) }})
			b := newList()
			for _, up := range []domain.UpstreamID{"p1", "p2", "p3"} {
				a.RecordCrash(up, []uint64{7})
			}
			time.Sleep(time.Second)
			a.Clear(7)
			if len(observed) != 4 || observed[3] != (ports.Strike{Fingerprint: 7}) {
				t.Fatalf("observed %v, want three strikes and a completion", observed)
			}
			for i := range 3 {
				observed[i].Age = time.Second
			}
			if completionFirst {
				b.MergeStored(observed[3:])
			}
			b.MergeStored(observed)
			if b.Suspect(7) || b.Check(7) != nil {
				t.Error("still a suspect or refused")
			}
			time.Sleep(time.Second)
			b.RecordCrash("p4", []uint64{7})
			if !b.Suspect(7) {
				t.Error("a later crash does not count")
			}
		})
	}
}

// Strikes that all hosts read from the store must not take room in the messages between
// hosts.
func TestStrikesFromTheStoreAreNotForwarded(t *testing.T) {
	l := newList()
	l.MergeStored([]ports.Strike{{Fingerprint: 7, Upstream: "p1"}})
	if !l.Suspect(7) || len(l.Updates()) != 0 {
		t.Error("the strike is not known, or is sent on")
	}
}

// Of two requests that were on the same three upstreams when these crashed, neither is
// quarantined, in whichever order the strikes arrive: it takes the fourth crash, or the
// completion of one of them.
func TestSharedCrashesDoNotQuarantine(t *testing.T) {
	const innocent, culprit = 1, 2
	for _, completes := range []bool{true, false} {
		for _, innocentFirst := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				l := newList()
				batch := []uint64{culprit, innocent}
				if innocentFirst {
					batch = []uint64{innocent, culprit}
				}
				for _, process := range []domain.UpstreamID{"p1", "p2", "p3"} {
					for _, f := range batch {
						l.RecordCrash(process, []uint64{f})
					}
				}
				for _, f := range batch {
					if l.Check(f) != nil || !l.AtLastStrike(f) {
						t.Fatalf("request %d is refused, or may run beside the other one", f)
					}
				}
				time.Sleep(time.Second)
				if completes {
					l.Clear(innocent)
				} else {
					l.RecordCrash("p4", []uint64{culprit})
				}
				if l.Check(culprit) == nil {
					t.Error("the culprit is not refused")
				}
				if l.Check(innocent) != nil || l.AtLastStrike(innocent) {
					t.Error("the other request is refused or waits for turns")
				}
			})
		}
	}
}

// While the strikes of other hosts may still arrive, a request at the limit must be told to
// come back soon, as they may show that it is not the cause.
func TestRequestIsNotQuarantinedBeforeStrikesAreExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 500 * time.Millisecond
		l := New(Config{Counters: counters.NewSet(), DecisionDelay: delay})
		for _, process := range []domain.UpstreamID{"p1", "p2", "p3"} {
			l.RecordCrash(process, []uint64{7})
		}
		if r := l.Check(7); r == nil || r.Kind != domain.RefusalOverloaded || r.Ran != domain.RanNo || r.RetryAfter <= 0 || r.RetryAfter > delay {
			t.Errorf("refusal %+v right after the crash, want one that ends soon", r)
		}
		time.Sleep(delay)
		if r := l.Check(7); r == nil || r.Kind != domain.RefusalQuarantined {
			t.Errorf("refusal %+v after the exchange, want one of kind quarantined", r)
		}
	})
}

// Upstreams that end together for another reason must not quarantine a request of which many
// callers sent copies; one host tries it again.
func TestSimultaneousCrashesLeaveARequestUndecided(t *testing.T) {
	for _, completes := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			l := New(Config{Counters: counters.NewSet(), RequestOccasions: 2})
			for i := range 9 {
				l.RecordCrash(domain.UpstreamID(fmt.Sprint("p", i)), []uint64{7})
			}
			if _, undecided := l.Undecided(7); !undecided || l.Check(7) != nil || !l.AtLastStrike(7) {
				t.Fatal("the request is refused, or may run on several hosts at once")
			}
			time.Sleep(time.Second)
			if completes {
				l.Clear(7)
			} else {
				l.RecordCrash("p9", []uint64{7})
			}
			if _, undecided := l.Undecided(7); undecided || (l.Check(7) == nil) != completes {
				t.Errorf("completes: %t; undecided: %t, refused: %v", completes, undecided, l.Check(7))
			}
		})
	}
}

// A process that took the place of a crashed upstream is not that upstream, and each of its
// crashes is one of its own; two hosts that see the same crash count it once.
func TestSuccessorOfACrashedUpstreamIsAnotherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newList(), newList()
		a.RecordCrash(a.Process("u1", time.Now()), []uint64{7})
		b.Merge(a.Updates())
		for range 2 {
			time.Sleep(time.Second)
			sentAt := time.Now()
			time.Sleep(10 * time.Millisecond)
			for _, l := range []*List{a, b} {
				if l.Check(7) != nil {
					t.Fatal("refused before the third process crashed")
				}
				l.RecordCrash(l.Process("u1", sentAt), []uint64{7, 8})
			}
			a.Merge(b.Updates())
			b.Merge(a.Updates())
		}
		if a.Check(7) == nil || b.Check(7) == nil {
			t.Error("not refused after three processes crashed at one address")
		}
		if a.Check(8) != nil {
			t.Error("a request with two strikes is refused: a crash that two hosts saw counts twice")
		}
	})
}

// A host states the time of a crash by the store's clock as it knows it, which may be earlier than a
// request was sent that this crash ended too.
func TestCrashThatIsStatedTooEarlyCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		for _, upstream := range []domain.UpstreamID{"u1", "u2"} {
			sentAt := time.Now()
			time.Sleep(50 * time.Millisecond)
			l.MergeStored([]ports.Strike{{Fingerprint: 7, Upstream: upstream, Suspects: 1, Age: 250 * time.Millisecond}})
			l.RecordCrash(l.Process(upstream, sentAt), []uint64{7})
			time.Sleep(time.Second)
		}
		if l.Check(7) != nil {
			t.Error("refused after two processes crashed")
		}
	})
}

// A request that completes now and then, and crashes upstreams otherwise, is refused; one that
// runs well far more often is not.
func TestRequestThatCrashesSomeUpstreamsIsRefused(t *testing.T) {
	for completions, refused := range map[int]bool{1: true, maxCompletionsBetween: true, maxCompletionsBetween + 2: false} {
		synctest.Test(t, func(t *testing.T) {
			l := newList()
			for i := range DefaultStrikeLimit {
				if l.Check(7) != nil {
					t.Fatalf("refused after %d crashes", i)
				}
				time.Sleep(time.Second)
				l.RecordCrash(domain.UpstreamID(fmt.Sprint("p", i)), []uint64{7})
				if i == DefaultStrikeLimit-1 {
					break
				}
				for range completions {
					l.Clear(7)
				}
			}
			if got := l.Check(7) != nil; got != refused {
				t.Errorf("%d completions between two crashes; refused: %t, want %t", completions, got, refused)
			}
		})
	}
}

// Requests that had all their crashes together ran together once more, as each had a host of its own to
// decide on it, and a sound one was refused.
func TestRivalsHaveOneDecidingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		for i := range DefaultStrikeLimit {
			l.RecordCrash(domain.UpstreamID(fmt.Sprint("p", i)), []uint64{7, 3, 5})
			time.Sleep(time.Second)
		}
		for _, request := range []uint64{3, 5, 7} {
			if key, undecided := l.Undecided(request); !undecided || key != 3 {
				t.Errorf("request %d: undecided %t, decided by the host of %d, want that of 3", request, undecided, key)
			}
		}
	})
}

// Strikes and completions from the future never lapsed, so that one malformed message refused a sound
// request, or kept a crashing one running, for good.
func TestStrikesFromTheFutureLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		for i := range 2 * DefaultStrikeLimit {
			l.Merge([]ports.Strike{{Fingerprint: 7, Upstream: domain.UpstreamID(fmt.Sprint("p", i)), Age: -1000 * time.Hour, Suspects: -1}})
		}
		time.Sleep(DefaultStrikeTTL + time.Second)
		if refusal := l.Check(7); refusal != nil {
			t.Errorf("refused after the strikes have lapsed: %v", refusal)
		}
		l.Merge([]ports.Strike{{Fingerprint: 8, Age: -1000 * time.Hour}})
		for i := range 2 * DefaultStrikeLimit {
			time.Sleep(time.Second)
			l.RecordCrash(domain.UpstreamID(fmt.Sprint("q", i)), []uint64{8})
		}
		if l.Check(8) == nil {
			t.Error("a request that crashed upstreams after it completed is not refused")
		}
	})
}

// A request that completes at the upstreams that one host uses, and crashes those of others, was sent on
// by that host without end: the strikes that arrived after a completion did not count when it crashed
// a further upstream.
func TestStrikesThatArriveLateCountAfterARelapse(t *testing.T) {
	for name, relapseFirst := range map[string]bool{"before the relapse": false, "after the relapse": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newList()
				l.Merge([]ports.Strike{{Fingerprint: 7, Upstream: "p5"}})
				time.Sleep(400 * time.Millisecond)
				l.Clear(7)
				time.Sleep(40 * time.Millisecond)
				late := []ports.Strike{{Fingerprint: 7, Upstream: "p3", Age: 50 * time.Millisecond}, {Fingerprint: 7, Upstream: "p7", Age: 50 * time.Millisecond}}
				if !relapseFirst {
					l.Merge(late)
				}
				if l.Check(7) != nil {
					t.Error("refused though it completed after all crashes")
				}
				time.Sleep(400 * time.Millisecond)
				l.Merge([]ports.Strike{{Fingerprint: 7, Upstream: "p1"}})
				if relapseFirst {
					for i := range late {
						late[i].Age += 400 * time.Millisecond
					}
					l.Merge(late)
				}
				if l.Check(7) == nil {
					t.Error("not refused after crashes of four upstreams")
				}
			})
		})
	}
}
