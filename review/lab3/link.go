package main

import (
	"net"
	"sync"
	"time"
)

const (
	// keepAliveTime is when the kernel of a host that set keep-alive probes as the program does, the
	// first after 2 s, would have ended a connection whose other end is silent.
	keepAliveTime = 4 * time.Second
	// probeTime is the time between two probes that are answered.
	probeTime = 2 * time.Second
)

// storeLink passes connections of one host on to the store. Those that are open can be made silent
// for good, while new ones work.
type storeLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*linkConn]bool
}

// linkConn is one connection through a link.
type linkConn struct {
	in, out net.Conn

	mu     sync.Mutex
	silent bool
	// lastByte is when the host last got or sent anything.
	lastByte time.Time
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
		c := &linkConn{in: in, out: out, lastByte: time.Now()}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.pass(c, in, out)
		go l.pass(c, out, in)
	}
}

func (l *storeLink) pass(c *linkConn, from, to net.Conn) {
	defer func() {
		if !c.isSilent() {
			c.end()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			if err != nil {
				return
			}
			continue // Lost on the way.
		}
		if n > 0 {
			c.touch()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good. Each is reset towards the host when the
// keep-alive probes of the program would have ended it.
func (l *storeLink) silence() (n int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		last := c.lastByte
		c.mu.Unlock()
		if probed := now.Add(-probeTime); probed.After(last) {
			last = probed
		}
		time.AfterFunc(time.Until(last.Add(keepAliveTime)), c.end)
		n++
	}
	return n
}

func (c *linkConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *linkConn) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastByte = time.Now()
}

func (c *linkConn) end() {
	if in, ok := c.in.(*net.TCPConn); ok {
		_ = in.SetLinger(0)
	}
	_ = c.in.Close()
	_ = c.out.Close()
}
