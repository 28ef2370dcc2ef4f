package quota

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	// askPatience is how long requests wait for the answer to a question before other granting hosts
	// are asked: several round trips between availability zones.
	askPatience = 80 * time.Millisecond
	// askTimeout bounds a question. Small hosts that are overloaded answer late.
	askTimeout = 300 * time.Millisecond
	// failedRetry is the time to the next question to a granting host that did not answer, minRetry
	// the least one to a host that does not grant.
	failedRetry = 500 * time.Millisecond
	minRetry    = 50 * time.Millisecond
	// waitJitter is the fraction by which waits are prolonged at random, so that hosts do not ask at
	// once.
	waitJitter = 0.25
	// defaultWait is how long a request without a target waits for a granting host.
	defaultWait = 250 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller is to return, unknownRetryAfter
	// that if no granting host answers: about the time in which one is replaced or reached again.
	minRetryAfter     = 50 * time.Millisecond
	unknownRetryAfter = 500 * time.Millisecond
	// startupTime is the time from the start of a host until it knows the granting hosts and those
	// that start with it grant. Callers come back once only, so that they are not called back sooner.
	startupTime = 2500 * time.Millisecond
	// maxSpread bounds the time over which the return of refused callers is spread.
	maxSpread = 5 * time.Second
	// answersAwaited bounds the answers that a request waits for while questions are outstanding, for
	// each part: one to learn what the part has, and one to take what the parts have together.
	answersAwaited = 2
	// minSpareRequests is the number of requests a second from which on a host asks for spare tokens.
	// With fewer, what they bring is used for less than half, and many hosts hold a large share of the
	// burst: 2 of 703 requests within a small quota were refused.
	minSpareRequests = 8
	// smallCost is the greatest cost of a request that the allowance admits.
	smallCost = 1000
	// allowanceShare is the share of the slack that the allowances of all hosts have, and of the
	// quota of a window at most: the slack is many times the quota of a customer that counts
	// requests.
	allowanceShare = 0.25
)

// Denial says why a request was not charged.
type Denial struct {
	// Over means that the customer is over its quota. Otherwise no granting host answered.
	Over bool
	// RetryAfter is when the caller is to return.
	RetryAfter time.Duration
	// Known is what was known of each part, with its age. It is for the log.
	Known string
}

// Charge charges a request to its customer's quota. It asks granting hosts if needed, and waits up to
// wait if none of them answers. A charge of a request that does not run must be given back with
// Refund. version is that of the configuration that customer is from.
func (q *Quotas) Charge(ctx context.Context, customer *traffic.Customer, cost float64, wait time.Duration, version domain.Revision) (Charge, *Denial) {
	if !customer.Quota.Limited() || cost <= 0 {
		return Charge{}, nil
	}
	a := q.account(customer.Name)
	a.mu.Lock()
	now := q.cfg.Clock()
	a.update(now, customer.Quota, version)
	if len(a.waiting) == 0 {
		if charge, ok := a.spend(now, cost); ok {
			a.mu.Unlock()
			return charge, nil
		}
	}
	w := &waiter{cost: cost, since: a.answers, ready: make(chan struct{})}
	a.waiting = append(a.waiting, w)
	a.advance(now)
	a.mu.Unlock()
	if wait <= 0 {
		wait = defaultWait
	}
	timer := pause.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.done {
		a.finish(w, Charge{}, a.denial(q.cfg.Clock(), cost))
	}
	return w.charge, w.denial
}

// Refund gives back the charge of a request that did not run.
func (q *Quotas) Refund(charge Charge) {
	a := charge.account
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := q.cfg.Clock()
	q.counts.spent.Add(-int64(charge.cost))
	a.usage.charged.add(now, -charge.cost)
	for _, g := range charge.pieces {
		switch {
		case g.part == allowancePart:
			a.allowances.remove(g.at, g.tokens)
		case now < g.expires:
			a.addGrant(g)
		default:
			a.addReturn(g)
		}
	}
	if len(a.waiting) > 0 {
		a.advance(now)
	}
}

// finish ends the wait of a request. a.mu must be held.
func (a *account) finish(w *waiter, charge Charge, denial *Denial) {
	w.done, w.charge, w.denial = true, charge, denial
	close(w.ready)
	if at := slices.Index(a.waiting, w); at >= 0 {
		a.waiting = slices.Delete(a.waiting, at, at+1)
	}
	if denial == nil {
		return
	}
	now := a.q.cfg.Clock()
	if denial.Over {
		a.refused.add(now, w.cost)
		a.usage.over.add(now, w.cost)
		a.q.counts.over.Add(1)
	} else {
		a.usage.unknown.add(now, w.cost)
		a.q.counts.unknown.Add(1)
	}
}

