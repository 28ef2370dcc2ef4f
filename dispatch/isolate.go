package dispatch

import (
	"context"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/shard"
	"greengagespoke/traffic"
)

const (
	// maxTurnWait and maxTurnWaitShare bound how long an attempt waits for its turn; the
	// share is of the time until the deadline.
	maxTurnWait      = 2 * time.Second
	maxTurnWaitShare = 0.5
	// turnCheckInterval is the time between two checks whether a waiting attempt still
	// needs a turn.
	turnCheckInterval = 50 * time.Millisecond
	// turnRetryAfter is the retry delay reported if the turn did not come.
	turnRetryAfter = time.Second
)

// isolator lets the requests that the next crash would quarantine take turns, one at a
// time for each service. If they ran together, one crash would quarantine all of them.
type isolator struct {
	// turns holds a channel of capacity 1 for each service. It is full during a turn.
	turns *shard.Map[traffic.ServiceName, chan struct{}]
}

func newIsolator() isolator {
	return isolator{turns: shard.NewMap[traffic.ServiceName, chan struct{}]()}
}

func (i isolator) turn(service traffic.ServiceName) chan struct{} {
	var found chan struct{}
	i.turns.Update(service, func(turn chan struct{}, ok bool) (chan struct{}, bool) {
		if !ok {
			turn = make(chan struct{}, 1)
		}
		found = turn
		return turn, true
	})
	return found
}

// beginAttempt checks before an attempt whether the request is quarantined, and waits for
// its turn if the next crash would quarantine it. If it is undecided whether the request
// caused three crashes, one host alone runs it, so that copies at several hosts cause no
// more than one further crash. It returns a function that ends the turn, or a refusal that
// says that the attempt did not run.
func (g *Gate) beginAttempt(ctx context.Context, f *inFlight) (end func(), refusal *domain.Refusal) {
	g.lowerLimit(f)
	if !g.cfg.Quarantine.AtLastStrike(f.req.Fingerprint, f.parts...) {
		return func() {}, g.quarantined(f)
	}
	g.metrics.isolated.Add(1)
	if subject, undecided := g.cfg.Quarantine.Undecided(f.req.Fingerprint, f.parts...); undecided && !g.cfg.Decides(subject) {
		return nil, noTurnRefusal()
	}
	turn := g.isolator.turn(f.service)
	now := time.Now()
	giveUp := now.Add(min(maxTurnWait, time.Duration(maxTurnWaitShare*float64(f.answerDeadline.Sub(now)))))
	check := time.NewTicker(turnCheckInterval)
	defer check.Stop()
	for {
		select {
		case turn <- struct{}{}:
			// The request may have crashed an upstream for another caller meanwhile.
			if refusal := g.quarantined(f); refusal != nil {
				<-turn
				return nil, refusal
			}
			return func() { <-turn }, nil
		case <-check.C:
			if !g.cfg.Quarantine.AtLastStrike(f.req.Fingerprint, f.parts...) {
				return func() {}, g.quarantined(f)
			}
			if time.Now().After(giveUp) {
				return nil, noTurnRefusal()
			}
		case <-ctx.Done():
			return nil, noTurnRefusal()
		}
	}
}

func noTurnRefusal() *domain.Refusal {
	return domain.Refuse(domain.RefusalOverloaded, "upstreams crashed while they ran this request, and others like it run first",
		"try again after the stated time").WithRetryAfter(turnRetryAfter)
}
