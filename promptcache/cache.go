package promptcache

import (
	"container/list"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagespoke/domain"
	"greengagespoke/placement"
	"greengagespoke/traffic"
)

const (
	// maxParts bounds the parts that are known over all engines. A host of the design size sends
	// 4.4 requests per second, of which heldTTL retains about 1,600 parts; a part takes about
	// 0.5 KB.
	maxParts = 4096
	// maxEngines bounds the engines of which parts are known. Each adds two bits to every part.
	maxEngines = 1024
	// heldTTL is how long a part counts as held after this host last sent it. Other hosts
	// send prompts to the same engines and evict parts without this host knowing. An
	// engine that reads without a pause replaces its whole memory within seconds.
	heldTTL = time.Minute
)

// Cache holds which parts of prompts the engines are believed to hold, according to what this host
// sent to them. A wrong belief costs a prefill. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	index *placement.PrefixIndex
	// engines holds the engines of which a part is known.
	engines map[domain.UpstreamID]*engine
	// positions holds the unused positions in the index.
	positions []int
	// byUse holds the parts of all engines, the most recently used first.
	byUse     *list.List
	estimates map[estimateKey]*estimate
}

// engine is what one process of an engine is believed to hold in one role.
type engine struct {
	process traffic.Incarnation
	version string
	role    domain.Role
	// position identifies the engine in the index.
	position int
	// busyUntil is when it is expected to have processed what this host sent.
	busyUntil time.Time
	// tokens is the size of all parts.
	tokens int
	parts  map[domain.PieceKey]*heldPart
	// byUse holds the parts, the most recently used first.
	byUse *list.List
}

// heldPart is a part of a prompt that an engine is believed to hold.
type heldPart struct {
	engine *engine
	key    domain.PieceKey
	tokens int
	// uses is the number of prompts with this part that the engine got.
	uses   int
	usedAt time.Time
	// inEngine and inCache are the places of the part in the lists of its engine and of the cache.
	inEngine, inCache *list.Element
}

// New returns an empty Cache.
func New() *Cache {
	c := &Cache{
		index: placement.NewPrefixIndex(maxEngines, maxParts+traffic.MaxParts), engines: make(map[domain.UpstreamID]*engine),
		byUse: list.New(), estimates: make(map[estimateKey]*estimate),
	}
	for i := range maxEngines {
		c.positions = append(c.positions, i)
	}
	return c
}

// partKeys returns the keys of the parts in the index. A part of another size has other content.
func partKeys(parts []traffic.PromptPart) []domain.PieceKey {
	keys := make([]domain.PieceKey, len(parts))
	for i, p := range parts {
		text := binary.LittleEndian.AppendUint64(nil, p.ID)
		keys[i] = domain.PieceKey(xxhash.Sum64(binary.LittleEndian.AppendUint64(text, uint64(p.Tokens))))
	}
	return keys
}

// Record records that an engine with memory for a number of tokens has got a prompt. It evicts what
// the engine must have evicted. Nothing is recorded if the memory is not known.
func (c *Cache) Record(up *traffic.Upstream, memoryTokens int, parts []traffic.PromptPart, now time.Time) {
	if memoryTokens <= 0 || len(parts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	keys := partKeys(parts)
	if up.Role == domain.RolePrefill {
		c.estimateOf(up.Service, up.Role).reused.add(c.knownShare(keys, parts))
	}
	e := c.engineOf(up)
	e.sent(c.estimateOf(up.Service, up.Role), keys, parts, now)
	// The beginning becomes the most recently used part, as it is held for all its continuations.
	for i := len(keys) - 1; i >= 0; i-- {
		c.use(e, keys[i], parts[i].Tokens, now)
	}
	for e.tokens > memoryTokens {
		c.remove(e.byUse.Back().Value.(*heldPart))
	}
	for c.byUse.Len() > maxParts {
		c.remove(c.byUse.Back().Value.(*heldPart))
	}
}

// Forget drops what an engine is believed to hold.
func (c *Cache) Forget(up *traffic.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.engines[up.ID]; ok {
		c.drop(e)
	}
}

// Match returns how many leading tokens of a prompt each of the upstreams is believed to hold, or
// nil if none holds any.
func (c *Cache) Match(ups []*traffic.Upstream, parts []traffic.PromptPart, now time.Time) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []int
	for i, b := range c.match(ups, parts, partKeys(parts), now) {
		if held == nil {
			held = make([]int, len(ups))
		}
		held[i] = b.tokens
	}
	return held
}

// belief is what one engine is believed to hold of a prompt.
type belief struct {
	// tokens is the number of leading tokens, age the time since the last of their parts was sent.
	tokens int
	age    time.Duration
}

func (c *Cache) match(ups []*traffic.Upstream, parts []traffic.PromptPart, keys []domain.PieceKey, now time.Time) []belief {
	c.expire(now)
	if len(parts) == 0 || len(c.engines) == 0 {
		return nil
	}
	var held []belief
	matched := c.index.Match(keys)
	for i, up := range ups {
		e := c.engines[up.ID]
		if e == nil || !e.is(up) || matched[e.position] == 0 {
			continue
		}
		if held == nil {
			held = make([]belief, len(ups))
		}
		count := int(matched[e.position])
		for _, p := range parts[:count] {
			held[i].tokens += p.Tokens
		}
		if last := e.parts[keys[count-1]]; last != nil {
			held[i].age = now.Sub(last.usedAt)
		}
	}
	return held
}

