package dispatch

import (
	"context"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/quota"
	"greengagespoke/traffic"
)

// chargedCaller gives back the charge of a request that does not run.
type chargedCaller struct {
	traffic.Caller
	quotas *quota.Quotas
	charge quota.Charge
	f      *inFlight
	// answered says that the caller got a response or a refusal, refunded that the charge was given
	// back.
	answered, refunded bool
}

// charge charges a request to the quota of its customer and returns the caller through which it is
// answered. Requests of other hosts are charged there. The load that it answers: customers that
// compete for too little capacity, one of which sends several times its usual load.
func (g *Gate) charge(ctx context.Context, f *inFlight, caller traffic.Caller) (charged traffic.Caller, end func(), refusal *domain.Refusal) {
	customer := f.req.Customer
	if g.cfg.Quotas == nil || customer == nil || f.req.Hop != nil || !customer.Quota.Limited() {
		return caller, func() {}, nil
	}
	cost := customer.Quota.Cost(f.req)
	charge, denial := g.cfg.Quotas.Charge(ctx, customer, cost, f.route.TargetLatency/2, f.configVersion)
	if denial == nil {
		c := &chargedCaller{Caller: caller, quotas: g.cfg.Quotas, charge: charge, f: f}
		return c, c.end, nil
	}
	klog.InfoS("request not charged to the quota", "request", f.req.ID, "customer", customer.Name, "cost", cost, "over", denial.Over,
		"known", denial.Known, "retry_after", denial.RetryAfter, "rate", customer.Quota.Rate, "burst", customer.Quota.Burst)
	if denial.Over {
		return nil, nil, domain.Refuse(domain.RefusalOverQuota, "the quota of the customer is used up", "send it again after the stated time").WithRetryAfter(denial.RetryAfter)
	}
	return nil, nil, domain.Refuse(domain.RefusalQuotaUnknown, "no host that knows the quota of the customer answered", "try again after the stated time").WithRetryAfter(denial.RetryAfter)
}

func (c *chargedCaller) refund() {
	if !c.refunded {
		c.refunded = true
		c.quotas.Refund(c.charge)
	}
}

// Answer implements traffic.Caller.
func (c *chargedCaller) Answer(a *traffic.Answer) {
	c.answered = true
	if c.f.notRun {
		c.refund()
	}
	c.Caller.Answer(a)
}

// Refuse implements traffic.Caller.
func (c *chargedCaller) Refuse(r *domain.Refusal) {
	c.answered = true
	if r.Ran == domain.RanNo {
		c.refund()
	}
	c.Caller.Refuse(r)
}

// Start implements traffic.Caller.
func (c *chargedCaller) Start(head any) {
	c.answered = true
	c.Caller.Start(head)
}

// end ends the request. One that got no answer, as its caller left, did not run if it was sent to no
// upstream.
func (c *chargedCaller) end() {
	if !c.answered && c.f.used() == 0 {
		c.refund()
	}
}
