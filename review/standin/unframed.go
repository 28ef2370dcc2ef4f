package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// streamEvents is the number of events of each stream, streamGap the time between two.
	streamEvents = 60
	streamGap    = 100 * time.Millisecond
	// streamDeadline is the deadline of clients of streams.
	streamDeadline = 14 * time.Second
	// lingerTime is how much longer than drain_ms a leaving worker serves.
	lingerTime = 500 * time.Millisecond
	// streamClients is the number of streams.
	streamClients = 8
)

// runUnframed plays a worker that leaves as planned, whose streams have no length.
func runUnframed(args []string) (int, error) {
	d, err := newDeployment(args[0])
	if err != nil {
		return exitFailed, err
	}
	defer d.close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	err = d.configure(1, []service{{Name: "drafting-models", Engine: true}}, []route{
		{Name: "section-captions", Kind: platformtest.KindStream, Service: "drafting-models", Timeout: streamDeadline, Attempts: 1, Engine: true},
		{Name: "plan-notes", Kind: platformtest.KindStream, Service: "drafting-models", Timeout: streamDeadline, Attempts: 2, Engine: true, Resume: true},
	})
	if err != nil {
		return exitFailed, err
	}
	born := time.Now().UnixMilli()
	var workers []*process
	for i := range 2 {
		w, err := d.startWorker(fmt.Sprintf("engine-%d", i+1), "-stage", "decode", "-events", strconv.Itoa(streamEvents),
			"-gap", streamGap.String(), "-unframed", "-born", strconv.FormatInt(born+int64(i), 10))
		if err != nil {
			return exitFailed, err
		}
		workers = append(workers, w)
		if err := d.register(w, "drafting-models", "dakar-a", "decode", "ready", born+int64(i)); err != nil {
			return exitFailed, err
		}
	}
	for i := range 3 {
		if _, err := d.startHost(fmt.Sprintf("edge-%d", i+1), "dakar-a"); err != nil {
			return exitFailed, err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return exitFailed, err
	}
	time.Sleep(5 * time.Second) // The hosts are in touch.
	results := make([]streamResult, streamClients)
	var clients sync.WaitGroup
	for i := range results {
		name := []string{"section-captions", "plan-notes"}[i%2]
		clients.Go(func() { results[i] = d.stream(ctx, d.hosts[i%len(d.hosts)], name, fmt.Sprintf("%016x", i+1)) })
	}
	time.Sleep(time.Second)
	if troubled() {
		if err := d.register(workers[0], "drafting-models", "dakar-a", "decode", "draining", born); err != nil {
			return exitFailed, err
		}
		time.Sleep(drainTime + lingerTime)
		workers[0].signal(syscall.SIGTERM)
	}
	clients.Wait()
	broken, served := 0, 0
	for _, r := range results {
		if r.whole && r.status == http.StatusOK && r.events < streamEvents {
			d.record.add("ORDER broken: stream %s ended as complete after event %d of %d", r.id, r.events, streamEvents)
			broken++
		}
		if r.whole && r.status == http.StatusOK && r.events == streamEvents {
			served++
		}
	}
	d.record.add("%d of %d streams are whole, %d ended as complete before their last event", served, streamClients, broken)
	fmt.Printf("%d of %d streams are whole, %d ended as complete before their last event\n", served, streamClients, broken)
	if broken > 0 {
		return exitBroken, nil
	}
	if !troubled() && served < streamClients {
		return exitFailed, fmt.Errorf("%d of %d streams are whole without a disruption", served, streamClients)
	}
	return exitHeld, nil
}

// streamResult is what a client got of a stream.
type streamResult struct {
	id             string
	status, events int
	// whole says that the response ended as complete.
	whole bool
}

// stream sends the request of a stream and reads the response.
func (d *deployment) stream(ctx context.Context, h *process, name, id string) streamResult {
	r := streamResult{id: id}
	ctx, cancel := context.WithTimeout(ctx, streamDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front+"/"+name+"/1", bytes.NewReader(make([]byte, 3000)))
	if err != nil {
		return r
	}
	req.Host = publicName
	headers, err := message("stream.txt", id)
	if err != nil {
		return r
	}
	setHeaders(req.Header, headers)
	req.Header.Set(wire.HeaderRequestID, id)
	wire.SetDeadline(req.Header, streamDeadline)
	d.record.add("client sends stream request %s (%s) to %s", id, name, h.name)
	resp, err := (&http.Client{Transport: httplimit.Transport(&http.Transport{DisableCompression: true})}).Do(req)
	if err != nil {
		d.record.add("client got no response to %s: %v", id, err)
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	r.status, r.whole, r.events = resp.StatusCode, err == nil, bytes.Count(body, []byte("\ndata: "))
	d.record.add("client got of %s: status %d, seal %q, %d events, complete: %v (%v)", id, r.status, resp.Header.Get(wire.HeaderSeal), r.events, r.whole, err)
	return r
}
