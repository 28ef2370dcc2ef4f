package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// linkMode is how a proxy treats connections.
type linkMode int

const (
	linkOpen linkMode = iota
	// linkSlow delays what passes.
	linkSlow
	// linkReset resets connections.
	linkReset
	// linkOneWay loses what comes back.
	linkOneWay
	// linkSilent loses both directions without closing.
	linkSilent
)

// slowDelay is how long a slow link delays each read.
const slowDelay = 150 * time.Millisecond

// proxy passes connections on from a loopback address to another one.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

func newProxy(ctx context.Context, target string) (*proxy, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. A reset also ends the open connections.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == linkReset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *proxy) current() linkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == linkReset {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp", p.target) //nolint:noctx // Loopback; the target accepts or refuses at once.
		if err != nil {
			reset(in)
			continue
		}
		p.keep(in, out)
		go p.copy(out, in, false)
		go p.copy(in, out, true)
	}
}

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy passes one direction on until it ends.
func (p *proxy) copy(to, from net.Conn, back bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, to)
		delete(p.conns, from)
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := p.current(); {
		case mode == linkSilent || mode == linkOneWay && back:
			n = 0
		case mode == linkSlow:
			time.Sleep(slowDelay/2 + rand.N(slowDelay))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF { //nolint:errorlint // Read returns io.EOF itself.
				reset(to)
			}
			return
		}
	}
}
