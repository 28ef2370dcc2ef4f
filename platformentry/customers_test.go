package platformentry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

// keyPrefix begins all keys in tests.
const keyPrefix = "sk-"

// keyOf returns the headers of a request with the key of a customer.
func keyOf(name string) http.Header {
	return http.Header{wire.HeaderAuthorization: {"Bearer " + keyPrefix + name}}
}

// setCustomers publishes a version of the configuration with customers, and waits until all hosts
// serve it.
func (d *deployment) setCustomers(version int, names ...string) {
	d.t.Helper()
	d.customers = nil
	for _, name := range names {
		d.customers = append(d.customers, platformtest.Customer{Name: name, Keys: []string{keyPrefix + name}})
	}
	d.configure(version, "ledger")
	for _, h := range d.hosts {
		d.waitFor("customers known", func() bool {
			return d.send(h, "GET", "/status/x", nil).status == http.StatusUnauthorized &&
				d.send(h, "GET", "/status/x", keyOf(names[len(names)-1])).status == http.StatusOK
		})
	}
}

// messages records what workers get: keys, and the names that the messages of each request carry.
type messages struct {
	mu     sync.Mutex
	keys   []string
	byName map[string][]string
	count  map[string]int
	// spoil makes the first run of repeatable requests fail.
	spoil bool
}

func watchMessages(d *deployment) *messages {
	m := &messages{byName: make(map[string][]string), count: make(map[string]int)}
	for _, w := range d.workers {
		w.OnMessage(m.add)
		w.SetFault(m.fault)
	}
	return m
}

func (m *messages) add(r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if strings.Contains(fmt.Sprint(r.Header, r.RequestURI), keyPrefix) {
		m.keys = append(m.keys, fmt.Sprint(r.RequestURI, r.Header))
	}
	id, name := r.Header.Get(wire.HeaderRequestID), strings.Join(r.Header.Values(wire.HeaderCustomer), ",")
	m.count[id]++
	if !slices.Contains(m.byName[id], name) {
		m.byName[id] = append(m.byName[id], name)
	}
}

// fault makes the first message of a repeatable plain call, and the first run of a resumable stream,
// fail.
func (m *messages) fault(r *http.Request) platformtest.Fault {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.count[r.Header.Get(wire.HeaderRequestID)] == 1
	switch {
	case !m.spoil || r.Header.Get(wire.HeaderStage) != "":
		return platformtest.FaultNone
	case strings.HasPrefix(r.URL.Path, "/note/") && r.Header.Get(wire.HeaderLastEventID) == "":
		return platformtest.FaultCut
	case first && (strings.HasPrefix(r.URL.Path, "/status/") || strings.HasPrefix(r.URL.Path, "/open/")):
		return platformtest.FaultReset
	default:
		return platformtest.FaultNone
	}
}

// No message to an upstream may carry a key, and each that belongs to a request must carry the name
// of its customer, whatever the caller states: plain calls, prefills, streams, resumptions, repeats
// and requests that another host passed on.
func TestUpstreamsGetNamesAndNoKeys(t *testing.T) { playTrial(t, testNames) }

func testNames(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 3, cut: 1, mode: platformtest.LinkReset, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	c.d.setCustomers(2, "gold", "silver")
	m := watchMessages(c.d)
	m.spoil = true
	sendAllKinds(c.d, m, "near")
	c.begin()
	time.Sleep(contactTime)
	sendAllKinds(c.d, m, "passed on")
	if len(m.keys) > 0 {
		t.Errorf("%d messages to upstreams carry a key, the first: %s", len(m.keys), m.keys[0])
	}
}

// sendAllKinds sends requests of all kinds to the first host and checks the names that upstreams get.
func sendAllKinds(d *deployment, m *messages, round string) {
	for _, path := range []string{"/filing/x", "/status/x", "/draft/x", "/note/x", "/open/x"} {
		for _, caller := range []struct{ key, want string }{{"gold", "gold"}, {"silver", "silver"}, {"unknown", ""}, {"", ""}} {
			open := strings.HasPrefix(path, "/open/")
			header := keyOf(caller.key)
			if caller.key == "" {
				header = http.Header{}
			}
			header[wire.HeaderCustomer] = []string{"platinum", "silver"}
			got := d.sendBody(d.hosts[0], "POST", path, header, "body")
			wantStatus, wantNames := http.StatusOK, []string{caller.want}
			if caller.want == "" && !open {
				wantStatus, wantNames = http.StatusUnauthorized, nil
			}
			m.mu.Lock()
			names, count := m.byName[got.id], m.count[got.id]
			m.mu.Unlock()
			if got.status != wantStatus || got.err != nil || !slices.Equal(names, wantNames) {
				d.t.Errorf("%s, %s with key %q: status %d %s %v, upstreams got the names %q", round, path, caller.key, got.status, got.body, got.err, names)
			}
			if wantStatus == http.StatusOK && count < map[string]int{"/filing/x": 1, "/note/x": 3}[path]+2*min(1, strings.Count("/status/x /draft/x /open/x", path)) {
				d.t.Errorf("%s, %s: only %d messages; the case tests no repeat or prefill", round, path, count)
			}
		}
	}
}

