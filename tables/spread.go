package tables

import (
	"context"
	"math/rand/v2"

	"golang.org/x/sync/errgroup"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// Notice records that a host announced a revision. If it is higher than the applied
// one, the follower pulls the changes from that host. Notice does not block.
func (f *Follower) Notice(host domain.HostID, revision domain.Revision) {
	if revision <= f.Revision() || f.cfg.Peers == nil {
		return
	}
	f.announcedMu.Lock()
	if len(f.announced) < maxQueuedAnnouncements {
		f.announced = append(f.announced, announcement{host: host, revision: revision})
	}
	f.announcedMu.Unlock()
	notify(f.pullRequested)
}

// nextAnnouncement removes and returns the next announcement of a revision above
// the current one.
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

// pullLoop pulls the changes of announced revisions.
func (f *Follower) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.pullRequested:
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

// pull fetches all changes that another host has and this one lacks.
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

// pullOnce fetches one batch of changes, or all rows if the host no longer has the
// changes. It reports whether there may be more.
func (f *Follower) pullOnce(ctx context.Context, peer ports.TablePeer) (bool, error) {
	changes, complete, err := peer.Changes(ctx, f.Revision(), pullBatchChanges)
	if err != nil {
		return false, err
	}
	if !complete {
		return false, f.pullSnapshot(ctx, peer)
	}
	if f.installIfNewer(func(current *state) *state { return current.advance(changes) }) {
		f.count.fromPeers.Add(1)
		return len(changes) == pullBatchChanges, nil
	}
	return false, nil
}

// pullSnapshot fetches all rows of another host. It does nothing if this host
// has tables and the store answers, because the next poll transfers fewer bytes.
func (f *Follower) pullSnapshot(ctx context.Context, peer ports.TablePeer) error {
	if f.Ready() && !f.storeDown.Load() {
		return nil
	}
	snapshot, err := peer.Snapshot(ctx)
	if err != nil {
		return err
	}
	newer := f.installIfNewer(func(current *state) *state {
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

// announceLoop announces each new revision to a few random hosts immediately,
// without waiting for the rounds of the membership protocol.
func (f *Follower) announceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.announceRequested:
			f.announceRevision(ctx)
		}
	}
}

func (f *Follower) announceRevision(ctx context.Context) {
	members := f.others()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group errgroup.Group
	for _, m := range members[:min(announceFanout, len(members))] {
		group.Go(func() error {
			f.announceRevisionTo(ctx, m.ID)
			return nil
		})
	}
	_ = group.Wait()
}

// announceRevisionTo probes a host; the probe and its answer carry the revisions
// of both hosts.
func (f *Follower) announceRevisionTo(ctx context.Context, host domain.HostID) {
	f.count.announcements.Add(1)
	msg := ports.ProbeMessage{From: f.cfg.Membership.Self().ID, Revision: f.Revision()}
	answer, err := f.cfg.Peers.Gossip(host).Probe(ctx, msg)
	if err == nil {
		f.Notice(host, answer.Revision)
	}
}

// Changes implements ports.TablePeer. The changes omit Before, which is
// kept in the audit trail in the store.
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
