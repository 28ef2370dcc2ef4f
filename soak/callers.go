package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/wire"
)

const (
	hostName = "soak.example"
	// callerGap is the mean time between two requests of a caller.
	callerGap = 25 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 6 * time.Second
	// streamEvents is the number of events of a whole stream.
	streamEvents = 12
)

// caller sends requests to random hosts over kept connections until the context
// ends.
func (r *run) caller(ctx context.Context, n int, draw *rand.Rand) {
	client := &http.Client{Transport: httplimit.Transport(&http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}), Timeout: callerWait}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		h := r.hosts[draw.IntN(len(r.hosts))]
		k, parts := kind(draw.IntN(len(kindPaths))), soundParts[draw.IntN(len(soundParts))]
		r.request(client, h, k, fmt.Sprintf("%08x%08x", n+1, i+1), parts)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(draw.Int64N(int64(2 * callerGap)))):
		}
	}
}

// soundParts are the shared parts of prompts of requests that crash no worker.
var soundParts = []string{"aa", "aa,p1", "aa,p3", "aa,p1,p4,p2"}

// request sends one request with these shared parts of a prompt, and checks its answer.
func (r *run) request(client *http.Client, h *host, k kind, id, parts string) {
	calm := r.calm()
	lifeBefore, _ := h.calm()
	version := r.seen(h, lifeBefore)
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+kindPaths[k], strings.NewReader("body of "+id)) //nolint:noctx // The client has a timeout.
	if err != nil {
		r.ledger.find("request %s could not be made: %v", id, err)
		return
	}
	req.Host = hostName
	req.Header.Set(wire.HeaderRequestID, id)
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
	req.Header.Set(wire.HeaderTokenCount, "1000,300")
	req.Header.Set(wire.HeaderPromptParts, promptParts(parts, id))
	resp, err := client.Do(req)
	if err != nil {
		r.ledger.add(sent{id: id, kind: k, host: h.name})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s := sent{id: id, kind: k, host: h.name, status: resp.StatusCode}
	s.promised = resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	r.ledger.add(s)
	if calm && strings.Contains(string(body), string(domain.RefusalQuarantined)) {
		r.ledger.find("request %s with the parts %s was refused by %s as if it crashed workers", id, parts, h.name)
	}
	if calm && strings.Contains(string(body), "rate limits") {
		r.ledger.find("request %s (%s) was refused by %s for rate limits though other workers have none", id, kindPaths[k], h.name)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	r.checkAnswer(h, k, id, resp.Header, string(body))
	if lifeAfter, _ := h.calm(); k == kindStatus && lifeAfter == lifeBefore {
		r.checkVersion(h, lifeBefore, version, string(body))
	}
}

// checkAnswer checks that a success is whole, sealed and the request's own.
func (r *run) checkAnswer(h *host, k kind, id string, header http.Header, body string) {
	if header.Get(wire.HeaderSeal) == "" {
		r.ledger.find("request %s got a success from %s without the mark of an upstream", id, h.name)
	}
	if k == kindFiling || k == kindStatus {
		if !strings.HasSuffix(body, " to "+id) {
			r.ledger.find("request %s got %q from %s", id, body, h.name)
		}
		return
	}
	next := 1
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		event, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if event != strconv.Itoa(next) {
			r.ledger.find("request %s got event %s where %d was due, from %s", id, event, next, h.name)
			return
		}
		next++
	}
	if next != streamEvents+1 {
		r.ledger.find("request %s got %d events in an answer that looks whole, from %s", id, next-1, h.name)
	}
}
