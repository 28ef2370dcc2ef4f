package platformentry

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"greengagespoke/dispatch"
	"greengagespoke/internal/pause"
)

const (
	// serverStopTimeout limits how long the listeners may take to close idle connections
	// after the drain.
	serverStopTimeout = 100 * time.Millisecond
	// drainAcceptDuration is how long a leaving host accepts new requests: three times
	// the TTL of an address list, as some callers keep it that long, plus some time for
	// the leaving state to spread.
	drainAcceptDuration = 3*addressListTTL + 300*time.Millisecond
	// streamAcceptDuration is how long a leaving host begins streams. It is a little shorter than
	// three times the TTL of an address list, as a stream that begins last takes seconds.
	streamAcceptDuration = 3*addressListTTL - 100*time.Millisecond
	// drainStopMargin is the part of the drain limit that is left unused, so that the
	// host stops before the platform kills the process.
	drainStopMargin = 300 * time.Millisecond
	// finalAnswerTime is the part of the drain limit in which the requests that are still in flight
	// get their final answers.
	finalAnswerTime = 150 * time.Millisecond
	// inFlightPollInterval is the time between checks for requests in flight.
	inFlightPollInterval = 20 * time.Millisecond
)

// drain starts a graceful shutdown. The host is no longer listed to callers and
// accepts new requests for drainAcceptDuration. It then rejects new requests and waits
// for the requests in flight, up to the drain limit.
func (d *Daemon) drain(ctx context.Context) {
	start := time.Now()
	d.stopStarted.Store(&start)
	d.leaving.Store(true)
	klog.InfoS("host leaving", "host", d.settings.Host, "in flight", d.inFlight.Load())
	d.stopRegistration()
	d.members.Leave()
	announceCtx, cancel := context.WithTimeout(ctx, drainAcceptDuration)
	defer cancel()
	go d.hosts.Register(announceCtx, true)
	pause.For(ctx, drainAcceptDuration)
	d.rejecting.Store(true)
	klog.InfoS("host takes no new work", "host", d.settings.Host, "in flight", d.inFlight.Load())
	deadline := d.drainDeadline(start)
	d.awaitRequests(ctx, deadline)
	if left := d.inFlight.Load(); left > 0 {
		klog.InfoS("requests ended by the stop", "host", d.settings.Host, "in flight", left)
		d.gate.EndRequests()
		d.awaitRequests(ctx, deadline.Add(finalAnswerTime))
	}
	klog.InfoS("host drained", "host", d.settings.Host, "in flight", d.inFlight.Load(), "took", time.Since(start))
}

// awaitRequests waits until no request is in flight, or until a time.
func (d *Daemon) awaitRequests(ctx context.Context, until time.Time) {
	for d.inFlight.Load() > 0 && time.Now().Before(until) {
		pause.For(ctx, inFlightPollInterval)
	}
}

// drainDeadline returns when requests that are still in flight are ended in a stop that began at
// start.
func (d *Daemon) drainDeadline(start time.Time) time.Time {
	return start.Add(time.Duration(d.drainLimit.Load()) - drainStopMargin - finalAnswerTime)
}

// stopping returns the state of a planned stop, or false while there is none.
func (d *Daemon) stopping() (dispatch.Stop, bool) {
	start := d.stopStarted.Load()
	if start == nil {
		return dispatch.Stop{}, false
	}
	return dispatch.Stop{
		Left: time.Until(d.drainDeadline(*start)), NoStreams: time.Since(*start) > streamAcceptDuration,
	}, true
}

// stopListeners closes the listeners. It also closes the connections that are still
// open after the drain, which is not an error.
func (d *Daemon) stopListeners() error {
	err := d.app.Stop()
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}
