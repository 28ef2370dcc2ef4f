package routing

import (
	"context"
	"errors"
	"time"

	"greengagespoke/domain"
	"greengagespoke/groups"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// groupIndex holds the groups of all pools at one revision of the tables.
type groupIndex struct {
	revision domain.Revision
	byPool   map[domain.PoolName][]groups.Group
}

// groupsOf returns the groups of a pool. They are computed once per revision
// of the tables.
func (g *Gate) groupsOf(name domain.PoolName) []groups.Group {
	revision := g.cfg.Tables.Revision()
	index := g.groupIndex.Load()
	if index == nil || index.revision != revision {
		index = &groupIndex{
			revision: revision,
			byPool:   make(map[domain.PoolName][]groups.Group),
		}
		for _, pool := range g.cfg.Tables.Pools() {
			index.byPool[pool.Name] = groups.Of(pool, g.cfg.Scope)
		}
		g.groupIndex.Store(index)
	}
	return index.byPool[name]
}

// chooseGroup samples two groups of the pool in the region of this host and
// returns the one with the shorter last known wait (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing", 2001). If the region has no
// group, it samples from all regions.
func (g *Gate) chooseGroup(name domain.PoolName) (groups.Group, bool) {
	all := g.groupsOf(name)
	if len(all) == 0 {
		return groups.Group{}, false
	}
	candidates := groupsInRegion(all, g.cfg.Membership.Self().Zone.Region())
	if len(candidates) == 0 {
		candidates = all
	}
	first := candidates[g.cfg.Rand(int64(len(candidates)))]
	second := candidates[g.cfg.Rand(int64(len(candidates)))]
	firstWait, _ := g.acquireWaits.Load(first.ID)
	secondWait, _ := g.acquireWaits.Load(second.ID)
	if secondWait < firstWait {
		return second, true
	}
	return first, true
}

func groupsInRegion(all []groups.Group, region domain.Region) []groups.Group {
	var out []groups.Group
	for _, group := range all {
		if group.Region == region {
			out = append(out, group)
		}
	}
	return out
}

// acquire requests a decode slot from the keeper of a group until the slot is
// granted or the request is rejected.
func (r *modelRequest) acquire(ctx context.Context) (reservation, error) {
	g := r.gate
	start := time.Now()
	lastResponse := start
	for {
		group, host, err := r.findKeeper()
		if err == nil {
			var grant domain.Grant
			grant, err = g.cfg.Peers.Keeper(host).Acquire(ctx, group.ID, r.slotRequest(start))
			if err == nil {
				g.acquireWaits.Store(group.ID, time.Since(start))
				return r.resolveGrant(group, grant)
			}
		}
		if ctx.Err() != nil {
			r.withdraw(group, host)
			return reservation{}, ctx.Err()
		}
		if _, refused := domain.AsRefusal(err); refused {
			return reservation{}, err
		}
		if errors.Is(err, ports.ErrStillQueued) {
			lastResponse = time.Now()
			continue
		}
		if refusal := r.keeperTimeoutRefusal(lastResponse); refusal != nil {
			return reservation{}, refusal
		}
		if !pause.For(ctx, g.jitter(g.timing.KeeperRetryDelay)) {
			return reservation{}, ctx.Err()
		}
	}
}

var errNoKeeper = errors.New("no live host can be the keeper of the group")

// findKeeper chooses a group of the request's pool and returns it with the
// host that is its keeper.
func (r *modelRequest) findKeeper() (groups.Group, domain.HostID, error) {
	group, ok := r.gate.chooseGroup(r.route.Pool)
	if !ok {
		return group, "", domain.Refuse(domain.RefusalNoUpstream, "pool "+string(r.route.Pool)+" has no upstreams",
			"the operator adds upstreams to the pools table").WithRetryAfter(time.Second)
	}
	host, ok := groups.Keeper(group, r.gate.cfg.Membership.Members())
	if !ok {
		return group, "", errNoKeeper
	}
	return group, host, nil
}

// keeperTimeoutRefusal returns a refusal if an interactive request has reached
// no keeper for KeeperLossTimeout. Patient requests and requests with a partly
// delivered response wait without this limit.
func (r *modelRequest) keeperTimeoutRefusal(lastResponse time.Time) error {
	mayWait := r.route.Class == domain.ClassPatient || r.sequencer.lastDelivered() > 0
	if mayWait || time.Since(lastResponse) < r.gate.timing.KeeperLossTimeout {
		return nil
	}
	return domain.Refuse(domain.RefusalNoUpstream, "no host grants places of pool "+string(r.route.Pool),
		"retry on another address of the entry points").WithRetryAfter(time.Second)
}

// slotRequest builds the keeper's request for a slot for the current attempt.
func (r *modelRequest) slotRequest(start time.Time) domain.SlotRequest {
	self := r.gate.cfg.Membership.Self()
	delivered := r.sequencer.lastDelivered()
	req := domain.SlotRequest{
		ID:           r.attemptID(),
		Holder:       self.ID,
		HolderZone:   self.Zone,
		Pool:         r.route.Pool,
		Route:        r.route.Name,
		Class:        r.route.Class,
		Weight:       r.weight(),
		PromptTokens: domain.TokenCount(r.completion.Prompt) + delivered,
		OutputTokens: max(1, r.completion.MaxTokens-delivered),
		PieceKeys:    r.pieceKeys,
		Waited:       time.Since(r.acceptedAt),
		Avoid:        r.avoid,
		Suspect:      r.gate.cfg.Quarantine.Suspect(r.fingerprint),
		Fingerprint:  r.fingerprint,
	}
	if delivered == 0 {
		req.MaxWaiting = r.route.MaxWaitingPerCaller
		req.FirstTokenRemaining = r.firstTokenLeft()
	}
	return req
}

// firstTokenLeft returns the time left until the first-token target, at least
// 1 ns, or zero if the request has no such target.
func (r *modelRequest) firstTokenLeft() time.Duration {
	target := r.route.FirstToken.D()
	if target == 0 || r.route.Class != domain.ClassInteractive {
		return 0
	}
	return max(1, target-time.Since(r.acceptedAt))
}

// weight returns the caller's fair-share weight on the route. Default 1.
func (r *modelRequest) weight() float64 {
	if w, ok := r.route.Weights[r.completion.Caller]; ok {
		return w
	}
	return 1
}

// resolveGrant looks up the upstreams that a grant names. If the tables of
// this host do not have them, the grant is released.
func (r *modelRequest) resolveGrant(group groups.Group, grant domain.Grant) (reservation, error) {
	res := reservation{group: group, grant: grant}
	var foundPrefill, foundDecode bool
	for _, up := range group.Upstreams {
		if up.ID == grant.Prefill {
			res.prefill, foundPrefill = up, true
		}
		if up.ID == grant.Decode {
			res.decode, foundDecode = up, true
		}
	}
	if foundPrefill && foundDecode {
		return res, nil
	}
	r.gate.releaseInBackground(res, domain.Release{Grant: grant, Reason: domain.ReleaseCanceled})
	return reservation{}, &ports.EngineError{
		Kind:     ports.EngineUnknownAttempt,
		Upstream: grant.Decode,
		Message:  "granted upstream is not in the pools table in force on this host",
	}
}

// withdraw removes the waiting request from the keeper's queue in the
// background.
func (r *modelRequest) withdraw(group groups.Group, host domain.HostID) {
	if host == "" {
		return
	}
	id := r.attemptID()
	r.gate.runInBackground(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, r.gate.timing.CancelTimeout)
		defer stop()
		_ = r.gate.cfg.Peers.Keeper(host).Withdraw(ctx, group.ID, id)
	})
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (g *Gate) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.cfg.Rand(int64(d)))
}
