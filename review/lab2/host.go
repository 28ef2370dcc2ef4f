package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"greengagespoke/platform/wire"
)

// host is one process of the deploy file's role.
type host struct {
	name, zone, ip                   string
	front, ready, control, directory string
	settings, log                    string
	store                            *proxy
	mu                               sync.Mutex
	command                          *exec.Cmd
	exited                           chan struct{}
	exitedAt                         time.Time
}

// Bounds of sites/gst-sine.toml.
const (
	contact     = 3000 * time.Millisecond
	drain       = 2000 * time.Millisecond
	configApply = 2000 * time.Millisecond
	grace       = 8 * time.Second
)

func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4,
		"drain_ms": drain.Milliseconds(), "grace_s": grace.Seconds(), "loss_slack_ms": 200, "config_apply_ms": configApply.Milliseconds(),
		"rollback_slack_ms": 250, "stretch_max_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 58,
		"recover_s": 12, "transit_ms": 120, "retry_after_s": 7, "require_fence": true, "lease_ms": 3000, "thaw_slack_ms": 300, "ttl_max_s": 5,
	}
}

// freePorts returns addresses with different ports that are free at an IP number.
func freePorts(ip string, n int) []string {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// newHosts writes the settings of the hosts. Each has a loopback IP number and a way to the store of its
// own.
func newHosts(c *lab, n int, zones []string) []*host {
	inRegion := make(map[string]string)
	for _, z := range zones {
		inRegion[z] = "dakar"
	}
	pid := os.Getpid()
	var hosts []*host
	var seeds []string
	for i := range n {
		h := &host{
			name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)],
			ip: fmt.Sprintf("127.%d.%d.%d", 20+pid%200, pid/200%250, i+1), store: newProxy(c.storeAddress),
		}
		ports := freePorts(h.ip, 4)
		h.front, h.ready, h.control, h.directory = ports[0], ports[1], ports[2], ports[3]
		h.settings, h.log = filepath.Join(c.temp, h.name+".json"), filepath.Join(c.temp, h.name+".log")
		hosts = append(hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.control)
		}
	}
	for _, h := range hosts {
		text, err := json.MarshalIndent(map[string]any{
			"node": h.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "directory", "control"},
			"ip": h.ip, "zone": h.zone, "region": "dakar", "zones": inRegion,
			"listen":     map[string]string{"front": h.front, "ready": h.ready, "control": h.control, "directory": h.directory},
			"port_range": []int{7380, 7395}, "seeds": seeds, "bootstrap": true, "fault_counted": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
			"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0}, "bounds": bounds(),
			"platform": map[string]any{
				"address": h.store.address(), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_per_s": 200,
				"row_bytes": 65536, "across": false, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_per_s": 80.0,
			},
		}, "", "  ")
		check(err)
		check(os.WriteFile(h.settings, text, 0o600))
	}
	return hosts
}

// start starts the process with the command of the deploy file.
func (h *host) start(c *lab) {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	words := strings.Fields(c.run)
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GREENGAGESPOKE_CONFIG=" + h.settings}
	command.Stdout, command.Stderr = log, log
	check(command.Start())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command, h.exited, h.exitedAt = command, make(chan struct{}), time.Time{}
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		h.mu.Lock()
		h.exitedAt = time.Now()
		h.mu.Unlock()
		c.record.note("exit     %s: %s", h.name, command.ProcessState)
		close(exited)
	}(h.exited)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.exitedAt.IsZero() {
		_ = h.command.Process.Signal(s) // It may have just ended.
	}
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + h.ready + wire.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end kills the process if it still runs.
func (h *host) end() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
