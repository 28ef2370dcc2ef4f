package keeper

import (
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/placement"
	"greengagespoke/ports"
)

const (
	// maxFailedCalls is the number of failed calls in a row after which an upstream
	// receives no grants.
	maxFailedCalls = 2
	// maxFailedGrants is the number of failed grants in a row after which an
	// upstream receives no grants for failedGrantBackoff.
	maxFailedGrants = 3
	// failedGrantBackoff is how long an upstream with failed grants is taken out of
	// rotation.
	failedGrantBackoff = 5 * time.Second
	// recentWorkRetention is how long granted prefill work is kept, so that it can
	// be added to load reports that arrive late.
	recentWorkRetention = 10 * time.Second
)

// upstreamState is the state of an upstream of any role.
type upstreamState struct {
	up domain.Upstream
	// zone is the index of the upstream's availability zone in the snapshot.
	zone int
	// listed is true once the engine answered a listing since this host keeps the
	// group. Before that, the use of the engine is unknown.
	listed bool
	// listing is true while a listing is in flight, and listingPending if another
	// one is to follow it.
	listing, listingPending bool
	// reportedCrash is a reported crash that no listing has confirmed or denied
	// yet.
	reportedCrash *crashReport
	// crashedAt is the time of the last reported crash.
	crashedAt time.Time
	// failedCalls and failedGrants count the failed calls and the failed grants in
	// a row.
	failedCalls, failedGrants int
	// backoffUntil is the end of the time for which the upstream receives no grants
	// after failed grants.
	backoffUntil time.Time
	leaving      bool
	// strays are the listed attempts that no grant covers. straySlots and
	// strayPieces are the slots and the memory that they use.
	strays      map[domain.AttemptID]stray
	straySlots  int
	strayPieces int
}

// stray is an attempt on an engine that no grant covers.
type stray struct {
	firstSeen time.Time
	pieces    int
	role      domain.Role
	holder    domain.HostID
}

// usable returns whether the upstream may receive grants.
func (u *upstreamState) usable(now time.Time) bool {
	return u.listed && !u.leaving && u.failedCalls < maxFailedCalls && !now.Before(u.backoffUntil)
}

// backOff takes the upstream out of rotation for failedGrantBackoff.
func (u *upstreamState) backOff(now time.Time) {
	u.failedGrants = 0
	u.backoffUntil = now.Add(failedGrantBackoff)
}

// setStrays replaces the attempts that no grant covers.
func (u *upstreamState) setStrays(strays map[domain.AttemptID]stray) {
	u.strays = strays
	u.straySlots, u.strayPieces = 0, 0
	for _, s := range strays {
		u.addStrayUsage(s, 1)
	}
}

// dropStray removes an attempt that a grant covers now or that has ended.
func (u *upstreamState) dropStray(id domain.AttemptID) {
	if s, ok := u.strays[id]; ok {
		delete(u.strays, id)
		u.addStrayUsage(s, -1)
	}
}

func (u *upstreamState) addStrayUsage(s stray, sign int) {
	if s.role != domain.RolePrefill {
		u.straySlots += sign
		u.strayPieces += sign * s.pieces
	}
}

// decodeState is the state of one decode upstream.
type decodeState struct {
	upstreamState
	// slots and pieces are the granted slots and memory, including promised ones.
	slots, pieces int
	suspectGrants int
	// promises are the grants whose slot is not free yet, the oldest first, and
	// promisedPieces is their memory.
	promises       []*grant
	promisedPieces int
	// grants are the grants on the upstream, the oldest first.
	grants []*grant
	// reservedFor is the waiting request for which the next free slots are
	// reserved.
	reservedFor *waiter
}

func (d *decodeState) addGrant(g *grant) {
	d.slots++
	d.pieces += g.Pieces
	if g.Suspect {
		d.suspectGrants++
	}
	d.grants = append(d.grants, g)
	d.dropStray(g.Request)
}

