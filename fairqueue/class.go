package fairqueue

import "greengagespoke/domain"

// classQueue is start-time fair queueing among the callers of one class.
type classQueue[T any] struct {
	flows map[domain.CallerID]*flow[T]
	// active holds the flows with backlog by the start tag of their head, idle
	// the others by finish tag.
	active, idle flowHeap[T]
	// virtual is the virtual time. It grows by the service given over the total
	// weight of the flows with backlog, and is never behind all of them.
	virtual float64
	// weight is the total weight of the active flows.
	weight float64
	// maxFinish is the largest finish tag given out.
	maxFinish float64
	length    int
	seq       uint64
	// offered is scratch space for flows that were offered and not taken.
	offered []*flow[T]
}

func newClassQueue[T any]() *classQueue[T] {
	return &classQueue[T]{flows: make(map[domain.CallerID]*flow[T])}
}

func (c *classQueue[T]) waiting(caller domain.CallerID) int {
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
	e.arrival = c.virtual
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

func (c *classQueue[T]) activate(f *flow[T]) {
	c.seq++
	f.seq = c.seq
	f.key = f.head.start()
	c.reweigh(f, f.head.weight())
	c.active.push(f)
}

func (c *classQueue[T]) remove(e *Entry[T]) {
	f := e.flow
	wasHead := f.head == e
	f.unlink(e)
	c.length--
	if wasHead {
		c.settle(f)
	}
}

// settle moves an active flow to its place after its head changed.
func (c *classQueue[T]) settle(f *flow[T]) {
	if f.length > 0 {
		f.key = f.head.start()
		c.reweigh(f, f.head.weight())
		c.active.fix(f.index)
		return
	}
	c.active.remove(f)
	c.reweigh(f, 0)
	f.key = f.finish
	c.idle.push(f)
	c.forget()
}

// reweigh keeps the total weight of the active flows.
func (c *classQueue[T]) reweigh(f *flow[T], weight float64) {
	c.weight += weight - f.weight
	f.weight = weight
}

// forget drops idle flows whose finish tag lies at or before the virtual time,
// as their next entry would start at the virtual time anyway. An empty queue
// ends the busy period, which moves the virtual time past all finish tags.
func (c *classQueue[T]) forget() {
	if c.length == 0 {
		c.virtual = max(c.virtual, c.maxFinish)
		c.weight = 0
	}
	for f := c.idle.min(); f != nil && f.key <= c.virtual; f = c.idle.min() {
		c.idle.remove(f)
		delete(c.flows, f.caller)
	}
}

// serve offers entries of the flows in order of their start tags, maxOffers in
// all, and takes the first that try accepts.
func (c *classQueue[T]) serve(try func(*Entry[T]) Verdict) *Entry[T] {
	c.offered = c.offered[:0]
	var taken *Entry[T]
	for offers := 0; offers < maxOffers; {
		f := c.active.min()
		if f == nil {
			break
		}
		e, n := f.offer(try, maxOffers-offers)
		offers += n
		if e != nil {
			taken = e
			c.take(f, e)
			break
		}
		c.active.remove(f)
		c.offered = append(c.offered, f)
	}
	for i, f := range c.offered {
		c.active.push(f)
		if taken != nil {
			f.head.passed++
		}
		c.offered[i] = nil
	}
	return taken
}

// offer offers the first entry of the flow that is ready, and returns it if it
// was accepted, with the number of offers.
func (f *flow[T]) offer(try func(*Entry[T]) Verdict, limit int) (*Entry[T], int) {
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

// take removes an entry and charges its cost to its flow.
func (c *classQueue[T]) take(f *flow[T], e *Entry[T]) {
	f.finish = e.start() + e.Cost/e.weight()
	c.maxFinish = max(c.maxFinish, f.finish)
	c.virtual += e.Cost / c.weight
	f.unlink(e)
	c.length--
	c.settle(f)
	if first := c.active.min(); first != nil && len(c.offered) == 0 {
		c.virtual = max(c.virtual, first.key)
	}
	c.forget()
}

// charge adds cost that was not known when an entry was served.
func (c *classQueue[T]) charge(caller domain.CallerID, span float64) {
	f, ok := c.flows[caller]
	if !ok {
		return
	}
	f.finish = max(c.virtual, f.finish+span)
	c.maxFinish = max(c.maxFinish, f.finish)
	if f.length > 0 {
		f.key = f.head.start()
		c.active.fix(f.index)
		return
	}
	f.key = f.finish
	c.idle.fix(f.index)
	c.forget()
}
