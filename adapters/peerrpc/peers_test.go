package peerrpc

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

const testKey = "a shared key"

// fakeHost implements the keeper, gossip, table and gate ports. Its calls return
// err.
type fakeHost struct {
	err         error
	gotDeadline bool
	grant       domain.Grant
	canceled    []string
	announced   []domain.Change
	asked       ports.RateRequest
	unreachable
}

func (f *fakeHost) Acquire(ctx context.Context, _ domain.GroupID, req domain.SlotRequest) (domain.Grant, error) {
	_, f.gotDeadline = ctx.Deadline()
	f.grant.Request = req.ID
	return f.grant, f.err
}

func (f *fakeHost) Renew(_ context.Context, _ domain.GroupID, _ domain.HostID, grants []domain.Grant) ([]domain.GrantID, error) {
	return []domain.GrantID{grants[0].ID}, f.err
}

func (f *fakeHost) Release(context.Context, domain.GroupID, []domain.Release) error { return f.err }

func (f *fakeHost) Withdraw(context.Context, domain.GroupID, domain.AttemptID) error { return f.err }

func (f *fakeHost) Probe(_ context.Context, msg ports.ProbeMessage) (ports.ProbeMessage, error) {
	msg.Revision++
	return msg, f.err
}

func (f *fakeHost) Announce(_ context.Context, changes []domain.Change) error {
	f.announced = changes
	return f.err
}

func (f *fakeHost) Cancel(_ context.Context, pool domain.PoolName, upstream domain.UpstreamID, id domain.AttemptID) error {
	f.canceled = []string{string(pool), string(upstream), id.Key().String()}
	return f.err
}

func (f *fakeHost) Supersede(_ context.Context, _ domain.RequestKey, attempt int) (bool, error) {
	return attempt > 1, f.err
}

func (f *fakeHost) Grant(_ context.Context, req ports.RateRequest) (ports.RateReply, error) {
	f.asked = req
	return ports.RateReply{Granted: true, Wait: time.Second, Limit: ports.RateLimit{Rate: 2.5, Age: time.Minute}}, f.err
}

type fixedMembers []domain.Member

func (m fixedMembers) Self() domain.Member      { return domain.Member{} }
func (m fixedMembers) Members() []domain.Member { return m }

