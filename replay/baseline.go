package replay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// chooser is what tells the baselines apart: how a gate finds a place.
type chooser interface {
	// choose returns a place, or a refusal. The place must be released.
	choose(ctx context.Context, r *baselineRequest) (*baselinePlace, error)
	// another returns a decode upstream in place of a full one, or false.
	another(place *baselinePlace) (domain.Upstream, bool)
}

// baselinePlace is where an attempt of a baseline runs.
type baselinePlace struct {
	prefill, decode domain.Upstream
	release         func()
	// onFrame is called for each frame that was read; it may be nil.
	onFrame func()
	// full lists decode upstreams that refused the attempt.
	full map[domain.UpstreamID]bool
}

// baselineRequest is one request at a baseline's gate.
type baselineRequest struct {
	c        *domain.Completion
	route    domain.Route
	pool     domain.Pool
	accepted time.Time
	deliver  func(domain.Frame) error
	attempt  int
	next     int
	whole    bool
	text     strings.Builder
	pending  map[int]domain.Frame
}

// late says whether an interactive request can no longer meet its target.
func (r *baselineRequest) late(lead time.Duration) bool {
	target := r.route.FirstToken.D()
	started := r.next > r.c.DeliveredTokens+1
	return r.route.Class == domain.ClassInteractive && !started && target > 0 && time.Since(r.accepted)+lead > target
}

func refuseLate() error {
	return domain.Refuse(domain.RefusalLate, "the first-token target cannot be met", "retry later")
}

// baselineGate runs requests at one host with a chooser.
type baselineGate struct {
	host      Host
	env       *Env
	upstreams ports.Upstreams
	chooser   chooser
	work      sync.WaitGroup
}

const (
	// baselinePause is the pause before a baseline tries again.
	baselinePause = 100 * time.Millisecond
	// baselineFullPause is the pause before a full decode upstream is asked again.
	baselineFullPause = 20 * time.Millisecond
	// baselineImportTime bounds one transfer.
	baselineImportTime = 600 * time.Millisecond
	// baselineStall bounds the silence of a stream.
	baselineStall = 2 * time.Second
)

func (g *baselineGate) complete(ctx context.Context, c *domain.Completion, deliver func(domain.Frame) error) error {
	route, _ := g.env.Trace.route(c.Model)
	pool, _ := g.env.Tables.Pool(route.Pool)
	r := &baselineRequest{
		c: c, route: route, pool: pool, accepted: time.Now(), deliver: deliver,
		attempt: c.Attempt * 1000, next: c.DeliveredTokens + 1, pending: make(map[int]domain.Frame),
	}
	r.text.WriteString(c.Delivered)
	for {
		place, err := g.chooser.choose(ctx, r)
		if err != nil {
			return err
		}
		err = g.serve(ctx, r, place)
		if err == nil {
			place.release()
			return nil
		}
		g.cleanUp(r, place)
		if ctx.Err() != nil {
			return domain.Refuse(domain.RefusalCanceled, "the caller went away", "send again").WithRan(domain.RanUnknown)
		}
		if r.late(0) {
			return refuseLate()
		}
		r.attempt++
		pause.For(ctx, baselinePause)
	}
}

// cleanUp frees the engines of a failed attempt in the background.
func (g *baselineGate) cleanUp(r *baselineRequest, place *baselinePlace) {
	id := domain.AttemptID{Caller: r.c.Caller, Request: r.c.Request, Attempt: r.attempt}
	prefill, decode, release := place.prefill, place.decode, place.release
	g.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), memoryGrace)
		defer cancel()
		for _, up := range []domain.Upstream{prefill, decode} {
			for g.upstreams.Engine(up).Cancel(ctx, id) != nil && pause.For(ctx, baselinePause) {
			}
		}
		release()
	})
}

func (g *baselineGate) serve(ctx context.Context, r *baselineRequest, place *baselinePlace) error {
	id := domain.AttemptID{Caller: r.c.Caller, Request: r.c.Request, Attempt: r.attempt}
	res, err := g.upstreams.Engine(place.prefill).Prefill(ctx, ports.PrefillRequest{
		ID: id, Holder: g.host.ID, Model: r.c.Model, Prompt: r.c.Prompt,
		Delivered: r.text.String(), DeliveredTokens: r.next - 1, MaxTokens: r.c.MaxTokens,
		Priority: priority(r),
	})
	if err != nil {
		return err
	}
	if err := g.transfer(ctx, r, place, id, res); err != nil {
		return err
	}
	return g.stream(ctx, r, place, id)
}

func priority(r *baselineRequest) int {
	if r.route.Class == domain.ClassInteractive {
		return 1
	}
	return 0
}

// transfer tries decode upstreams until one takes the result or it expires.
func (g *baselineGate) transfer(ctx context.Context, r *baselineRequest, place *baselinePlace, id domain.AttemptID, res ports.PrefillResult) error {
	expiry := time.Now().Add(res.ExpiresIn)
	pieces := domain.Pieces(domain.TokenCount(r.c.Prompt) + r.c.MaxTokens)
	for {
		try, cancel := context.WithTimeout(ctx, baselineImportTime)
		err := g.upstreams.Engine(place.decode).Import(try, ports.ImportRequest{
			ID: id, Holder: g.host.ID, Source: place.prefill.ID, Handle: res.Handle, Pieces: pieces,
		})
		cancel()
		var e *ports.EngineError
		if err == nil || !errors.As(err, &e) || e.Kind != ports.EngineFull || time.Now().After(expiry) {
			return err
		}
		place.full[place.decode.ID] = true
		next, ok := g.chooser.another(place)
		if !ok {
			clear(place.full)
			pause.For(ctx, baselineFullPause)
			continue
		}
		place.decode = next
	}
}

func (g *baselineGate) stream(ctx context.Context, r *baselineRequest, place *baselinePlace, id domain.AttemptID) error {
	stream, err := g.upstreams.Engine(place.decode).Decode(ctx, id, r.next-1)
	if err != nil {
		return err
	}
	defer stream.Close()
	for !r.whole {
		wait, cancel := context.WithTimeout(ctx, baselineStall)
		frame, err := stream.Next(wait)
		cancel()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("the answer ended after token %d", r.next-1)
		}
		if err != nil {
			return err
		}
		if place.onFrame != nil {
			place.onFrame()
		}
		if err := r.take(frame); err != nil {
			return err
		}
	}
	return nil
}

// take delivers frames in order and drops doubled ones.
func (r *baselineRequest) take(frame domain.Frame) error {
	if frame.Number >= r.next {
		r.pending[frame.Number] = frame
	}
	for {
		f, ok := r.pending[r.next]
		if !ok {
			return nil
		}
		delete(r.pending, r.next)
		if err := r.deliver(f); err != nil {
			return err
		}
		r.next++
		r.text.WriteString(f.Text)
		r.whole = f.Last
	}
}

// baselineFleet is a baseline on all hosts.
type baselineFleet struct {
	gates  map[domain.HostID]*baselineGate
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Complete implements Fleet.
func (f *baselineFleet) Complete(ctx context.Context, host domain.HostID, c *domain.Completion, deliver func(domain.Frame) error) error {
	return f.gates[host].complete(ctx, c, deliver)
}

// KillHost implements Fleet. Requests end with their connections.
func (f *baselineFleet) KillHost(domain.HostID) {}

// Stop implements Fleet.
func (f *baselineFleet) Stop() {
	f.cancel()
	f.loops.Wait()
	for _, g := range f.gates {
		g.work.Wait()
	}
}
