// Package origins keeps which software version began each resumable stream, so that a stream
// that its caller takes up at any host goes on only at that version.
//
// The host that has the first event of a stream sends its origin to a few other hosts, most of
// them chosen by the request's identifier and one by its content. A host that does not know
// the origin asks them. An origin never changes, so that any answer is valid. Nothing is
// inferred: a stream whose origin nobody knows is not taken up.
package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/internal/pause"
	"greengagespoke/ports"
	"greengagespoke/rendezvous"
)

const (
	// requestCopies and fingerprintCopies are the numbers of other hosts that keep an origin,
	// chosen by the identifier of the request and by its fingerprint.
	requestCopies     = 2
	fingerprintCopies = 1
	// spareHolders is the number of hosts that are tried in place of those that do not answer.
	spareHolders = 2
	// hostsAsked is the number of hosts that are asked at once, requestAsked of them chosen by
	// the identifier if there is one. They are more than the copies, as hosts may be lost and
	// others have taken their place.
	hostsAsked   = 8
	requestAsked = 4
	// sendTimeout bounds one message with an origin, askTimeout the questions for one.
	sendTimeout = 300 * time.Millisecond
	askTimeout  = 150 * time.Millisecond
	// askAgainDelay is the wait before the hosts are asked a second time, as the origin may
	// still be on its way.
	askAgainDelay = 50 * time.Millisecond
	// maxQueued bounds the origins that wait to be sent, maxSending those that are being sent.
	maxQueued  = 1024
	maxSending = 64
	// cleanupInterval is the time between two removals of expired origins.
	cleanupInterval = 10 * time.Second
)

var (
	defBegun   = counters.Define("origins_begun", "resumable streams that began at a known software version")
	defKept    = counters.Define("origins_kept", "origins of streams that other hosts sent")
	defLost    = counters.Define("origins_lost", "messages with an origin that were not sent, or not received in time")
	defAsked   = counters.Define("origins_asked", "streams that callers took up and whose origin other hosts were asked for")
	defUnknown = counters.Define("origins_unknown", "those whose origin no host knew, or not for certain")
)

// Config holds the dependencies of Origins.
type Config struct {
	Self domain.HostID
	// Members returns the hosts as this one sees them.
	Members func() []domain.Member
	// Peer returns a client for another host.
	Peer     func(host domain.HostID) ports.OriginPeer
	Counters *counters.Set
}

// Origins keeps and finds the origins of streams. It implements ports.OriginPeer. It is safe
// for concurrent use.
type Origins struct {
	cfg   Config
	table *table
	queue chan ports.StreamOrigin
}

// New returns Origins that know no stream.
func New(cfg Config) *Origins {
	return &Origins{cfg: cfg, table: newTable(), queue: make(chan ports.StreamOrigin, maxQueued)}
}

// Begun records that a stream has its first event, and lets Run tell other hosts. It does not
// block.
func (o *Origins) Begun(origin ports.StreamOrigin) {
	o.cfg.Counters.Int(defBegun).Add(1)
	o.table.keep(origin, time.Now())
	select {
	case o.queue <- origin:
	default:
		o.cfg.Counters.Int(defLost).Add(1)
		klog.InfoS("origin of a stream kept on this host only", "request", origin.Request, "reason", "too many are being sent")
	}
}

// Keep implements ports.OriginPeer.
func (o *Origins) Keep(_ context.Context, origin ports.StreamOrigin) error {
	o.cfg.Counters.Int(defKept).Add(1)
	o.table.keep(origin, time.Now())
	return nil
}

// Find implements ports.OriginPeer. It returns what this host knows.
func (o *Origins) Find(_ context.Context, query ports.OriginQuery) (ports.OriginReply, error) {
	return o.table.find(query, time.Now()), nil
}

// Run sends the origins of streams to other hosts and removes expired ones, until the context
// ends. It always returns nil.
func (o *Origins) Run(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	var sending sync.WaitGroup
	defer sending.Wait()
	slots := make(chan struct{}, maxSending)
	for {
		select {
		case <-ctx.Done():
			return nil
		case origin := <-o.queue:
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			sending.Go(func() {
				defer func() { <-slots }()
				o.send(ctx, origin)
			})
		case <-ticker.C:
			o.table.removeExpired(time.Now())
		}
	}
}

