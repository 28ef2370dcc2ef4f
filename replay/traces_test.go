package replay

import (
	"path/filepath"
	"sync"
	"testing"

	"greengagespoke/domain"
	"greengagespoke/internal/knownred"
)

// results keeps the result of each trace and policy, as several checks need it.
var results sync.Map

// resultOf runs a trace under a policy once.
func resultOf(t *testing.T, trace *Trace, policy Policy) Result {
	t.Helper()
	run, _ := results.LoadOrStore(trace.Name+"\x00"+policy.Name(), sync.OnceValue(func() Result {
		result := replayTrace(t, trace, policy)
		t.Log(result.JSON())
		return result
	}))
	return run.(func() Result)()
}

func testdata(t *testing.T, name string) *Trace {
	t.Helper()
	trace, err := Load(filepath.Join("testdata", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestTraces replays every trace of the repository and checks its outcomes.
func TestTraces(t *testing.T) {
	if raceEnabled {
		t.Skip("TestTracesShort covers this under the race detector")
	}
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		trace, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(trace.Name, func(t *testing.T) {
			t.Parallel()
			checkOutcomes(t, trace)
		})
	}
}

func checkOutcomes(t *testing.T, trace *Trace) {
	want := trace.Outcomes
	got := resultOf(t, trace, Gates{})
	t.Run("nothing-doubled-lost-or-left", func(t *testing.T) { checkZeros(t, got) })
	if want.GoodputOfOraclePercent > 0 {
		t.Run("goodput-of-oracle", func(t *testing.T) {
			best := resultOf(t, trace, oracle{})
			if got.Goodput < best.Goodput*want.GoodputOfOraclePercent/percent {
				t.Errorf("goodput %.3f/s, oracle %.3f/s; want %.0f in 100 of it", got.Goodput, best.Goodput, want.GoodputOfOraclePercent)
			}
		})
	}
	if want.AboveBaselines {
		for _, baseline := range []Policy{LeastLoaded{}, FixedShares{}} {
			t.Run("above-"+baseline.Name(), func(t *testing.T) {
				defer knownred.Done(t)
				if other := resultOf(t, trace, baseline); got.Goodput <= other.Goodput {
					knownred.Errorf(t, "goodput %.3f/s, %s %.3f/s; want more", got.Goodput, baseline.Name(), other.Goodput)
				}
			})
		}
	}
	t.Run("wasted-prefill", func(t *testing.T) {
		if got.WastedPrefill > want.WastedPrefillPercent/percent {
			t.Errorf("wasted prefill %.4f; want at most %.4f", got.WastedPrefill, want.WastedPrefillPercent/percent)
		}
	})
	checkSharing(t, trace, got)
	checkPoison(t, trace, got)
}

func checkZeros(t *testing.T, r Result) {
	t.Helper()
	if r.AnsweredTwice+r.Doubled+r.Lost+r.Untruthful+r.MemoryLeft != 0 {
		t.Errorf("answered twice %d, doubled %d, lost %d, untruthful refusals %d, memory left %d; want none",
			r.AnsweredTwice, r.Doubled, r.Lost, r.Untruthful, r.MemoryLeft)
	}
	for _, problem := range r.Problems[:min(len(r.Problems), 10)] {
		t.Error(problem)
	}
	ended := r.Answered + r.Left + r.Lost
	for _, n := range r.Refused {
		ended += n
	}
	if ended != r.Sent || r.Answered == 0 {
		t.Errorf("%d of %d requests ended, %d answered", ended, r.Sent, r.Answered)
	}
}

func checkSharing(t *testing.T, trace *Trace, got Result) {
	want := trace.Outcomes
	if want.Fairness > 0 {
		t.Run("fairness", func(t *testing.T) {
			if got.Fairness < want.Fairness || got.FairnessIntervals == 0 {
				t.Errorf("Jain's index %.4f over %d intervals; want at least %.2f", got.Fairness, got.FairnessIntervals, want.Fairness)
			}
		})
	}
	if want.PeakTrace != "" {
		t.Run("goodput-of-peak", func(t *testing.T) {
			peak := resultOf(t, testdata(t, want.PeakTrace), Gates{})
			if got.Goodput < peak.Goodput*want.PeakGoodputPercent/percent {
				t.Errorf("goodput %.3f/s, at the peak %.3f/s; want %.0f in 100 of it", got.Goodput, peak.Goodput, want.PeakGoodputPercent)
			}
		})
	}
	if want.Rivals == nil {
		return
	}
	t.Run("rivals", func(t *testing.T) {
		alone := trace.Without(want.Rivals.Of)
		with, without := rivalGoodput(got, want.Rivals.Of), rivalGoodput(resultOf(t, alone, Gates{}), want.Rivals.Of)
		if with < without*(1-want.Rivals.GoodputLossPercent/percent) {
			t.Errorf("rivals' goodput %.3f/s, alone %.3f/s; want a loss of at most %.0f in 100", with, without, want.Rivals.GoodputLossPercent)
		}
	})
}

func rivalGoodput(r Result, firm domain.CallerID) float64 {
	sum := 0.0
	for caller, m := range r.Callers {
		if caller != firm {
			sum += m.Goodput
		}
	}
	return sum
}

func checkPoison(t *testing.T, trace *Trace, got Result) {
	want := trace.Outcomes
	if want.MaxCrashes > 0 {
		t.Run("crashes", func(t *testing.T) {
			if got.Crashes > want.MaxCrashes || got.Crashes == 0 {
				t.Errorf("%d upstreams crashed; want 1 to %d", got.Crashes, want.MaxCrashes)
			}
		})
	}
	if want.NoInnocentRefused {
		t.Run("innocents", func(t *testing.T) {
			if got.InnocentsRefused != 0 {
				t.Errorf("%d innocent requests refused", got.InnocentsRefused)
			}
		})
	}
}

// TestTracesShort replays the first seconds of each trace twice: the results are
// the same, and nothing is doubled, lost or left.
func TestTracesShort(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		trace, err := Load(file)
		if err != nil {
			t.Fatal(err)
		}
		trace = trace.Cut(shortDuration)
		t.Run(trace.Name, func(t *testing.T) {
			t.Parallel()
			first := replayTrace(t, trace, Gates{})
			checkZeros(t, first)
			if second := replayTrace(t, trace, Gates{}); second.JSON() != first.JSON() {
				t.Errorf("two runs differ:\n%s\n%s", first.JSON(), second.JSON())
			}
		})
	}
}
