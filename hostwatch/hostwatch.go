// Package hostwatch polls the platform's host list for all parts of one entry
// host and remembers which upstreams are leaving.
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

// DefaultInterval is the mean time between two polls.
const DefaultInterval = time.Second

var (
	counterPolls    = counters.Define("hostwatch_polls_total", "Polls of the platform's host list.")
	counterFailures = counters.Define("hostwatch_poll_failures_total", "Polls of the platform's host list that failed.")
)

// Watch is a cached host list. It implements ports.HostList. While the platform
// does not answer, the last list stays in force.
type Watch struct {
	list     ports.HostList
	interval time.Duration
	count    *counters.Set
	state    atomic.Pointer[state]
}

type state struct {
	hosts   []ports.ListedHost
	leaving map[string]bool
	// entryHosts is the number of listed entry hosts.
	entryHosts int
}

// New returns a watch of a host list. A zero interval means DefaultInterval.
func New(list ports.HostList, interval time.Duration, set *counters.Set) *Watch {
	if interval == 0 {
		interval = DefaultInterval
	}
	return &Watch{list: list, interval: interval, count: set}
}

// Hosts returns the last list. It asks the platform where there is none yet.
func (w *Watch) Hosts(ctx context.Context) ([]ports.ListedHost, error) {
	if s := w.state.Load(); s != nil {
		return s.hosts, nil
	}
	if err := w.poll(ctx); err != nil {
		return nil, err
	}
	return w.state.Load().hosts, nil
}

// Leaving reports whether an upstream is marked as leaving.
func (w *Watch) Leaving(id domain.UpstreamID) bool {
	s := w.state.Load()
	return s != nil && s.leaving[string(id)]
}

// EntryHosts returns the number of entry hosts in the last list, leaving ones
// included, or 0 where there is no list yet.
func (w *Watch) EntryHosts() int {
	s := w.state.Load()
	if s == nil {
		return 0
	}
	return s.entryHosts
}

// Run polls until ctx is done.
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

func (w *Watch) poll(ctx context.Context) error {
	w.count.Int(counterPolls).Add(1)
	hosts, err := w.list.Hosts(ctx)
	if err != nil {
		w.count.Int(counterFailures).Add(1)
		return err
	}
	next := &state{hosts: hosts, leaving: make(map[string]bool)}
	for _, h := range hosts {
		if h.Leaving {
			next.leaving[h.Name] = true
		}
		if h.PeerAddress != "" {
			next.entryHosts++
		}
	}
	w.state.Store(next)
	return nil
}
