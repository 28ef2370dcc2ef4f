package tables

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

const (
	// announceBound bounds the announcement of one change.
	announceBound = 3 * time.Second
)

// TablePeers gives access to the table followers of hosts. ports.Peers
// implements it.
type TablePeers interface {
	TablePeer(host domain.HostID) ports.TablePeer
}

// Announcer tells a few hosts of the changes that a program made which is no host
// itself. The hosts spread them. It is not safe for concurrent use.
type Announcer struct {
	peers TablePeers
	// hosts are those that may be told, best first.
	hosts []domain.HostID
}

// NewAnnouncer returns an announcer for the given hosts.
func NewAnnouncer(peers TablePeers, hosts []domain.HostID) *Announcer {
	a := &Announcer{peers: peers, hosts: append([]domain.HostID(nil), hosts...)}
	rand.Shuffle(len(a.hosts), func(i, j int) { a.hosts[i], a.hosts[j] = a.hosts[j], a.hosts[i] })
	return a
}

// Tell announces the newest changes, in order and without gaps, to a few hosts at
// once, and to others where none of these took them. It returns those that did.
// Hosts that did not are told last the next time.
func (a *Announcer) Tell(ctx context.Context, changes []domain.Change) []domain.HostID {
	ctx, cancel := context.WithTimeout(ctx, announceBound)
	defer cancel()
	var told, failed []domain.HostID
	left := a.hosts
	for len(told) == 0 && len(left) > 0 && ctx.Err() == nil {
		n := min(announceFanout, len(left))
		took, refused := a.tellSome(ctx, left[:n], changes)
		told, failed, left = append(told, took...), append(failed, refused...), left[n:]
	}
	a.hosts = append(append(append([]domain.HostID(nil), told...), left...), failed...)
	return told
}

// tellSome tells hosts at once.
func (a *Announcer) tellSome(ctx context.Context, hosts []domain.HostID, changes []domain.Change) (told, failed []domain.HostID) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	took := make([]bool, len(hosts))
	var group errgroup.Group
	for i, host := range hosts {
		group.Go(func() error {
			took[i] = a.peers.TablePeer(host).Announce(ctx, changes) == nil
			return nil
		})
	}
	_ = group.Wait()
	for i, host := range hosts {
		if took[i] {
			told = append(told, host)
		} else {
			failed = append(failed, host)
		}
	}
	return told, failed
}
