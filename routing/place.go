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

// groupIndex holds the groups of all pools at one table revision.
type groupIndex struct {
	revision domain.Revision
	byPool   map[domain.PoolName][]groups.Group
}

// groupsOf returns the groups of a pool. They are worked out once per revision.
func (g *Gate) groupsOf(name domain.PoolName) []groups.Group {
	revision := g.cfg.Tables.Revision()
	index := g.index.Load()
	if index == nil || index.revision != revision {
		index = &groupIndex{
			revision: revision,
			byPool:   make(map[domain.PoolName][]groups.Group),
		}
		for _, pool := range g.cfg.Tables.Pools() {
			index.byPool[pool.Name] = groups.Of(pool, g.cfg.Scope)
		}
		g.index.Store(index)
	}
	return index.byPool[name]
}

// chooseGroup picks the group to ask: of two sampled groups in the own region
// the one with the shorter last known wait, as in "The power of two choices"
// (Mitzenmacher, 2001). Other regions are used where the own one has no group.
func (g *Gate) chooseGroup(name domain.PoolName) (groups.Group, bool) {
	all := g.groupsOf(name)
	if len(all) == 0 {
		return groups.Group{}, false
	}
	candidates := inRegion(all, g.cfg.Membership.Self().Zone.Region())
	if len(candidates) == 0 {
		candidates = all
	}
	first := candidates[g.cfg.Rand(int64(len(candidates)))]
	second := candidates[g.cfg.Rand(int64(len(candidates)))]
	firstWait, _ := g.waits.Load(first.ID)
	secondWait, _ := g.waits.Load(second.ID)
	if secondWait < firstWait {
		return second, true
	}
	return first, true
}

func inRegion(all []groups.Group, region domain.Region) []groups.Group {
	var out []groups.Group
	for _, group := range all {
		if group.Region == region {
			out = append(out, group)
		}
	}
	return out
}

// acquire asks the keeper of a group for a decode place until it is granted or
// refused.
func (f *flight) acquire(ctx context.Context) (place, error) {
	g := f.gate
	began := time.Now()
	lastAnswer := began
	for {
		group, host, err := f.findKeeper()
		if err == nil {
			var grant domain.Grant
			grant, err = g.cfg.Peers.Keeper(host).Acquire(ctx, group.ID, f.placeRequest(began))
			if err == nil {
				g.waits.Store(group.ID, time.Since(began))
				return f.resolve(group, grant)
			}
		}
		if ctx.Err() != nil {
			f.withdraw(group, host)
			return place{}, ctx.Err()
		}
		if _, refused := domain.AsRefusal(err); refused {
			return place{}, err
		}
		if errors.Is(err, ports.ErrStillQueued) {
			lastAnswer = time.Now()
			continue
		}
		if refusal := f.keeperLost(lastAnswer); refusal != nil {
			return place{}, refusal
		}
		if !pause.For(ctx, g.jitter(g.timing.KeeperRetry)) {
			return place{}, ctx.Err()
		}
	}
}

var errNoKeeper = errors.New("no host is alive to keep the group")

func (f *flight) findKeeper() (groups.Group, domain.HostID, error) {
	group, ok := f.gate.chooseGroup(f.route.Pool)
	if !ok {
		return group, "", domain.Refuse(domain.RefusalNoUpstream, "pool "+string(f.route.Pool)+" has no upstreams",
			"the operator adds upstreams to the pools table").After(time.Second)
	}
	host, ok := groups.Keeper(group, f.gate.cfg.Membership.Members())
	if !ok {
		return group, "", errNoKeeper
	}
	return group, host, nil
}

// keeperLost refuses an interactive request that found no keeper for too long.
// Patient requests and answers that have begun wait on.
func (f *flight) keeperLost(since time.Time) error {
	waits := f.route.Class == domain.ClassPatient || f.sequence.delivered() > 0
	if waits || time.Since(since) < f.gate.timing.KeeperLoss {
		return nil
	}
	return domain.Refuse(domain.RefusalNoUpstream, "no host grants places of pool "+string(f.route.Pool),
		"retry on another address of the entry points").After(time.Second)
}

// placeRequest describes the current attempt to the keeper.
func (f *flight) placeRequest(began time.Time) domain.PlaceRequest {
	self := f.gate.cfg.Membership.Self()
	delivered := f.sequence.delivered()
	req := domain.PlaceRequest{
		ID:           f.attemptID(),
		Holder:       self.ID,
		HolderZone:   self.Zone,
		Pool:         f.route.Pool,
		Route:        f.route.Name,
		Class:        f.route.Class,
		Weight:       f.weight(),
		PromptTokens: domain.TokenCount(f.c.Prompt) + delivered,
		OutputTokens: max(1, f.c.MaxTokens-delivered),
		PieceKeys:    f.pieceKeys,
		Waited:       time.Since(f.accepted),
		Avoid:        f.avoid,
		Suspect:      f.gate.cfg.Quarantine.Suspect(f.fingerprint),
		Fingerprint:  f.fingerprint,
	}
	if delivered == 0 {
		req.MaxWaiting = f.route.MaxWaitingPerCaller
		req.FirstTokenLeft = f.firstTokenLeft()
	}
	return req
}

// firstTokenLeft returns what is left of the first-token target, at least 1 ns,
// or zero where there is none.
func (f *flight) firstTokenLeft() time.Duration {
	target := f.route.FirstToken.D()
	if target == 0 || f.route.Class != domain.ClassInteractive {
		return 0
	}
	return max(1, target-time.Since(f.accepted))
}

func (f *flight) weight() float64 {
	if w, ok := f.route.Weights[f.c.Caller]; ok {
		return w
	}
	return 1
}

// resolve finds the upstreams of a grant.
func (f *flight) resolve(group groups.Group, grant domain.Grant) (place, error) {
	p := place{group: group, grant: grant}
	var foundPrefill, foundDecode bool
	for _, up := range group.Upstreams {
		if up.ID == grant.Prefill {
			p.prefill, foundPrefill = up, true
		}
		if up.ID == grant.Decode {
			p.decode, foundDecode = up, true
		}
	}
	if foundPrefill && foundDecode {
		return p, nil
	}
	f.gate.releaseLater(p, domain.Release{Grant: grant, Reason: domain.ReleaseCanceled})
	return place{}, &ports.EngineError{
		Kind:     ports.EngineUnknown,
		Upstream: grant.Decode,
		Message:  "granted upstream is not in the pools table in force on this host",
	}
}

// withdraw takes the waiting request back from the keeper.
func (f *flight) withdraw(group groups.Group, host domain.HostID) {
	if host == "" {
		return
	}
	id := f.attemptID()
	f.gate.background(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, f.gate.timing.Cancel)
		defer stop()
		_ = f.gate.cfg.Peers.Keeper(host).Withdraw(ctx, group.ID, id)
	})
}

// jitter returns a duration between half and one and a half times d.
func (g *Gate) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(g.cfg.Rand(int64(d)))
}
