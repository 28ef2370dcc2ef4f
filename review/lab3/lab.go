package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// contactTime and drainTime are contact_ms and drain_ms of the settings.
	contactTime = 3000 * time.Millisecond
	drainTime   = 2000 * time.Millisecond

	startLimit = 10 * time.Second
	hostName   = "survey.example"
)

// lab holds the processes and stand-ins of one case.
type lab struct {
	dir, program string
	// header is a header of streaming requests, as "NAME: VALUE".
	header string
	began  time.Time
	store  *platformtest.Store
	// subnet is the second and third number of the hosts' loopback addresses.
	subnet string
	hosts  []*host
	// hostCount is the number of hosts that were ever added.
	hostCount int
	nextID    atomic.Int64

	mu     sync.Mutex
	record *os.File
}

func newLab(recordPath, program string) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	return &lab{
		dir: dir, program: program, began: time.Now(), store: platformtest.NewStore(), record: record,
		subnet: fmt.Sprintf("%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}, nil
}

// note writes a line to the record, with the time since the start.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) close() {
	for _, h := range l.hosts {
		h.kill()
	}
	l.store.Close()
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// host is one entry host, a process of its own.
type host struct {
	l    *lab
	name string
	zone string
	ip   string
	// front, ready, directory and control are its addresses, link is its way to the store.
	front, ready, directory, control string
	link                             *storeLink

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// addHost prepares a host with a link of its own to the store.
func (l *lab) addHost(zone string) (*host, error) {
	l.hostCount++
	n := l.hostCount
	h := &host{l: l, name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.%s.%d", l.subnet, n)}
	if err := freeAddresses(h.ip, &h.front, &h.ready, &h.directory, &h.control); err != nil {
		return nil, err
	}
	link, err := newStoreLink(l.store.Address())
	if err != nil {
		return nil, err
	}
	h.link = link
	text, err := json.MarshalIndent(h.settings(zone), "", "  ")
	if err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	return h, os.WriteFile(h.settingsPath(), text, 0o600)
}

func (h *host) settingsPath() string { return filepath.Join(h.l.dir, h.name+".json") }

// settings are those of a small deployment, as the users' page on deployment shows them.
func (h *host) settings(zone string) map[string]any {
	return map[string]any{
		"node": h.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control", "directory"},
		"ip": h.ip, "zone": zone, "region": "dakar",
		"zones":      map[string]string{"dakar-a": "dakar", "dakar-b": "dakar", "dakar-c": "dakar"},
		"listen":     map[string]string{"front": h.front, "ready": h.ready, "control": h.control, "directory": h.directory},
		"port_range": []int{7380, 7395}, "seeds": []string{}, "bootstrap": true,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "stretch_max_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 58, "recover_s": 12, "require_fence": true, "lease_ms": 3000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": h.link.address(), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
			"part_writes_per_s": 200, "row_bytes": 65536, "across": false, "history_s": 20,
		},
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	output, err := os.OpenFile(filepath.Join(h.l.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.l.program, "serve", "--metrics-port", "9464")
	cmd.Env = append(os.Environ(), "GREENGAGESPOKE_CONFIG="+h.settingsPath())
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	h.l.note("host %s started", h.name)
	go func() {
		err := cmd.Wait()
		_ = output.Close()
		h.l.note("host %s ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() error {
	client := newClient()
	defer client.CloseIdleConnections()
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + wire.PathReady)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %v", h.name, startLimit)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // Fails only if the process has ended.
	}
}

func (h *host) kill() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		h.signal(syscall.SIGKILL)
		<-ended
	}
	h.link.close()
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: httplimit.Transport(&http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true})}
}

// freeAddresses sets addresses with different free ports. All listeners stay open until the last one is
// chosen, as a port could come twice otherwise.
func freeAddresses(ip string, addresses ...*string) error {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}
	return nil
}

// hostZones are the availability zones of the hosts, in turn.
var hostZones = []string{"dakar-a", "dakar-b", "dakar-c"}

// startHosts starts hosts and waits until they are ready.
func (l *lab) startHosts(n int) error {
	for i := range n {
		h, err := l.addHost(hostZones[i%len(hostZones)])
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// answer is what a client saw of one request.
type answer struct {
	id     string
	status int
	sealed bool
	body   string
	err    error
	sentAt time.Time
}

// prepare returns the identifier of a request that is sent next.
func (l *lab) prepare() answer {
	return answer{id: fmt.Sprintf("%016x", l.nextID.Add(1)), sentAt: time.Now()}
}

// send sends a request on kept connections of a client and records it with its answer.
func (l *lab) send(client *http.Client, h *host, a answer, method, path string, deadline time.Duration, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set(wire.HeaderRequestID, a.id)
	req.Header.Set(wire.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	l.note("request %s sent to %s, %s %s", a.id, h.name, method, path)
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		l.note("request %s got no answer: %v", a.id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a.status, a.sealed, a.body, a.err = resp.StatusCode, resp.Header.Get(wire.HeaderSeal) != "", string(text), err
	l.note("request %s answered %d, sealed %t, whole %t", a.id, a.status, a.sealed, err == nil)
	return a
}

// load sends requests at a fixed rate until stop is closed.
func (l *lab) load(perSecond int, stop <-chan struct{}, send func(client *http.Client)) {
	l.loadEvery(time.Second/time.Duration(perSecond), stop, send)
}

func (l *lab) loadEvery(gap time.Duration, stop <-chan struct{}, send func(client *http.Client)) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			sending.Go(func() { send(client) })
		}
	}
}

var errSetup = errors.New("the deployment did not serve before the disruption")
