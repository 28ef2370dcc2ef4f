package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
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
	// maxTakeUps is how often a caller takes a stream up, eventsBeforeBreak the number of events
	// after which it breaks some off, each of linesPerEvent lines.
	maxTakeUps        = 3
	eventsBeforeBreak = 4
	linesPerEvent     = 3
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

// rateLimitFinding ends a finding of a request that was refused for rate limits, though workers
// without one take requests, crashFinding one of a request that was refused as crashing workers,
// though it did not.
const (
	rateLimitFinding = "for rate limits though other workers have none"
	crashFinding     = "as if it crashed workers"
)

// contentOf returns what a request says. Two streams in a row of a caller say the same.
func contentOf(id string, k kind) string {
	if n, err := strconv.ParseUint(id[8:], 16, 32); err == nil && k == kindNote {
		return fmt.Sprintf("%s-%d", id[:8], n/2)
	}
	return id
}

// namesFirst reports whether a caller names the request that brought the first event of a stream
// that it takes up.
func namesFirst(first string) bool { return first[len(first)-2]%2 == 0 }

// soundParts are the shared parts of prompts of requests that crash no worker.
var soundParts = []string{"aa", "aa,p1", "aa,p3", "aa,p1,p4,p2"}

// request sends one request with these shared parts of a prompt, and checks its answer. A
// stream that breaks, or that the caller breaks off, is taken up at other hosts.
func (r *run) request(client *http.Client, h *host, k kind, id, parts string) {
	t := r.try(client, h, k, try{id: id, first: id, content: contentOf(id, k), parts: parts, versions: make(map[string]bool)})
	for n := range maxTakeUps {
		if k != kindNote || t.last == 0 || t.last == streamEvents {
			break
		}
		next := r.hosts[(t.last+n+len(id))%len(r.hosts)]
		if next == h {
			next = r.hosts[(t.last+n+len(id)+1)%len(r.hosts)]
		}
		t.id = fmt.Sprintf("%x%s", n+10, id[1:])
		t = r.try(client, next, k, t)
	}
	if len(t.versions) > 1 {
		r.ledger.find("stream %s holds events of two software versions, last from %s", id, h.name)
	}
}

// try is one try of a request.
type try struct {
	// id is that of this try, first that of the one that brought the first event.
	id, first, content, parts string
	// wait is how long the caller waits for an answer, callerWait if it is 0.
	wait time.Duration
	// last is the last event that the caller has, versions are those of all events so far.
	last     int
	versions map[string]bool
}

// try sends one try of a request and returns what the caller has then.
func (r *run) try(client *http.Client, h *host, k kind, t try) try {
	calm, id := r.calm(), t.id
	lifeBefore, _ := h.calm()
	version := r.seen(h, lifeBefore)
	req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+kindPaths[k], strings.NewReader("body of "+t.content)) //nolint:noctx // The client has a timeout.
	if err != nil {
		r.ledger.find("request %s could not be made: %v", id, err)
		return t
	}
	req.Host = hostName
	req.Header.Set(wire.HeaderRequestID, id)
	req.Header.Set(wire.HeaderDeadline, strconv.FormatInt(cmp.Or(t.wait, callerWait).Milliseconds(), 10))
	req.Header.Set(wire.HeaderTokenCount, "1000,300")
	req.Header.Set(wire.HeaderPromptParts, promptParts(t.parts, t.first))
	if t.last > 0 {
		if namesFirst(t.first) {
			req.Header.Set(wire.HeaderResumes, t.first)
		}
		req.Header.Set(wire.HeaderLastEventID, strconv.Itoa(t.last))
	}
	customer := customerOf(t.first)
	r.keys.authorize(req, customer)
	sentAt := time.Now()
	req.Header.Set(headerSoakHost, h.name)
	req.Header.Set(headerSoakSent, strconv.FormatInt(sentAt.UnixNano(), 10))
	resp, err := client.Do(req)
	if err != nil {
		r.ledger.add(sent{id: id, kind: k, host: h.name})
		r.countCut(h, sentAt, customer, false)
		return t
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readAnswer(resp.Body, k == kindNote && t.last == 0 && strings.HasSuffix(id, "0"))
	r.words.observe(h.name, resp.Header)
	s := sent{id: id, kind: k, host: h.name, status: resp.StatusCode}
	s.promised = resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests ||
		resp.StatusCode == http.StatusUnauthorized
	r.ledger.add(s)
	if t.last == 0 {
		r.countCut(h, sentAt, customer, resp.StatusCode == http.StatusOK)
	}
	r.checkStatus(h, id, customer, resp.StatusCode, calm)
	if calm && strings.Contains(body, string(domain.RefusalQuarantined)) {
		r.ledger.find("request %s with the parts %s was refused by %s "+crashFinding, id, t.parts, h.name)
	}
	if calm && t.last == 0 && !r.broken.Load() && !r.cut.begun(h, sentAt) && strings.Contains(body, "rate limits") {
		r.ledger.find("request %s (%s) was refused by %s "+rateLimitFinding, id, kindPaths[k], h.name)
	}
	if resp.StatusCode != http.StatusOK {
		return t
	}
	if k == kindDraft || k == kindNote {
		return r.checkStream(h, t, resp.Header, body, err == nil)
	}
	if err == nil {
		r.checkAnswer(h, id, resp.Header, body)
	}
	if lifeAfter, _ := h.calm(); err == nil && k == kindStatus && lifeAfter == lifeBefore {
		r.checkVersion(h, lifeBefore, version, body)
	}
	return t
}

// countCut counts a request whose key is valid in all versions.
func (r *run) countCut(h *host, sentAt time.Time, customer string, answered bool) {
	if isResident(customer) {
		r.cut.count(h, sentAt, answered)
	}
}

// errBrokenOff means that the caller broke a stream off.
var errBrokenOff = errors.New("the caller broke the stream off")

// readAnswer reads a body, or only the first events of a stream.
func readAnswer(body io.Reader, breakOff bool) (string, error) {
	if !breakOff {
		text, err := io.ReadAll(body)
		return string(text), err
	}
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for n := 0; n < eventsBeforeBreak*linesPerEvent && lines.Scan(); n++ {
		text.WriteString(lines.Text() + "\n")
	}
	return text.String(), errBrokenOff
}

// checkAnswer checks that a plain success is whole, sealed and the request's own.
func (r *run) checkAnswer(h *host, id string, header http.Header, body string) {
	if header.Get(wire.HeaderSeal) == "" {
		r.ledger.find("request %s got a success from %s without the mark of an upstream", id, h.name)
	}
	if !strings.HasSuffix(body, " to "+id) {
		r.ledger.find("request %s got %q from %s", id, body, h.name)
	}
}

// checkStream checks that a stream is sealed and in order, and whole if it looks so. It returns
// what the caller has then.
func (r *run) checkStream(h *host, t try, header http.Header, body string, whole bool) try {
	if header.Get(wire.HeaderSeal) == "" {
		r.ledger.find("request %s got a success from %s without the mark of an upstream", t.id, h.name)
	}
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok && event != strconv.Itoa(t.last+1) {
			r.ledger.find("request %s got event %s where %d was due, from %s", t.id, event, t.last+1, h.name)
			return t
		}
		var data struct {
			Token   int    `json:"token"`
			Version string `json:"version"`
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok && json.Unmarshal([]byte(text), &data) == nil {
			t.last = data.Token
			t.versions[data.Version] = true
		}
	}
	if whole && t.last != streamEvents {
		r.ledger.find("request %s got events up to %d in an answer that looks whole, from %s", t.id, t.last, h.name)
	}
	return t
}
