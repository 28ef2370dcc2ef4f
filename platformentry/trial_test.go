package platformentry_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/internal/knownred"
	"greengagespoke/internal/memnet"
	"greengagespoke/platform/platformtest"
)

const (
	// trialEpoch is when trials begin. Processes of stand-ins were born before.
	trialEpoch = 1800000000
	// trialDialTimeout is the time after which a connection that nobody opens is given up, as
	// package tcp does.
	trialDialTimeout = 1100 * time.Millisecond
	// trialRest is the time in which all that a trial has begun ends by itself, as a delayed restart of
	// a worker or the end of a connection that a server delays.
	trialRest = time.Minute
)

// TestMain starts the goroutine that receives signals outside of all bubbles of virtual time.
func TestMain(m *testing.M) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGUSR2)
	os.Exit(m.Run())
}

// playTrial plays a trial with whole hosts in virtual time, so that its result does not depend on
// what else the machine does.
func playTrial(t *testing.T, play func(t *testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(trialRest) })
		defer knownred.Done(t)
		time.Sleep(time.Until(time.Unix(trialEpoch, 0)))
		play(t)
	})
}

// newVirtualDeployment returns a deployment with a store, in which all connections stay in memory. It
// must be used within playTrial.
func newVirtualDeployment(t *testing.T) *deployment {
	t.Helper()
	network := memnet.New(trialDialTimeout)
	transport := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) },
		MaxIdleConnsPerHost: http.DefaultMaxIdleConnsPerHost,
	}
	t.Cleanup(transport.CloseIdleConnections)
	d := &deployment{
		t: t, store: platformtest.NewStoreOn(network), workers: make(map[string]*platformtest.Worker),
		network: network, virtual: network, transport: transport,
	}
	t.Cleanup(d.store.Close)
	d.configure(1, "ledger")
	return d
}

// newWorker starts a worker on the deployment's network.
func (d *deployment) newWorker(id, service, zone, stage string) *platformtest.Worker {
	return platformtest.NewWorkerOn(d.network, id, service, zone, stage)
}
