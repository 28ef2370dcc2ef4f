package quota

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/ports"
	"greengagespoke/traffic"
)

const (
	// heardWithin is how recently a granting host must have heard another one: a host that is cut
	// off stops before the others replace it. It grants again settleTime after it hears one, by when
	// it has learnt whether they did.
	heardWithin = time.Second
	// suspectedFor is how long a host grants nothing after it learnt that others suspect it, as they
	// may have replaced it.
	suspectedFor = 2 * time.Second
	// spareShare is the share of a bucket beyond which spare tokens are granted.
	spareShare = 0.5
	// spareBurst is the greatest share of the burst that buckets hold beyond it. Demand is not divided
	// evenly among the parts: with none, up to 4 of 703 requests within a small quota were refused.
	spareBurst = 0.25
	// maxDenialRate is about the rate of denials of one part, in questions a second, from which on
	// hosts are told to wait for longer than until there are tokens.
	maxDenialRate = 50
	// notGrantingWait is the wait that a host states that does not grant a part.
	notGrantingWait = 500 * time.Millisecond
)

type partKey struct {
	customer traffic.CustomerName
	part     int
}

// part is the state of one part of a quota at its granting host.
type part struct {
	// best says that this host is the granting one in its view, since since. It grants once it has
	// settled.
	best   bool
	since  time.Duration
	bucket bucket
	log    grantLog
	// denials counts the questions that were denied.
	denials  meter
	lastUsed time.Duration
}

// check notes a suspension of the process, suspicions of other hosts, silence and changes of the
// view. q.mu must be held.
func (q *Quotas) check(now time.Duration) {
	if gap := now - q.checkedAt; gap > suspendedAfter {
		q.counts.suspended.Add(1)
		klog.InfoS("process was suspended; quotas are granted again later", "host", q.cfg.Self, "gap", gap, "after", settleTime)
		q.mayGrantFrom = max(q.mayGrantFrom, now+settleTime)
	}
	q.checkedAt = now
	contact := q.cfg.Contact()
	if contact.Suspected < suspectedFor {
		q.mayGrantFrom = max(q.mayGrantFrom, now-contact.Suspected+suspectedFor)
	}
	if v := q.observeView(now); !q.inTouch(now, contact, v) {
		q.quietAt = now
	}
}

// inTouch reports whether this host has joined the others and heard one of them lately, or is the
// only one.
func (q *Quotas) inTouch(now time.Duration, contact Contact, v *view) bool {
	if !q.cfg.Ready() {
		return false
	}
	return min(contact.Heard, now-q.askedAt) <= heardWithin || len(v.members) == 1 && v.members[0].ID == q.cfg.Self
}

// Take implements ports.QuotaPeer: it grants tokens of a part if this host is its granting one.
func (q *Quotas) Take(_ context.Context, req ports.QuotaRequest) (ports.QuotaReply, error) {
	now := q.cfg.Clock()
	customer, version := q.cfg.Customer(traffic.CustomerName(req.Customer))
	plausible := req.Needed >= 0 && req.Needed < math.MaxInt32 && req.Spare >= 0 && req.Part >= 0
	q.mu.Lock()
	defer q.mu.Unlock()
	q.check(now)
	if req.From != q.cfg.Self {
		q.askedAt = now
	}
	switch {
	case customer == nil || !plausible:
		return ports.QuotaReply{NotGranting: true, Wait: notGrantingWait}, nil
	case !customer.Quota.Limited() && version >= req.ConfigVersion:
		return ports.QuotaReply{Granted: req.Needed}, nil
	case !customer.Quota.Limited() || req.Part >= partsOf(customer.Quota):
		return ports.QuotaReply{NotGranting: true, Wait: notGrantingWait}, nil
	}
	key := partKey{customer.Name, req.Part}
	p, ok := q.grantingPart(now, key)
	if !ok {
		return ports.QuotaReply{NotGranting: true, Wait: notGrantingWait}, nil
	}
	if start := q.grantsFrom(now, p); now < start {
		return ports.QuotaReply{NotGranting: true, Wait: min(start-now, notGrantingWait)}, nil
	}
	return q.grant(now, p, customer.Quota, req), nil
}

// settling returns how long this host must have been the granting one before it grants.
func (q *Quotas) settling(now time.Duration) time.Duration {
	if now-q.startedAt < jointStartTTL && q.cfg.StartedTogether != nil && q.cfg.StartedTogether(q.cfg.Zone) {
		return jointStartTime
	}
	return settleTime
}

// startOf returns when this host begins to grant a part, unless it hears no other host. q.mu must be
// held.
func (q *Quotas) startOf(now time.Duration, p *part) time.Duration {
	return max(max(p.since, q.startedAt)+q.settling(now), q.mayGrantFrom)
}

