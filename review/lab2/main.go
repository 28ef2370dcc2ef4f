// Lab2 plays the cases of the second review that are scripts. It starts hosts with the command of the deploy
// file, and stands in for the platform's store, the workers and the clients.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// lab is what one case uses.
type lab struct {
	folder, temp, run string
	// trouble says that the case plays its disruption.
	trouble      bool
	record       *record
	store        *store
	storeAddress string
	hosts        []*host
	clients      clients
	runs         runs
	spans        spans

	mu      sync.Mutex
	workers []*worker
	// routes and services are further ones of the configuration.
	routes, services []any
	// prepare is called with each worker before it takes requests, unless it is nil.
	prepare func(*worker)
	// acked holds when the store accepted that a worker leaves.
	acked map[string]time.Time
}

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(*lab) bool{
	"silent-drain":  silentDrain,
	"silent-config": silentConfig,
	"late-crash":    lateCrash,
	"silent-worker": silentWorker,
	"two-engines":   twoEngines,
}

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return couldNot
	}
	c := &lab{folder: os.Args[2], run: "target/greengagespoke serve --metrics-port 9464", trouble: os.Getenv("TROUBLE") != "0", acked: make(map[string]time.Time)}
	if run := os.Getenv("LAB_RUN"); run != "" {
		c.run = run
	}
	defer func() {
		if problem := recover(); problem != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", problem)
			code = couldNot
		}
	}()
	var err error
	c.temp, err = os.MkdirTemp("", "lab2-")
	check(err)
	if os.Getenv("LAB_KEEP") == "" {
		defer func() { _ = os.RemoveAll(c.temp) }()
	} else {
		fmt.Println("logs in", c.temp)
	}
	c.record = newRecord(c.folder)
	c.store = newStore()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	c.storeAddress = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: c.store, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	endHosts := func() {
		for _, h := range c.hosts {
			h.end()
		}
	}
	defer endHosts()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		endHosts()
		os.Exit(couldNot)
	}()
	if cases[os.Args[1]](c) {
		c.record.say("the rule was broken")
		return broken
	}
	c.record.say("the rule held")
	return held
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// The zones and the services of the deployment.
var zones = []string{"dakar-a", "dakar-b", "dakar-c"}

const (
	ledger      = "field-ledger"
	otherLedger = "field-ledger-next"
	ledgerWork  = 15 * time.Millisecond
)

// configure writes a version of the configuration, as the operator does.
func (c *lab) configure(version, timeout int, loopService string) {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": callerName, "prefix": prefix, "kind": kind, "timeout_ms": timeout, field("target"): 120, "priority": 2,
			"service": service, field("attempts"): attempts, "sticky": false, "can_resume": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
	}
	c.store.put("op", "config", map[string]any{
		"version":  version,
		"routes":   append([]any{route("closures", "/closures/", "non_idempotent", ledger, 1), route("loops", "/loops/", "idempotent", loopService, 2)}, c.routes...),
		"services": append([]any{service(ledger), service(otherLedger)}, c.services...),
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	c.record.note("store    acknowledges configuration %d: loops go to %s", version, loopService)
}

// register starts a worker and writes its entry.
func (c *lab) register(id, service, zone string) *worker {
	w := newWorker(c, id, service, zone, ledgerWork, c.prepare)
	c.store.put("servers", id, w.entry("ready"))
	c.record.note("store    has worker %s of %s as ready", id, service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append(c.workers, w)
	return w
}

// retire lets a worker drain, and exit after a time.
func (c *lab) retire(w *worker, after time.Duration) {
	c.store.put("servers", w.id, w.entry("draining"))
	c.mu.Lock()
	c.acked[w.id] = time.Now()
	c.mu.Unlock()
	c.record.note("store    acknowledges that worker %s is draining", w.id)
	time.AfterFunc(after, func() {
		c.record.note("worker   %s exits", w.id)
		w.end()
		c.store.remove("servers", w.id)
	})
}

// setUp starts the workers and the hosts, and waits until all hosts are ready.
func (c *lab) setUp(hosts int) []*worker {
	var first []*worker
	for i, zone := range zones {
		first = append(first, c.register(fmt.Sprintf("i-%d", i+1), ledger, zone))
		c.register(fmt.Sprintf("i-%d", i+11), otherLedger, zone)
	}
	c.configure(2, 1000, ledger)
	c.hosts = newHosts(c, hosts, zones)
	for _, h := range c.hosts {
		h.start(c)
	}
	until := time.Now().Add(15 * time.Second)
	for _, h := range c.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				text, _ := os.ReadFile(h.log)
				panic(h.name + " is not ready:\n" + string(text[max(0, len(text)-2000):]))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	c.record.start = time.Now()
	return first
}

// silenceStore makes the open connections of all hosts to the store silent, if the case plays its
// disruption. New ones work.
func (c *lab) silenceStore() {
	if !c.trouble {
		return
	}
	n := 0
	for _, h := range c.hosts {
		h.store.silence()
		n += int(h.store.silenced.Load())
	}
	c.record.note("trouble  %d open connections of the hosts to the store go silent for good; new ones work", n)
}

// step is what is done at a time from the start of the traffic.
type step struct {
	at time.Duration
	do func()
}

// play does the steps at their times.
func (c *lab) play(steps []step) {
	for _, s := range steps {
		time.Sleep(time.Until(c.record.start.Add(s.at)))
		s.do()
	}
}

// served runs traffic while steps are played.
func (c *lab) served(each int, gap time.Duration, steps []step) {
	ctx, stop := context.WithCancel(context.Background())
	running := c.traffic(ctx, each, gap)
	c.play(steps)
	stop()
	running.Wait()
}

// slack is what the checks leave beyond the bounds of the pages.
const slack = 100 * time.Millisecond
