package demo

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"greengagespoke/adapters/enginehttp"
	"greengagespoke/adapters/platformhttp"
	"greengagespoke/adapters/servicehttp"
	"greengagespoke/adapters/settings"
	"greengagespoke/domain"
	"greengagespoke/entry"
	"greengagespoke/ports"
	"greengagespoke/standin/engine"
	"greengagespoke/standin/platform"
	"greengagespoke/standin/service"
	"greengagespoke/tables"
)

const (
	loopback = "127.0.0.1:0"
	// startWait bounds the start of the hosts.
	startWait = 15 * time.Second
	// pollPause is the pause between two looks at a condition.
	pollPause = 20 * time.Millisecond
)

// deployment is a whole deployment in this process.
type deployment struct {
	platform *platform.Platform
	fabric   *engine.Fabric
	ledger   *service.Ledger
	engines  []*engine.Engine
	hosts    []*runningHost
	servers  []*http.Server
	platURL  string
	all      errgroup.Group
}

// runningHost is one entry host with the means to stop it.
type runningHost struct {
	id      domain.HostID
	zone    domain.Zone
	address string
	daemon  *entry.Daemon
	stop    context.CancelFunc
	done    chan struct{}
}

// serve starts an HTTP server on a free loopback port.
func (d *deployment) serve(handler http.Handler) (string, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen on loopback")
	}
	srv := &http.Server{Handler: handler}
	d.servers = append(d.servers, srv)
	d.all.Go(func() error {
		if err := srv.Serve(lis); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return lis.Addr().String(), nil
}

// newDeployment starts stand-ins and hosts and waits until all hosts have the
// tables. Each decode engine has the given number of slots.
func newDeployment(ctx context.Context, hosts, slots int) (*deployment, error) {
	d := &deployment{
		platform: platform.New(platform.Config{}),
		fabric:   engine.NewFabric(engine.LinkConfig{ZoneDelay: time.Millisecond}),
		ledger:   service.NewLedger(),
	}
	address, err := d.serve(platformhttp.Handler(d.platform))
	if err != nil {
		return d, err
	}
	d.platURL = "http://" + address
	pools, err := d.startUpstreams(slots)
	if err != nil {
		return d, err
	}
	if err := d.writeTables(ctx, pools); err != nil {
		return d, err
	}
	key := rand.Text()
	for i := range hosts {
		if err := d.startHost(i, key); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(ctx)
}

// startUpstreams starts the stand-ins of engines and services and returns the
// pools with their addresses.
func (d *deployment) startUpstreams(slots int) ([]domain.Pool, error) {
	pools := demoPools(slots)
	for p := range pools {
		for u := range pools[p].Upstreams {
			up := &pools[p].Upstreams[u]
			address, err := d.serve(d.upstreamHandler(pools[p], *up))
			if err != nil {
				return nil, err
			}
			up.Address = address
			d.platform.SetHost(ports.ListedHost{Name: string(up.ID), Zone: up.Zone})
		}
	}
	return pools, nil
}

func (d *deployment) upstreamHandler(pool domain.Pool, up domain.Upstream) http.Handler {
	if pool.Kind == domain.PoolService {
		return servicehttp.Handler(service.New(service.Config{Upstream: up, Ledger: d.ledger, Latency: 3 * time.Millisecond}))
	}
	e := engine.New(engine.Config{Upstream: up, Model: pool.Model, Fabric: d.fabric})
	d.engines = append(d.engines, e)
	return enginehttp.Handler(e)
}

// writeTables enters the demo's rows as an operator would.
func (d *deployment) writeTables(ctx context.Context, pools []domain.Pool) error {
	editor := tables.NewEditor(tables.EditorConfig{Store: d.platform.Tables(), Clock: ports.SystemClock{}})
	for _, pool := range pools {
		if err := addRow(ctx, editor, domain.TablePools, string(pool.Name), pool); err != nil {
			return err
		}
	}
	for _, route := range demoRoutes() {
		if err := addRow(ctx, editor, domain.TableRoutes, string(route.Name), route); err != nil {
			return err
		}
	}
	return nil
}

func addRow(ctx context.Context, editor *tables.Editor, table domain.TableName, row string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode row")
	}
	_, err = editor.Apply(ctx, domain.Edit{ID: rand.Text(), Table: table, Row: row, Value: data, Editor: "demo"})
	return eris.Wrapf(err, "add %s/%s", table, row)
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen on loopback")
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String(), nil
}

func (d *deployment) startHost(i int, key string) error {
	callers, err := freeAddress()
	if err != nil {
		return err
	}
	peers, err := freeAddress()
	if err != nil {
		return err
	}
	s := settings.Default()
	s.Host = settings.Host{ID: domain.HostID(fmt.Sprintf("host-%d", i+1)), AvailabilityZone: zone(i)}
	s.Listen.Callers = settings.Listener{Address: callers, Advertise: callers}
	s.Listen.Peers = settings.Listener{Address: peers, Advertise: peers}
	s.Peers.SharedKey = settings.Secret(key)
	s.Auth.Mode = settings.AuthNone
	s.Platform.Tables = d.platURL
	s.Platform.Objects = d.platURL
	s.Platform.HostList = d.platURL + platformhttp.PathHosts
	s.Timings.EntrypointsMaxAge = domain.Duration(entryPointsMaxAge)
	s.Timings.DrainMargin = domain.Duration(drainMargin)
	daemon, err := entry.New(s)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &runningHost{id: s.Host.ID, zone: s.Host.AvailabilityZone, address: callers, daemon: daemon, stop: stop, done: make(chan struct{})}
	d.hosts = append(d.hosts, h)
	d.platform.SetHost(ports.ListedHost{Name: string(h.id), Zone: h.zone, PeerAddress: peers, CallerAddress: callers})
	d.all.Go(func() error {
		defer close(h.done)
		return daemon.Run(ctx)
	})
	return nil
}

// awaitReady waits until every host has the tables and sees all others.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, startWait)
	defer stop()
	for _, h := range d.hosts {
		for !h.ready(len(d.hosts)) {
			select {
			case <-ctx.Done():
				return eris.Errorf("host %s did not become ready", h.id)
			case <-time.After(pollPause):
			}
		}
	}
	return nil
}

func (h *runningHost) ready(hosts int) bool {
	host := h.daemon.Host()
	return host.Tables.Ready() && len(host.Membership.Members()) == hosts
}

// close stops all hosts and servers.
func (d *deployment) close() error {
	for _, h := range d.hosts {
		h.stop()
	}
	for _, h := range d.hosts {
		<-h.done
	}
	for _, e := range d.engines {
		e.Close()
	}
	for _, srv := range d.servers {
		_ = srv.Close()
	}
	return d.all.Wait()
}

// held returns the number of attempts that hold memory on any engine.
func (d *deployment) held() int {
	n := 0
	for _, e := range d.engines {
		n += len(e.Held())
	}
	return n
}
