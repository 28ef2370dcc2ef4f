// Package membudget bounds the memory that a host holds for requests and responses. It addresses
// bodies that together exceed the memory of a small host: many large ones at once, senders and
// readers that are slow, and upstreams that are slow to read. It does no I/O of its own and never
// blocks: room is granted or refused at once.
package membudget

import (
	"expvar"
	"sync/atomic"

	"greengagespoke/counters"
)

// Use is what memory is held for.
type Use int

// The uses of memory.
const (
	// Bodies are bodies of callers' requests.
	Bodies Use = iota
	// Responses are responses of upstreams that are kept until their callers have taken them.
	Responses
	// Messages are requests of other hosts that are no callers' requests.
	Messages
	// Connections are open connections of callers. They are counted and never refused.
	Connections
	uses
)

const (
	// budgetShare is the share of the memory limit that may be held. The rest is for the process
	// without load (at most 36 MB in the measurements of docs/CAPACITY.md), for garbage between two
	// collections, and for what runtimeShare leaves out.
	budgetShare = 0.35
	// runtimeShare is the share of the memory limit that Go's runtime keeps to. The rest is for
	// what the runtime does not count: pages of the program file (up to 15 MB), socket buffers, and
	// stacks of threads of the C library.
	runtimeShare = 0.75
	// socketBufferShare is the share of the memory limit for each of the two buffers of a
	// connection: 112 KB on the smallest hosts, eight times what a link of 10 Mbit/s carries in a
	// round trip of 11 ms.
	socketBufferShare = 1.0 / 1024
	// minSocketBuffer and maxSocketBuffer bound it. The latter is what a link of 200 Mbit/s carries
	// in two round trips of 11 ms.
	minSocketBuffer = 64 << 10
	maxSocketBuffer = 512 << 10
	// upstreamShare is the share of the budget for bodies that are under way to one upstream: half
	// of what large bodies may take, so that an upstream that is slow to read leaves the other half.
	upstreamShare = 3.0 / 8
)

const (
	// SmallBytes is the largest size that always gets room. Larger bodies never take the last
	// eighth of the budget, which is thus reserved for smaller ones: 300 of this size on a host of
	// 112 MB. Beyond those, the file descriptors of a host bound them.
	SmallBytes = 16 << 10
	// mediumBytes and largeBytes are the upper ends of two further size classes.
	mediumBytes = 256 << 10
	largeBytes  = 1 << 20
	// levelUnits is the number of units into which the budget is divided for levels.
	levelUnits = 16
	// urgencyPerUnit is the number of urgency levels that lower the level by a unit, maxUrgency the
	// least urgent one that is told apart.
	urgencyPerUnit = 3
	maxUrgency     = 9
	// maxLargeResponses is the part of the budget, in units, that responses which are not small may
	// take together, so that slow readers leave room for the others.
	maxLargeResponses = 8
	// maxMessages is the same for messages of other hosts.
	maxMessages = 8
	// minGarbage is the size of the smallest buffers that are counted as garbage, garbageParts the
	// inverse of the share of the budget that they may take. On a busy machine the runtime let
	// garbage grow by 30 MB beyond its limit, as a collection takes long there.
	minGarbage   = 64 << 10
	garbageParts = 4
	// connectionBytes is the memory of an idle connection: 20 KB measured with net/http (37.7 MB
	// resident for 1,500, 7.3 MB for none), and some KB of the system.
	connectionBytes = 24 << 10
	// unlimitedResponses bounds the responses that are being read if no memory limit is stated.
	// Their buffers may be twice as large as their contents.
	unlimitedResponses = 32 << 20
)

// levels holds, by use and size class, up to which part of the budget memory may be held after a
// grant, in units. Responses get room beyond bodies, since their requests have run.
var levels = [Connections][3]int64{
	Bodies:    {14, 13, 12},
	Responses: {16, 15, 14},
	Messages:  {15, 14, 13},
}

var (
	defHeld = [uses]counters.Def{
		Bodies:      counters.Define("membudget_bodies_held", "bytes held now for bodies of requests"),
		Responses:   counters.Define("membudget_responses_held", "bytes held now for responses that callers have not taken"),
		Messages:    counters.Define("membudget_messages_held", "bytes held now for messages of other hosts"),
		Connections: counters.Define("membudget_connections_held", "bytes counted now for open connections of callers"),
	}
	defRefused = [Connections]counters.Def{
		Bodies:    counters.Define("membudget_bodies_refused", "bodies of requests refused for lack of memory"),
		Responses: counters.Define("membudget_responses_refused", "responses that were not buffered for lack of memory"),
		Messages:  counters.Define("membudget_messages_refused", "messages of other hosts refused for lack of memory"),
	}
)

// Claim describes the whole of what memory is taken for, of which the bytes may be a part.
type Claim struct {
	Use Use
	// Size is the size of the whole in bytes, as far as it is known.
	Size int64
	// Urgency is the urgency of the request; 0 is the highest.
	Urgency int
}

