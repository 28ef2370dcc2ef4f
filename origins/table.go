package origins

import (
	"sync"
	"time"

	"greengagespoke/internal/bounded"
	"greengagespoke/ports"
)

const (
	// maxOrigins bounds the streams whose origins a host keeps.
	maxOrigins = 16384
	// maxTTL bounds how long an origin is kept.
	maxTTL = 5 * time.Minute
	// maxRequestBytes is the longest request identifier that is kept.
	maxRequestBytes = 128
)

// table holds the origins that this host keeps, its own and those of other hosts.
type table struct {
	mu            sync.Mutex
	byRequest     *bounded.Map[string, entry]
	byFingerprint *bounded.Map[uint64, entry]
}

// entry is one origin. ambiguous means that streams of several versions have the key, or of one that
// is not known.
type entry struct {
	origin    ports.StreamOrigin
	ambiguous bool
	expires   time.Time
}

func newTable() *table {
	return &table{byRequest: bounded.New[string, entry](maxOrigins), byFingerprint: bounded.New[uint64, entry](maxOrigins)}
}

func (t *table) keep(origin ports.StreamOrigin, now time.Time) {
	if origin.Request == "" || len(origin.Request) > maxRequestBytes || origin.TTL <= 0 {
		return
	}
	// A stream at an unknown version is kept, as it may be meant by its content.
	added := entry{origin: origin, ambiguous: origin.Version == "", expires: now.Add(min(origin.TTL, maxTTL))}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !origin.Announced {
		t.byRequest.Put(origin.Request, t.byRequest.Entries[origin.Request].merge(added, now))
	}
	if origin.Fingerprint != 0 {
		t.byFingerprint.Put(origin.Fingerprint, t.byFingerprint.Entries[origin.Fingerprint].merge(added, now))
	}
}

// merge returns the entry for a key that has one already, which may be expired.
func (e entry) merge(added entry, now time.Time) entry {
	if !now.Before(e.expires) {
		return added
	}
	if e.expires.After(added.expires) {
		added.expires = e.expires
	}
	if e.origin.Announced && e.origin.Request == added.origin.Request && !e.ambiguous {
		return added
	}
	added.ambiguous = added.ambiguous || e.ambiguous || e.origin.Service != added.origin.Service || e.origin.Version != added.origin.Version
	return added
}

func (t *table) find(query ports.OriginQuery, now time.Time) ports.OriginReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.byRequest.Entries[query.Request]
	if query.Request == "" {
		found = t.byFingerprint.Entries[query.Fingerprint]
	}
	if !now.Before(found.expires) {
		return ports.OriginReply{}
	}
	return ports.OriginReply{Known: !found.ambiguous, Ambiguous: found.ambiguous, Origin: found.origin}
}

// removeExpired removes the origins of streams that can no longer be taken up.
func (t *table) removeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.byRequest.Entries {
		if !now.Before(e.expires) {
			t.byRequest.Remove(key)
		}
	}
	for key, e := range t.byFingerprint.Entries {
		if !now.Before(e.expires) {
			t.byFingerprint.Remove(key)
		}
	}
}
