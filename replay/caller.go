package replay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"greengagespoke/domain"
	"greengagespoke/standin/engine"
)

const (
	// memoryGrace is how long after the end of a request engines may still hold
	// memory for it.
	memoryGrace = 5 * time.Second
	// resumeTries is how often a caller sends a broken stream again.
	resumeTries = 6
	// resumeAfter is the pause before a broken stream is sent again.
	resumeAfter = 250 * time.Millisecond
)

// call is one request as its caller sees it.
type call struct {
	run     *run
	arrival Arrival
	route   domain.Route
	prompt  string
	// expected is the answer that the request should receive.
	expected engine.Answer

	sent time.Time
	// ended is when the caller had the answer, a refusal, or left.
	ended  time.Time
	first  time.Time
	last   time.Time
	tokens int
	gaps   []time.Duration
	text   string
	whole  bool
	left   bool
	// repeated counts tokens that arrived again, and wrong those whose text or
	// number was not the expected one.
	repeated int
	wrong    int
	refusal  *domain.Refusal
	memory   bool
}

// do runs the request to its end.
func (c *call) do(ctx context.Context) {
	c.sent = time.Now()
	if leaves := c.arrival.LeavesAfter.D(); leaves > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, leaves, errCallerLeft)
		defer cancel()
		stop := context.AfterFunc(ctx, c.leave)
		c.tries(ctx)
		stop()
	} else {
		c.tries(ctx)
	}
	c.ended = time.Now()
	c.left = ctx.Err() != nil && !c.whole
	time.Sleep(memoryGrace)
	c.memory = c.run.env.holds(c.key())
}

// tries sends the request until it is answered, refused or no longer wanted.
func (c *call) tries(ctx context.Context) {
	for try := 0; ; try++ {
		err := c.send(ctx, try)
		if err == nil || ctx.Err() != nil {
			return
		}
		c.refusal = asRefusal(err)
		if !c.sendsAgain(try) {
			return
		}
		c.pause(ctx)
	}
}

var errCallerLeft = errors.New("caller left")

func (c *call) key() domain.RequestKey {
	return domain.RequestKey{Caller: c.arrival.Caller, Request: c.arrival.request}
}

// leave tells the stand-ins' ledger that the caller is gone.
func (c *call) leave() {
	c.run.env.Fabric.Ledger().CallerLeft(c.key())
}

// sendsAgain says whether the caller tries again after a failure.
func (c *call) sendsAgain(try int) bool {
	if c.tokens > 0 || c.refusal.Ran != domain.RanNo && !c.refused() {
		return try < max(resumeTries, c.arrival.Resends)
	}
	return try < c.arrival.Resends
}

func (c *call) pause(ctx context.Context) {
	wait := max(resumeAfter, c.arrival.ResendAfter.D())
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// send makes one try at a host.
func (c *call) send(ctx context.Context, try int) error {
	delay := c.run.env.Trace.Links.CallerDelay.D()
	time.Sleep(delay)
	host := c.run.env.host(c.arrival, try)
	ctx, release := c.run.connect(ctx, host.ID)
	defer release()
	completion := &domain.Completion{
		Caller:          c.arrival.Caller,
		Request:         c.arrival.request,
		Attempt:         try + 1,
		Model:           c.arrival.Model,
		Prompt:          c.prompt,
		MaxTokens:       c.arrival.MaxTokens,
		DeliveredTokens: c.tokens,
		Delivered:       c.text,
	}
	deliver := func(f domain.Frame) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.deliver(f)
		return nil
	}
	err := c.run.fleet.Complete(ctx, host.ID, completion, deliver)
	if err == nil && !c.whole {
		return fmt.Errorf("host %s ended the answer after %d tokens without a last frame", host.ID, c.tokens)
	}
	return err
}

// deliver takes one frame of the answer.
func (c *call) deliver(f domain.Frame) {
	now := time.Now().Add(c.run.env.Trace.Links.CallerDelay.D())
	switch {
	case f.Number <= c.tokens:
		c.repeated++
		return
	case f.Number != c.tokens+1 || c.whole || f.Text != c.expected.Token(f.Number):
		c.wrong++
	}
	if c.tokens == 0 {
		c.first = now
	} else {
		c.gaps = append(c.gaps, now.Sub(c.last))
	}
	c.tokens = f.Number
	c.last = now
	c.text += f.Text
	c.whole = f.Last
	c.run.service.add(c.arrival.Caller, now.Sub(c.run.env.Start))
}

// asRefusal returns the refusal in err. Other errors are broken connections.
func asRefusal(err error) *domain.Refusal {
	if refusal, ok := domain.AsRefusal(err); ok {
		return refusal
	}
	return domain.Refuse(domain.RefusalInternal, err.Error(), "send again").WithRan(domain.RanUnknown)
}