// send sends an origin to its holders, and to others in place of those that do not answer.
func (o *Origins) send(ctx context.Context, origin ports.StreamOrigin) {
	first, spare := o.holders(origin)
	failed := make(chan struct{}, len(first))
	var sending sync.WaitGroup
	for _, host := range first {
		sending.Go(func() {
			if !o.sendTo(ctx, host, origin) {
				failed <- struct{}{}
			}
		})
	}
	sending.Wait()
	for range len(failed) {
		for len(spare) > 0 {
			host := spare[0]
			spare = spare[1:]
			if o.sendTo(ctx, host, origin) {
				break
			}
		}
	}
}

// holders returns the other hosts that are to keep an origin, and those that stand in.
func (o *Origins) holders(origin ports.StreamOrigin) (first, spare []domain.HostID) {
	members := o.cfg.Members()
	byRequest := o.others(rendezvous.Spread(members, xxhash.Sum64String(origin.Request)))
	first = slices.Clone(byRequest[:min(requestCopies, len(byRequest))])
	if origin.Fingerprint != 0 {
		first = appendNew(first, requestCopies+fingerprintCopies, o.others(rendezvous.Spread(members, origin.Fingerprint)))
	}
	spare = appendNew(slices.Clone(first), len(first)+spareHolders, byRequest)[len(first):]
	return first, spare
}

// others returns the hosts without this one.
func (o *Origins) others(hosts []domain.HostID) []domain.HostID {
	return slices.DeleteFunc(hosts, func(h domain.HostID) bool { return h == o.cfg.Self })
}

// appendNew appends those of more that hosts does not hold, until it has length n.
func appendNew(hosts []domain.HostID, n int, more []domain.HostID) []domain.HostID {
	for _, h := range more {
		if len(hosts) >= n {
			break
		}
		if !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (o *Origins) sendTo(ctx context.Context, host domain.HostID, origin ports.StreamOrigin) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := o.cfg.Peer(host).Keep(ctx, origin); err != nil {
		o.cfg.Counters.Int(defLost).Add(1)
		klog.V(1).InfoS("origin of a stream not sent", "request", origin.Request, "host", host, "err", err)
		return false
	}
	return true
}

// Of returns the origin of the stream that the query names. It may ask other hosts, and blocks
// for a bounded time. It returns false if the origin is not known for certain.
func (o *Origins) Of(ctx context.Context, query ports.OriginQuery) (ports.StreamOrigin, bool) {
	if query.Request == "" && query.Fingerprint == 0 || len(query.Request) > maxRequestBytes {
		return ports.StreamOrigin{}, false
	}
	own := o.table.find(query, time.Now())
	if own.Known && query.Request != "" {
		return own.Origin, true
	}
	o.cfg.Counters.Int(defAsked).Add(1)
	found, ok := o.ask(ctx, query, own)
	if !ok && pause.For(ctx, askAgainDelay) {
		found, ok = o.ask(ctx, query, own)
	}
	if !ok {
		o.cfg.Counters.Int(defUnknown).Add(1)
	}
	return found, ok
}

// ask asks the hosts that may hold the origin. The first one that knows the origin of a request
// decides. Streams of the same content may have several origins, so then all that is known
// must agree.
func (o *Origins) ask(ctx context.Context, query ports.OriginQuery, own ports.OriginReply) (ports.StreamOrigin, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts := o.asked(query)
	replies := make(chan ports.OriginReply, len(hosts))
	for _, host := range hosts {
		go func() {
			reply, err := o.cfg.Peer(host).Find(ctx, query)
			if err != nil {
				klog.V(1).InfoS("host not asked for the origin of a stream", "request", query.Request, "host", host, "err", err)
			}
			replies <- reply
		}()
	}
	found := own
	for range hosts {
		reply := <-replies
		switch {
		case reply.Ambiguous:
			return ports.StreamOrigin{}, false
		case !reply.Known:
		case query.Request != "":
			return reply.Origin, reply.Origin.Request == query.Request
		case found.Known && (found.Origin.Service != reply.Origin.Service || found.Origin.Version != reply.Origin.Version):
			return ports.StreamOrigin{}, false
		default:
			found = reply
		}
	}
	return found.Origin, found.Known && !own.Ambiguous
}

// asked returns the hosts that may hold an origin.
func (o *Origins) asked(query ports.OriginQuery) []domain.HostID {
	members := o.cfg.Members()
	var hosts []domain.HostID
	if query.Request != "" {
		hosts = appendNew(hosts, requestAsked, o.others(rendezvous.Spread(members, xxhash.Sum64String(query.Request))))
	}
	if query.Fingerprint != 0 {
		hosts = appendNew(hosts, hostsAsked, o.others(rendezvous.Spread(members, query.Fingerprint)))
	}
	return hosts
}
