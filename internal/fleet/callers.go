package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/routing"
	"greengagespoke/standin/engine"
)

const (
	// maxSends bounds the sends of one request.
	maxSends = 40
	// resendPause is the pause of a caller before it sends again.
	resendPause = 500 * time.Millisecond
)

// Book is what the callers of a fleet saw. Problems are broken promises.
type Book struct {
	mu       sync.Mutex
	Sent     int
	Answered int
	Canceled int
	// Refused counts final refusals by kind.
	Refused map[domain.RefusalKind]int
	// Resent counts sends after a broken connection or a refusal.
	Resent   int
	Problems []string
	// Events is the trace of what happened, with the time since the start.
	Events []string
	began  time.Time
	// waiting are the model requests whose caller still wants the answer.
	waiting map[domain.RequestKey]bool
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		Refused: make(map[domain.RefusalKind]int),
		began:   time.Now(),
		waiting: make(map[domain.RequestKey]bool),
	}
}

func (b *Book) note(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// wanted reports whether a caller waits for the answer to a request.
func (b *Book) wanted(key domain.RequestKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting[key]
}

// Problem records a broken promise.
func (b *Book) Problem(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.note(func() { b.Problems = append(b.Problems, text) })
	b.Event("PROBLEM: %s", text)
}

// Event adds a line to the trace.
func (b *Book) Event(format string, args ...any) {
	line := fmt.Sprintf("%8.3fs ", time.Since(b.began).Seconds()) + fmt.Sprintf(format, args...)
	b.note(func() { b.Events = append(b.Events, line) })
}

// draft is one model request at its caller.
type draft struct {
	fleet  *Fleet
	book   *Book
	c      domain.Completion
	want   engine.Answer
	length int
	text   strings.Builder
	tokens int
	whole  bool
}

// Draft sends a model request and reads its answer. Where the connection breaks
// it is sent again through another host, with what has arrived. A caller whose
// ctx ends goes away.
func (f *Fleet) Draft(ctx context.Context, book *Book, caller domain.CallerID, n int, prompt string) {
	d := &draft{fleet: f, book: book, want: engine.AnswerTo(prompt), length: answerLength(prompt)}
	d.c = domain.Completion{Caller: caller, Request: domain.RequestID(fmt.Sprintf("draft-%d", n)), Model: Model, Prompt: prompt}
	book.note(func() {
		book.Sent++
		book.waiting[d.c.Key()] = true
	})
	defer book.note(func() { delete(book.waiting, d.c.Key()) })
	var last *domain.Refusal
	for send := 1; send <= maxSends; send++ {
		if ctx.Err() != nil {
			book.note(func() { book.Canceled++ })
			return
		}
		if send > 1 {
			book.note(func() { book.Resent++ })
			time.Sleep(resendPause)
		}
		refusal, done := d.send(ctx, n, send)
		if done {
			d.finish(ctx, refusal)
			return
		}
		last = refusal
	}
	book.note(func() { book.Refused[kindOf(last)]++ })
}

func kindOf(r *domain.Refusal) domain.RefusalKind {
	if r == nil {
		return domain.RefusalNoUpstream
	}
	return r.Kind
}

// send makes one send. It returns done where the request has its final outcome.
func (d *draft) send(ctx context.Context, n, send int) (*domain.Refusal, bool) {
	connection, h, refusal := d.fleet.connect(d.c.Caller, n+send)
	if h == nil {
		return refusal, false
	}
	reqCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(connection, cancel)()
	c := d.c
	c.Attempt = send
	c.DeliveredTokens = d.tokens
	c.Delivered = d.text.String()
	err := h.Gate.Complete(reqCtx, &c, func(frame domain.Frame) error {
		if connection.Err() != nil {
			return connection.Err()
		}
		d.take(frame)
		return reqCtx.Err()
	})
	if connection.Err() != nil && !d.whole {
		return nil, false
	}
	if err == nil {
		return nil, true
	}
	refusal, _ = domain.AsRefusal(err)
	if refusal == nil {
		d.book.Problem("%s: error without a refusal: %v", d.c.Key(), err)
		return nil, true
	}
	retry := ctx.Err() == nil && refusal.Kind != domain.RefusalQuarantined
	return refusal, !retry
}

// take checks one frame: the next in order and with its own text.
func (d *draft) take(frame domain.Frame) {
	d.tokens++
	if frame.Number != d.tokens || frame.Text != d.want.Token(frame.Number) {
		d.book.Problem("%s: frame %d arrived as number %d", d.c.Key(), d.tokens, frame.Number)
	}
	if d.whole {
		d.book.Problem("%s: frame %d after the end", d.c.Key(), frame.Number)
	}
	d.text.WriteString(frame.Text)
	d.whole = d.whole || frame.Last
}

// finish records the final outcome of a request.
func (d *draft) finish(ctx context.Context, refusal *domain.Refusal) {
	if refusal == nil {
		if !d.whole || d.tokens != d.length {
			d.book.Problem("%s: answer ended after %d tokens", d.c.Key(), d.tokens)
		}
		d.book.note(func() { d.book.Answered++ })
		return
	}
	if refusal.Ran == domain.RanNo && d.fleet.Fabric.Ledger().Executions(d.c.Key()) > 0 {
		d.book.Problem("%s: refused with ran no after an execution", d.c.Key())
	}
	if ctx.Err() != nil {
		d.book.note(func() { d.book.Canceled++ })
		return
	}
	d.book.note(func() { d.book.Refused[refusal.Kind]++ })
}

// Closure sends a non-idempotent call under a key until it has an answer or its
// outcome is unknown.
func (f *Fleet) Closure(ctx context.Context, book *Book, caller domain.CallerID, n int) {
	key := fmt.Sprintf("closure-%d", n)
	book.note(func() { book.Sent++ })
	var last *domain.Refusal
	for send := 1; send <= maxSends && ctx.Err() == nil; send++ {
		if send > 1 {
			book.note(func() { book.Resent++ })
			time.Sleep(resendPause)
		}
		refusal, answered := f.sendClosure(ctx, n, send, routing.ServiceCall{
			Caller:         caller,
			IdempotencyKey: key,
			Attempt:        send,
			Request: ports.ServiceRequest{
				Method: "POST", Path: ClosurePath, Body: fmt.Appendf(nil, "closure %d", n),
				Header: map[string][]string{"Idempotency-Key": {key}},
			},
		})
		if answered {
			book.note(func() { book.Answered++ })
			f.checkExecutions(book, key, 1, 1)
			return
		}
		if refusal != nil && refusal.Ran == domain.RanNo {
			f.checkExecutions(book, key, 0, 0)
		}
		last = refusal
	}
	book.note(func() { book.Refused[kindOf(last)]++ })
	f.checkExecutions(book, key, 0, 1)
}

func (f *Fleet) checkExecutions(book *Book, key string, low, high int) {
	if got := f.Ledger.Executions(key); got < low || got > high {
		book.Problem("%s ran %d times, want %d to %d", key, got, low, high)
	}
}

// sendClosure makes one send of a call. No refusal and no answer means that the
// connection broke.
func (f *Fleet) sendClosure(ctx context.Context, n, send int, call routing.ServiceCall) (*domain.Refusal, bool) {
	connection, h, refusal := f.connect(call.Caller, n+send)
	if h == nil {
		return refusal, false
	}
	reqCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(connection, cancel)()
	_, err := h.Gate.CallService(reqCtx, call)
	if connection.Err() != nil {
		return nil, false
	}
	if err == nil {
		return nil, true
	}
	refusal, _ = domain.AsRefusal(err)
	return refusal, false
}
