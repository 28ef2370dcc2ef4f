// Package origins keeps which software version began each resumable stream, so that a stream
// that its caller takes up at any host goes on only at that version.
//
// The host that has the first event of a stream sends its origin to a few other hosts, most of
// them chosen by the request's identifier and one by its content. A host that does not know
// the origin asks them. The origin of a request never changes, so that any answer is valid. For a
// content there may be several, so silence says nothing: more than half of the hosts that keep it
// must answer. Nothing is inferred: a stream whose origin nobody knows is not taken up.
package origins

import (
	"context"
	"errors"
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
	// requestCopies is the number of other hosts that keep an origin, chosen by the identifier of
	// the request. contentHolders is the number of hosts that keep it, chosen by its fingerprint.
	requestCopies  = 2
	contentHolders = 3
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
	// sendAgainInterval is the time after which an origin is sent again that too few hosts keep for
	// its content.
	sendAgainInterval = 500 * time.Millisecond
	// cleanupInterval is the time between two removals of expired origins.
	cleanupInterval = 10 * time.Second
)

var (
	defBegun       = counters.Define("origins_begun", "resumable streams that began at a known software version")
	defKept        = counters.Define("origins_kept", "origins of streams that other hosts sent")
	defLost        = counters.Define("origins_lost", "messages with an origin that were not sent, or not received in time")
	defAsked       = counters.Define("origins_asked", "streams that callers took up and whose origin other hosts were asked for")
	defUnannounced = counters.Define("origins_unannounced", "streams that were not begun as too few hosts could be told, while there were several software versions")
	defUncertain   = counters.Define("origins_uncertain", "those of them that some host knew, but too few of those that keep them for their content")
	defUnknown     = counters.Define("origins_unknown", "those whose origin no host knew, or not for certain")
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
	queue chan unsent

	mu sync.Mutex
	// presentAt is when each host was last not known to be gone.
	presentAt map[domain.HostID]time.Time
	// unsent holds the origins that too few hosts keep for their content.
	unsent []unsent
}

// unsent is an origin that is to be sent until it expires.
type unsent struct {
	origin  ports.StreamOrigin
	expires time.Time
	// again says that it was sent before.
	again bool
}

// New returns Origins that know no stream.
func New(cfg Config) *Origins {
	return &Origins{cfg: cfg, table: newTable(), queue: make(chan unsent, maxQueued), presentAt: make(map[domain.HostID]time.Time)}
}

// Begun records that a stream has its first event, and lets Run tell other hosts. It does not
// block.
func (o *Origins) Begun(origin ports.StreamOrigin) {
	o.cfg.Counters.Int(defBegun).Add(1)
	o.table.keep(origin, time.Now())
	select {
	case o.queue <- unsent{origin: origin, expires: time.Now().Add(min(origin.TTL, maxTTL))}:
	default:
		o.cfg.Counters.Int(defLost).Add(1)
		klog.InfoS("origin of a stream kept on this host only", "request", origin.Request, "reason", "too many are being sent")
	}
}

// Announce tells the hosts that keep the origins with the fingerprint of a stream that it may
// begin. It reports whether so many of them know it that a host that asks for the content hears
// of it. It blocks for a bounded time.
func (o *Origins) Announce(ctx context.Context, origin ports.StreamOrigin) bool {
	origin.Announced = true
	// The other hosts are to hear of it also after the first answers.
	known := o.sendByContent(context.WithoutCancel(ctx), origin, askTimeout)
	if !known {
		o.cfg.Counters.Int(defUnannounced).Add(1)
	}
	return known
}

// sendByContent sends an origin to the hosts that keep those with its fingerprint, and keeps it if
// this host is one of them. It reports whether more than half of them have it, as soon as they do.
func (o *Origins) sendByContent(ctx context.Context, origin ports.StreamOrigin, wait time.Duration) bool {
	origin.ByContent = true
	v := o.view(origin.Fingerprint)
	kept := make(chan bool, len(v.holders))
	for _, host := range v.holders {
		if host == o.cfg.Self {
			o.table.keep(origin, time.Now())
			kept <- true
			continue
		}
		go func() { kept <- o.sendTo(ctx, host, origin) }()
	}
	timer := pause.NewTimer(wait)
	defer timer.Stop()
	n := 0
	for range v.holders {
		select {
		case has := <-kept:
			if has {
				n++
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
		if n >= quorum(len(v.holders)) {
			return v.connected
		}
	}
	return false
}

// quorum is the number of holders of which two selections have one in common.
func quorum(holders int) int { return holders/2 + 1 }

// view is how this host sees those that keep the origins with a fingerprint.
type view struct {
	holders []domain.HostID
	// connected says that this host is in touch with at least half of those that were there
	// lately, so that the others are not in touch without it.
	connected bool
}

// view returns the view for a fingerprint. Suspect hosts still count, as a host that is cut off
// first suspects all others.
func (o *Origins) view(fingerprint uint64) view {
	members, connected := o.present(time.Now())
	hosts := rendezvous.Spread(members, fingerprint)
	return view{holders: hosts[:min(contentHolders, len(hosts))], connected: connected}
}

// present returns the hosts that are not known to be gone, as alive.
func (o *Origins) present(now time.Time) (members []domain.Member, connected bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.cfg.Members()
	if !slices.ContainsFunc(all, func(m domain.Member) bool { return m.ID == o.cfg.Self }) {
		all = append(slices.Clone(all), domain.Member{ID: o.cfg.Self, State: domain.MemberAlive})
	}
	lately := 0
	for _, m := range all {
		switch m.State {
		case domain.MemberAlive, domain.MemberSuspect:
			o.presentAt[m.ID] = now
			m.State = domain.MemberAlive
			members = append(members, m)
			lately++
		case domain.MemberDead:
			if at, ok := o.presentAt[m.ID]; ok && now.Sub(at) < maxTTL {
				lately++
			}
		case domain.MemberLeaving:
			delete(o.presentAt, m.ID)
		}
	}
	return members, 2*len(members) >= lately
}

// ErrNotHolder means that a host does not keep the origins with a fingerprint.
var ErrNotHolder = errors.New("this host does not keep the origins of streams with this content; refresh the membership view")

// Keep implements ports.OriginPeer.
func (o *Origins) Keep(_ context.Context, origin ports.StreamOrigin) error {
	if origin.ByContent && !slices.Contains(o.view(origin.Fingerprint).holders, o.cfg.Self) {
		return ErrNotHolder
	}
	o.cfg.Counters.Int(defKept).Add(1)
	o.table.keep(origin, time.Now())
	return nil
}

// Find implements ports.OriginPeer. It returns what this host knows.
func (o *Origins) Find(_ context.Context, query ports.OriginQuery) (ports.OriginReply, error) {
	reply := o.table.find(query, time.Now())
	if query.Fingerprint != 0 {
		reply.Holder = slices.Contains(o.view(query.Fingerprint).holders, o.cfg.Self)
	}
	return reply, nil
}

// Run sends the origins of streams to other hosts and removes expired ones, until the context
// ends. It always returns nil.
func (o *Origins) Run(ctx context.Context) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	again := time.NewTicker(sendAgainInterval)
	defer again.Stop()
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
		case <-again.C:
			o.sendAgain()
		case <-ticker.C:
			o.table.removeExpired(time.Now())
			o.present(time.Now())
		}
	}
}

// sendAgain queues the origins that too few hosts keep.
func (o *Origins) sendAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.unsent) > 0 {
		select {
		case o.queue <- o.unsent[0]:
			o.unsent = o.unsent[1:]
		default:
			return
		}
	}
}

