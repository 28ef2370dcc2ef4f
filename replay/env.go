package replay

import (
	"context"
	"fmt"
	"time"

	"greengagespoke/domain"
	"greengagespoke/internal/simnet"
	"greengagespoke/ports"
	"greengagespoke/standin/engine"
)

const (
	// resumeGrace is how long engines keep an attempt that nobody reads. It is
	// longer than the time after which memory must be free, so that an engine
	// does not make up for a forgotten cancel.
	resumeGrace = 60 * time.Second
	// minJitter keeps events of one instant apart.
	minJitter = 50 * time.Microsecond
)

// Host is one entry host of a run.
type Host struct {
	ID   domain.HostID
	Zone domain.Zone
}

// Env is the fleet of one run, without the decisions.
type Env struct {
	Trace   *Trace
	Fabric  *engine.Fabric
	Network *simnet.Network
	Tables  *simnet.Tables
	// HostList is the platform's list of the hosts.
	HostList *simnet.HostList
	Hosts    []Host
	// Start is when the run began.
	Start time.Time
}

// Policy is a way to decide: the real one or one that it is compared with.
type Policy interface {
	Name() string
	// Start starts the policy on all hosts of a fleet.
	Start(env *Env) Fleet
}

// Fleet is a policy that runs on the hosts of an Env.
type Fleet interface {
	// Complete runs a request that reached a host.
	Complete(ctx context.Context, host domain.HostID, c *domain.Completion, deliver func(domain.Frame) error) error
	// KillHost ends everything on a host at once.
	KillHost(host domain.HostID)
	// Stop ends all hosts after the last request.
	Stop()
}

// newEnv builds the engines and hosts of a trace.
func newEnv(t *Trace) *Env {
	env := &Env{
		Trace:  t,
		Fabric: engine.NewFabric(engine.LinkConfig{ZoneRate: t.Links.ZoneRate, ZoneDelay: t.Links.ZoneDelay.D()}),
		Network: simnet.New(simnet.Config{
			LocalDelay:  t.Links.LocalDelay.D(),
			ZoneDelay:   t.Links.ZoneDelay.D(),
			Jitter:      max(t.Links.Jitter.D(), minJitter),
			LossPercent: t.Links.LossPercent,
			Seed:        t.Seed,
		}),
		Tables:   simnet.NewTables(t.Routes, t.Pools),
		HostList: simnet.NewHostList(),
	}
	for _, group := range t.Hosts {
		for range group.Count {
			host := Host{ID: domain.HostID(fmt.Sprintf("host-%d", len(env.Hosts)+1)), Zone: group.Zone}
			env.Hosts = append(env.Hosts, host)
			env.HostList.Add(ports.ListedHost{
				Name: string(host.ID), Zone: host.Zone, PeerAddress: string(host.ID), CallerAddress: string(host.ID),
			})
		}
	}
	for _, pool := range t.Pools {
		for i, up := range pool.Upstreams {
			env.newEngine(pool, up, uint64(i))
		}
	}
	return env
}

func (e *Env) newEngine(pool domain.Pool, up domain.Upstream, n uint64) {
	s := e.Trace.Engines
	engine.New(engine.Config{
		Upstream:         up,
		Model:            pool.Model,
		Fabric:           e.Fabric,
		ResultLifetime:   s.ResultLifetime.D(),
		StepBase:         s.StepBase.D(),
		StepPerRunning:   s.StepPerRunning.D(),
		PrefillOverhead:  s.PrefillOverhead.D(),
		CachePieces:      s.CachePieces,
		LoadLag:          s.LoadLag.D(),
		EventLag:         s.EventLag.D(),
		EventLossPercent: s.EventLossPercent,
		RestartAfter:     s.RestartAfter.D(),
		ResumeGrace:      resumeGrace,
		OutputTokens:     answerLength,
		Frames: engine.FrameFaults{
			LatePercent:    s.LateFramesPercent,
			Late:           s.LateFrames.D(),
			DoubledPercent: s.DoubledFramesPercent,
			SwappedPercent: s.SwappedFramesPercent,
		},
		Seed: e.Trace.Seed + n,
	})
}

// Upstreams returns the engines as a host reaches them.
func (e *Env) Upstreams(h Host) ports.Upstreams {
	return e.Network.Upstreams(h.ID, h.Zone, e.engine)
}

func (e *Env) engine(id domain.UpstreamID) (ports.Engine, bool) {
	return e.Fabric.Engine(id)
}

// holds says whether any engine holds memory for a request.
func (e *Env) holds(key domain.RequestKey) bool {
	for _, en := range e.Fabric.Engines() {
		if en.Holds(key) {
			return true
		}
	}
	return false
}

// host returns the host that a caller uses: one of its own zone where one is
// alive, spread by request. Later tries go to other hosts.
func (e *Env) host(a Arrival, try int) Host {
	var near, all []Host
	for _, h := range e.Hosts {
		if e.Network.Dead(string(h.ID)) {
			continue
		}
		all = append(all, h)
		if h.Zone == a.Zone {
			near = append(near, h)
		}
	}
	if len(near) == 0 || try > 0 {
		near = all
	}
	n := 0
	for _, c := range a.request {
		n = n*10 + int(c-'0')
	}
	return near[(n+try)%len(near)]
}
