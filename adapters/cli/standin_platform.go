package cli

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/platformhttp"
	"greengagespoke/adapters/settings"
	"greengagespoke/ports"
	"greengagespoke/standin/platform"
)

// standinPlatformFlags are the flags of the platform's stand-in.
type standinPlatformFlags struct {
	listen       string
	writesPerSec int
	readsPerSec  int
	latency      time.Duration
	hostListLag  time.Duration
	hostSettings []string
}

func standinPlatformCommand() *command {
	flags := &standinPlatformFlags{listen: "127.0.0.1:7300"}
	return &command{
		name:    "platform",
		summary: "serve table service, object store and host list",
		help: `The host list holds the hosts of the given settings files with their advertised
addresses. It is served at /hosts.`,
		define: flags.define,
		run:    flags.run,
	}
}

func (f *standinPlatformFlags) define(sc *flaggy.Subcommand) {
	sc.String(&f.listen, "", "listen", "IP:PORT to listen on; port 0 takes a free one")
	sc.StringSlice(&f.hostSettings, "", "host-settings", "settings file of a host to list; repeatable")
	sc.Int(&f.writesPerSec, "", "writes-per-second", "limit of writes a second; 0 for none")
	sc.Int(&f.readsPerSec, "", "reads-per-second", "limit of reads a second; 0 for none")
	sc.Duration(&f.latency, "", "latency", "time from a call to its answer, such as 5ms")
	sc.Duration(&f.hostListLag, "", "host-list-lag", "age of the answers of the host list, such as 3s")
}

func (f *standinPlatformFlags) run(ctx context.Context, streams Streams) error {
	p := platform.New(platform.Config{
		WritesPerSecond: f.writesPerSec,
		ReadsPerSecond:  f.readsPerSec,
		Latency:         f.latency,
		HostLag:         f.hostListLag,
	})
	for _, path := range f.hostSettings {
		s, err := settings.Load(path)
		if err != nil {
			return err
		}
		p.SetHost(listedHost(s))
	}
	return listenAndServe(ctx, streams, "platform", f.listen, platformhttp.Handler(p))
}

func listedHost(s *settings.Settings) ports.ListedHost {
	return ports.ListedHost{
		Name:          string(s.Host.ID),
		Zone:          s.Host.AvailabilityZone,
		PeerAddress:   s.Listen.Peers.Advertise,
		CallerAddress: s.Listen.Callers.Advertise,
	}
}
