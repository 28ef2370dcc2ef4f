package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	// maxReturnGroups bounds the returns that an account keeps. Further tokens expire unused.
	maxReturnGroups = 32
	// returnGroupTime is the time of grants that are given back in one message.
	returnGroupTime = 250 * time.Millisecond
	// minReturnShare is the share of a part's rate of a second below which tokens are not given back:
	// a message costs more than they are worth.
	minReturnShare = 0.01
)

// account is what this host knows of one customer's quota.
type account struct {
	q    *Quotas
	name traffic.CustomerName

	mu      sync.Mutex
	quota   traffic.Quota
	version domain.Revision
	view    *view
	sources []*source
	grants  []grant
	waiting []*waiter
	returns []pendingReturn
	// answers counts the questions that ended.
	answers int
	// requests counts the requests that were charged, charged and refused their cost.
	requests meter
	charged  meter
	refused  meter
	usage    usage
	// allowances is the log of what the allowance admitted.
	allowances grantLog

	lastUsed time.Duration
	// retrying says that a timer is set for the next question.
	retrying bool
}

// source is what an account knows of the granting host of one part.
type source struct {
	part  int
	host  domain.HostID
	known bool
	local bool
	// asking says that a question is not answered yet, asked is the number of tokens that it is
	// expected to bring.
	asking bool
	asked  float64
	// failed says that the last question was not answered, or by a host that does not grant. It is
	// asked again from retryAt on.
	failed  bool
	retryAt time.Duration
	// denied says that the last question was denied. The part is taken to have level tokens until
	// levelAt, which may be below 0, and more from then on.
	denied  bool
	level   float64
	levelAt time.Duration
}

// grant is a number of tokens that may be used until expires.
type grant struct {
	part    int
	tokens  float64
	at      time.Duration
	expires time.Duration
}

// allowancePart stands for the allowance in place of a part.
const allowancePart = -1

// pendingReturn is a number of tokens to give back.
type pendingReturn struct {
	customer traffic.CustomerName
	part     int
	host     domain.HostID
	tokens   float64
	at       time.Duration
}

// waiter is a request that waits for tokens.
type waiter struct {
	cost float64
	// since is the number of answers that the account had when the request came.
	since  int
	done   bool
	charge Charge
	denial *Denial
	ready  chan struct{}
}

// Charge is what a request was charged. The zero value is that of a request without a charge.
type Charge struct {
	account *account
	cost    float64
	pieces  []grant
}

// account returns the account of a customer, and creates it if there is none.
func (q *Quotas) account(name traffic.CustomerName) *account {
	var found *account
	q.accounts.Update(name, func(a *account, ok bool) (*account, bool) {
		if !ok {
			a = &account{q: q, name: name}
		}
		found = a
		return a, true
	})
	return found
}

// update takes over the quota of the request and the view. a.mu must be held.
func (a *account) update(now time.Duration, quota traffic.Quota, version domain.Revision) {
	a.lastUsed = now
	if version >= a.version {
		a.quota, a.version = quota, version
	}
	a.refresh(now)
}

// refresh finds the granting hosts in the view and removes expired grants. a.mu must be held.
func (a *account) refresh(now time.Duration) {
	a.expire(now)
	v, parts := a.q.current.Load(), partsOf(a.quota)
	if a.view == v && len(a.sources) == parts {
		return
	}
	a.view = v
	for len(a.sources) < parts {
		a.sources = append(a.sources, &source{part: len(a.sources)})
	}
	slices.SortFunc(a.sources, func(x, y *source) int { return cmp.Compare(x.part, y.part) })
	a.sources = a.sources[:parts]
	for _, s := range a.sources {
		host, zone, ok := v.grantingHost(a.name, s.part)
		s.local = zone == a.q.cfg.Zone
		if host != s.host || ok != s.known {
			s.host, s.known, s.failed, s.denied = host, ok, false, false
		}
	}
	// The parts of the own zone come first. Hosts differ in the order of the others.
	own := int(hashOf(string(a.q.cfg.Self)) % partCount)
	slices.SortStableFunc(a.sources, func(x, y *source) int {
		return cmp.Or(cmp.Compare(rank(x, own), rank(y, own)))
	})
}

func rank(s *source, own int) int {
	if s.local {
		return -1
	}
	return (s.part + own) % partCount
}

// expire removes the grants whose time is over and gives them back. a.mu must be held.
func (a *account) expire(now time.Duration) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool {
		if now < g.expires && g.tokens > 0 {
			return false
		}
		a.addReturn(g)
		return true
	})
}

