package platformhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"

	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

func startPlatform(t *testing.T) (*platform.Platform, *Client) {
	t.Helper()
	p := platform.New(platform.Config{})
	server := httptest.NewUnstartedServer(Handler(p))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(server.Close)
	return p, newTestClient(t, server.URL)
}

func newTestClient(t *testing.T, base string) *Client {
	t.Helper()
	c, err := New(Config{TablesURL: base, ObjectsURL: base, Bucket: "greengagespoke", HostsURL: base + PathHosts})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func createTxn(key, value string) ports.Txn {
	return ports.Txn{If: []ports.Condition{{Key: key}}, Then: []ports.Write{{Key: key, Value: []byte(value)}}}
}

func TestRoundTrips(t *testing.T) {
	p, c := startPlatform(t)
	ctx := t.Context()
	tables := c.Tables()
	res, err := tables.Commit(ctx, createTxn("routes/a b", "\x00\xff"))
	if err != nil || !res.Applied || res.Version == 0 {
		t.Fatalf("commit: %v %v", res, err)
	}
	if again, err := tables.Commit(ctx, createTxn("routes/a b", "x")); err != nil || again.Applied {
		t.Fatalf("second creation: %v %v", again, err)
	}
	want := ports.Row{Key: "routes/a b", Value: []byte("\x00\xff"), Version: res.Version}
	if row, ok, err := tables.Get(ctx, "routes/a b"); err != nil || !ok || !reflect.DeepEqual(row, want) {
		t.Fatalf("get: %v %v %v", row, ok, err)
	}
	if rows, err := tables.Scan(ctx, "routes/", "routes0", 5); err != nil || len(rows) != 1 || !reflect.DeepEqual(rows[0], want) {
		t.Fatalf("scan: %v %v", rows, err)
	}
	remove := ports.Txn{If: []ports.Condition{{Key: want.Key, Version: want.Version}}, Then: []ports.Write{{Key: want.Key, Delete: true}}}
	if res, err := tables.Commit(ctx, remove); err != nil || !res.Applied {
		t.Fatalf("delete: %v %v", res, err)
	}
	if _, ok, err := tables.Get(ctx, want.Key); ok || err != nil {
		t.Fatalf("get after delete: %v %v", ok, err)
	}

	if err := c.Objects().Put(ctx, "out/a b", []byte{0, 1}); err != nil {
		t.Fatal(err)
	}
	if value, err := c.Objects().Get(ctx, "out/a b"); err != nil || !bytes.Equal(value, []byte{0, 1}) {
		t.Fatalf("object: %v %v", value, err)
	}
	if _, err := c.Objects().Get(ctx, "out/none"); !errors.Is(err, ports.ErrNoObject) {
		t.Fatalf("missing object: %v", err)
	}

	host := ports.ListedHost{Name: "h1", Zone: "dakar-1", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"}
	up := ports.ListedHost{Name: "up1", Zone: "dakar-2"}
	p.SetHost(host)
	p.SetHost(up)
	p.SetLeaving("up1")
	up.Leaving = true
	if hosts, err := c.Hosts().Hosts(ctx); err != nil || !reflect.DeepEqual(hosts, []ports.ListedHost{host, up}) {
		t.Fatalf("hosts: %v %v", hosts, err)
	}
}

func TestErrorsTellWhetherAWriteMayHaveTakenEffect(t *testing.T) {
	p, c := startPlatform(t)
	ctx := t.Context()
	p.SetOutage(true)
	if _, err := c.Tables().Commit(ctx, createTxn("a", "1")); !errors.Is(err, ports.ErrStoreDown) {
		t.Errorf("outage: %v", err)
	}
	p.SetOutage(false)
	p.LoseAnswers(1)
	if _, err := c.Tables().Commit(ctx, createTxn("a", "1")); !errors.Is(err, ports.ErrStoreUnknown) {
		t.Errorf("lost answer: %v", err)
	}
	if writes := p.Writes(); writes != 1 {
		t.Errorf("the lost write was sent %d times, want once", writes)
	}
	p.LoseAnswers(1)
	if err := c.Objects().Put(ctx, "a", nil); !errors.Is(err, ports.ErrStoreUnknown) {
		t.Errorf("lost object answer: %v", err)
	}
	p.SetLimits(1, 1)
	_, _ = c.Tables().Commit(ctx, createTxn("b", "1"))
	if _, err := c.Tables().Commit(ctx, createTxn("c", "1")); !errors.Is(err, ports.ErrStoreThrottled) {
		t.Errorf("throttled: %v", err)
	}
}

func TestConnectionRefusedIsDown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := newTestClient(t, "http://"+address).Tables().Commit(t.Context(), createTxn("a", "1")); !errors.Is(err, ports.ErrStoreDown) {
		t.Fatalf("refused connection: %v", err)
	}
}

func TestUnsureAnswersOfWrites(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusServiceUnavailable, gatewayStatus{Code: codeUnavailable, Message: "etcdserver: request timed out"})
	}))
	defer server.Close()
	c := newTestClient(t, server.URL)
	if _, err := c.Tables().Commit(t.Context(), createTxn("a", "1")); !errors.Is(err, ports.ErrStoreUnknown) {
		t.Errorf("write that timed out at the service: %v", err)
	}
	if _, _, err := c.Tables().Get(t.Context(), "a"); !errors.Is(err, ports.ErrStoreDown) {
		t.Errorf("read that timed out at the service: %v", err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Tables().Commit(canceled, createTxn("a", "1")); err == nil {
		t.Error("a canceled commit succeeded")
	}
}

func TestConfigErrorsNameTheKey(t *testing.T) {
	_, err := New(Config{TablesURL: "10.0.0.5:2379", ObjectsURL: "http://a", HostsURL: "http://a", Bucket: "b"})
	var cfgErr *ConfigError
	if !errors.As(err, &cfgErr) || cfgErr.Key != "tables_url" {
		t.Fatalf("error %v, want one that names tables_url", err)
	}
}

// TestUnchangedHostListIsNotSentAgain checks that the client sends conditional
// requests, gets an empty body while the list is unchanged, and sees changes.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	p := platform.New(platform.Config{})
	p.SetHost(ports.ListedHost{Name: "engine-1", Zone: "dakar-1"})
	var sent []int
	handler := Handler(p)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		sent = append(sent, recorder.Body.Len())
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer srv.Close()
	c, err := New(Config{TablesURL: srv.URL, ObjectsURL: srv.URL, Bucket: "b", HostsURL: srv.URL + PathHosts})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 2 {
		if hosts, err := c.Hosts().Hosts(t.Context()); err != nil || len(hosts) != 1 || hosts[0].Leaving {
			t.Fatalf("hosts %v, error %v", hosts, err)
		}
	}
	p.SetLeaving("engine-1")
	if hosts, err := c.Hosts().Hosts(t.Context()); err != nil || len(hosts) != 1 || !hosts[0].Leaving {
		t.Fatalf("after the change: hosts %v, error %v", hosts, err)
	}
	if len(sent) != 3 || sent[0] == 0 || sent[1] != 0 || sent[2] == 0 {
		t.Errorf("bodies of %v bytes were sent, want one, none and one", sent)
	}
}
