package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/host"
	"greengagespoke/internal/simnet"
	"greengagespoke/ports"
)

// errNotReady means that hosts did not get the tables in time.
var errNotReady = errors.New("hosts are not ready; look at the table follower")

const (
	readyLimit = 30 * time.Second
	pollPause  = 100 * time.Millisecond
)

// skewedClock is a wall clock that is off by a settable time.
type skewedClock struct {
	offset atomic.Int64
}

// Now implements ports.Clock.
func (c *skewedClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Set sets how far the clock is ahead.
func (c *skewedClock) Set(offset time.Duration) { c.offset.Store(int64(offset)) }

// storeLink is a host's way to the table service. It can be cut.
type storeLink struct {
	ports.TableService
	cut atomic.Bool
}

// Get implements ports.TableService.
func (s *storeLink) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	if s.cut.Load() {
		return ports.Row{}, false, ports.ErrStoreDown
	}
	return s.TableService.Get(ctx, key)
}

// Scan implements ports.TableService.
func (s *storeLink) Scan(ctx context.Context, from, to string, limit int) ([]ports.Row, error) {
	if s.cut.Load() {
		return nil, ports.ErrStoreDown
	}
	return s.TableService.Scan(ctx, from, to, limit)
}

// Commit implements ports.TableService. Where the link is cut during the call,
// the answer is lost.
func (s *storeLink) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	if s.cut.Load() {
		return ports.TxnResult{}, ports.ErrStoreDown
	}
	result, err := s.TableService.Commit(ctx, txn)
	if s.cut.Load() {
		return ports.TxnResult{}, ports.ErrStoreUnknown
	}
	return result, err
}

// hostUpstreams reaches engines and services over the network.
type hostUpstreams struct {
	ports.Upstreams
	fleet  *Fleet
	member *Member
}

// Service implements ports.Upstreams.
func (u hostUpstreams) Service(up domain.Upstream) ports.Service {
	return u.fleet.Network.Service(u.member.ID, u.member.Zone, up, u.fleet.services[up.ID])
}

func (f *Fleet) findEngine(id domain.UpstreamID) (ports.Engine, bool) {
	e, ok := f.Fabric.Engine(id)
	return e, ok
}

// currentRoute returns the drafts route as an operator reads it.
func (f *Fleet) currentRoute(ctx context.Context) (domain.Revision, domain.Route, error) {
	snapshot, err := f.Editor.Snapshot(ctx)
	if err != nil {
		return 0, domain.Route{}, err
	}
	for _, row := range snapshot.Rows {
		if row.Table == domain.TableRoutes && row.Row == draftsRoute {
			var route domain.Route
			err := json.Unmarshal(row.Value, &route)
			return row.Version, route, err
		}
	}
	return 0, domain.Route{}, errNotReady
}

// storeFailed reports whether an error is one of the table service.
func storeFailed(err error) bool {
	return errors.Is(err, ports.ErrStoreDown) || errors.Is(err, ports.ErrStoreUnknown) || errors.Is(err, ports.ErrStoreThrottled)
}

// StartHost starts a host, also again after it died.
func (f *Fleet) StartHost(ctx context.Context, m *Member) {
	hostCtx, cancel := context.WithCancel(ctx)
	connections, disconnect := context.WithCancel(ctx)
	link := &storeLink{TableService: f.Platform.Tables()}
	h := host.New(host.Config{
		Self: domain.Member{
			ID: m.ID, Zone: m.Zone, PeerAddress: string(m.ID) + ":1", CallerAddress: string(m.ID) + ":2", State: domain.MemberAlive,
		},
		Store:             link,
		Objects:           f.Platform.Objects(),
		HostList:          f.Platform.Hosts(),
		Upstreams:         hostUpstreams{f.Network.Upstreams(m.ID, m.Zone, f.findEngine), f, m},
		Clock:             m.Clock,
		Counters:          counters.NewSet(),
		MakePeers:         f.attach(m),
		Seed:              f.cfg.Seed + uint64(m.incarnation),
		EntryPointsMaxAge: entryPointsMaxAge,
		DrainMargin:       drainMargin,
		TablePoll:         tablePoll,
		HostListPoll:      hostListPoll,
	})
	f.mu.Lock()
	m.Host, m.store, m.cancel = h, link, cancel
	m.connections, m.disconnect = connections, disconnect
	m.incarnation++
	m.stopped = false
	f.mu.Unlock()
	f.Network.SetDead(string(m.ID), false)
	f.event("%s starts", m.ID)
	f.wg.Go(func() { _ = h.Run(hostCtx) })
}

func (f *Fleet) attach(m *Member) func(host.Local) ports.Peers {
	return func(local host.Local) ports.Peers {
		f.Network.Attach(m.ID, m.Zone, simnet.Handlers{
			Keeper: local.Keeper, Gossip: local.Gossip, Tables: local.Tables, Gate: local.Gate,
		})
		return f.Network.Peers(m.ID, m.Zone)
	}
}

// awaitReady waits until all hosts have the tables and see each other.
func (f *Fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for _, m := range f.Hosts {
		for !m.Host.Tables.Ready() || len(m.Host.Membership.Members()) != len(f.Hosts) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// Kill makes a host die at once: its connections break and its loops end.
func (f *Fleet) Kill(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.stopped = true
	f.event("%s ends", m.ID)
	f.Network.SetDead(string(m.ID), true)
	m.disconnect()
	m.cancel()
}

// Stop makes a planned stop of a host. It returns when the host has drained.
func (f *Fleet) Stop(ctx context.Context, m *Member) error {
	f.event("%s leaves", m.ID)
	f.Platform.SetLeaving(string(m.ID))
	if err := m.Host.Leave(ctx); err != nil {
		return err
	}
	f.Kill(m)
	return nil
}

// CutStore cuts a host off from the table service or mends it.
func (f *Fleet) CutStore(m *Member, cut bool) { m.store.cut.Store(cut) }