// Budget is the memory that a host may hold. It is safe for concurrent use.
type Budget struct {
	// limit is the memory limit of the process, or 0.
	limit atomic.Int64
	held  atomic.Int64
	byUse [uses]atomic.Int64
	// shown are the counters of byUse.
	shown   [uses]*expvar.Int
	refused [Connections]*expvar.Int
	// garbage is the size of large buffers that are no longer held and not known to be collected.
	garbage    atomic.Int64
	collecting atomic.Bool
}

// New returns a budget for a process with a memory limit in bytes, or 0 if none is stated. The set
// of counters may be nil.
func New(limit int64, set *counters.Set) *Budget {
	if set == nil {
		set = counters.NewSet()
	}
	b := &Budget{}
	b.SetLimit(limit)
	for use := range uses {
		b.shown[use] = set.Int(defHeld[use])
	}
	for use, def := range defRefused {
		b.refused[use] = set.Int(def)
	}
	return b
}

// SetLimit changes the memory limit. What is held stays.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(max(0, limit)) }

// Limited reports whether a memory limit is stated.
func (b *Budget) Limited() bool { return b.limit.Load() > 0 }

// Total returns the bytes that may be held, or 0 without a limit.
func (b *Budget) Total() int64 { return int64(budgetShare * float64(b.limit.Load())) }

// Held returns the bytes that are held for a use.
func (b *Budget) Held(use Use) int64 { return b.byUse[use].Load() }

// HeldInAll returns the bytes that are held for all uses.
func (b *Budget) HeldInAll() int64 { return b.held.Load() }

// RuntimeLimit returns the memory limit of Go's runtime for a memory limit of the process.
func RuntimeLimit(limit int64) int64 { return int64(runtimeShare * float64(limit)) }

// SocketBuffer returns the size of the buffers of a connection, or 0 if the system decides.
func (b *Budget) SocketBuffer() int {
	limit := b.limit.Load()
	if limit == 0 {
		return 0
	}
	return int(min(max(socketBufferShare*float64(limit), minSocketBuffer), maxSocketBuffer))
}

// PerUpstream returns the bytes of bodies that may be under way to one upstream, or 0 if they are
// not bounded.
func (b *Budget) PerUpstream() int64 { return int64(upstreamShare * float64(b.Total())) }

// cost returns the memory that a body of n bytes takes: itself, and its bytes in the buffers of the
// connections that carry it, of which each holds up to twice its size.
func (b *Budget) cost(n int64) int64 { return n + min(n, 2*int64(b.SocketBuffer())) }

// Connected counts a connection of a caller that was opened.
func (b *Budget) Connected() { b.add(Connections, connectionBytes) }

// Disconnected counts a connection of a caller that was closed.
func (b *Budget) Disconnected() { b.add(Connections, -connectionBytes) }

// take takes n bytes and reports whether there was room. Small claims always get it. Others get it
// while all that is held then stays within the level of their use, size and urgency.
func (b *Budget) take(c Claim, n int64) bool {
	if n <= 0 {
		return true
	}
	switch limited := b.Limited(); {
	case c.Size <= SmallBytes, c.Use != Responses && !limited:
		b.add(c.Use, n)
		return true
	case limited && b.held.Load()+b.garbage.Load()+n > b.Total()+b.maxGarbage():
		return false
	case !addWithin(&b.byUse[c.Use], n, b.mostOf(c.Use)):
		return false
	case !limited:
		b.held.Add(n)
	case !addWithin(&b.held, n, b.level(c)):
		b.byUse[c.Use].Add(-n)
		return false
	}
	b.shown[c.Use].Add(n)
	return true
}

// addWithin adds n to a sum unless it would then be more than a limit.
func addWithin(sum *atomic.Int64, n, limit int64) bool {
	for {
		before := sum.Load()
		if before+n > limit {
			return false
		}
		if sum.CompareAndSwap(before, before+n) {
			return true
		}
	}
}

func (b *Budget) add(use Use, n int64) {
	b.held.Add(n)
	b.byUse[use].Add(n)
	b.shown[use].Add(n)
}

// level returns up to how many bytes may be held after a claim has got room.
func (b *Budget) level(c Claim) int64 {
	class := 0
	switch {
	case c.Size > largeBytes:
		class = 2
	case c.Size > mediumBytes:
		class = 1
	}
	units := levels[c.Use][class] - int64(min(max(c.Urgency, 0), maxUrgency)/urgencyPerUnit)
	return b.Total() / levelUnits * units
}

// mostOf returns the bytes that claims of a use that are not small may hold together.
func (b *Budget) mostOf(use Use) int64 {
	switch {
	case !b.Limited():
		return unlimitedResponses
	case use == Responses:
		return b.Total() / levelUnits * maxLargeResponses
	case use == Messages:
		return b.Total() / levelUnits * maxMessages
	default:
		return b.Total()
	}
}
