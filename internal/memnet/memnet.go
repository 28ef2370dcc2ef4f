// Package memnet is a TCP network in memory. Programs that talk over it can run in the virtual time
// of testing/synctest, where a goroutine that waits for a socket of the system would stop the clock.
package memnet

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// backlog is the number of connections that a listener has not accepted yet.
	backlog = 512
	// firstPort is the first port that the network gives out.
	firstPort = 1024
	lastPort  = 65535
	// resendDelay is the time after which a lost SYN is sent again.
	resendDelay = time.Second
)

// Network holds the listeners of one network. Its connections must stay within the bubble in
// which it is used. It is safe for concurrent use.
type Network struct {
	// dialTimeout bounds the time until a connection is open.
	dialTimeout time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	port      int
}

// New returns a network without listeners, and bounds the time until a connection is open.
func New(dialTimeout time.Duration) *Network {
	return &Network{dialTimeout: dialTimeout, listeners: make(map[string]*listener), port: firstPort}
}

// FreeAddress returns an address, as IP:port, that the network gives out once.
func (n *Network) FreeAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nextAddress().String()
}

// nextAddress returns an address that was not given out. The caller holds the lock.
func (n *Network) nextAddress() *net.TCPAddr {
	if n.port++; n.port > lastPort {
		n.port = firstPort
	}
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.port}
}

// Listen opens a listener at an address, as IP:port. It fails if there is one.
func (n *Network) Listen(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.Port == 0 {
		at = n.nextAddress()
	}
	if n.listeners[at.String()] != nil {
		return nil, failure("listen", at, syscall.EADDRINUSE)
	}
	l := &listener{network: n, address: at, arrived: make(chan *conn, backlog), closed: make(chan struct{})}
	n.listeners[at.String()] = l
	return l, nil
}

// Dial opens a connection to an address, as IP:port. It fails at once if nothing listens there.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.DialFrom(ctx, nil, address)
}

// DialFrom opens a connection from an IP number, or from any if it is nil.
func (n *Network) DialFrom(ctx context.Context, from net.IP, address string) (net.Conn, error) {
	to, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.dialTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return nil, failure("dial", to, err)
	}
	n.mu.Lock()
	l, local := n.listeners[to.String()], n.nextAddress()
	n.mu.Unlock()
	if l == nil {
		return nil, failure("dial", to, syscall.ECONNREFUSED)
	}
	if from != nil {
		local.IP = from
	}
	near, far := newConns(local, to)
	if err := l.deliver(ctx, far); err != nil {
		return nil, failure("dial", to, err)
	}
	return near, nil
}

func failure(op string, addr net.Addr, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: addr, Err: err}
}

// listener implements net.Listener.
type listener struct {
	network *Network
	address *net.TCPAddr
	arrived chan *conn
	closed  chan struct{}

	// mu guards the end: nothing arrives after it. hangs says that nothing arrives now.
	mu           sync.Mutex
	ended, hangs bool
}

// deliver hands a connection to the listener.
func (l *listener) deliver(ctx context.Context, c *conn) error {
	for {
		if taken, err := l.offer(c); taken || err != nil {
			return err
		}
		// A full backlog drops the caller's SYN, which is sent again.
		select {
		case <-ctx.Done():
			return os.ErrDeadlineExceeded
		case <-time.After(resendDelay):
		}
	}
}

// offer hands over a connection unless the listener hangs or its backlog is full.
func (l *listener) offer(c *conn) (taken bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false, syscall.ECONNREFUSED
	}
	if l.hangs {
		return false, nil
	}
	select {
	case l.arrived <- c:
		return true, nil
	default:
		return false, nil
	}
}

// Hang keeps new connections from being opened, or lets them be opened again.
func (l *listener) Hang(hangs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hangs = hangs
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, failure("accept", l.address, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.arrived:
		return c, nil
	case <-l.closed:
		return nil, failure("accept", l.address, net.ErrClosed)
	}
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return failure("close", l.address, net.ErrClosed)
	}
	l.ended = true
	close(l.closed)
	l.network.mu.Lock()
	delete(l.network.listeners, l.address.String())
	l.network.mu.Unlock()
	for {
		select {
		case c := <-l.arrived:
			_ = c.SetLinger(0)
			_ = c.Close()
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }
