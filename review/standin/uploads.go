package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// uploadBytes is the size of a body, max_body_bytes of the configuration.
	uploadBytes = 4194304
	// uploadClients is the number of clients, each with one request at a time.
	uploadClients = 15
	// uploadPause is the time between two requests of a client, uploadWork the time that a worker
	// takes for one.
	uploadPause = 50 * time.Millisecond
	uploadWork  = 100 * time.Millisecond
	// uploadDeadline is the deadline of clients.
	uploadDeadline = 5 * time.Second
	// uploadTime is how long clients send, herdKillAt when machines are killed and herdKillTime how
	// long they are down.
	uploadTime   = 14 * time.Second
	herdKillAt   = 4 * time.Second
	herdKillTime = 2 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// memoryPoll is the time between two checks of the memory of a process.
	memoryPoll = 5 * time.Millisecond
	// keptTime is how long a client keeps an idle connection, four fifths of idle_timeout_ms.
	keptTime = 8 * time.Second
	// maxLost is the number of requests that the rule allows to be lost.
	maxLost = 3
)

// residentMB returns the resident memory of a process in units of 2^20 bytes, or 0 if it has ended.
func (p *process) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		if kilobytes, err := strconv.Atoi(fields[1]); err == nil {
			return kilobytes >> 10
		}
	}
	return 0
}

// machine is one machine of the platform, on which a host runs.
type machine struct {
	d    *deployment
	name string
	// killed says that the case has killed the process, so that it is down.
	killed atomic.Bool
	host   atomic.Pointer[process]
	// peak is the largest memory of its processes, ends counts those that the platform ended.
	peak, ends atomic.Int64
}

// watch ends the process of the machine if it has more memory than the machine, and starts it again,
// as the platform does.
func (m *machine) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(memoryPoll)
		if m.killed.Load() {
			continue
		}
		h := m.host.Load()
		used := h.residentMB()
		m.peak.Store(max(m.peak.Load(), int64(used)))
		if used <= memoryLimitMB {
			continue
		}
		h.kill()
		m.ends.Add(1)
		m.d.record.add("platform ends the process of %s, which has %d MB of %d MB", m.name, used, memoryLimitMB)
		time.Sleep(restartDelay)
		m.restart()
	}
}

// restart starts the process of the machine again.
func (m *machine) restart() {
	h, err := m.d.restartHost(m.host.Load())
	if err != nil {
		m.d.record.add("host %s was not started again: %v", m.name, err)
		return
	}
	m.host.Store(h)
}

// upload is what a client got of one request.
type upload struct {
	id, host string
	// kept says that its connection had carried a request before, lost that the connection ended
	// without an answer.
	kept, lost bool
	status     int
}

// runUploads plays machines that are killed while clients send large bodies.
func runUploads(args []string) (int, error) {
	d, err := newDeployment(args[0])
	if err != nil {
		return exitFailed, err
	}
	defer d.close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	err = d.configure(1, []service{{Name: "field-ledger"}}, []route{
		{Name: "closure-filing", Kind: platformtest.KindOnce, Service: "field-ledger", Timeout: uploadDeadline, Attempts: 1},
		{Name: "loop-status", Kind: platformtest.KindRepeat, Service: "field-ledger", Timeout: uploadDeadline, Attempts: 2},
	})
	if err != nil {
		return exitFailed, err
	}
	born := time.Now().UnixMilli()
	for i := range 3 {
		w, err := d.startWorker(fmt.Sprintf("ledger-%d", i+1), "-work", uploadWork.String())
		if err != nil {
			return exitFailed, err
		}
		if err := d.register(w, "field-ledger", "dakar-a", "", "ready", born); err != nil {
			return exitFailed, err
		}
	}
	var machines []*machine
	for i := range 3 {
		h, err := d.startHost(fmt.Sprintf("edge-%d", i+1), "dakar-a")
		if err != nil {
			return exitFailed, err
		}
		m := &machine{d: d, name: h.name}
		m.host.Store(h)
		machines = append(machines, m)
	}
	if err := d.awaitReady(ctx); err != nil {
		return exitFailed, err
	}
	time.Sleep(4 * time.Second) // The hosts are in touch.
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, m := range machines {
		watchers.Go(func() { m.watch(watching) })
	}
	var mu sync.Mutex
	var all []upload
	end := time.Now().Add(uploadTime)
	var clients sync.WaitGroup
	for i := range uploadClients {
		clients.Go(func() {
			mine := d.uploads(ctx, machines, i, end)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, mine...)
		})
	}
	time.Sleep(herdKillAt)
	if troubled() {
		for _, m := range machines[1:] {
			m.killed.Store(true)
			m.host.Load().signal(syscall.SIGKILL)
			d.record.add("machine %s is killed", m.name)
		}
		time.Sleep(herdKillTime)
		for _, m := range machines[1:] {
			m.restart()
			m.killed.Store(false)
		}
	}
	clients.Wait()
	stopWatching()
	watchers.Wait()
	return d.judgeUploads(machines, all)
}