// Without customers, upstreams get what callers send: a key that is meant for them, and any name.
func TestHeadersPassWithoutCustomers(t *testing.T) { playTrial(t, testWithoutCustomers) }

func testWithoutCustomers(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 3, cut: 1, mode: platformtest.LinkReset, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	for round := range 2 {
		for _, path := range []string{"/filing/x", "/draft/x", "/open/x"} {
			header := keyOf("of the upstream")
			header[wire.HeaderCustomer] = []string{"own", "names"}
			got := c.d.send(c.d.hosts[0], "POST", path, header)
			for _, w := range c.d.workers {
				in := w.Header(got.id)
				if in != nil && (in.Get(wire.HeaderAuthorization) != header.Get(wire.HeaderAuthorization) || !slices.Equal(in.Values(wire.HeaderCustomer), []string{"own", "names"})) {
					t.Errorf("round %d, %s: the upstream got %v", round, path, in)
				}
			}
			if got.status != http.StatusOK || c.d.executions(got.id) != 1 {
				t.Errorf("round %d, %s: status %d %s", round, path, got.status, got.body)
			}
		}
		c.begin()
		time.Sleep(contactTime)
	}
}

// A key that a new version of the configuration has must be served by all hosts, and one that it has
// not must be refused by all of them, also for a stream that is taken up.
func TestKeysChangeOnAllHosts(t *testing.T) {
	d := newDeployment(t, 3)
	d.waitForMembers()
	d.setCustomers(2, "gold", "silver")
	begun := d.send(d.hosts[0], "POST", "/note/x", keyOf("silver"))
	d.setCustomers(3, "gold", "bronze")
	for _, h := range d.hosts {
		for name, want := range map[string]int{"gold": http.StatusOK, "bronze": http.StatusOK, "silver": http.StatusUnauthorized, "": http.StatusUnauthorized} {
			header := keyOf(name)
			if got := d.send(h, "GET", "/status/x", header); got.status != want {
				t.Errorf("%s: key %q got %d %s, want %d", h.settings.Host, name, got.status, got.body, want)
			}
			header.Set(wire.HeaderLastEventID, "2")
			header.Set(wire.HeaderResumes, begun.id)
			if got := d.send(h, "POST", "/note/x", header); got.status != want {
				t.Errorf("%s: stream taken up with key %q got %d %s, want %d", h.settings.Host, name, got.status, got.body, want)
			}
		}
	}
}

// A host that has lost the store may lack a newer configuration, so it must not refuse an unknown
// key for good. Known keys are served.
func TestUnknownKeyWhileTheStoreIsLost(t *testing.T) { playTrial(t, testStoreLost) }

func testStoreLost(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 2, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	c.d.setCustomers(2, "gold")
	for _, mode := range []platformtest.StoreMode{platformtest.StoreBusy, platformtest.StoreSilent} {
		c.d.store.SetMode(mode)
		time.Sleep(storeLostTime)
		for _, h := range c.d.hosts {
			unknown, known, none := c.d.send(h, "GET", "/status/x", keyOf("new")), c.d.send(h, "GET", "/status/x", keyOf("gold")), c.d.send(h, "GET", "/status/x", nil)
			if unknown.status != http.StatusServiceUnavailable || unknown.header.Get(wire.HeaderRetryAfter) == "" || known.status != http.StatusOK || none.status != http.StatusUnauthorized {
				t.Errorf("store mode %d: unknown key %d %s, known key %d, no key %d", mode, unknown.status, unknown.body, known.status, none.status)
			}
		}
		c.d.store.SetMode(platformtest.StoreUp)
		for _, h := range c.d.hosts {
			c.d.waitFor("the unknown key is refused", func() bool { return c.d.send(h, "GET", "/status/x", keyOf("new")).status == http.StatusUnauthorized })
		}
	}
}

