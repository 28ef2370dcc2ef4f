package tables

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// bootPeerCount is the number of hosts asked for their tables at startup.
	bootPeerCount = 3
	// bootRetryInterval is the mean pause between attempts at startup.
	bootRetryInterval = time.Second
	// bootTimeout bounds the first attempt to read the store at startup. The limit
	// doubles with each attempt, up to maxBootTimeout.
	bootTimeout    = 2 * time.Second
	maxBootTimeout = 30 * time.Second
	// maxUnconfirmedAttempts is the number of attempts after which startup
	// proceeds with tables that the store could not confirm as its newest.
	maxUnconfirmedAttempts = 3
)

// boot loads the first tables of the host. It prefers the tables of the store,
// confirmed as the newest, and otherwise uses the highest revision among several
// hosts.
func (f *Follower) boot(ctx context.Context) {
	timeout := bootTimeout
	for attempt := 1; ctx.Err() == nil; attempt++ {
		stored, confirmed := f.bootFromStore(ctx, timeout)
		timeout = min(2*timeout, maxBootTimeout)
		if confirmed {
			f.finishBoot(stored)
			return
		}
		best := f.bootFromPeers(ctx)
		if best != nil {
			f.count.peerBooted.Add(1)
		}
		if stored != nil && (best != nil || attempt >= maxUnconfirmedAttempts) {
			best = newerState(stored, best)
		}
		if best != nil {
			f.finishBoot(best)
			return
		}
		_ = sleep(ctx, jittered(bootRetryInterval))
	}
}

func newerState(a, b *state) *state {
	if b == nil || a.revision >= b.revision {
		return a
	}
	return b
}

func (f *Follower) finishBoot(first *state) {
	f.installIfNewer(func(*state) *state { return first })
	f.ready.Store(true)
	klog.InfoS("tables loaded", "revision", f.Revision())
}

// bootFromStore reads the tables from the store. They are confirmed if a
// transaction, which is never served by a lagging replica, finds the head still
// unchanged.
func (f *Follower) bootFromStore(ctx context.Context, timeout time.Duration) (stored *state, confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pause := newBackoff()
	for ctx.Err() == nil {
		next, h, err := f.reader.catchUp(ctx, f.current.Load())
		if err == nil {
			stored = next
			confirmed, err = f.isNewest(ctx, h)
		}
		if confirmed {
			return stored, true
		}
		if err != nil && !retryable(err, false) {
			return stored, false
		}
		_ = sleep(ctx, pause.NextBackOff())
	}
	return stored, false
}

// isNewest reports whether a head is still the newest one. It uses a transaction
// without writes, because plain reads may be served by lagging replicas.
func (f *Follower) isNewest(ctx context.Context, h headRow) (bool, error) {
	result, err := f.cfg.Store.Commit(ctx, ports.Txn{If: []ports.Condition{{Key: keyHead, Version: h.version}}})
	return result.Applied, err
}

// bootFromPeers returns the tables with the highest revision among several hosts,
// or nil if no host answered.
func (f *Follower) bootFromPeers(ctx context.Context) *state {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	hosts := f.bootCandidates()
	snapshots := make([]*ports.TableSnapshot, len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Go(func() {
			snapshot, err := f.cfg.Peers.TablePeer(host).Snapshot(ctx)
			if err == nil {
				snapshots[i] = &snapshot
			}
		})
	}
	wg.Wait()
	var best *ports.TableSnapshot
	for _, snapshot := range snapshots {
		if snapshot != nil && (best == nil || snapshot.Revision > best.Revision) {
			best = snapshot
		}
	}
	if best == nil {
		return nil
	}
	return f.current.Load().replace(best.Revision, best.Rows)
}

// bootCandidates returns up to bootPeerCount hosts to ask, those with the highest
// known revisions first, in random order among equals.
func (f *Follower) bootCandidates() []domain.HostID {
	members := f.others()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	sort.SliceStable(members, func(i, j int) bool { return members[i].Revision > members[j].Revision })
	hosts := make([]domain.HostID, 0, bootPeerCount)
	for _, m := range members[:min(bootPeerCount, len(members))] {
		hosts = append(hosts, m.ID)
	}
	return hosts
}

// others returns all members that are not dead, without this host.
func (f *Follower) others() []domain.Member {
	if f.cfg.Membership == nil || f.cfg.Peers == nil {
		return nil
	}
	self := f.cfg.Membership.Self().ID
	var members []domain.Member
	for _, m := range f.cfg.Membership.Members() {
		if m.ID != self && m.State != domain.MemberDead {
			members = append(members, m)
		}
	}
	return members
}

// randomHost returns a random other host.
func (f *Follower) randomHost() (domain.HostID, bool) {
	members := f.others()
	if len(members) == 0 {
		return "", false
	}
	return members[rand.IntN(len(members))].ID, true
}
