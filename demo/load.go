package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"greengagespoke/adapters/gateclient"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
)

const (
	// Mean times between two requests of each kind.
	draftInterval  = 150 * time.Millisecond
	noteInterval   = 80 * time.Millisecond
	lookupInterval = 20 * time.Millisecond
	onceInterval   = 40 * time.Millisecond
	// cancelPercent is how many in 100 drafts are given up by their caller.
	cancelPercent = 10
	// resendPercent is how many in 100 non-idempotent calls are sent twice.
	resendPercent = 20
	// requestLimit bounds one request of the load.
	requestLimit = 60 * time.Second

	firstToken     = 710 * time.Millisecond
	betweenTokens  = 67 * time.Millisecond
	serviceTimeout = 5 * time.Second
)

// load sends the mixed requests of both adopters.
type load struct {
	clients []*gateclient.Client
	tally   *tally
	wg      sync.WaitGroup
}

// demoSeed makes the sequence of requests the same in every run.
const demoSeed = 20261204

func newLoad(d *deployment, t *tally) *load {
	l := &load{tally: t}
	hosts := make([]string, len(d.hosts))
	for i, h := range d.hosts {
		hosts[i] = h.address
	}
	for i, name := range []domain.CallerID{"firm-sine", "firm-saloum", "shop-hualien", "shop-taipei"} {
		l.clients = append(l.clients, gateclient.New(gateclient.Config{Hosts: hosts, Caller: name, Zone: zone(i)}))
	}
	return l
}

// kind is one kind of request with its mean interval.
type kind struct {
	interval time.Duration
	send     func(ctx context.Context)
}

// run sends requests until ctx is done, then waits for their answers.
func (l *load) run(ctx context.Context) {
	kinds := []kind{
		{draftInterval, l.draft()},
		{noteInterval, l.note()},
		{lookupInterval, l.lookup()},
		{onceInterval, l.once()},
	}
	var senders sync.WaitGroup
	for i, k := range kinds {
		rng := rand.New(rand.NewPCG(demoSeed, uint64(i)+1))
		senders.Go(func() { l.sendAll(ctx, k, rng) })
	}
	senders.Wait()
	l.wg.Wait()
}

// sendAll sends requests of one kind at random times.
func (l *load) sendAll(ctx context.Context, k kind, rng *rand.Rand) {
	for {
		timer := pause.NewTimer(time.Duration(rng.ExpFloat64() * float64(k.interval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		l.wg.Go(func() {
			sendCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), requestLimit)
			defer stop()
			k.send(sendCtx)
		})
	}
}

// numbers hands out random numbers to concurrent senders.
type numbers struct {
	mu     sync.Mutex
	rng    *rand.Rand
	serial int
}

func newNumbers(stream uint64) *numbers {
	return &numbers{rng: rand.New(rand.NewPCG(demoSeed, stream))}
}

// next returns a serial number and a number below 100.
func (n *numbers) next() (serial, percent int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	return n.serial, n.rng.IntN(100)
}

const sketchText = "Passage sketch of the lower gallery with stations, slopes and cross-sections. "

// draft returns the sender of patient requests, some of which are given up.
func (l *load) draft() func(context.Context) {
	n := newNumbers(11)
	return func(ctx context.Context) {
		serial, percent := n.next()
		gaveUp := percent < cancelPercent
		if gaveUp {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(serial%10)*100*time.Millisecond)
			defer cancel()
		}
		prompt := fmt.Sprintf("Draft %d. %s", serial, strings.Repeat(sketchText, 10+serial%100))
		l.complete(ctx, serial, modelRequest{model: draftModel, prompt: prompt, maxTokens: draftsMaxTokens, gaveUp: gaveUp})
	}
}

const orderText = "Order history line: carton fit, balloons, shop, courier, time of handover. "

// note returns the sender of interactive requests.
func (l *load) note() func(context.Context) {
	n := newNumbers(12)
	return func(ctx context.Context) {
		serial, _ := n.next()
		prompt := fmt.Sprintf("Note %d. %s", serial, strings.Repeat(orderText, 20+serial%60))
		l.complete(ctx, serial, modelRequest{model: noteModel, prompt: prompt, maxTokens: notesMaxTokens, firstToken: firstToken})
	}
}

// modelRequest is one completion of the load.
type modelRequest struct {
	model      string
	prompt     string
	maxTokens  int
	firstToken time.Duration
	gaveUp     bool
}

// complete sends one completion and records how it went.
func (l *load) complete(ctx context.Context, serial int, req modelRequest) {
	client := l.clients[serial%len(l.clients)]
	began := time.Now()
	var times []time.Duration
	var text strings.Builder
	outcome, err := client.Complete(ctx, gateclient.Completion{
		Model: req.model, Prompt: req.prompt, MaxTokens: req.maxTokens,
	}, func(part string) error {
		times = append(times, time.Since(began))
		text.WriteString(part)
		return nil
	})
	l.tally.completion(req, completionResult{times: times, text: text.String(), tokens: outcome.Tokens, err: err})
}

// lookup returns the sender of idempotent service calls.
func (l *load) lookup() func(context.Context) {
	n := newNumbers(13)
	return func(ctx context.Context) {
		serial, _ := n.next()
		path := fmt.Sprintf("%sstatus/%d", ledgerPath, serial)
		if serial%2 == 0 {
			path = fmt.Sprintf("%scartons/%d", dispatchPath, serial)
		}
		_, err := l.clients[serial%len(l.clients)].CallService(ctx, gateclient.Call{Method: "GET", Path: path})
		l.tally.call(err)
	}
}

// once returns the sender of non-idempotent service calls, some of which are
// sent twice with the same key.
func (l *load) once() func(context.Context) {
	n := newNumbers(14)
	return func(ctx context.Context) {
		serial, percent := n.next()
		path := closurePath
		if serial%2 == 0 {
			path = handoverPath
		}
		call := gateclient.Call{
			Method: "POST", Path: path, ContentType: "application/json",
			Body:           fmt.Appendf(nil, `{"serial":%d}`, serial),
			IdempotencyKey: fmt.Sprintf("key-%d", serial),
		}
		client := l.clients[serial%len(l.clients)]
		_, err := client.CallService(ctx, call)
		if percent < resendPercent {
			_, err = client.CallService(ctx, call)
		}
		l.tally.call(err)
	}
}