// judgeUploads counts the requests that were lost at the machine that was never disturbed.
func (d *deployment) judgeUploads(machines []*machine, all []upload) (int, error) {
	lost, answered := 0, 0
	for _, u := range all {
		if u.status == http.StatusOK {
			answered++
		}
		if u.lost && u.kept && u.host == machines[0].name && d.ran(u.id) {
			lost++
			d.record.add("LOST: request %s reached a worker from %s, whose kept connection to the client ended without an answer", u.id, u.host)
		}
	}
	for _, m := range machines {
		d.record.add("%s had %d MB at most, and the platform ended its process %d times", m.name, m.peak.Load(), m.ends.Load())
	}
	text := fmt.Sprintf("%d of %d requests answered, %d lost at the machine that was not disturbed (%d MB at most, ended %d times)",
		answered, len(all), lost, machines[0].peak.Load(), machines[0].ends.Load())
	d.record.add("%s", text)
	fmt.Println(text)
	if lost > maxLost {
		return exitBroken, nil
	}
	if !troubled() && answered < len(all) {
		return exitFailed, errors.New("requests were not answered without a disruption")
	}
	return exitHeld, nil
}

// uploads sends the requests of one client, one after the other.
func (d *deployment) uploads(ctx context.Context, machines []*machine, n int, end time.Time) []upload {
	var all []upload
	body := bytes.Repeat([]byte("x"), uploadBytes)
	client := &http.Client{Transport: httplimit.Transport(&http.Transport{DisableCompression: true, IdleConnTimeout: keptTime})}
	at := n % len(machines)
	for k := 0; time.Now().Before(end); k++ {
		// A crew looks up the status, and files a closure on the same connection.
		h := machines[at].host.Load()
		u := upload{id: fmt.Sprintf("%08x%08x", n+1, 2*k+1), host: h.name}
		err := d.upload(ctx, client, h, nil, &u)
		all = append(all, u)
		if err == nil && u.status == http.StatusOK {
			u = upload{id: fmt.Sprintf("%08x%08x", n+1, 2*k+2), host: h.name}
			err = d.upload(ctx, client, h, body, &u)
			all = append(all, u)
		}
		if err != nil || u.status != http.StatusOK {
			d.record.add("client %d got of %s at %s: status %d, kept connection %v, lost %v (%v)", n+1, u.id, u.host, u.status, u.kept, u.lost, err)
		}
		if err != nil {
			at = (at + 1) % len(machines)
		}
		time.Sleep(uploadPause)
	}
	return all
}

// upload sends a closure with a body, or a status request without one.
func (d *deployment) upload(ctx context.Context, client *http.Client, h *process, body []byte, u *upload) error {
	ctx, cancel := context.WithTimeout(ctx, uploadDeadline)
	defer cancel()
	wrote := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { u.kept = info.Reused },
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote = info.Err == nil },
	})
	method, path := http.MethodPost, "/closure-filing/1"
	if body == nil {
		method, path = http.MethodGet, "/loop-status/1"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil // Each closure is sent once.
	req.Host = publicName
	req.Header.Set(wire.HeaderRequestID, u.id)
	wire.SetDeadline(req.Header, uploadDeadline)
	resp, err := client.Do(req)
	if err != nil {
		var dialed *net.OpError
		u.lost = wrote && ctx.Err() == nil && !(errors.As(err, &dialed) && dialed.Op == "dial")
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		u.lost = true
		return err
	}
	u.status = resp.StatusCode
	return nil
}
