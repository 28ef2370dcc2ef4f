package peerrpc

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
	"greengagespoke/ports"
)

// meteredConn counts the bytes read from and written to a connection.
type meteredConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// TestCountersMatchTheConnection checks the computed message sizes against the
// bytes that are read and written on the connection.
func TestCountersMatchTheConnection(t *testing.T) {
	peers, sent, served := startPeer(t, &fakeHost{}, testKey)
	var read, written atomic.Int64
	transport := newDefaultHTTPClient().Transport.(*httplimit.RoundTripper)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return meteredConn{conn, &read, &written}, err
	}
	peers.client.http = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const probes = 20
	msg := ports.ProbeMessage{From: "a", Updates: []domain.Member{{ID: "c", Zone: "z", PeerAddress: "10.20.130.140:7102"}}}
	for range probes {
		if _, err := peers.Gossip("b").Probe(ctx, msg); err != nil {
			t.Fatal(err)
		}
	}
	defs := trafficDefsByService[serviceGossip]
	check := func(name string, set *counters.Set, def counters.Def, want int64) {
		t.Helper()
		if got := set.Int(def).Value(); got != want {
			t.Errorf("%s: counted %d, want %d", name, got, want)
		}
	}
	check("messages sent", sent, defs.sentMessages, probes)
	check("messages received", sent, defs.receivedMessages, probes)
	check("messages served", served, defs.sentMessages, probes)
	check("bytes sent", sent, defs.sentBytes, written.Load())
	check("bytes received", sent, defs.receivedBytes, read.Load())
	check("bytes served", served, defs.sentBytes, read.Load())
	check("bytes of requests", served, defs.receivedBytes, written.Load())
	requestBody := int64(proto.Size(probeToPB(msg)))
	msg.Revision++
	answerBody := int64(proto.Size(probeToPB(msg)))
	requestHeader := written.Load()/probes - requestBody
	answerHeader := read.Load()/probes - answerBody
	t.Logf("header bytes: request %d, response %d", requestHeader, answerHeader)
	if requestHeader > maxRequestHeaderBytes || answerHeader > maxResponseHeaderBytes {
		t.Errorf("headers are larger than the %d and %d bytes that the traffic budget of a host assumes", maxRequestHeaderBytes, maxResponseHeaderBytes)
	}
}

// The traffic test of package membership assumes these header sizes.
const (
	maxRequestHeaderBytes  = 215
	maxResponseHeaderBytes = 80
)
