package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"greengagespoke/adapters/peerrpc/peerpb"
	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
)

const testLatency = 5 * time.Millisecond

// cluster connects hosts in memory. Messages arrive after testLatency or are lost.
type cluster struct {
	t    *testing.T
	list *fakeHostList

	mu      sync.Mutex
	hosts   map[domain.HostID]*testHost
	rand    *rand.Rand
	loss    float64
	blocked func(from, to domain.HostID) bool
	// probed is called with the target of each direct probe, unless it is nil.
	probed func(to domain.HostID)
	// bytes and messages count the requests and answers that all hosts send.
	bytes, messages int
}

type testHost struct {
	*Membership
	counters *counters.Set
	stop     context.CancelFunc
	done     chan struct{}
	// unresponsive hosts neither send nor receive messages.
	unresponsive bool
}

// fakeHostList is an in-memory ports.HostList.
type fakeHostList struct {
	mu    sync.Mutex
	hosts map[domain.HostID]ports.ListedHost
	err   error
}

func (l *fakeHostList) Hosts(context.Context) ([]ports.ListedHost, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []ports.ListedHost
	for _, h := range l.hosts {
		out = append(out, h)
	}
	return out, l.err
}

func (l *fakeHostList) set(id domain.HostID, h ports.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[id] = h
}

func (l *fakeHostList) remove(id domain.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, id)
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t:       t,
		list:    &fakeHostList{hosts: make(map[domain.HostID]ports.ListedHost)},
		hosts:   make(map[domain.HostID]*testHost),
		rand:    rand.New(rand.NewPCG(7, 11)),
		blocked: func(_, _ domain.HostID) bool { return false },
	}
	for i := range n {
		c.list.set(hostID(i), listed(hostID(i)))
	}
	for i := range n {
		c.start(hostID(i))
	}
	t.Cleanup(c.stopAll)
	return c
}

func hostID(i int) domain.HostID { return domain.HostID(fmt.Sprintf("entry-%03d", i)) }

func listed(id domain.HostID) ports.ListedHost {
	return ports.ListedHost{
		Name: string(id), Zone: "dakar-1",
		PeerAddress: "10.20.130.140:7102", CallerAddress: "10.20.130.140:7100",
	}
}

func (c *cluster) start(id domain.HostID) *testHost {
	entry := listed(id)
	set := counters.NewSet()
	m := New(Config{
		Self: domain.Member{
			ID: id, Zone: entry.Zone, PeerAddress: entry.PeerAddress, CallerAddress: entry.CallerAddress,
		},
		HostList:   c.list,
		Counters:   set,
		Seed:       3,
		OnRevision: func(from domain.HostID, revision domain.Revision) { c.pullTables(id, from, revision) },
	})
	m.Bind(memoryPeers{cluster: c, from: id})
	ctx, cancel := context.WithCancel(context.Background())
	h := &testHost{Membership: m, counters: set, stop: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	go func() {
		defer close(h.done)
		_ = m.Run(ctx)
	}()
	return h
}

// pullTables simulates a table follower that fetches missing revisions from a peer.
func (c *cluster) pullTables(host, from domain.HostID, revision domain.Revision) {
	c.mu.Lock()
	h := c.hosts[host]
	c.mu.Unlock()
	if h == nil || revision <= h.Self().Revision || from == "" {
		return
	}
	time.AfterFunc(2*testLatency, func() { h.SetRevision(revision) })
}

// kill stops a host without a Leave.
func (c *cluster) kill(id domain.HostID) {
	c.mu.Lock()
	h := c.hosts[id]
	delete(c.hosts, id)
	c.mu.Unlock()
	h.stop()
	<-h.done
}

func (c *cluster) stopAll() {
	for id := range c.hosts {
		c.kill(id)
	}
}

func (c *cluster) setUnresponsive(id domain.HostID, unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[id].unresponsive = unresponsive
}

func (c *cluster) setLinks(loss float64, blocked func(from, to domain.HostID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
	if blocked != nil {
		c.blocked = blocked
	}
}

// deliver transmits one message and returns the receiver. If the message is lost, it
// waits until ctx is done and returns nil.
func (c *cluster) deliver(ctx context.Context, from, to domain.HostID, msg proto.Message) *testHost {
	c.mu.Lock()
	h := c.hosts[to]
	sender := c.hosts[from]
	lost := h == nil || h.unresponsive || (sender != nil && sender.unresponsive) || c.blocked(from, to) || c.rand.Float64() < c.loss
	c.bytes += proto.Size(msg)
	c.messages++
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil
	}
	if !pause.For(ctx, testLatency) {
		return nil
	}
	return h
}

// states counts the other running hosts by the state of a host in their views.
func (c *cluster) states(id domain.HostID) map[domain.MemberState]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[domain.MemberState]int)
	for other, h := range c.hosts {
		if other == id {
			continue
		}
		state := domain.MemberState("unknown")
		for _, m := range h.Members() {
			if m.ID == id {
				state = m.State
			}
		}
		out[state]++
	}
	return out
}

// converged reports whether each running host is alive in every view, with its current
// incarnation.
func (c *cluster) converged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		alive := make(map[domain.HostID]uint64)
		for _, m := range h.Members() {
			if m.State == domain.MemberAlive {
				alive[m.ID] = m.Incarnation
			}
		}
		for id, other := range c.hosts {
			if incarnation, ok := alive[id]; !ok || incarnation != other.Self().Incarnation {
				return false
			}
		}
	}
	return true
}

// await advances the fake clock until the condition is true and returns the elapsed
// time. It fails the test after the limit.
func (c *cluster) await(what string, limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	const step = 100 * time.Millisecond
	for waited := time.Duration(0); waited <= limit; waited += step {
		synctest.Wait()
		if condition() {
			c.t.Logf("%d hosts, %s: after %v", len(c.hosts), what, waited)
			return waited
		}
		time.Sleep(step)
	}
	c.t.Fatalf("%s: condition not met within %v", what, limit)
	return 0
}

// memoryPeers implements only the Gossip method of ports.Peers.
type memoryPeers struct {
	ports.Peers
	cluster *cluster
	from    domain.HostID
}

func (p memoryPeers) Gossip(host domain.HostID) ports.Gossip {
	return memoryGossip{p.cluster, p.from, host}
}

type memoryGossip struct {
	cluster  *cluster
	from, to domain.HostID
}

func (g memoryGossip) Probe(ctx context.Context, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	g.cluster.mu.Lock()
	if g.cluster.probed != nil {
		g.cluster.probed(g.to)
	}
	g.cluster.mu.Unlock()
	return g.probe(ctx, msg, func(h *testHost) (ports.ProbeMessage, error) { return h.Probe(ctx, msg) })
}

func (g memoryGossip) ProbeVia(ctx context.Context, target domain.HostID, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	return g.probe(ctx, msg, func(h *testHost) (ports.ProbeMessage, error) { return h.ProbeVia(ctx, target, msg) })
}

func (g memoryGossip) probe(ctx context.Context, msg ports.ProbeMessage, call func(*testHost) (ports.ProbeMessage, error)) (ports.ProbeMessage, error) {
	h := g.cluster.deliver(ctx, g.from, g.to, probePB(msg))
	if h == nil {
		return ports.ProbeMessage{}, ports.ErrPeerUnreachable
	}
	answer, err := call(h)
	if err != nil || g.cluster.deliver(ctx, g.to, g.from, probePB(answer)) == nil {
		return ports.ProbeMessage{}, ports.ErrPeerUnreachable
	}
	return answer, nil
}

func (g memoryGossip) Sync(ctx context.Context, view []domain.Member) ([]domain.Member, error) {
	h := g.cluster.deliver(ctx, g.from, g.to, viewPB(view))
	if h == nil {
		return nil, ports.ErrPeerUnreachable
	}
	answer, err := h.Sync(ctx, view)
	if err != nil || g.cluster.deliver(ctx, g.to, g.from, viewPB(answer)) == nil {
		return nil, ports.ErrPeerUnreachable
	}
	return answer, nil
}

func probePB(m ports.ProbeMessage) *peerpb.ProbeMessage {
	return &peerpb.ProbeMessage{From: string(m.From), Revision: int64(m.Revision), Updates: viewPB(m.Updates).Members}
}

func viewPB(view []domain.Member) *peerpb.View {
	out := new(peerpb.View)
	for _, m := range view {
		out.Members = append(out.Members, &peerpb.Member{
			Id: string(m.ID), Zone: string(m.Zone), PeerAddress: m.PeerAddress, CallerAddress: m.CallerAddress,
			State: string(m.State), Incarnation: m.Incarnation, Revision: int64(m.Revision),
		})
	}
	return out
}