// question is a question to be asked.
type question struct {
	source *source
	needed float64
	// spare says that spare tokens are asked for, too.
	spare bool
}

// advance charges the requests that wait and can be charged, asks for the tokens that the others
// need, and refuses those that no part has tokens for. a.mu must be held.
func (a *account) advance(now time.Duration) {
	a.refresh(now)
	plan := make(map[*source]float64)
	have := a.tokens()
	for _, s := range a.sources {
		have += s.asked
	}
	for _, w := range slices.Clone(a.waiting) {
		if charge, ok := a.spend(now, w.cost); ok {
			have -= w.cost
			a.finish(w, charge, nil)
			continue
		}
		switch missing := w.cost - max(0, have); {
		case missing <= 0:
			have -= w.cost
		case a.place(now, missing, plan):
			have = 0
		default:
			a.resolve(now, w, len(plan) > 0)
		}
	}
	for _, s := range a.sources {
		if needed := plan[s]; needed > 0 {
			s.asked = needed
			a.ask(now, question{source: s, needed: needed, spare: true})
		}
	}
}

// place adds missing tokens to the questions of a plan: those to the first part that is taken to have
// them, or to several parts that have them together. a.mu must be held.
func (a *account) place(now time.Duration, missing float64, plan map[*source]float64) bool {
	free, sum := make([]*source, 0, len(a.sources)), 0.0
	for _, s := range a.sources {
		if s.failed && s.known && !s.asking && now >= s.retryAt {
			// Whether it answers again does not hold up the request.
			a.ask(now, question{source: s, needed: missing})
		}
		if s.failed || !s.known {
			continue
		}
		if s.asking && s.local && !s.denied {
			return false // The answer of a host of the own zone is awaited.
		}
		if s.asking {
			continue
		}
		level, unknown := a.avail(now, s)
		if unknown && plan[s] == 0 || plan[s]+missing <= level {
			plan[s] += missing
			return true
		}
		free, sum = append(free, s), sum+max(0, level-plan[s])
	}
	if sum < missing {
		return false
	}
	for _, s := range free {
		level, _ := a.avail(now, s)
		part := min(missing, max(0, level-plan[s]))
		plan[s] += part
		missing -= part
	}
	return true
}

// resolve decides on a request for which no part is taken to have tokens. a.mu must be held.
func (a *account) resolve(now time.Duration, w *waiter, planned bool) {
	if a.allowed(now, w.cost) {
		charge := Charge{account: a, cost: w.cost, pieces: []grant{{part: allowancePart, tokens: w.cost, at: now}}}
		a.countCharge(now, w.cost)
		a.finish(w, charge, nil)
		return
	}
	denied, outstanding := false, planned
	for _, s := range a.sources {
		denied = denied || s.known && !s.failed && s.denied
		outstanding = outstanding || s.asking && !s.failed
	}
	if outstanding && (!denied || a.answers-w.since < answersAwaited*len(a.sources)) {
		return // The answer may change the decision.
	}
	if denied {
		a.finish(w, Charge{}, a.denial(now, w.cost))
		return
	}
	a.retryLater(now)
}

// retryLater asks again when the first part that failed is due. a.mu must be held.
func (a *account) retryLater(now time.Duration) {
	if a.retrying {
		return
	}
	wait := failedRetry
	for _, s := range a.sources {
		if s.known && !s.asking {
			wait = min(wait, s.retryAt-now)
		}
	}
	a.retrying = true
	pause.AfterFunc(max(wait, minRetry/2), func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.retrying = false
		if len(a.waiting) > 0 {
			a.advance(a.q.cfg.Clock())
		}
	})
}

// ask asks a granting host in a goroutine. a.mu must be held.
func (a *account) ask(now time.Duration, qu question) {
	s := qu.source
	s.asking = true
	req := ports.QuotaRequest{
		From: a.q.cfg.Self, Customer: string(a.name), Part: s.part, Needed: qu.needed, ConfigVersion: a.version,
	}
	if qu.spare && a.requests.perSecond(now) >= minSpareRequests {
		// For the next second of this host's demand.
		req.Spare = max(0, a.charged.perSecond(now)-qu.needed-a.tokens())
	}
	host := s.host
	slow := pause.AfterFunc(askPatience, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.overdue(s)
	})
	go func() {
		defer slow.Stop()
		reply, err := a.q.askHost(host, req)
		a.mu.Lock()
		defer a.mu.Unlock()
		answeredAt := a.q.cfg.Clock()
		a.answered(answeredAt, now, s, host, qu.needed, reply, err != nil)
		a.advance(answeredAt)
	}()
}

