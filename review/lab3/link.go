package main

import (
	"net"
	"sync"
)

// storeLink passes connections of one host on to the store. While it is cut, nothing passes in either
// direction.
type storeLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[*linkConn]bool
}

// linkConn is one connection through a link.
type linkConn struct {
	in, out net.Conn

	mu sync.Mutex
	// lost says that something was lost on it, so that nothing passes any more.
	lost bool
}

func newStoreLink(target string) (*storeLink, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &storeLink{listener: listener, target: target, conns: make(map[*linkConn]bool)}
	go l.accept()
	return l, nil
}

func (l *storeLink) address() string { return l.listener.Addr().String() }

func (l *storeLink) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.end()
	}
}

// setCut says whether the host is cut off from the store. Connections on which nothing was lost work
// again afterwards.
func (l *storeLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *storeLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *storeLink) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &linkConn{in: in, out: out}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.pass(c, in, out)
		go l.pass(c, out, in)
	}
}

func (l *storeLink) pass(c *linkConn, from, to net.Conn) {
	defer func() {
		c.end()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.losesNow(l.isCut()) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// losesNow reports whether what comes on a connection is lost.
func (c *linkConn) losesNow(cut bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = c.lost || cut
	return c.lost
}

func (c *linkConn) end() {
	_ = c.in.Close()
	_ = c.out.Close()
}