// startPeer serves the host on a loopback address and returns Peers that know it
// as "b", with the counters of the sending and the serving side.
func startPeer(t *testing.T, host *fakeHost, key string) (peers *Peers, sent, served *counters.Set) {
	t.Helper()
	sent, served = counters.NewSet(), counters.NewSet()
	server := httptest.NewServer(NewServer(ServerConfig{
		Keeper: host, Gossip: host, Tables: host, Gate: host, Rates: host, Key: testKey, Counters: served,
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	peers = NewPeers(PeersConfig{
		Self:       "a",
		Membership: fixedMembers{{ID: "a"}, {ID: "b", PeerAddress: address}, {ID: "c"}},
		Key:        key,
		Counters:   sent,
	})
	t.Cleanup(peers.Close)
	return peers, sent, served
}

func TestCallsReachTheOtherHost(t *testing.T) {
	host := &fakeHost{grant: domain.Grant{ID: "g", TTL: time.Second}}
	peers, _, _ := startPeer(t, host, testKey)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	id := domain.AttemptID{Caller: "firm", Request: "r", Attempt: 2}
	grant, err := peers.Keeper("b").Acquire(ctx, "group", domain.SlotRequest{ID: id})
	want := domain.Grant{ID: "g", TTL: time.Second, Request: id}
	if err != nil || !reflect.DeepEqual(grant, want) {
		t.Fatalf("got %+v, %v; want %+v", grant, err, want)
	}
	if !host.gotDeadline {
		t.Error("the caller's deadline did not reach the other host")
	}
	lost, err := peers.Keeper("b").Renew(ctx, "group", "a", []domain.Grant{grant})
	if err != nil || len(lost) != 1 || lost[0] != "g" {
		t.Errorf("renew: got %v, %v", lost, err)
	}
	answer, err := peers.Gossip("b").Probe(ctx, ports.ProbeMessage{From: "a", Revision: 4})
	if err != nil || answer.Revision != 5 {
		t.Errorf("probe: got %+v, %v", answer, err)
	}
	question := ports.RateRequest{From: "a", Process: "p", Limit: ports.RateLimit{Rate: 1.2, Age: time.Second}, ReportOnly: true}
	reply, err := peers.Rates("b").Grant(ctx, question)
	wantReply := ports.RateReply{Granted: true, Wait: time.Second, Limit: ports.RateLimit{Rate: 2.5, Age: time.Minute}}
	if err != nil || host.asked != question || reply != wantReply {
		t.Errorf("grant: got %+v, %v for %+v", reply, err, host.asked)
	}
	found, err := peers.GatePeer("b").Supersede(ctx, id.Key(), 2)
	if err != nil || !found {
		t.Errorf("supersede: got %v, %v", found, err)
	}
	changes := []domain.Change{{Revision: 7, Table: domain.TablePools, Row: "p", EditID: "e", Editor: "awa", At: time.Unix(1, 0).UTC(), After: []byte("{}")}}
	err = peers.TablePeer("b").Announce(ctx, changes)
	if err != nil || !reflect.DeepEqual(host.announced, changes) {
		t.Errorf("announce: got %+v, %v", host.announced, err)
	}
	err = peers.GatePeer("b").Cancel(ctx, "drafting", "decode-1", id)
	if wanted := []string{"drafting", "decode-1", id.Key().String()}; err != nil || !reflect.DeepEqual(host.canceled, wanted) {
		t.Errorf("cancel: got %v, %v", host.canceled, err)
	}
}

func TestErrorsKeepTheirKind(t *testing.T) {
	refusal := domain.Refuse(domain.RefusalLate, "too late", "ask earlier").WithRetryAfter(3 * time.Second)
	for _, want := range []error{ports.ErrStillQueued, ports.ErrNotKeeper, ports.ErrPeerUnreachable, refusal} {
		peers, _, _ := startPeer(t, &fakeHost{err: want}, testKey)
		keeper := peers.Keeper("b")
		_, acquireErr := keeper.Acquire(t.Context(), "group", domain.SlotRequest{})
		_, renewErr := keeper.Renew(t.Context(), "group", "a", []domain.Grant{{ID: "g"}})
		releaseErr := keeper.Release(t.Context(), "group", nil)
		withdrawErr := keeper.Withdraw(t.Context(), "group", domain.AttemptID{})
		_, probeErr := peers.Gossip("b").Probe(t.Context(), ports.ProbeMessage{})
		for call, got := range map[string]error{
			"acquire": acquireErr, "renew": renewErr, "release": releaseErr, "withdraw": withdrawErr, "probe": probeErr,
		} {
			if gotRefusal, ok := domain.AsRefusal(got); ok && reflect.DeepEqual(gotRefusal, refusal) && want == error(refusal) {
				continue
			}
			if !errors.Is(got, want) {
				t.Errorf("%s: got %v, want %v", call, got, want)
			}
		}
	}
}

func TestOtherErrorsAreTyped(t *testing.T) {
	peers, _, _ := startPeer(t, &fakeHost{err: errors.New("disk full")}, testKey)
	_, err := peers.Keeper("b").Acquire(t.Context(), "group", domain.SlotRequest{})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Host != "b" || errors.Is(err, ports.ErrPeerUnreachable) {
		t.Errorf("got %v, want a RemoteError of host b", err)
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	peers, _, served := startPeer(t, &fakeHost{}, "another key")
	_, err := peers.Gossip("b").Probe(t.Context(), ports.ProbeMessage{})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Code != "unauthenticated" {
		t.Errorf("got %v, want unauthenticated", err)
	}
	if n := served.Int(defUnauthenticated).Value(); n != 1 {
		t.Errorf("counted %d refused requests, want 1", n)
	}
}

func TestSignatureCoversPathBodyAndTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sender := newAuthenticator(testKey, func() time.Time { return now })
	signed := func(path, body string) *http.Request {
		r := httptest.NewRequest(http.MethodPost, path, nil)
		sender.sign(r, []byte(body))
		return r
	}
	cases := map[string]struct {
		path, body string
		skew       time.Duration
		want       error
	}{
		"same":        {"/p", "body", defaultClockSkew, nil},
		"other body":  {"/p", "bodY", 0, errBadSignature},
		"other path":  {"/q", "body", 0, errBadSignature},
		"old request": {"/p", "body", defaultClockSkew + time.Second, errClockSkew},
		"slow clock":  {"/p", "body", -defaultClockSkew - time.Second, errClockSkew},
	}
	for name, c := range cases {
		receiver := newAuthenticator(testKey, func() time.Time { return now.Add(c.skew) })
		r := signed("/p", "body")
		r.URL.Path = c.path
		if got := receiver.verify(r, []byte(c.body)); !errors.Is(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	if err := sender.verify(httptest.NewRequest(http.MethodPost, "/p", nil), nil); !errors.Is(err, errNoSignature) {
		t.Errorf("unsigned request: got %v", err)
	}
}

func TestUnreachableHosts(t *testing.T) {
	peers, _, _ := startPeer(t, &fakeHost{}, testKey)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	peers.cfg.Membership = fixedMembers{{ID: "b", PeerAddress: strings.TrimPrefix(closed.URL, "http://")}, {ID: "c"}}
	for _, host := range []domain.HostID{"a", "b", "c", "unknown"} {
		if _, err := peers.TablePeer(host).Snapshot(t.Context()); !errors.Is(err, ports.ErrPeerUnreachable) {
			t.Errorf("host %s: got %v, want unreachable", host, err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := peers.Keeper("b").Release(ctx, "group", nil)
	if !errors.Is(err, ports.ErrPeerUnreachable) || !errors.Is(err, context.Canceled) {
		t.Errorf("canceled call: got %v", err)
	}
}

func TestOwnCallsStayLocal(t *testing.T) {
	host := &fakeHost{grant: domain.Grant{ID: "own"}}
	peers, sent, _ := startPeer(t, host, testKey)
	peers.Bind(Local{Keeper: host})
	grant, err := peers.Keeper("a").Acquire(t.Context(), "group", domain.SlotRequest{})
	if err != nil || grant.ID != "own" {
		t.Errorf("got %+v, %v", grant, err)
	}
	if n := sent.Int(trafficDefsByService[serviceKeeper].sentMessages).Value(); n != 0 {
		t.Errorf("a local call sent %d messages", n)
	}
}
