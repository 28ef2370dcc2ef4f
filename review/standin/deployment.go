package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"greengagespoke/internal/httplimit"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
)

const (
	// hostCommand is the command of the role in the deploy file.
	hostCommand = "target/greengagespoke serve --metrics-port 9464"
	// publicName is the name under which clients reach the system.
	publicName = "review.example"
	// startTimeout bounds the time until a process is ready.
	startTimeout = 15 * time.Second
	// memoryLimitMB is the memory of a machine of the site.
	memoryLimitMB = 134
	// drainTime is drain_ms of the site.
	drainTime = 2 * time.Second
)

// deployment is a small system with its platform.
type deployment struct {
	store  *platformtest.Store
	dir    string
	root   string
	subnet int
	lastIP int
	record *record

	mu      sync.Mutex
	hosts   []*process
	workers []*process
	// runs holds the requests that workers said they run.
	runs map[string]int
}

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// troubled reports whether the case is played with its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// newDeployment starts the platform. caseDir is the folder of the case.
func newDeployment(caseDir string) (*deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	d := &deployment{
		store: platformtest.NewStore(), dir: dir, root: root, subnet: 1<<8 + rand.IntN(250<<8),
		record: &record{file: file, start: time.Now()}, runs: make(map[string]int),
	}
	d.record.add("played with the disruption: %v", troubled())
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitFailed)
	}()
	return d, nil
}

// close ends all processes that the case started.
func (d *deployment) close() {
	d.mu.Lock()
	all := append(append([]*process{}, d.hosts...), d.workers...)
	d.mu.Unlock()
	for _, p := range all {
		p.kill()
	}
	d.store.Close()
	_ = d.record.file.Close()
	_ = os.RemoveAll(d.dir)
}

// nextIP returns a loopback address that no other process of the case has.
func (d *deployment) nextIP() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastIP++
	return fmt.Sprintf("127.%d.%d.%d", d.subnet>>8, d.subnet&255, d.lastIP)
}

// freeAddresses returns addresses with different free ports of an IP number.
func freeAddresses(ip string, n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0")) //nolint:noctx // Loopback.
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // All are open at once, so that no port comes twice.
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// process is a process that the case started.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	// front is the address for clients, ready that of the platform's check.
	front, ready string
	address      string
	ended        bool
	mu           sync.Mutex
}

func (d *deployment) start(name string, env []string, logTo io.Writer, words ...string) (*process, error) {
	command := exec.Command(words[0], words[1:]...) //nolint:noctx // Ended by signals.
	command.Dir = d.root
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, env...)
	command.Stdout, command.Stderr = logTo, logTo
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("cannot start %s: %w", words[0], err)
	}
	p := &process{name: name, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// startHost starts a host with settings like those of the site.
func (d *deployment) startHost(name, zone string) (*process, error) {
	ip := d.nextIP()
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	text, err := message("settings.json", map[string]any{
		"Name": name, "IP": ip, "Zone": zone, "MemoryMB": memoryLimitMB, "Drain": drainTime, "Store": d.store.Address(),
		"Front": addresses[0], "Ready": addresses[1], "Directory": addresses[2], "Control": addresses[3],
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settingsPath(name), text, 0o600); err != nil {
		return nil, err
	}
	return d.runHost(&process{name: name, front: addresses[0], ready: addresses[1]})
}

func (d *deployment) settingsPath(name string) string { return filepath.Join(d.dir, name+".json") }

// restartHost starts a host again whose process has ended.
func (d *deployment) restartHost(before *process) (*process, error) {
	<-before.exited
	return d.runHost(before)
}

// runHost starts the process of a host with its settings file.
func (d *deployment) runHost(like *process) (*process, error) {
	name := like.name
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p, err := d.start(name, []string{"GREENGAGESPOKE_CONFIG=" + d.settingsPath(name)}, log, strings.Fields(hostCommand)...)
	if err != nil {
		return nil, err
	}
	p.front, p.ready = like.front, like.ready
	d.mu.Lock()
	d.hosts = append(d.hosts, p)
	d.mu.Unlock()
	d.record.add("host %s started", name)
	return p, nil
}

// platformClient makes the platform's checks.
var platformClient = &http.Client{Transport: httplimit.Transport(&http.Transport{})}

// awaitReady waits until the platform's check of each host says that it is ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, h := range d.hosts {
		for {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+wire.PathReady, nil)
			if err != nil {
				return err
			}
			resp, err := platformClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(d.record.start) > startTimeout || ctx.Err() != nil {
				if log, err := os.ReadFile(filepath.Join(d.dir, h.name+".log")); err == nil {
					d.record.add("log of %s:\n%s", h.name, log)
				}
				return errors.New("a host is not ready; its log is in the record")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// startWorker starts a worker process. What it writes goes to the record.
func (d *deployment) startWorker(id string, flags ...string) (*process, error) {
	addresses, err := freeAddresses(d.nextIP(), 1)
	if err != nil {
		return nil, err
	}
	address := addresses[0]
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	p, err := d.start(id, nil, writer, append([]string{self, "worker", "-id", id, "-listen", address}, flags...)...)
	if err != nil {
		return nil, err
	}
	p.address = address
	listening := make(chan struct{})
	go func() {
		var once sync.Once
		for lines := bufio.NewScanner(reader); lines.Scan(); {
			once.Do(func() { close(listening) })
			d.noteRun(lines.Text())
			d.record.add("worker %s: %s", id, lines.Text())
		}
	}()
	go func() { <-p.exited; d.record.add("worker %s: its process has ended", id); _ = writer.Close() }()
	d.mu.Lock()
	d.workers = append(d.workers, p)
	d.mu.Unlock()
	select {
	case <-listening:
		return p, nil
	case <-time.After(startTimeout):
		return nil, fmt.Errorf("worker %s does not listen", id)
	}
}

// noteRun notes a run if a line of a worker says so.
func (d *deployment) noteRun(line string) {
	text, found := strings.CutPrefix(line, "runs request ")
	if !found {
		return
	}
	id, _, _ := strings.Cut(text, " ")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

// ran reports whether a worker ran a request.
func (d *deployment) ran(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id] > 0
}

// register writes the entry of a worker, as the worker itself does.
func (d *deployment) register(p *process, service, zone, stage, state string, born int64) error {
	text, err := message("entry.json", map[string]any{
		"Service": service, "Address": p.address, "Zone": zone, "State": state, "Stage": stage, "Born": born,
	})
	if err != nil {
		return err
	}
	d.store.PutRaw(wire.TableUpstreams, p.name, text)
	d.record.add("the store accepted of worker %s: %s", p.name, state)
	return nil
}

// route is a route of the configuration. Its fields are those of the message.
type route struct {
	Name, Kind, Service string
	Timeout             time.Duration
	Attempts            int
	Engine, Resume      bool
}

// service is a service of the configuration.
type service struct {
	Name   string
	Engine bool
}

// configure writes a configuration, as the operator does.
func (d *deployment) configure(version int, services []service, routes []route) error {
	text, err := message("config.json", map[string]any{"Version": version, "Host": publicName, "Routes": routes, "Services": services})
	if err != nil {
		return err
	}
	d.store.PutRaw(wire.TableOperator, wire.KeyConfig, text)
	d.record.add("the store accepted configuration %d", version)
	return nil
}
