package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"greengagespoke/domain"
	"greengagespoke/host"
	"greengagespoke/internal/simnet"
	"greengagespoke/ports"
	"greengagespoke/standin/engine"
	"greengagespoke/standin/platform"
	"greengagespoke/standin/service"
	"greengagespoke/tables"
)

// Names of the deployment's rows.
const (
	Model       = "drafting-models"
	modelPool   = domain.PoolName("drafting")
	ledgerPool  = domain.PoolName("ledger")
	draftsRoute = "drafts"
	ClosurePath = "/ledger/closures"
	StatusPath  = "/ledger/status"
)

const (
	zones           = 3
	localDelay      = time.Millisecond
	zoneDelay       = 5 * time.Millisecond
	jitter          = 500 * time.Microsecond
	decodeSlots     = 20
	decodePieces    = 200
	prefillRate     = 20_000
	linkBytesPerSec = 10 << 30
	shortAnswer     = 40
	longAnswer      = 400
	maxOutputTokens = 1000
	// resumeGrace is so long that an engine does not free memory by itself.
	resumeGrace       = time.Hour
	retryPercent      = 20
	serviceLatency    = 50 * time.Millisecond
	frameFaultPercent = 2
	frameLate         = 100 * time.Millisecond
	serviceTimeout    = 5 * time.Second
	engineRestart     = 3 * time.Second
	entryPointsMaxAge = 2 * time.Second
	drainMargin       = time.Second
	hostListLag       = 2 * time.Second
	hostListPoll      = time.Second
	tablePoll         = 2 * time.Second
	writesPerSecond   = 300
	readsPerSecond    = 2000
)

// Config sizes a fleet.
type Config struct {
	Hosts   int
	Prefill int
	Decode  int
	// Services is the number of plain service instances.
	Services int
	Seed     uint64
	// Event, if set, is told what happens.
	Event func(format string, args ...any)
	// LossPercent is how many in 100 messages are lost and sent again.
	LossPercent int
}

// Fleet is a running deployment.
type Fleet struct {
	cfg      Config
	Platform *platform.Platform
	Network  *simnet.Network
	Fabric   *engine.Fabric
	Ledger   *service.Ledger
	Editor   *tables.Editor
	Engines  []*engine.Engine
	services map[domain.UpstreamID]*service.Service
	// upstreams counts the upstreams, to give each an address of its own.
	upstreams int

	mu        sync.Mutex
	Hosts     []*Member
	addresses map[domain.CallerID]*addressList
	wg        sync.WaitGroup
}

// Member is one entry host of the fleet.
type Member struct {
	ID    domain.HostID
	Zone  domain.Zone
	Host  *host.Host
	Clock *skewedClock
	store *storeLink
	// cancel ends the host's loops; connections is canceled when it dies.
	cancel      context.CancelFunc
	connections context.Context
	disconnect  context.CancelFunc
	incarnation int
	stopped     bool
	// busy says that a fault works on the host.
	busy bool
}

// Start builds a fleet and waits until every host has the tables. It ends with
// ctx; call Wait after that.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:      cfg,
		Platform: platform.New(platform.Config{WritesPerSecond: writesPerSecond, ReadsPerSecond: readsPerSecond, Seed: cfg.Seed}),
		Network: simnet.New(simnet.Config{
			LocalDelay: localDelay, ZoneDelay: zoneDelay, Jitter: jitter, LossPercent: cfg.LossPercent, Seed: cfg.Seed,
		}),
		Fabric:    engine.NewFabric(engine.LinkConfig{ZoneDelay: zoneDelay}),
		Ledger:    service.NewLedger(),
		services:  make(map[domain.UpstreamID]*service.Service),
		addresses: make(map[domain.CallerID]*addressList),
	}
	f.Platform.SetHostLag(hostListLag)
	f.Editor = tables.NewEditor(tables.EditorConfig{Store: f.Platform.Tables(), Clock: ports.SystemClock{}})
	if err := f.writeTables(ctx); err != nil {
		return nil, err
	}
	for i := range cfg.Hosts {
		id := domain.HostID(fmt.Sprintf("host-%d", i+1))
		f.list(id, zone(i))
	}
	time.Sleep(hostListLag)
	for i := range cfg.Hosts {
		f.Hosts = append(f.Hosts, &Member{
			ID:    domain.HostID(fmt.Sprintf("host-%d", i+1)),
			Zone:  zone(i),
			Clock: new(skewedClock),
		})
		f.StartHost(ctx, f.Hosts[i])
	}
	return f, f.awaitReady(ctx)
}

func (f *Fleet) event(format string, args ...any) {
	if f.cfg.Event != nil {
		f.cfg.Event(format, args...)
	}
}

func zone(i int) domain.Zone { return domain.Zone(fmt.Sprintf("dakar-%d", i%zones+1)) }