// send sends an origin to those that keep it by the request, and to others in place of those that
// do not answer, and to those that keep it by the content. It is sent again later to the latter if
// too few have it.
func (o *Origins) send(ctx context.Context, u unsent) {
	var sending sync.WaitGroup
	if !u.again {
		sending.Go(func() { o.sendByRequest(ctx, u.origin) })
	}
	known := u.origin.Fingerprint == 0 || o.sendByContent(ctx, u.origin, sendTimeout)
	sending.Wait()
	if known || time.Now().Add(sendAgainInterval).After(u.expires) {
		return
	}
	u.again = true
	u.origin.TTL = time.Until(u.expires)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsent = append(o.unsent, u)
	o.unsent = o.unsent[max(0, len(o.unsent)-maxQueued):]
}

func (o *Origins) sendByRequest(ctx context.Context, origin ports.StreamOrigin) {
	hosts := o.others(rendezvous.Spread(o.cfg.Members(), xxhash.Sum64String(origin.Request)))
	first := hosts[:min(requestCopies, len(hosts))]
	spare := hosts[len(first):min(requestCopies+spareHolders, len(hosts))]
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
// decides.
func (o *Origins) ask(ctx context.Context, query ports.OriginQuery, own ports.OriginReply) (ports.StreamOrigin, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts := o.asked(query)
	replies := make(chan hostReply, len(hosts))
	for _, host := range hosts {
		go func() {
			reply, err := o.cfg.Peer(host).Find(ctx, query)
			if err != nil {
				klog.V(1).InfoS("host not asked for the origin of a stream", "request", query.Request, "host", host, "err", err)
			}
			replies <- hostReply{reply, host}
		}()
	}
	if query.Request == "" {
		return o.byContent(query, own, replies, len(hosts))
	}
	for range hosts {
		reply := <-replies
		switch {
		case reply.Ambiguous:
			return ports.StreamOrigin{}, false
		case reply.Known:
			return reply.Origin, reply.Origin.Request == query.Request
		}
	}
	return ports.StreamOrigin{}, false
}

// hostReply is the reply of a host.
type hostReply struct {
	ports.OriginReply
	host domain.HostID
}

// byContent returns the origin of the streams with a content. Streams of the same content may have
// several origins, so all that is known must agree, and a host that does not answer may know
// another one. So more than half of those that keep the origins with this content must know this
// one, and hosts that begin a stream tell as many before, if there is more than one version.
func (o *Origins) byContent(query ports.OriginQuery, own ports.OriginReply, replies <-chan hostReply, n int) (ports.StreamOrigin, bool) {
	v := o.view(query.Fingerprint)
	found, votes := own, 0
	if own.Known && slices.Contains(v.holders, o.cfg.Self) {
		votes++
	}
	agree := !own.Ambiguous
	for range n {
		reply := <-replies
		switch {
		case reply.Ambiguous:
			agree = false
			continue
		case !reply.Known:
			continue
		case found.Known && (found.Origin.Service != reply.Origin.Service || found.Origin.Version != reply.Origin.Version):
			agree = false
		}
		found = reply.OriginReply
		if reply.Holder && slices.Contains(v.holders, reply.host) {
			votes++
		}
	}
	if found.Known && agree && (!v.connected || votes < quorum(len(v.holders))) {
		o.cfg.Counters.Int(defUncertain).Add(1)
		klog.InfoS("origin of a stream not certain", "holders", v.holders, "known_by", votes, "connected", v.connected)
	}
	return found.Origin, found.Known && agree && v.connected && votes >= quorum(len(v.holders))
}

// asked returns the hosts that may hold an origin.
func (o *Origins) asked(query ports.OriginQuery) []domain.HostID {
	members := o.cfg.Members()
	var hosts []domain.HostID
	if query.Request != "" {
		hosts = appendNew(hosts, requestAsked, o.others(rendezvous.Spread(members, xxhash.Sum64String(query.Request))))
	}
	if query.Fingerprint != 0 {
		present, _ := o.present(time.Now())
		hosts = appendNew(hosts, hostsAsked, o.others(rendezvous.Spread(present, query.Fingerprint)))
	}
	return hosts
}