// storeLostTime is longer than a read of changes may take before it fails.
const storeLostTime = 5 * time.Second

// Requests without a valid key must be refused before their bodies are read, so that they cost no
// memory. A connection whose body comes later can be used further.
func TestUnknownKeyIsRefusedBeforeTheBody(t *testing.T) { playTrial(t, testUnreadBody) }

func testUnreadBody(t *testing.T) {
	t.Helper()
	c := &cutTrial{t: t, hosts: 1, links: make(map[*host]*platformtest.HostLinks)}
	c.start()
	c.d.setCustomers(2, "gold")
	lone := c.d.startHostAt("lone", "z-a", c.d.freeAddress())
	time.Sleep(contactTime)
	for _, x := range []struct {
		h      *host
		length string
		status int
		closes bool
	}{
		{c.d.hosts[0], "Content-Length: 1000", http.StatusUnauthorized, false},
		{c.d.hosts[0], "Content-Length: 1000000", http.StatusUnauthorized, true},
		{c.d.hosts[0], "Transfer-Encoding: chunked", http.StatusUnauthorized, true},
		{c.d.hosts[0], "Content-Length: 1000\r\nExpect: 100-continue", http.StatusUnauthorized, true},
		{lone, "Content-Length: 1000", http.StatusServiceUnavailable, false},
	} {
		conn, err := c.d.network.Dial(context.Background(), x.h.settings.Callers)
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(conn)
		resp := exchange(t, conn, in, "POST /status/x HTTP/1.1\r\nHost: "+testHost+"\r\nAuthorization: Bearer sk-unknown\r\n"+x.length+"\r\n\r\n")
		if resp.StatusCode != x.status || resp.Close != x.closes {
			t.Errorf("%s: status %d, closes the connection: %t", x.length, resp.StatusCode, resp.Close)
		}
		if !x.closes {
			next := exchange(t, conn, in, strings.Repeat("x", 1000)+"GET /status/y HTTP/1.1\r\nHost: "+testHost+"\r\nAuthorization: Bearer sk-gold\r\n"+wire.HeaderRequestID+": f00\r\n\r\n")
			if x.h != lone && next.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d on the same connection", x.length, next.StatusCode)
			}
		}
		_ = conn.Close()
	}
}

// exchange writes a text and reads the response, whose body it discards.
func exchange(t *testing.T, conn net.Conn, in *bufio.Reader, text string) *http.Response {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).WriteTo(new(strings.Builder)); err != nil {
		t.Fatal(err)
	}
	return resp
}

// A caller must not get around its key by sending what hosts send each other: to the address for
// hosts it is declined, and to that for callers the headers are dropped.
func TestForgedHopIsDeclined(t *testing.T) {
	d := newDeployment(t, 1)
	d.setCustomers(2, "gold")
	peer := *d.hosts[0]
	peer.settings.Callers = peer.settings.Peers
	for name, forged := range map[string]http.Header{
		"no MAC":       {wire.HeaderHopCustomerVersion: {"2"}, wire.HeaderHopCustomer: {"gold"}},
		"wrong MAC":    {wire.HeaderHopCustomerVersion: {"2"}, wire.HeaderHopCustomer: {"gold"}, wire.HeaderHopCustomerMAC: {strings.Repeat("00", 32)}},
		"no name":      {wire.HeaderHopCustomerVersion: {"2"}},
		"last release": {wire.HeaderHopGrantVersion: {"2"}},
		"the one before": {
			wire.HeaderHopVersion: {"2"},
		},
	} {
		forged[wire.HeaderHopCaller] = []string{"10.0.0.9"}
		forged[wire.HeaderHopUpstreams], forged[wire.HeaderHopUsed], forged[wire.HeaderHopService] = []string{"1"}, []string{""}, []string{"ledger"}
		forged[wire.HeaderAuthorization] = keyOf("gold")[wire.HeaderAuthorization]
		got := d.send(&peer, "GET", "/status/x", forged)
		if got.status != http.StatusServiceUnavailable || got.header.Get(wire.HeaderHopDeclined) == "" || d.executions(got.id) != 0 {
			t.Errorf("%s: status %d %s, declined %q", name, got.status, got.body, got.header.Get(wire.HeaderHopDeclined))
		}
		delete(forged, wire.HeaderAuthorization)
		if got := d.send(d.hosts[0], "GET", "/status/x", forged); got.status != http.StatusUnauthorized {
			t.Errorf("%s, to the address for callers: status %d %s", name, got.status, got.body)
		}
	}
}
