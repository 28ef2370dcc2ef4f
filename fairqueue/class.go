package fairqueue

import "greengagespoke/domain"

// classQueue implements start-time fair queueing among the callers of one class.
type classQueue[T any] struct {
	flows map[domain.CallerID]*flow[T]
	// active orders the flows with backlog by the start tag of their head, idle
	// the other flows by their finish tag.
	active, idle flowHeap[T]
	// virtualTime advances by the cost of each served entry divided by the total
	// weight of the active flows. If it is then behind the start tags of all active
	// flows, it moves up to the smallest of them, unless a flow was skipped.
	virtualTime float64
	// totalWeight is the sum of the weights of the active flows.
	totalWeight float64
	// maxFinishTag is the largest finish tag assigned so far.
	maxFinishTag float64
	// length is the number of waiting entries.
	length int
	// seq is the sequence number of the last activation of a flow.
	seq uint64
	// skipped holds the flows of which the current serve call has offered entries
	// without one being accepted. It is kept between calls to reuse its memory.
	skipped []*flow[T]
}

func newClassQueue[T any]() *classQueue[T] {
	return &classQueue[T]{flows: make(map[domain.CallerID]*flow[T])}
}

func (c *classQueue[T]) lengthOf(caller domain.CallerID) int {
	if f, ok := c.flows[caller]; ok {
		return f.length
	}
	return 0
}

func (c *classQueue[T]) push(e *Entry[T]) {
	f, ok := c.flows[e.Caller]
	if !ok {
		f = &flow[T]{caller: e.Caller, index: -1}
		c.flows[e.Caller] = f
	}
	e.arrival = c.virtualTime
	e.passed = 0
	f.append(e)
	c.length++
	if f.length > 1 {
		return
	}
	if ok {
		c.idle.remove(f)
	}
	c.activate(f)
}

// activate adds a flow that has just received its first entry to the active flows.
func (c *classQueue[T]) activate(f *flow[T]) {
	c.seq++
	f.seq = c.seq
	f.key = f.head.startTag()
	c.setWeight(f, f.head.effectiveWeight())
	c.active.push(f)
}

func (c *classQueue[T]) remove(e *Entry[T]) {
	f := e.flow
	wasHead := f.head == e
	f.unlink(e)
	c.length--
	if wasHead {
		c.reposition(f)
	}
}

// reposition updates the heap position of an active flow after its head changed,
// and moves the flow to the idle flows if it has no entries left.
func (c *classQueue[T]) reposition(f *flow[T]) {
	if f.length > 0 {
		f.key = f.head.startTag()
		c.setWeight(f, f.head.effectiveWeight())
		c.active.fix(f.index)
		return
	}
	c.active.remove(f)
	c.setWeight(f, 0)
	f.key = f.finishTag
	c.idle.push(f)
	c.dropIdleFlows()
}

// setWeight sets the weight of a flow and updates the total weight of the active
// flows.
func (c *classQueue[T]) setWeight(f *flow[T], weight float64) {
	c.totalWeight += weight - f.weight
	f.weight = weight
}

// dropIdleFlows drops the idle flows whose finish tag is at or before the virtual
// time, because the start tag of their next entry would be the virtual time
// anyway. An empty queue ends the busy period, which advances the virtual time to
// the largest finish tag.
func (c *classQueue[T]) dropIdleFlows() {
	if c.length == 0 {
		c.virtualTime = max(c.virtualTime, c.maxFinishTag)
		c.totalWeight = 0
	}
	for f := c.idle.min(); f != nil && f.key <= c.virtualTime; f = c.idle.min() {
		c.idle.remove(f)
		delete(c.flows, f.caller)
	}
}

// serve offers entries to try in the order of the start tags of their flows, at
// most maxOffersPerClass, and dequeues and returns the first accepted one. It
// returns nil if none is accepted.
func (c *classQueue[T]) serve(try func(*Entry[T]) Verdict) *Entry[T] {
	c.skipped = c.skipped[:0]
	var accepted *Entry[T]
	for offers := 0; offers < maxOffersPerClass; {
		f := c.active.min()
		if f == nil {
			break
		}
		e, n := f.offerFirstReady(try, maxOffersPerClass-offers)
		offers += n
		if e != nil {
			accepted = e
			c.dequeue(f, e)
			break
		}
		c.active.remove(f)
		c.skipped = append(c.skipped, f)
	}
	for i, f := range c.skipped {
		c.active.push(f)
		if accepted != nil {
			f.head.passed++
		}
		c.skipped[i] = nil
	}
	return accepted
}

// offerFirstReady offers entries of the flow in order, at most limit, until one is
// ready. It returns that entry if it was accepted, or else nil, and the number of
// offers made.
func (f *flow[T]) offerFirstReady(try func(*Entry[T]) Verdict, limit int) (*Entry[T], int) {
	n := 0
	for e := f.head; e != nil && n < limit; e = e.next {
		n++
		switch try(e) {
		case Accept:
			return e, n
		case NoRoom:
			return nil, n
		}
	}
	return nil, n
}

// dequeue removes an accepted entry, charges its cost to its flow and advances the
// virtual time.
func (c *classQueue[T]) dequeue(f *flow[T], e *Entry[T]) {
	f.finishTag = e.startTag() + e.Cost/e.effectiveWeight()
	c.maxFinishTag = max(c.maxFinishTag, f.finishTag)
	c.virtualTime += e.Cost / c.totalWeight
	f.unlink(e)
	c.length--
	c.reposition(f)
	if first := c.active.min(); first != nil && len(c.skipped) == 0 {
		c.virtualTime = max(c.virtualTime, first.key)
	}
	c.dropIdleFlows()
}

// charge adds a cost, already divided by the weight, that was not known when an
// entry was served, or subtracts it if negative.
func (c *classQueue[T]) charge(caller domain.CallerID, virtualCost float64) {
	f, ok := c.flows[caller]
	if !ok {
		return
	}
	f.finishTag = max(c.virtualTime, f.finishTag+virtualCost)
	c.maxFinishTag = max(c.maxFinishTag, f.finishTag)
	if f.length > 0 {
		f.key = f.head.startTag()
		c.active.fix(f.index)
		return
	}
	f.key = f.finishTag
	c.idle.fix(f.index)
	c.dropIdleFlows()
}