// overdue lets requests turn to other granting hosts while a question is not answered. a.mu must be
// held.
func (a *account) overdue(s *source) {
	if !s.asking {
		return
	}
	now := a.q.cfg.Clock()
	s.failed, s.asked, s.retryAt = true, 0, now
	a.answers++
	a.advance(now)
}

// askHost asks a granting host, which may be this one.
func (q *Quotas) askHost(host domain.HostID, req ports.QuotaRequest) (ports.QuotaReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var peer ports.QuotaPeer = q
	if host != q.cfg.Self {
		peer = q.cfg.Peer(host)
	}
	q.counts.asked.Add(1)
	reply, err := peer.Take(ctx, req)
	if err != nil {
		q.counts.notReached.Add(1)
		klog.InfoS("granting host of a quota not reached", "customer", req.Customer, "part", req.Part, "host", host, "err", err)
		return ports.QuotaReply{}, err
	}
	if reply.NotGranting {
		q.counts.notGranting.Add(1)
	}
	if math.IsNaN(reply.Granted) || reply.Granted < 0 {
		reply.Granted = 0
	}
	reply.Granted = min(reply.Granted, req.Needed+req.Spare)
	reply.Wait = max(0, reply.Wait)
	return reply, nil
}

// sendReturn gives tokens back to a granting host. If it is not reached, they are lost.
func (q *Quotas) sendReturn(ctx context.Context, r pendingReturn) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var peer ports.QuotaPeer = q
	if r.host != q.cfg.Self {
		peer = q.cfg.Peer(r.host)
	}
	q.counts.givenBack.Add(int64(r.tokens))
	_ = peer.GiveBack(ctx, ports.QuotaReturn{Customer: string(r.customer), Part: r.part, Tokens: r.tokens, Age: q.cfg.Clock() - r.at})
}

// allowed takes a small request off the allowance, which is a share of the slack for each host that
// may serve in each window. a.mu must be held.
func (a *account) allowed(now time.Duration, cost float64) bool {
	hosts := len(a.view.members)
	if cost > smallCost || hosts == 0 || !a.q.cfg.Ready() {
		return false
	}
	b := a.q.bounds.Load()
	share := allowanceShare * min(b.Slack, a.quota.Rate*b.Window.Seconds()+a.quota.Burst) / float64(hosts)
	a.allowances.expire(now, b.Window)
	if a.allowances.total+cost > share {
		return false
	}
	a.allowances.add(now, cost)
	a.q.counts.allowance.Add(1)
	return true
}

// denial describes why a request of a cost is refused now. a.mu must be held.
func (a *account) denial(now time.Duration, cost float64) *Denial {
	wait := max(unknownRetryAfter, a.q.startedAt+startupTime-now)
	d := &Denial{Known: a.describe(now), RetryAfter: wait + rand.N(unknownRetryAfter)}
	rate, level := 0.0, 0.0
	for _, s := range a.sources {
		if !s.known || s.failed || !s.denied {
			continue
		}
		d.Over = true
		l, _ := a.avail(now, s)
		rate, level = rate+a.q.limitsOf(a.quota).rate, level+l
	}
	if !d.Over {
		return d
	}
	suffices := max(minRetryAfter, seconds((cost-level)/rate))
	// The more was refused of what was sent, the longer it takes until all of it is admitted.
	excess := seconds(a.refused.perSecond(now) / max(cost, a.charged.perSecond(now)))
	d.RetryAfter = suffices + time.Duration(float64(min(maxSpread, suffices+excess))*(jitter(1)-1))
	return d
}

// describe returns what is known of each part. a.mu must be held.
func (a *account) describe(now time.Duration) string {
	var b strings.Builder
	for i, s := range a.sources {
		if i > 0 {
			b.WriteString("; ")
		}
		switch {
		case !s.known:
			fmt.Fprintf(&b, "part %d: no granting host", s.part)
		case s.failed:
			fmt.Fprintf(&b, "part %d: %s does not grant", s.part, s.host)
		case s.denied:
			fmt.Fprintf(&b, "part %d: %s had %.0f tokens %s ago", s.part, s.host, s.level, max(0, now-s.levelAt).Round(time.Millisecond))
		default:
			fmt.Fprintf(&b, "part %d: %s not asked since it granted", s.part, s.host)
		}
	}
	return b.String()
}
