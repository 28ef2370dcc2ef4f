package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"greengagespoke/platform/wire"
)

// sent is one request of a client.
type sent struct {
	id, host, path string
	at, answered   time.Time
	status         int
	body, fail     string
}

// clients holds what the clients saw.
type clients struct {
	mu   sync.Mutex
	all  []*sent
	next int
}

// callerName is the host name of all routes.
const callerName = "sine.example"

// client is one client with one kept connection.
type client struct {
	lab     *lab
	host    *host
	conn    net.Conn
	reader  *bufio.Reader
	allowed time.Duration
}

// call sends one request and reads its answer.
func (k *client) call(method, path, body string, headers ...string) *sent {
	c := k.lab
	c.clients.mu.Lock()
	c.clients.next++
	s := &sent{id: fmt.Sprintf("%016x", c.clients.next), host: k.host.name, path: path}
	c.clients.mu.Unlock()
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.host.front, time.Second)
		if err != nil {
			return nil // Nothing was sent.
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, callerName, wire.HeaderRequestID, s.id, wire.HeaderDeadline, k.allowed.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	s.at = time.Now()
	_ = k.conn.SetDeadline(s.at.Add(k.allowed + 2*time.Second))
	_, err := io.WriteString(k.conn, text+"\r\n"+body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(k.reader, &http.Request{Method: method})
	}
	if err == nil {
		var whole []byte
		whole, err = io.ReadAll(resp.Body)
		s.status, s.body = resp.StatusCode, string(whole)
	}
	s.answered = time.Now()
	if err != nil {
		s.fail, s.status = err.Error(), 0
	}
	if err != nil || resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		k.close()
	}
	c.clients.mu.Lock()
	c.clients.all = append(c.clients.all, s)
	c.clients.mu.Unlock()
	c.record.noteAt(s.at, "sent     %s %s to %s", s.id, path, s.host)
	if err != nil {
		c.record.noteAt(s.answered, "no answer to %s: %s", s.id, s.fail)
	} else {
		c.record.noteAt(s.answered, "answer   %s %d %s", s.id, s.status, strings.TrimSpace(strings.SplitN(s.body, "\n", 2)[0]))
	}
	return s
}

// draft asks for the draft of a passage.
func (k *client) draft(passage int) *sent {
	return k.call(http.MethodPost, "/drafts/notes", fmt.Sprintf("passage %d", passage), field("model")+": m", wire.HeaderTokenCount+": 3000,400",
		fmt.Sprintf("%s: 5c1e07a2:200,e4402b7%d:2800", wire.HeaderPromptParts, passage))
}

func (k *client) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn, k.reader = nil, nil
	}
}

// traffic lets some clients of each host send closures and status checks until the context ends.
func (c *lab) traffic(ctx context.Context, each int, gap time.Duration) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, h := range c.hosts {
		for range each {
			running.Go(func() {
				k := &client{lab: c, host: h, allowed: time.Second}
				defer k.close()
				for ctx.Err() == nil {
					if rand.IntN(5) < 3 {
						k.call(http.MethodPost, "/closures/", `{"station":17}`)
					} else {
						k.call(http.MethodGet, "/loops/17", "")
					}
					select {
					case <-ctx.Done():
					case <-time.After(time.Duration(rand.Int64N(int64(2 * gap)))):
					}
				}
			})
		}
	}
	return &running
}
