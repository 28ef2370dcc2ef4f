package tables

import (
	"context"
	"math/rand/v2"

	"golang.org/x/sync/errgroup"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Notice says that a host announced a revision. Where it is higher than the one
// in force, the follower pulls the changes from that host. It does not block.
func (f *Follower) Notice(host domain.HostID, revision domain.Revision) {
	if revision <= f.Revision() || f.cfg.Peers == nil {
		return
	}
	f.announcedMu.Lock()
	if len(f.announced) < maxAnnouncements {
		f.announced = append(f.announced, announcement{host: host, revision: revision})
	}
	f.announcedMu.Unlock()
	signal(f.pullWanted)
}

// nextAnnouncement takes the next announcement of a revision above the current.
func (f *Follower) nextAnnouncement() (announcement, bool) {
	f.announcedMu.Lock()
	defer f.announcedMu.Unlock()
	for len(f.announced) > 0 {
		next := f.announced[0]
		f.announced = f.announced[1:]
		if next.revision > f.Revision() {
			return next, true
		}
	}
	return announcement{}, false
}

// pullLoop pulls announced changes.
func (f *Follower) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pullWanted:
		}
		for {
			next, ok := f.nextAnnouncement()
			if !ok {
				break
			}
			_ = f.pull(ctx, next.host)
		}
	}
}

// pull takes all changes that another host has and this one has not.
func (f *Follower) pull(ctx context.Context, host domain.HostID) error {
	f.count.pulls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peer := f.cfg.Peers.TablePeer(host)
	for {
		progress, err := f.pullOnce(ctx, peer)
		if err != nil {
			f.count.pullFailures.Add(1)
			return err
		}
		if !progress {
			return nil
		}
	}
}

// pullOnce takes one batch of changes, or all rows where the host no longer has
// the changes. It returns whether there may be more.
func (f *Follower) pullOnce(ctx context.Context, peer ports.TablePeer) (bool, error) {
	changes, complete, err := peer.Changes(ctx, f.Revision(), pullLimit)
	if err != nil {
		return false, err
	}
	if !complete {
		return false, f.pullSnapshot(ctx, peer)
	}
	if f.learn(func(current *state) *state { return current.advance(changes) }) {
		f.count.fromPeers.Add(1)
		return len(changes) == pullLimit, nil
	}
	return false, nil
}

// pullSnapshot takes all rows of another host. While the store answers, the next
// poll brings the changes with fewer bytes.
func (f *Follower) pullSnapshot(ctx context.Context, peer ports.TablePeer) error {
	if f.Ready() && !f.storeDown.Load() {
		return nil
	}
	snapshot, err := peer.Snapshot(ctx)
	if err != nil {
		return err
	}
	newer := f.learn(func(current *state) *state {
		if snapshot.Revision <= current.revision {
			return current
		}
		return current.replace(snapshot.Revision, snapshot.Rows)
	})
	if newer {
		f.count.fromPeers.Add(1)
	}
	return nil
}

// tellLoop announces each new revision to a few random hosts at once, so that it
// does not wait for the rounds of the membership protocol.
func (f *Follower) tellLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.tellWanted:
			f.tell(ctx)
		}
	}
}

func (f *Follower) tell(ctx context.Context) {
	members := f.others()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group errgroup.Group
	for _, m := range members[:min(announceFanout, len(members))] {
		group.Go(func() error {
			f.announceTo(ctx, m.ID)
			return nil
		})
	}
	_ = group.Wait()
}

// announceTo probes a host, which carries the revision both ways.
func (f *Follower) announceTo(ctx context.Context, host domain.HostID) {
	f.count.announcements.Add(1)
	msg := ports.ProbeMessage{From: f.cfg.Membership.Self().ID, Revision: f.Revision()}
	answer, err := f.cfg.Peers.Gossip(host).Probe(ctx, msg)
	if err == nil {
		f.Notice(host, answer.Revision)
	}
}

// Changes implements ports.TablePeer. The changes carry no values before, as the
// audit trail in the store has them.
func (f *Follower) Changes(_ context.Context, after domain.Revision, limit int) ([]domain.Change, bool, error) {
	if !f.Ready() {
		return nil, false, ErrNotReady
	}
	changes, complete := f.current.Load().changesAfter(after, limit)
	f.count.peerChanges.Add(int64(len(changes)))
	return changes, complete, nil
}

// Snapshot implements ports.TablePeer.
func (f *Follower) Snapshot(context.Context) (ports.TableSnapshot, error) {
	if !f.Ready() {
		return ports.TableSnapshot{}, ErrNotReady
	}
	f.count.peerSnapshots.Add(1)
	return f.current.Load().snapshot(), nil
}
