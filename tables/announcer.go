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
	// announceTimeout bounds one call of Announcer.Tell.
	announceTimeout = 3 * time.Second
)

// TablePeers returns the clients for the table followers of hosts. ports.Peers
// implements it.
type TablePeers interface {
	TablePeer(host domain.HostID) ports.TablePeer
}

// Announcer sends changes made by a program that is not a host to a few hosts,
// which spread them to the others. It is not safe for concurrent use.
type Announcer struct {
	peers TablePeers
	// hosts lists the hosts to announce to, in order of preference: hosts that
	// accepted the last announcement first, hosts that failed last.
	hosts []domain.HostID
}

// NewAnnouncer returns an announcer for the given hosts, in random order.
func NewAnnouncer(peers TablePeers, hosts []domain.HostID) *Announcer {
	a := &Announcer{peers: peers, hosts: append([]domain.HostID(nil), hosts...)}
	rand.Shuffle(len(a.hosts), func(i, j int) { a.hosts[i], a.hosts[j] = a.hosts[j], a.hosts[i] })
	return a
}

// Tell announces the newest changes, which must be in order and without gaps, to a
// few hosts concurrently. If none of them accepts, it goes on to the next hosts. It
// returns the hosts that accepted. Hosts that failed are tried last in the next
// call.
func (a *Announcer) Tell(ctx context.Context, changes []domain.Change) []domain.HostID {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var told, failed []domain.HostID
	left := a.hosts
	for len(told) == 0 && len(left) > 0 && ctx.Err() == nil {
		n := min(announceFanout, len(left))
		accepted, refused := a.announceToHosts(ctx, left[:n], changes)
		told, failed, left = append(told, accepted...), append(failed, refused...), left[n:]
	}
	a.hosts = append(append(append([]domain.HostID(nil), told...), left...), failed...)
	return told
}

// announceToHosts announces the changes to the hosts concurrently and returns which
// of them accepted and which failed.
func (a *Announcer) announceToHosts(ctx context.Context, hosts []domain.HostID, changes []domain.Change) (told, failed []domain.HostID) {
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
