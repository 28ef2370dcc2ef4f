// Package hostwatch polls the platform's host list for all components of an entry
// host, caches it, and records which upstreams are marked as leaving.
package hostwatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

// DefaultInterval is the default mean interval between polls.
const DefaultInterval = time.Second

var (
	defPolls    = counters.Define("hostwatch_polls_total", "Polls of the platform's host list.")
	defFailures = counters.Define("hostwatch_poll_failures_total", "Polls of the platform's host list that failed.")
)

// Watch is a cached host list. It implements ports.HostList and is safe for
// concurrent use. While polls fail, it continues to use the last list.
type Watch struct {
	list       ports.HostList
	interval   time.Duration
	counterSet *counters.Set
	snapshot   atomic.Pointer[snapshot]
}

// snapshot is the result of one successful poll.
type snapshot struct {
	hosts []ports.ListedHost
	// leaving contains the names of the hosts that are marked as leaving.
	leaving map[string]bool
	// entryHosts is the number of listed entry hosts, which are the hosts with a peer
	// address.
	entryHosts int
}

// New returns a Watch that polls list with the given mean interval. A zero interval
// means DefaultInterval.
func New(list ports.HostList, interval time.Duration, set *counters.Set) *Watch {
	if interval == 0 {
		interval = DefaultInterval
	}
	return &Watch{list: list, interval: interval, counterSet: set}
}

// Hosts returns the last list. If there is none yet, it polls the platform and
// returns the error of the poll.
func (w *Watch) Hosts(ctx context.Context) ([]ports.ListedHost, error) {
	if s := w.snapshot.Load(); s != nil {
		return s.hosts, nil
	}
	if err := w.poll(ctx); err != nil {
		return nil, err
	}
	return w.snapshot.Load().hosts, nil
}

// Leaving reports whether an upstream is marked as leaving.
func (w *Watch) Leaving(id domain.UpstreamID) bool {
	s := w.snapshot.Load()
	return s != nil && s.leaving[string(id)]
}

// EntryHosts returns the number of entry hosts in the last list, including those that
// are leaving. It returns 0 if there is no list yet.
func (w *Watch) EntryHosts() int {
	s := w.snapshot.Load()
	if s == nil {
		return 0
	}
	return s.entryHosts
}

// Run polls until ctx is canceled, with a jitter of up to 25% around the mean interval.
// It always returns nil.
func (w *Watch) Run(ctx context.Context) error {
	for {
		_ = w.poll(ctx)
		timer := pause.NewTimer(w.interval*3/4 + rand.N(w.interval/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// poll fetches the list once and replaces the snapshot if that succeeds.
func (w *Watch) poll(ctx context.Context) error {
	w.counterSet.Int(defPolls).Add(1)
	hosts, err := w.list.Hosts(ctx)
	if err != nil {
		w.counterSet.Int(defFailures).Add(1)
		return err
	}
	next := &snapshot{hosts: hosts, leaving: make(map[string]bool)}
	for _, h := range hosts {
		if h.Leaving {
			next.leaving[h.Name] = true
		}
		if h.PeerAddress != "" {
			next.entryHosts++
		}
	}
	w.snapshot.Store(next)
	return nil
}
