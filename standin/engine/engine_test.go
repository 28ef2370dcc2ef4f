package engine

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// pair is a prefill and a decode engine on one fabric.
type pair struct {
	t       *testing.T
	fabric  *Fabric
	prefill *Engine
	decode  *Engine
}

func newPair(t *testing.T, change func(prefill, decode *Config)) *pair {
	t.Helper()
	fabric := NewFabric(LinkConfig{})
	p := Config{Fabric: fabric, Upstream: domain.Upstream{ID: "p", Zone: "z-1", Role: domain.RolePrefill}}
	d := Config{Fabric: fabric, Upstream: domain.Upstream{ID: "d", Zone: "z-2", Role: domain.RoleDecode, Slots: 2}}
	if change != nil {
		change(&p, &d)
	}
	pr := &pair{t: t, fabric: fabric, prefill: New(p), decode: New(d)}
	t.Cleanup(pr.prefill.Close)
	t.Cleanup(pr.decode.Close)
	return pr
}

func attemptID(request string, n int) domain.AttemptID {
	return domain.AttemptID{Caller: "firm", Request: domain.RequestID(request), Attempt: n}
}

func (p *pair) prefillAndImport(id domain.AttemptID, prompt string, delivered int) error {
	p.t.Helper()
	req := ports.PrefillRequest{ID: id, Prompt: prompt, DeliveredTokens: delivered, MaxTokens: 20}
	res, err := p.prefill.Prefill(p.t.Context(), req)
	if err != nil {
		p.t.Fatalf("prefill: %v", err)
	}
	return p.decode.Import(p.t.Context(), ports.ImportRequest{ID: id, Source: "p", Handle: res.Handle, Pieces: 1})
}

func read(ctx context.Context, s ports.FrameStream, limit int) (frames []domain.Frame, err error) {
	for len(frames) < limit {
		f, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return frames, nil
		}
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
	return frames, nil
}

func text(frames []domain.Frame) string {
	var b strings.Builder
	for _, f := range frames {
		b.WriteString(f.Text)
	}
	return b.String()
}

func (p *pair) answer(id domain.AttemptID, prompt string, delivered, limit int) []domain.Frame {
	p.t.Helper()
	if err := p.prefillAndImport(id, prompt, delivered); err != nil {
		p.t.Fatalf("import: %v", err)
	}
	s, err := p.decode.Decode(p.t.Context(), id, delivered)
	if err != nil {
		p.t.Fatalf("decode: %v", err)
	}
	defer s.Close()
	frames, err := read(p.t.Context(), s, limit)
	if err != nil {
		p.t.Fatalf("read: %v", err)
	}
	return frames
}

func wantKind(t *testing.T, err error, kind ports.EngineErrorKind) {
	t.Helper()
	var e *ports.EngineError
	if !errors.As(err, &e) || e.Kind != kind {
		t.Fatalf("got error %v, want kind %s", err, kind)
	}
}

func (p *pair) wantNothingHeld() {
	p.t.Helper()
	for _, e := range p.fabric.Engines() {
		if held := e.Held(); len(held) != 0 {
			p.t.Errorf("%s still holds %v", e.Upstream().ID, held)
		}
		if pieces, slots := e.HeldPieces(); pieces != 0 || slots != 0 {
			p.t.Errorf("%s still uses %d pieces, %d slots", e.Upstream().ID, pieces, slots)
		}
	}
}

func TestAnswerThatGoesOnElsewhereIsTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		whole := p.answer(attemptID("a", 1), "a long passage", 0, 100)
		if !whole[len(whole)-1].Last || whole[0].Number != 1 {
			t.Fatalf("frames are not complete: %+v", whole)
		}
		begin := p.answer(attemptID("b", 1), "a long passage", 0, 3)
		if err := p.decode.Cancel(t.Context(), attemptID("b", 1)); err != nil {
			t.Fatal(err)
		}
		rest := p.answer(attemptID("b", 2), "a long passage", 3, 100)
		if text(begin)+text(rest) != text(whole) || rest[0].Number != 4 {
			t.Errorf("resumed answer differs from the whole one")
		}
		p.wantNothingHeld()
	})
}

