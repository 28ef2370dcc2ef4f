// Package platform is an in-memory stand-in for the platform's table service,
// object store and host list. It has rate limits and scripted faults: outages,
// slowness, answers that are lost before or after a write took effect, and
// stale reads.
//
// All timing goes through package time, so that it runs under virtual time in a
// testing/synctest bubble. It is safe for use by several goroutines.
package platform

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"greengagespoke/ports"
)

// Config holds the settings of the stand-in. The zero value has no limits, no
// latency and no lag.
type Config struct {
	// WritesPerSecond limits transactions and object writes together; zero means
	// no limit. The burst is one second's worth.
	WritesPerSecond int
	// ReadsPerSecond limits row reads, scans and object reads together; zero
	// means no limit. The burst is one second's worth.
	ReadsPerSecond int
	// Latency is the time from a call to its answer. A write takes effect after
	// half of it.
	Latency time.Duration
	// HostLag is the age of the answers of the host list.
	HostLag time.Duration
	// Seed makes random faults repeatable.
	Seed uint64
}

// Platform is one stand-in. Create it with New.
type Platform struct {
	tables  *tableStore
	objects *objectStore
	hosts   *hostStore
	faults  *faults
	limits  limits
	counts  counts
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	p := &Platform{
		tables:  newTableStore(),
		objects: newObjectStore(),
		hosts:   newHostStore(cfg.HostLag),
		faults:  newFaults(cfg.Seed, cfg.Latency),
	}
	p.limits.writes = newLimiter(cfg.WritesPerSecond)
	p.limits.reads = newLimiter(cfg.ReadsPerSecond)
	return p
}

// Tables returns the table service.
func (p *Platform) Tables() ports.TableService { return tableService{p} }

// Objects returns the object store.
func (p *Platform) Objects() ports.ObjectStore { return objectService{p} }

// Hosts returns the host list.
func (p *Platform) Hosts() ports.HostList { return hostService{p} }

// Reads returns the number of row reads, scans and object reads that were served.
func (p *Platform) Reads() int64 { return p.counts.reads.Load() }

// Writes returns the number of transactions and object writes that were
// executed, those with failed conditions included.
func (p *Platform) Writes() int64 { return p.counts.writes.Load() }

// WrittenRows returns the number of rows that transactions put or deleted.
func (p *Platform) WrittenRows() int64 { return p.counts.rows.Load() }

// Throttles returns the number of calls that a rate limit refused.
func (p *Platform) Throttles() int64 { return p.counts.throttles.Load() }

// Refused returns the number of calls that met an outage.
func (p *Platform) Refused() int64 { return p.counts.refused.Load() }

type counts struct {
	reads, writes, rows, throttles, refused atomic.Int64
}

type limits struct {
	mu            sync.Mutex
	writes, reads *rate.Limiter
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetLimits changes the rate limits; zero means no limit.
func (p *Platform) SetLimits(writesPerSecond, readsPerSecond int) {
	p.limits.mu.Lock()
	defer p.limits.mu.Unlock()
	p.limits.writes = newLimiter(writesPerSecond)
	p.limits.reads = newLimiter(readsPerSecond)
}

// admit checks outage and rate limit of one call.
func (p *Platform) admit(write bool) error {
	if p.faults.down() {
		p.counts.refused.Add(1)
		return ports.ErrStoreDown
	}
	p.limits.mu.Lock()
	limiter := p.limits.reads
	if write {
		limiter = p.limits.writes
	}
	allowed := limiter == nil || limiter.AllowN(time.Now(), 1)
	p.limits.mu.Unlock()
	if !allowed {
		p.counts.throttles.Add(1)
		return ports.ErrStoreThrottled
	}
	if write {
		p.counts.writes.Add(1)
	} else {
		p.counts.reads.Add(1)
	}
	return nil
}
