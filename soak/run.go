package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"greengagespoke/platform/platformtest"
)

const (
	// settle is how long a run waits at its end, without faults, before it looks at
	// what was left: for contactTime of it hosts may still act on what the faults left.
	settle = contactTime + rateWindow
	// stopLimit is the longest planned stop.
	stopLimit = 12 * time.Second
	// reservationTTL is how long hosts reserve places at most, releasePoll the time between two looks at
	// what is still reserved.
	reservationTTL = 2 * time.Second
	releasePoll    = 50 * time.Millisecond
)

// crashDraw numbers the random draws of the crashing requests, beyond those of callers.
const crashDraw = 1 << 32

// Options describe a run.
type Options struct {
	// Binary is the program under test, Dir a directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	Length      time.Duration
	Hosts       int
	Callers     int
	// Beside is another build of the program. Every second host begins with it, and each start
	// of a host changes its build. Empty means that all run Binary.
	Beside string
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64
	Requests int
	Faults   int
	// CrashesByRequest and CrashesByPart count the runs that crashed workers, of the request
	// that does, and of requests with the part of a prompt that does.
	CrashesByRequest, CrashesByPart int
	// Statuses counts the answers by status; 0 stands for none.
	Statuses map[int]int
	Findings []string
}

// String returns the report on one line, with a line for each finding.
func (r Report) String() string {
	out := fmt.Sprintf("seed %d: %d requests, %d faults, %d and %d crashes, answers %v, %d findings", r.Seed, r.Requests, r.Faults, r.CrashesByRequest, r.CrashesByPart, r.Statuses, len(r.Findings))
	for _, f := range r.Findings {
		out += "\n  " + f
	}
	return out
}

// run is one run on its way.
type run struct {
	options Options
	store   *platformtest.Store
	workers []*platformtest.Worker
	hosts   []*host
	ledger  *ledger
	draw    *rand.Rand
	faults  int
	// crashingRequest and crashingPart are callers whose requests crash workers.
	crashingRequest, crashingPart *crasher

	limits limits
	cut    cut
	words  words
	keys   keys
	// broken says that runs fail at all workers, so that all but those with a limit may be used up.
	broken atomic.Bool
	// healed is when the last fault ended, in Unix nanoseconds, or 0.
	healed atomic.Int64

	mu sync.Mutex
	// ended holds the crashed processes of workers; closed says that none is started any
	// more.
	ended   []*platformtest.Worker
	closed  bool
	version int
	// versions holds the highest version that a life of a host has shown.
	versions map[string]int
}

// Run plays one run.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{
		options: options, ledger: newLedger(), words: newWords(), versions: make(map[string]int),
		draw: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	r.crashingRequest, r.crashingPart = newCrashers(rand.New(rand.NewPCG(options.Seed, crashDraw)))
	defer r.close()
	if err := r.setUp(ctx); err != nil {
		return Report{}, err
	}
	calling, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range options.Callers {
		draw := rand.New(rand.NewPCG(options.Seed, uint64(n)+1))
		callers.Go(func() { r.caller(calling, n, draw) })
	}
	callers.Go(func() { r.crash(calling, r.crashingRequest, rand.New(rand.NewPCG(options.Seed, crashDraw+1))) })
	callers.Go(func() { r.crash(calling, r.crashingPart, rand.New(rand.NewPCG(options.Seed, crashDraw+2))) })
	r.injectFaults(ctx)
	lastFault := time.Now()
	r.healed.Store(lastFault.UnixNano())
	r.heal()
	r.stateLimits()
	r.speak()
	time.Sleep(settle)
	r.checkMemory()
	r.cutHosts()
	r.cutHostsBesideBrokenWorkers(calling)
	stop()
	callers.Wait()
	r.stopAll()
	r.ledger.check(r.runsOf, r.workersOf)
	r.checkCrashes(lastFault)
	r.checkLimits()
	r.checkWords()
	r.checkKeys()
	r.checkCut()
	byRequest, _ := r.crashingRequest.count(lastFault)
	byPart, _ := r.crashingPart.count(lastFault)
	return Report{
		CrashesByRequest: byRequest, CrashesByPart: byPart, Seed: options.Seed, Requests: len(r.ledger.requests), Faults: r.faults,
		Statuses: r.ledger.statuses, Findings: r.ledger.findings,
	}, nil
}

// calm reports whether all hosts have had the time to act on what the faults left.
func (r *run) calm() bool {
	healed := r.healed.Load()
	return healed != 0 && time.Since(time.Unix(0, healed)) > contactTime
}