// knownShare returns the share of a prompt's tokens, from its beginning, that this host sent to
// some engine before.
func (c *Cache) knownShare(keys []domain.PieceKey, parts []traffic.PromptPart) float64 {
	known, total, leading := 0, 0, true
	for i, p := range parts {
		if leading = leading && c.index.Holders(keys[i]) > 0; leading {
			known += p.Tokens
		}
		total += p.Tokens
	}
	return float64(known) / float64(max(1, total))
}

// evicted returns the value of what an engine must evict for a prompt, in tokens: those that are
// expected to be read again because of it. reused is that of a token of which nothing is known: what
// other hosts sent takes the memory that is not accounted for. A known part that was used once
// counts as that of a single request, and one that several engines hold is less of a loss.
func (c *Cache) evicted(up *traffic.Upstream, memoryTokens, newTokens int, keys []domain.PieceKey, reused float64) float64 {
	e := c.engines[up.ID]
	if e == nil || !e.is(up) {
		return float64(newTokens) * reused
	}
	excess := e.tokens + newTokens - memoryTokens
	value := float64(min(newTokens, max(0, memoryTokens-e.tokens))) * reused
	for at := e.byUse.Back(); at != nil && excess > 0; at = at.Prev() {
		part := at.Value.(*heldPart)
		if slices.Contains(keys, part.key) {
			continue
		}
		again := readAgain(float64(part.uses-1) / float64(part.uses))
		value += float64(min(part.tokens, excess)) * again / float64(max(1, c.index.Holders(part.key)))
		excess -= part.tokens
	}
	return value
}

// is reports whether an upstream is this process in this role, with this software.
func (e *engine) is(up *traffic.Upstream) bool {
	return e.process == up.Incarnation() && e.version == up.Version && e.role == up.Role
}

// sent adds the expected duration of a call to the time that the engine is busy.
func (e *engine) sent(learned *estimate, keys []domain.PieceKey, parts []traffic.PromptPart, now time.Time) {
	fixed, perToken := learned.line()
	tokens, leading := 0.0, true
	for i, p := range parts {
		part := e.parts[keys[i]]
		if leading = leading && part != nil; leading {
			tokens += float64(p.Tokens) * (1 - learned.reliability(now.Sub(part.usedAt), now))
		} else {
			tokens += float64(p.Tokens)
		}
	}
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(seconds(fixed + perToken*tokens))
}

// engineOf returns the engine of an upstream. What an earlier process held, or the same one in
// another role, is dropped.
func (c *Cache) engineOf(up *traffic.Upstream) *engine {
	known, ok := c.engines[up.ID]
	if ok && known.is(up) {
		return known
	}
	if ok {
		c.drop(known)
	}
	if len(c.positions) == 0 {
		c.drop(c.byUse.Back().Value.(*heldPart).engine)
	}
	last := len(c.positions) - 1
	e := &engine{
		process: up.Incarnation(), version: up.Version, role: up.Role, position: c.positions[last],
		parts: make(map[domain.PieceKey]*heldPart), byUse: list.New(),
	}
	c.positions = c.positions[:last]
	c.engines[up.ID] = e
	return e
}

// use makes a part the most recently used one of an engine.
func (c *Cache) use(e *engine, key domain.PieceKey, tokens int, now time.Time) {
	part, ok := e.parts[key]
	if !ok {
		part = &heldPart{engine: e, key: key, tokens: tokens}
		part.inEngine, part.inCache = e.byUse.PushFront(part), c.byUse.PushFront(part)
		e.parts[key] = part
		e.tokens += tokens
	}
	part.uses, part.usedAt = part.uses+1, now
	e.byUse.MoveToFront(part.inEngine)
	c.byUse.MoveToFront(part.inCache)
	c.index.Hold(e.position, key)
}

// remove forgets a part, and its engine if it was the last one.
func (c *Cache) remove(part *heldPart) {
	e := part.engine
	c.index.Release(e.position, part.key)
	e.byUse.Remove(part.inEngine)
	c.byUse.Remove(part.inCache)
	delete(e.parts, part.key)
	if e.tokens -= part.tokens; len(e.parts) == 0 {
		c.positions = append(c.positions, e.position)
		delete(c.engines, e.process.ID)
	}
}

func (c *Cache) drop(e *engine) {
	for len(e.parts) > 0 {
		c.remove(e.byUse.Back().Value.(*heldPart))
	}
}

// expire forgets the parts that were not used for heldTTL.
func (c *Cache) expire(now time.Time) {
	for last := c.byUse.Back(); last != nil && now.Sub(last.Value.(*heldPart).usedAt) > heldTTL; last = c.byUse.Back() {
		c.remove(last.Value.(*heldPart))
	}
}