func (d *decodeState) removeGrant(g *grant) {
	at := slices.Index(d.grants, g)
	if at < 0 {
		return
	}
	d.removePromise(g)
	d.grants = slices.Delete(d.grants, at, at+1)
	d.slots--
	d.pieces -= g.Pieces
	if g.Suspect {
		d.suspectGrants--
	}
}

// freeSlots and freePieces return what is not granted, promised or used by
// strays.
func (d *decodeState) freeSlots() int  { return d.up.Slots - d.slots - d.straySlots }
func (d *decodeState) freePieces() int { return d.up.Pieces - d.pieces - d.strayPieces }

func (d *decodeState) snapshot(now time.Time) placement.Decode {
	return placement.Decode{
		ID:          d.up.ID,
		Zone:        d.zone,
		Slots:       d.up.Slots,
		FreeSlots:   d.freeSlots(),
		Pieces:      d.up.Pieces,
		FreePieces:  d.freePieces(),
		LinkRate:    d.up.LinkRate,
		Suspects:    d.suspectGrants,
		NonSuspects: d.slots - d.suspectGrants,
		Unusable:    !d.usable(now),
	}
}

// prefillState is the state of one prefill upstream.
type prefillState struct {
	upstreamState
	// position identifies the upstream in the prefix index.
	position int
	// busyUntil is the predicted end of the granted prefill work, and suspectUntil
	// that of the prefills and transfers of suspect requests. linkBusyUntil is the
	// end of the granted transfers if they ran back to back. It is not derived from
	// busyUntil: load reports correct errors in busyUntil, but such errors would
	// stay in linkBusyUntil.
	busyUntil, linkBusyUntil, suspectUntil time.Time
	// recentWork holds the recently granted work in order of time.
	recentWork []prefillWork
	// lastCacheEvent is the time of the last cache event or resync.
	lastCacheEvent time.Time
	polling        bool
}

// prefillWork is the predicted prefill work of one grant.
type prefillWork struct {
	grantedAt time.Time
	duration  time.Duration
}

func (p *prefillState) snapshot(now time.Time) placement.Prefill {
	return placement.Prefill{
		ID:             p.up.ID,
		Zone:           p.zone,
		IndexPosition:  p.position,
		Rate:           float64(p.up.PrefillRate),
		QueueDelay:     max(0, p.busyUntil.Sub(now)),
		LinkRate:       p.up.LinkRate,
		LinkQueueDelay: max(0, p.linkBusyUntil.Sub(now)),
		Suspect:        now.Before(p.suspectUntil),
		Unusable:       !p.usable(now),
	}
}

// addWork adds the work of a granted pair to the upstream's queues.
func (p *prefillState) addWork(now time.Time, pair placement.Pair, suspect bool) {
	p.busyUntil = later(now, p.busyUntil).Add(pair.PrefillDuration)
	p.linkBusyUntil = later(now, p.linkBusyUntil).Add(pair.Transfer)
	if suspect {
		p.suspectUntil = later(p.suspectUntil, p.busyUntil.Add(pair.Transfer))
	}
	p.recentWork = append(p.recentWork, prefillWork{grantedAt: now, duration: pair.PrefillDuration})
}

// applyLoadReport replaces the predicted queue by a load report plus the work
// that was granted after the report was made.
func (p *prefillState) applyLoadReport(now time.Time, load ports.Load) {
	if p.up.PrefillRate <= 0 || load.Age > recentWorkRetention {
		return
	}
	reported := now.Add(-load.Age)
	queued := float64(load.QueuedTokens) / float64(p.up.PrefillRate)
	busy := reported.Add(time.Duration(queued * float64(time.Second)))
	for _, w := range p.recentWork {
		if w.grantedAt.After(reported) {
			busy = later(busy, w.grantedAt).Add(w.duration)
		}
	}
	p.busyUntil = busy
	p.trimRecentWork(now)
}

func (p *prefillState) trimRecentWork(now time.Time) {
	old := 0
	for old < len(p.recentWork) && now.Sub(p.recentWork[old].grantedAt) > recentWorkRetention {
		old++
	}
	p.recentWork = append(p.recentWork[:0], p.recentWork[old:]...)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
