package platformentry

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/internal/pause"
)

const (
	// serverStop bounds the closing of idle connections after the drain.
	serverStop = 100 * time.Millisecond
	// acceptFor is how long a leaving host takes new requests: three times the life
	// of an address list, as some callers keep it that long, and a little for the
	// news to spread.
	acceptFor = 3*answerMaxAge + 300*time.Millisecond
	// stopSlack is kept of the time until the platform kills the process.
	stopSlack = 300 * time.Millisecond
	// idleCheck is the time between two looks at the requests in flight.
	idleCheck = 20 * time.Millisecond
)

// leave makes a planned stop: the host is no longer named to callers, takes what
// still comes for a while, then refuses new work and waits for all requests in
// flight.
func (d *Daemon) leave(ctx context.Context) {
	began := time.Now()
	d.leaving.Store(true)
	klog.InfoS("host leaving", "host", d.settings.Host, "in flight", d.inFlight.Load())
	d.stopRegistering()
	d.members.Leave()
	announced, cancel := context.WithTimeout(ctx, acceptFor)
	defer cancel()
	go d.hosts.Register(announced, true)
	pause.For(ctx, acceptFor)
	d.refusing.Store(true)
	klog.InfoS("host takes no new work", "host", d.settings.Host, "in flight", d.inFlight.Load())
	end := began.Add(time.Duration(d.drainLimit.Load()) - stopSlack)
	for d.inFlight.Load() > 0 && time.Now().Before(end) {
		pause.For(ctx, idleCheck)
	}
	klog.InfoS("host drained", "host", d.settings.Host, "in flight", d.inFlight.Load(), "took", time.Since(began))
}

// stopListeners closes the listeners. Connections that are still open after the
// drain are closed with them, which is no fault.
func (d *Daemon) stopListeners() error {
	err := d.app.Stop()
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