// addReturn notes tokens to give back. a.mu must be held.
func (a *account) addReturn(g grant) {
	if g.tokens < max(1, minReturnShare*a.quota.Rate/float64(partsOf(a.quota))) {
		return
	}
	for i := range a.returns {
		// Tokens count as granted when the oldest ones of a group were.
		if r := &a.returns[i]; r.part == g.part && max(r.at-g.at, g.at-r.at) < returnGroupTime {
			r.tokens, r.at = r.tokens+g.tokens, min(r.at, g.at)
			return
		}
	}
	if len(a.returns) < maxReturnGroups {
		a.returns = append(a.returns, pendingReturn{customer: a.name, part: g.part, tokens: g.tokens, at: g.at})
	}
}

// takeReturns returns the tokens to give back, with their granting hosts.
func (a *account) takeReturns(now time.Duration, v *view) []pendingReturn {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	returns := a.returns
	a.returns = nil
	for i := range returns {
		a.usage.givenBack.add(now, returns[i].tokens)
		returns[i].host, _, _ = v.grantingHost(a.name, returns[i].part)
		for _, s := range a.sources {
			s.denied = s.denied && s.part != returns[i].part // The part has more than it had.
		}
	}
	return slices.DeleteFunc(returns, func(r pendingReturn) bool { return r.host == "" })
}

// unused reports whether the account may be removed: no request waits, no tokens are held, and the
// customer sent no request for ttl.
func (a *account) unused(now, ttl time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting) == 0 && len(a.grants) == 0 && now-a.lastUsed >= ttl
}

// tokens returns the number of tokens that may be used. a.mu must be held.
func (a *account) tokens() float64 {
	sum := 0.0
	for _, g := range a.grants {
		sum += g.tokens
	}
	return sum
}

// spend charges a cost to the grants that expire first. a.mu must be held.
func (a *account) spend(now time.Duration, cost float64) (Charge, bool) {
	if a.tokens() < cost {
		return Charge{}, false
	}
	charge := Charge{account: a, cost: cost}
	for left := cost; left > 0 && len(a.grants) > 0; {
		g := &a.grants[0]
		used := min(left, g.tokens)
		left -= used
		g.tokens -= used
		piece := *g
		piece.tokens = used
		charge.pieces = append(charge.pieces, piece)
		if g.tokens <= 0 {
			a.grants = a.grants[1:]
		}
	}
	a.countCharge(now, cost)
	return charge, true
}

func (a *account) countCharge(now time.Duration, cost float64) {
	a.requests.add(now, 1)
	a.charged.add(now, cost)
	a.usage.charged.add(now, cost)
	a.q.counts.spent.Add(int64(cost))
}

// addGrant adds granted tokens. a.mu must be held.
func (a *account) addGrant(g grant) {
	at, _ := slices.BinarySearchFunc(a.grants, g, func(x, y grant) int { return cmp.Compare(x.expires, y.expires) })
	a.grants = slices.Insert(a.grants, at, g)
}

// avail returns the number of tokens that a part is taken to have now; unknown means that nothing is
// known, so that it may have any number. a.mu must be held.
func (a *account) avail(now time.Duration, s *source) (level float64, unknown bool) {
	l := a.q.limitsOf(a.quota)
	if !s.denied {
		return l.capacity, true
	}
	level = s.level + l.rate*max(0, now-s.levelAt).Seconds()
	return level, level >= l.capacity
}

// answered takes over the reply to a question. a.mu must be held.
func (a *account) answered(now, askedAt time.Duration, s *source, host domain.HostID, needed float64, reply ports.QuotaReply, failed bool) {
	s.asking, s.asked = false, 0
	a.answers++
	if reply.Granted > 0 {
		a.q.counts.granted.Add(int64(reply.Granted))
		// The tokens count from the question on, so that they expire here before they do there.
		a.addGrant(grant{part: s.part, tokens: reply.Granted, at: askedAt, expires: askedAt + grantLifetime})
	}
	if s.host != host {
		return // What it said is out of date.
	}
	switch {
	case failed:
		s.failed, s.retryAt = true, now+time.Duration(float64(failedRetry)*jitter(waitJitter))
	case reply.NotGranting:
		wait := min(max(reply.Wait, minRetry), failedRetry)
		s.failed, s.retryAt = true, now+time.Duration(float64(wait)*jitter(waitJitter))
	case reply.Granted > 0:
		s.failed, s.denied = false, false
	default:
		s.failed, s.denied = false, true
		wait := min(reply.Wait, longestWait)
		// A request beyond the capacity waits for a full bucket.
		l := a.q.limitsOf(a.quota)
		s.level = min(needed, l.capacity) - l.rate*wait.Seconds()
		s.levelAt = now + time.Duration(float64(min(wait, failedRetry))*(jitter(waitJitter)-1))
	}
}
