package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

func route(name, model, pool string) domain.Route {
	return domain.Route{Name: domain.RouteName(name), Pool: domain.PoolName(pool), Model: model, Class: domain.ClassPatient, MaxOutputTokens: 512}
}

func pool(name string, upstreams ...string) domain.Pool {
	p := domain.Pool{Name: domain.PoolName(name), Kind: domain.PoolModel, Model: "m"}
	for i, id := range upstreams {
		p.Upstreams = append(p.Upstreams, domain.Upstream{
			ID: domain.UpstreamID(id), Zone: "dakar-1", Address: fmt.Sprintf("10.0.0.%d:9000", i+1),
			Role: domain.RoleDecode, Slots: 20, Pieces: 400,
		})
	}
	return p
}

// edit builds an edit of a route or pool; a nil value removes the row.
func edit(id string, table domain.TableName, row string, base domain.Revision, value any) domain.Edit {
	e := domain.Edit{ID: id, Table: table, Row: row, BaseVersion: base, Editor: "awa"}
	if value != nil {
		e.Value, _ = json.Marshal(value)
	}
	return e
}

func mustApply(t *testing.T, e *Editor, change domain.Edit) domain.Change {
	t.Helper()
	c, err := e.Apply(t.Context(), change)
	if err != nil {
		t.Fatalf("edit %s: %v", change.ID, err)
	}
	return c
}

// fleet is a set of hosts with followers that probe each other once a second.
type fleet struct {
	t     *testing.T
	p     *platform.Platform
	hosts map[domain.HostID]*fleetHost
	order []domain.HostID
	// members is append-only, so that slices returned earlier stay valid.
	members []domain.Member
	loss    float64
	random  *rand.Rand
	mu      sync.Mutex
}

type fleetHost struct {
	id          domain.HostID
	fleet       *fleet
	follower    *Follower
	counters    *counters.Set
	partitioned bool
}

func newFleet(t *testing.T, p *platform.Platform, size int, loss float64) *fleet {
	fl := &fleet{t: t, p: p, hosts: make(map[domain.HostID]*fleetHost), loss: loss, random: rand.New(rand.NewPCG(7, 7))}
	for i := range size {
		fl.add(domain.HostID(fmt.Sprintf("h%03d", i)))
	}
	return fl
}

func (fl *fleet) add(id domain.HostID) *fleetHost {
	h := &fleetHost{id: id, fleet: fl, counters: counters.NewSet()}
	h.follower = NewFollower(FollowerConfig{Store: fl.p.Tables(), Peers: h, Membership: h, Counters: h.counters})
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.hosts[id] == nil {
		fl.order = append(fl.order, id)
		fl.members = append(fl.members, domain.Member{ID: id, State: domain.MemberAlive})
	}
	fl.hosts[id] = h
	return h
}

// start runs the follower and the probing of a host until the context ends.
func (h *fleetHost) start(ctx context.Context) {
	go func() { _ = h.follower.Run(ctx) }()
	go func() {
		for sleep(ctx, jittered(time.Second)) == nil {
			if target, ok := h.follower.randomHost(); ok {
				h.follower.announceRevisionTo(ctx, target)
			}
		}
	}()
}

func (fl *fleet) start(ctx context.Context) {
	for _, id := range fl.order {
		fl.hosts[id].start(ctx)
	}
}

// setPartitioned disconnects a host from its peers or reconnects it.
func (h *fleetHost) setPartitioned(partitioned bool) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.partitioned = partitioned
}

// deliver waits for the latency of one message, or reports it lost.
func (h *fleetHost) deliver(ctx context.Context, to domain.HostID) error {
	h.fleet.mu.Lock()
	lost := h.fleet.random.Float64() < h.fleet.loss
	target := h.fleet.hosts[to]
	if target == nil || h.partitioned || target.partitioned {
		lost = true
	}
	h.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ports.ErrPeerUnreachable
	}
	return sleep(ctx, 5*time.Millisecond)
}

func (h *fleetHost) Keeper(domain.HostID) ports.Keeper          { return nil }
func (h *fleetHost) GatePeer(domain.HostID) ports.GatePeer      { return nil }
func (h *fleetHost) Gossip(to domain.HostID) ports.Gossip       { return link{from: h, to: to} }
func (h *fleetHost) TablePeer(to domain.HostID) ports.TablePeer { return link{from: h, to: to} }
func (h *fleetHost) Self() domain.Member                        { return domain.Member{ID: h.id, State: domain.MemberAlive} }

func (h *fleetHost) Members() []domain.Member {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.members
}

// link is the connection between two hosts.
type link struct {
	from *fleetHost
	to   domain.HostID
}

func (l link) target() *fleetHost {
	l.from.fleet.mu.Lock()
	defer l.from.fleet.mu.Unlock()
	return l.from.fleet.hosts[l.to]
}

func (l link) Probe(ctx context.Context, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := l.from.deliver(ctx, l.to); err != nil {
		return msg, err
	}
	target := l.target()
	target.follower.Notice(msg.From, msg.Revision)
	return ports.ProbeMessage{From: l.to, Revision: target.follower.Revision()}, nil
}

func (l link) ProbeVia(context.Context, domain.HostID, ports.ProbeMessage) (ports.ProbeMessage, error) {
	return ports.ProbeMessage{}, ports.ErrPeerUnreachable
}

func (l link) Sync(context.Context, []domain.Member) ([]domain.Member, error) {
	return nil, ports.ErrPeerUnreachable
}

func (l link) Changes(ctx context.Context, after domain.Revision, limit int) ([]domain.Change, bool, error) {
	if err := l.from.deliver(ctx, l.to); err != nil {
		return nil, false, err
	}
	return l.target().follower.Changes(ctx, after, limit)
}

func (l link) Snapshot(ctx context.Context) (ports.TableSnapshot, error) {
	if err := l.from.deliver(ctx, l.to); err != nil {
		return ports.TableSnapshot{}, err
	}
	return l.target().follower.Snapshot(ctx)
}

func (l link) Announce(ctx context.Context, changes []domain.Change) error {
	if err := l.from.deliver(ctx, l.to); err != nil {
		return err
	}
	return l.target().follower.Announce(ctx, changes)
}

// newExternalAnnouncer returns an announcer of a program that is not a host.
func (fl *fleet) newExternalAnnouncer() *Announcer {
	return NewAnnouncer(&fleetHost{id: "operator", fleet: fl}, fl.order)
}

// lowestRevision returns the lowest revision applied on any host.
func (fl *fleet) lowestRevision() domain.Revision {
	low := domain.Revision(1 << 62)
	for _, h := range fl.hosts {
		low = min(low, h.follower.Revision())
	}
	return low
}

// waitUntil waits until the condition holds and returns the elapsed time. It fails
// the test after the limit.
func (fl *fleet) waitUntil(limit time.Duration, holds func() bool) time.Duration {
	fl.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			fl.t.Fatalf("condition does not hold after %v; lowest revision %d", limit, fl.lowestRevision())
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}