// grantsFrom returns when this host begins to grant a part. q.mu must be held.
func (q *Quotas) grantsFrom(now time.Duration, p *part) time.Duration {
	return max(q.startOf(now, p), q.quietAt+q.settling(now))
}

// grantingPart returns the state of a part of which this host is the granting one. q.mu must be
// held.
func (q *Quotas) grantingPart(now time.Duration, key partKey) (*part, bool) {
	p, known := q.parts[key]
	if !known {
		since, grants := q.grantingSince(key)
		if !grants {
			return nil, false
		}
		p = &part{best: true, since: since, bucket: bucket{filledAt: -1}}
		q.parts[key] = p
	}
	p.lastUsed = now
	return p, p.best
}

// limits are the limits of one part of a quota.
type limits struct {
	rate, capacity float64
	// window bounds the tokens that are granted in logged, which is the window of the bound and the
	// time in which earlier grants may still be used.
	window float64
	logged time.Duration
}

// limitsOf returns the limits of a part. Granting hosts use half of the overage and of the slack; the
// rest is for two of them that grant the same part for a moment, and for allowances. Buckets use less
// of the slack, which is many times the burst of a customer that counts requests.
func (q *Quotas) limitsOf(quota traffic.Quota) limits {
	b := q.bounds.Load()
	share, more := 1/float64(partsOf(quota)), 1+b.Overage/2
	return limits{
		rate: share * quota.Rate * more, capacity: share * (quota.Burst*more + min(b.Slack/2, spareBurst*quota.Burst)),
		window: share * ((quota.Rate*b.Window.Seconds()+quota.Burst)*more + b.Slack/2),
		// Entries are as long as the resolution of the log, and may be reduced one entry too early.
		logged: b.Window + grantLifetime + 2*sliceLength,
	}
}

// grant answers a question about a part that this host grants. q.mu must be held.
func (q *Quotas) grant(now time.Duration, p *part, quota traffic.Quota, req ports.QuotaRequest) ports.QuotaReply {
	l := q.limitsOf(quota)
	p.fill(now, q, l)
	p.log.expire(now, l.logged)
	wait := max(p.bucket.wait(req.Needed, l.rate, l.capacity), p.log.wait(now, l.logged, req.Needed, l.window))
	if wait > 0 {
		p.denials.add(now, 1)
		if crowd := p.denials.perSecond(now) / maxDenialRate; crowd > 1 {
			wait = max(wait, seconds(crowd-1))
		}
		q.counts.partsDenied.Add(1)
		return ports.QuotaReply{Wait: min(wait, longestWait)}
	}
	spare := min(req.Spare, p.bucket.tokens-req.Needed-spareShare*l.capacity, l.window-p.log.total-req.Needed)
	granted := req.Needed + max(0, spare)
	p.bucket.tokens -= granted
	p.log.add(now, granted)
	q.counts.partsGranted.Add(1)
	return ports.QuotaReply{Granted: granted}
}

func (p *part) fill(now time.Duration, q *Quotas, l limits) {
	p.bucket.fill(now, q.startOf(now, p), q.quietAt+q.settling(now), l.rate, l.capacity)
}

// GiveBack implements ports.QuotaPeer. Only tokens that this host has granted within the logged time
// are taken back, so that the bound holds whatever other hosts return.
func (q *Quotas) GiveBack(_ context.Context, ret ports.QuotaReturn) error {
	now := q.cfg.Clock()
	customer, _ := q.cfg.Customer(traffic.CustomerName(ret.Customer))
	if customer == nil || ret.Age < 0 || math.IsNaN(ret.Tokens) || ret.Tokens <= 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.check(now)
	p := q.parts[partKey{customer.Name, ret.Part}]
	if p == nil || !customer.Quota.Limited() {
		return nil
	}
	l := q.limitsOf(customer.Quota)
	p.fill(now, q, l)
	p.log.expire(now, l.logged)
	p.bucket.tokens = min(l.capacity, p.bucket.tokens+p.log.remove(now-ret.Age, ret.Tokens))
	return nil
}

// removeUnusedParts removes the parts that would be the same if they were asked for again: full, and
// without grants in the window. q.mu must be held.
func (q *Quotas) removeUnusedParts(now time.Duration) {
	for key, p := range q.parts {
		if now-p.lastUsed < stateTTL {
			continue
		}
		customer, _ := q.cfg.Customer(key.customer)
		if customer != nil && customer.Quota.Limited() && p.best {
			l := q.limitsOf(customer.Quota)
			p.fill(now, q, l)
			if p.bucket.tokens < l.capacity {
				continue
			}
		}
		delete(q.parts, key)
	}
}
