package demo

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/standin/engine"
)

const (
	// DefaultSeconds is how long the load lasts by default, in seconds.
	DefaultSeconds = 10
	// DefaultHosts is the default number of entry hosts, and MinHosts the least.
	DefaultHosts = 3
	MinHosts     = 3

	entryPointsMaxAge = time.Second
	drainMargin       = 500 * time.Millisecond
	// settleLimit bounds the wait for engine memory to be freed at the end.
	settleLimit = 10 * time.Second
	percent     = 100
)

// Options says how long the demo lasts and how many hosts it has.
type Options struct {
	Seconds int
	Hosts   int
}

// Report is the outcome of a demo.
type Report struct {
	Sent          int                        `json:"sent"`
	Answered      int                        `json:"answered"`
	Refused       int                        `json:"refused"`
	RefusedByKind map[domain.RefusalKind]int `json:"refused_by_kind"`
	// GivenUp counts requests whose caller went away on purpose.
	GivenUp       int `json:"given_up"`
	AnsweredTwice int `json:"answered_twice"`
	Doubled       int `json:"doubled"`
	Lost          int `json:"lost"`
	// Goodput is answers within both targets per second.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the part of computed prompt tokens that was wasted, in
	// percent, without that of callers who left.
	WastedPrefill float64 `json:"wasted_prefill"`
	TTFTP50MS     float64 `json:"ttft_p50_ms"`
	TTFTP95MS     float64 `json:"ttft_p95_ms"`
	TBTP50MS      float64 `json:"tbt_p50_ms"`
	TBTP95MS      float64 `json:"tbt_p95_ms"`
	GrantsLeft    int     `json:"grants_left"`
}

// OK reports whether every promise was kept.
func (r *Report) OK() bool {
	return r.AnsweredTwice == 0 && r.Doubled == 0 && r.Lost == 0 && r.GrantsLeft == 0
}

// Run runs the demo. progress is called with one line for each step.
func Run(ctx context.Context, opts Options, progress func(string)) (*Report, error) {
	if opts.Hosts < MinHosts || opts.Seconds < 1 {
		return nil, eris.Errorf("the demo needs at least %d hosts and 1 second", MinHosts)
	}
	progress("starting stand-ins and entry hosts on loopback")
	d, err := newDeployment(ctx, opts.Hosts, decodeSlots)
	if err != nil {
		return nil, cmp.Or(err, d.close())
	}
	t := newTally()
	began := time.Now()
	loadCtx, stop := context.WithTimeout(ctx, time.Duration(opts.Seconds)*time.Second)
	defer stop()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		d.faults(loadCtx, time.Duration(opts.Seconds)*time.Second, progress)
	}()
	newLoad(d, t).run(loadCtx)
	<-faults
	elapsed := time.Since(began)
	progress("load done, waiting for engine memory to be freed")
	left := d.settle(ctx)
	report := d.report(t, elapsed, left)
	return report, d.close()
}

// faults kills a decode engine and stops a host gracefully midway.
func (d *deployment) faults(ctx context.Context, length time.Duration, progress func(string)) {
	if !pause.For(ctx, length*2/5) {
		return
	}
	victim := d.decodeEngine()
	progress("killing upstream " + string(victim.Upstream().ID))
	victim.Kill()
	if !pause.For(ctx, length/5) {
		return
	}
	h := d.hosts[len(d.hosts)-1]
	progress("stopping host " + string(h.id) + " gracefully")
	d.platform.SetLeaving(string(h.id))
	h.stop()
	<-h.done
	progress("host " + string(h.id) + " has stopped")
}

// decodeEngine returns a decode engine of the interactive pool.
func (d *deployment) decodeEngine() *engine.Engine {
	for _, e := range d.engines {
		up := e.Upstream()
		if up.Role == domain.RoleDecode && strings.HasPrefix(string(up.ID), notePool) {
			return e
		}
	}
	return d.engines[0]
}

// settle waits until no engine holds memory and returns what is left.
func (d *deployment) settle(ctx context.Context) int {
	ctx, stop := context.WithTimeout(ctx, settleLimit)
	defer stop()
	for d.held() > 0 && pause.For(ctx, pollPause) {
	}
	return d.held()
}

func (d *deployment) report(t *tally, elapsed time.Duration, left int) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	prefills := d.fabric.Ledger().Prefills()
	return &Report{
		Sent:          t.sent,
		Answered:      t.answered,
		Refused:       t.refusedTotal(),
		RefusedByKind: t.refused,
		GivenUp:       t.gaveUp,
		AnsweredTwice: t.answeredTwice,
		Doubled:       d.ledger.Doubled(),
		Lost:          t.lost,
		Goodput:       float64(t.onTarget) / elapsed.Seconds(),
		WastedPrefill: percent * float64(prefills.Wasted) / float64(max(1, prefills.Computed)),
		TTFTP50MS:     milliseconds(t.first.ValueAtQuantile(50)),
		TTFTP95MS:     milliseconds(t.first.ValueAtQuantile(95)),
		TBTP50MS:      milliseconds(t.between.ValueAtQuantile(50)),
		TBTP95MS:      milliseconds(t.between.ValueAtQuantile(95)),
		GrantsLeft:    left,
	}
}

func milliseconds(us int64) float64 {
	return float64(us) / 1000
}
