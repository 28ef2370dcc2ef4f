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
	// bootPeers is the number of hosts asked for their tables at a start.
	bootPeers = 3
	// bootPause is the mean pause between tries at a start.
	bootPause = time.Second
	// bootTimeout bounds the first try to read the store at a start; each further
	// one may take twice as long, up to bootTimeoutMax.
	bootTimeout    = 2 * time.Second
	bootTimeoutMax = 30 * time.Second
	// unconfirmedTries is the number of tries after which a start goes on with
	// tables that the store could not confirm as its newest.
	unconfirmedTries = 3
)

// boot brings the first tables to the host. It prefers the store's, confirmed as
// the newest, and takes the highest revision of several hosts otherwise.
func (f *Follower) boot(ctx context.Context) {
	timeout := bootTimeout
	for try := 1; ctx.Err() == nil; try++ {
		stored, confirmed := f.bootFromStore(ctx, timeout)
		timeout = min(2*timeout, bootTimeoutMax)
		if confirmed {
			f.finishBoot(stored)
			return
		}
		best := f.bootFromPeers(ctx)
		if best != nil {
			f.count.peerBooted.Add(1)
		}
		if stored != nil && (best != nil || try >= unconfirmedTries) {
			best = higher(stored, best)
		}
		if best != nil {
			f.finishBoot(best)
			return
		}
		_ = sleep(ctx, jittered(bootPause))
	}
}

func higher(a, b *state) *state {
	if b == nil || a.revision >= b.revision {
		return a
	}
	return b
}

func (f *Follower) finishBoot(first *state) {
	f.learn(func(*state) *state { return first })
	f.ready.Store(true)
	klog.InfoS("tables in force", "revision", f.Revision())
}

// bootFromStore reads the tables. They are confirmed if the head was still the
// newest in a transaction, which never sees replicas that lag.
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

// isNewest says whether a head is the newest one.
func (f *Follower) isNewest(ctx context.Context, h headRow) (bool, error) {
	result, err := f.cfg.Store.Commit(ctx, ports.Txn{If: []ports.Condition{{Key: keyHead, Version: h.version}}})
	return result.Applied, err
}

// bootFromPeers returns the highest tables of several hosts, or nil.
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

// bootCandidates returns hosts to ask, those with the highest known revisions
// first.
func (f *Follower) bootCandidates() []domain.HostID {
	members := f.others()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	sort.SliceStable(members, func(i, j int) bool { return members[i].Revision > members[j].Revision })
	hosts := make([]domain.HostID, 0, bootPeers)
	for _, m := range members[:min(bootPeers, len(members))] {
		hosts = append(hosts, m.ID)
	}
	return hosts
}

// others returns the members that may answer, without this host.
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