// setUp starts the store, the workers and the hosts.
func (r *run) setUp(ctx context.Context) error {
	r.store = platformtest.NewStore()
	r.configure()
	for _, w := range []*platformtest.Worker{
		platformtest.NewWorker("v0-1", "v0", "z-a", ""), platformtest.NewWorker("v0-2", "v0", "z-b", ""),
		platformtest.NewWorker("v1-1", "v1", "z-a", ""), platformtest.NewWorker("v1-2", "v1", "z-b", ""),
		platformtest.NewWorker("v2-1", "v2", "z-a", ""), platformtest.NewWorker("v2-2", "v2", "z-b", ""),
		platformtest.NewWorker("v0-3", "v0", "z-a", ""), platformtest.NewWorker("v0-4", "v0", "z-b", ""),
		platformtest.NewWorker("v1-3", "v1", "z-a", ""), platformtest.NewWorker("v1-4", "v1", "z-b", ""),
		platformtest.NewWorker("v2-3", "v2", "z-a", ""), platformtest.NewWorker("v2-4", "v2", "z-b", ""),
		platformtest.NewWorker("pre-1", "models", "z-a", "prefill"), platformtest.NewWorker("pre-2", "models", "z-b", "prefill"),
		platformtest.NewWorker("pre-3", "models", "z-a", "prefill"), platformtest.NewWorker("pre-4", "models", "z-b", "prefill"),
		platformtest.NewWorker("dec-1", "models", "z-a", "decode"), platformtest.NewWorker("dec-2", "models", "z-b", "decode"),
		platformtest.NewWorker("dec-3", "models", "z-a", "decode"), platformtest.NewWorker("dec-4", "models", "z-b", "decode"),
	} {
		if w.ID == "dec-3" || w.ID == "dec-4" {
			w.Version = otherVersion(w.Version)
		}
		r.addWorker(w)
	}
	for i := range r.options.Hosts {
		workers := platformtest.NewHostLinks(r.store)
		link, err := platformtest.NewLink(workers.StoreAddress())
		if err != nil {
			workers.Close()
			return err
		}
		h, err := newHost(r.options.Binary, r.options.Dir, fmt.Sprintf("host-%d", i+1), []string{"z-a", "z-b"}[i%2], link)
		if err != nil {
			return err
		}
		h.workers = workers
		if h.beside = r.options.Beside; h.beside != "" && i%2 == 0 {
			h.binary, h.beside = h.beside, h.binary
		}
		if err := h.start(); err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	return nil
}

// configure writes the next version. Plain calls go to another service with each
// version, so that answers show which one is in force.
func (r *run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.writeConfig()
}

// writeConfig writes the newest version. The caller holds the lock.
func (r *run) writeConfig() {
	plain := fmt.Sprintf("v%d", r.version%3)
	r.store.Configure(r.version, hostName, []platformtest.Route{
		{Prefix: "/filing/", Kind: platformtest.KindOnce, Service: plain, Attempts: kindFiling.attempts()},
		{Prefix: "/status/", Kind: platformtest.KindRepeat, Service: plain, Attempts: kindStatus.attempts()},
		{Prefix: "/draft/", Kind: platformtest.KindStream, Service: "models", Attempts: kindDraft.attempts(), Engine: true},
		{Prefix: "/note/", Kind: platformtest.KindStream, Service: "models", Attempts: kindNote.attempts(), Engine: true, Resume: true},
	}, r.customersOf(r.version)...)
}

// seen returns the highest version that a life of a host has shown.
func (r *run) seen(h *host, life int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[fmt.Sprint(h.name, "/", life)]
}

// checkVersion checks that a host did not go back below a version that it had shown
// before the request was sent. An answer names its service, which the three latest
// versions do not share.
func (r *run) checkVersion(h *host, life, before int, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	shown := 0
	for v := r.version; v > max(0, r.version-3); v-- {
		if strings.Contains(body, fmt.Sprintf("answer of v%d-", v%3)) {
			shown = v
		}
	}
	if before > r.version-2 && shown < before {
		r.ledger.find("%s served version %d after version %d", h.name, shown, before)
	}
	key := fmt.Sprint(h.name, "/", life)
	r.versions[key] = max(r.versions[key], shown)
}

// workersOf returns the number of processes on which a request ran.
func (r *run) workersOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range append(r.ended, r.workers...) {
		if w.Runs(id) > 0 {
			n++
		}
	}
	return n
}

func (r *run) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, w := range append(r.ended, r.workers...) {
		n += w.Runs(id)
	}
	return n
}

// stopAll makes a planned stop of all hosts.
func (r *run) stopAll() {
	for _, h := range r.hosts {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range r.hosts {
		if err := h.wait(stopLimit); err != nil {
			r.ledger.find("%v", err)
		}
	}
	ended := time.Now()
	for _, w := range r.currentWorkers() {
		// A reservation whose release was lost lapses; a prompt that was read does not.
		for w.Stage == "decode" && w.Held() > 0 && time.Since(ended) < reservationTTL {
			time.Sleep(releasePoll)
		}
		if w.Stage == "decode" && w.Held() > 0 {
			r.ledger.find("%d places of %s were never given back", w.Held(), w.ID)
		}
	}
}

func (r *run) close() {
	for _, h := range r.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.link.Close()
		h.workers.Close()
	}
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for _, w := range r.currentWorkers() {
		w.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
}

// heal ends all faults.
func (r *run) heal() {
	r.store.SetMode(platformtest.StoreUp)
	for _, h := range r.hosts {
		h.link.Set(platformtest.LinkOpen)
		h.workers.Set(platformtest.LinkOpen)
		h.signal(syscall.SIGCONT)
	}
	for _, w := range r.currentWorkers() {
		w.SetFault(nil)
		w.Register(r.store, "ready")
	}
}