func TestStreamResumesWithinGraceAndFreesMemoryAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(pc, d *Config) {
			pc.OutputTokens = func(string, int) int { return 20 }
			d.StepBase = time.Second
		})
		id := attemptID("a", 1)
		p.answer(id, "x", 0, 2)
		s, err := p.decode.Decode(t.Context(), id, 2)
		if err != nil {
			t.Fatal(err)
		}
		frames, err := read(t.Context(), s, 1)
		if err != nil || frames[0].Number != 3 {
			t.Fatalf("resume: %v %v", frames, err)
		}
		_ = s.Close()
		time.Sleep(defaultResumeGrace + time.Second)
		p.wantNothingHeld()
	})
}

func TestCancelFreesMemoryAtEveryStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(pc, _ *Config) { pc.Upstream.PrefillRate = 1 })
		first, second := attemptID("a", 1), attemptID("b", 1)
		errs := make(chan error, 2)
		for _, id := range []domain.AttemptID{first, second} {
			go func() {
				_, err := p.prefill.Prefill(t.Context(), ports.PrefillRequest{ID: id, Prompt: "0123456789abcdef", MaxTokens: 5})
				errs <- err
			}()
			synctest.Wait()
		}
		time.Sleep(2*time.Second + 10*time.Millisecond)
		for _, id := range []domain.AttemptID{second, first, first} {
			if err := p.prefill.Cancel(t.Context(), id); err != nil {
				t.Fatal(err)
			}
		}
		wantKind(t, <-errs, ports.EngineCanceled)
		wantKind(t, <-errs, ports.EngineCanceled)
		if got := p.fabric.Ledger().Prefills(); got.Computed != 2 || got.Wasted != 2 {
			t.Errorf("prefill totals %+v", got)
		}
		p.wantNothingHeld()
	})
}

func TestResultExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		res, err := p.prefill.Prefill(t.Context(), ports.PrefillRequest{ID: attemptID("a", 1), Prompt: "x", MaxTokens: 5})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(res.ExpiresIn)
		err = p.decode.Import(t.Context(), ports.ImportRequest{ID: attemptID("a", 1), Source: "p", Handle: res.Handle, Pieces: 1})
		wantKind(t, err, ports.EngineExpired)
		p.wantNothingHeld()
	})
}

func TestStalledTransferEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		p.fabric.AddStall(Stall{Source: "p", From: time.Now(), Until: time.Now().Add(time.Minute)})
		res, err := p.prefill.Prefill(t.Context(), ports.PrefillRequest{ID: attemptID("a", 1), Prompt: "x", MaxTokens: 5})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		err = p.decode.Import(ctx, ports.ImportRequest{ID: attemptID("a", 1), Source: "p", Handle: res.Handle, Pieces: 1})
		wantKind(t, err, ports.EngineStalled)
		time.Sleep(time.Second)
		p.wantNothingHeld()
	})
}

func TestEngineIsFullAtItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		for i := 1; i <= 2; i++ {
			if err := p.prefillAndImport(attemptID("a", i), "x", 0); err != nil {
				t.Fatal(err)
			}
		}
		wantKind(t, p.prefillAndImport(attemptID("a", 3), "x", 0), ports.EngineFull)
		if got := len(p.decode.Held()); got != 2 {
			t.Errorf("%d attempts held, want 2", got)
		}
	})
}

func TestPoisonedPromptCrashesTheEngineAndItsNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		if err := p.prefillAndImport(attemptID("a", 1), "x", 0); err != nil {
			t.Fatal(err)
		}
		s, err := p.decode.Decode(t.Context(), attemptID("a", 1), 0)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.prefillAndImport(attemptID("b", 1), "x"+PoisonMarker, 0); err != nil {
			t.Fatal(err)
		}
		_, err = p.decode.Decode(t.Context(), attemptID("b", 1), 0)
		wantKind(t, err, ports.EngineUnreachable)
		_, err = read(t.Context(), s, 100)
		wantKind(t, err, ports.EngineUnreachable)
		time.Sleep(defaultRestartAfter + time.Millisecond)
		if p.decode.Down() || p.decode.Counts().Crashes != 1 {
			t.Errorf("engine down %v after %d crashes", p.decode.Down(), p.decode.Counts().Crashes)
		}
		p.wantNothingHeld()
	})
}

func TestFrameFaultsKeepTheAnswerWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(pc, d *Config) {
			d.Frames = FrameFaults{LatePercent: 20, Late: 300 * time.Millisecond, DoubledPercent: 30, SwappedPercent: 30}
			pc.OutputTokens = func(string, int) int { return 20 }
		})
		frames := p.answer(attemptID("a", 1), "x", 0, 100)
		seen := make(map[int]int)
		inOrder := true
		for i, f := range frames {
			seen[f.Number]++
			inOrder = inOrder && (i == 0 || frames[i-1].Number < f.Number)
		}
		if len(seen) != 20 || len(frames) == 20 || inOrder {
			t.Errorf("%d frames, %d distinct, in order %v", len(frames), len(seen), inOrder)
		}
	})
}

func TestReportsLagAndEventsHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(pc, d *Config) { d.LoadLag = 2 * time.Second; pc.EventLossPercent = 50 })
		prompt := strings.Repeat("x", 40*domain.TokensPerPiece*domain.BytesPerToken)
		if err := p.prefillAndImport(attemptID("a", 1), prompt, 0); err != nil {
			t.Fatal(err)
		}
		if load, _ := p.decode.Load(t.Context()); load.Running != 0 || load.Age != 2*time.Second {
			t.Errorf("report does not lag: %+v", load)
		}
		time.Sleep(3 * time.Second)
		if load, _ := p.decode.Load(t.Context()); load.Running != 1 {
			t.Errorf("report misses the attempt: %+v", load)
		}
		events, err := p.prefill.CacheEvents(t.Context(), 0)
		if err != nil || len(events) == 0 || len(events) == 40 {
			t.Errorf("%d of 40 events, error %v", len(events), err)
		}
		res, err := p.prefill.Prefill(t.Context(), ports.PrefillRequest{ID: attemptID("b", 1), Prompt: prompt, MaxTokens: 5})
		if err != nil || res.CachedTokens != 40*domain.TokensPerPiece {
			t.Errorf("cached %d tokens, error %v", res.CachedTokens, err)
		}
	})
}

func TestOrdersAreFencedOnlyWhereTheEngineChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, checks := range []bool{true, false} {
			p := newPair(t, func(pc, _ *Config) { pc.ChecksFencing = checks; pc.Model = "m" })
			order := ports.Order{Model: "m", Version: 7, Role: domain.RolePrefill, FencingToken: 9}
			begin := time.Now()
			if err := p.prefill.Order(t.Context(), order); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(begin); took != defaultLoadTime {
				t.Errorf("load took %v", took)
			}
			order.FencingToken, order.Version = 8, 6
			err := p.prefill.Order(t.Context(), order)
			if checks {
				wantKind(t, err, ports.EngineFenced)
			} else if err != nil {
				t.Errorf("engine that ignores fencing refused: %v", err)
			}
		}
	})
}

func TestWasteOfCallersThatLeftIsCountedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		for _, name := range []string{"left", "wasted"} {
			req := ports.PrefillRequest{ID: attemptID(name, 1), Prompt: "0123456789abcdef", MaxTokens: 5}
			if _, err := p.prefill.Prefill(t.Context(), req); err != nil {
				t.Fatal(err)
			}
		}
		p.fabric.Ledger().CallerLeft(attemptID("left", 1).Key())
		p.answer(attemptID("used", 1), "0123456789abcdef", 0, 100)
		want := PrefillTotals{Computed: 12, Wasted: 4, WastedCallerLeft: 4}
		if got := p.fabric.Ledger().Prefills(); got != want {
			t.Errorf("totals %+v, want %+v", got, want)
		}
	})
}
