package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes TCP connections on to a target.
type proxy struct {
	listener net.Listener
	target   string
	// silenced counts the open connections that went silent.
	silenced atomic.Int64

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	p := &proxy{listener: listener, target: target, links: make(map[*link]bool)}
	go p.run()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.open(near)
	}
}

func (p *proxy) open(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(near, far) })
	both.Go(func() { l.pass(far, near) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pass copies bytes until the connection ends. A silent connection loses them, and neither side
// learns that the other one has closed it.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if !l.silent.Swap(true) {
			p.silenced.Add(1)
		}
	}
}