// list enters a host in the platform's host list.
func (f *Fleet) list(id domain.HostID, z domain.Zone) {
	f.Platform.SetHost(ports.ListedHost{
		Name: string(id), Zone: z, PeerAddress: string(id) + ":1", CallerAddress: string(id) + ":2",
	})
}

// writeTables starts the upstreams and enters their rows.
func (f *Fleet) writeTables(ctx context.Context) error {
	model := domain.Pool{Name: modelPool, Kind: domain.PoolModel, Model: Model, Version: 1, ServingMinimum: 1}
	for i := range f.cfg.Prefill {
		model.Upstreams = append(model.Upstreams, f.startEngine(domain.Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("prefill-%d", i+1)), Zone: zone(i), Role: domain.RolePrefill,
			PrefillRate: prefillRate, LinkRate: linkBytesPerSec,
		}))
	}
	for i := range f.cfg.Decode {
		model.Upstreams = append(model.Upstreams, f.startEngine(domain.Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("decode-%d", i+1)), Zone: zone(i), Role: domain.RoleDecode,
			Slots: decodeSlots, Pieces: decodePieces, LinkRate: linkBytesPerSec,
		}))
	}
	ledger := domain.Pool{Name: ledgerPool, Kind: domain.PoolService}
	for i := range f.cfg.Services {
		ledger.Upstreams = append(ledger.Upstreams, f.startService(domain.Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("ledger-%d", i+1)), Zone: zone(i), Role: domain.RoleService,
		}))
	}
	rows := []struct {
		table domain.TableName
		name  string
		value any
	}{
		{domain.TablePools, string(modelPool), model},
		{domain.TablePools, string(ledgerPool), ledger},
		{domain.TableRoutes, draftsRoute, domain.Route{
			Name: draftsRoute, Pool: modelPool, Model: Model, Class: domain.ClassPatient,
			MaxOutputTokens: maxOutputTokens, RetryPercent: retryPercent, MaxWaitingPerCaller: 1000,
			BetweenTokens: domain.Duration(67 * time.Millisecond),
		}},
		{domain.TableRoutes, "ledger", domain.Route{
			Name: "ledger", Pool: ledgerPool, PathPrefix: "/ledger/", Class: domain.ClassInteractive,
			Timeout: domain.Duration(serviceTimeout), RetryPercent: retryPercent,
			NonIdempotent: []string{"POST " + ClosurePath},
		}},
	}
	for i, row := range rows {
		if _, err := f.Edit(ctx, fmt.Sprintf("setup-%d", i), row.table, row.name, row.value, 0); err != nil {
			return err
		}
	}
	return nil
}

// Edit applies one edit as an operator would.
func (f *Fleet) Edit(ctx context.Context, id string, table domain.TableName, row string, value any, base domain.Revision) (domain.Change, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return domain.Change{}, err
	}
	return f.Editor.Apply(ctx, domain.Edit{ID: id, Table: table, Row: row, BaseVersion: base, Value: data, Editor: "operator"})
}

// longMark in a prompt asks for a long answer.
const longMark = "(long)"

// answerLength returns the length of the answer to a prompt in tokens.
func answerLength(prompt string) int {
	if strings.Contains(prompt, longMark) {
		return longAnswer
	}
	return shortAnswer
}

func (f *Fleet) startEngine(up domain.Upstream) domain.Upstream {
	e := engine.New(engine.Config{
		Upstream: up, Model: Model, Fabric: f.Fabric, RestartAfter: engineRestart, Seed: f.cfg.Seed,
		OutputTokens: func(prompt string, _ int) int { return answerLength(prompt) },
		ResumeGrace:  resumeGrace,
		Frames: engine.FrameFaults{
			LatePercent: frameFaultPercent, Late: frameLate, DoubledPercent: frameFaultPercent, SwappedPercent: frameFaultPercent,
		},
	})
	f.Engines = append(f.Engines, e)
	return f.listUpstream(e.Upstream())
}

func (f *Fleet) startService(up domain.Upstream) domain.Upstream {
	f.services[up.ID] = service.New(service.Config{Upstream: up, Ledger: f.Ledger, Latency: serviceLatency, Seed: f.cfg.Seed})
	return f.listUpstream(up)
}

func (f *Fleet) listUpstream(up domain.Upstream) domain.Upstream {
	f.upstreams++
	up.Address = fmt.Sprintf("127.0.0.1:%d", f.upstreams)
	f.Platform.SetHost(listedUpstream(up))
	return up
}

func listedUpstream(up domain.Upstream) ports.ListedHost {
	return ports.ListedHost{Name: string(up.ID), Zone: up.Zone}
}

// Wait waits for all hosts and stops the engines. The fleet's context must have
// ended.
func (f *Fleet) Wait() {
	for _, m := range f.Hosts {
		f.Kill(m)
	}
	f.wg.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
}
