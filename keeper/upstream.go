package keeper

import (
	"slices"
	"time"

	"greengagespoke/domain"
	"greengagespoke/placement"
	"greengagespoke/ports"
)

const (
	// failureBound is the number of failed calls in a row after which an upstream
	// receives no grants.
	failureBound = 2
	// failedGrantBound is the number of grants in a row that ended by a failure
	// after which an upstream receives no grants for restTime.
	failedGrantBound = 3
	// restTime is how long an upstream with failed grants is left out.
	restTime = 5 * time.Second
	// workLogTime is how long granted prefill work is remembered, to be added to
	// late load reports.
	workLogTime = 10 * time.Second
)

// upstreamState is what the keeper knows of an upstream in any role.
type upstreamState struct {
	up domain.Upstream
	// zone is the index of its availability zone in the snapshot.
	zone int
	// listed says that the engine answered a listing since the group is kept
	// here; before that nothing is known of its use.
	listed bool
	// listing says that a listing is under way, and listAgain that another is
	// wanted after it.
	listing, listAgain bool
	// crash is a reported crash that a listing has not confirmed yet.
	crash *crash
	// crashedAt is the time of the last reported crash.
	crashedAt time.Time
	// failures counts failed calls in a row, failedGrants failed grants.
	failures, failedGrants int
	// restUntil is the end of the time for which it receives no grants.
	restUntil time.Time
	leaving   bool
	// strays are the listed attempts that no grant covers.
	strays      map[domain.AttemptID]stray
	straySlots  int
	strayPieces int
}

// stray is an attempt on an engine that no grant covers.
type stray struct {
	since  time.Time
	pieces int
	role   domain.Role
	holder domain.HostID
}

// usable returns whether the upstream may receive grants.
func (u *upstreamState) usable(now time.Time) bool {
	return u.listed && !u.leaving && u.failures < failureBound && !now.Before(u.restUntil)
}

// rest takes the upstream out for a while after failed grants.
func (u *upstreamState) rest(now time.Time) {
	u.failedGrants = 0
	u.restUntil = now.Add(restTime)
}

// setStrays replaces the attempts that no grant covers.
func (u *upstreamState) setStrays(strays map[domain.AttemptID]stray) {
	u.strays = strays
	u.straySlots, u.strayPieces = 0, 0
	for _, s := range strays {
		u.count(s, 1)
	}
}

// dropStray forgets an attempt that a grant covers now or that has ended.
func (u *upstreamState) dropStray(id domain.AttemptID) {
	if s, ok := u.strays[id]; ok {
		delete(u.strays, id)
		u.count(s, -1)
	}
}

func (u *upstreamState) count(s stray, sign int) {
	if s.role != domain.RolePrefill {
		u.straySlots += sign
		u.strayPieces += sign * s.pieces
	}
}

// decodeState is what the keeper knows of one decode upstream.
type decodeState struct {
	upstreamState
	// slots and pieces are granted, with promised places included.
	slots, pieces int
	suspects      int
	// promises are the grants whose place is not free yet, the oldest first, and
	// promisedPieces their memory.
	promises       []*grant
	promisedPieces int
	// grants are the grants on the upstream, the oldest first.
	grants []*grant
	// reservedFor is the waiting request that the next places are kept for.
	reservedFor *waiter
}

func (d *decodeState) take(g *grant) {
	d.slots++
	d.pieces += g.Pieces
	if g.Suspect {
		d.suspects++
	}
	d.grants = append(d.grants, g)
	d.dropStray(g.Request)
}

func (d *decodeState) give(g *grant) {
	at := slices.Index(d.grants, g)
	if at < 0 {
		return
	}
	d.unpromise(g)
	d.grants = slices.Delete(d.grants, at, at+1)
	d.slots--
	d.pieces -= g.Pieces
	if g.Suspect {
		d.suspects--
	}
}

// freeSlots and freePieces are what is not granted, promised or used by strays.
func (d *decodeState) freeSlots() int  { return d.up.Slots - d.slots - d.straySlots }
func (d *decodeState) freePieces() int { return d.up.Pieces - d.pieces - d.strayPieces }

func (d *decodeState) snapshot(now time.Time) placement.Decode {
	return placement.Decode{
		ID:         d.up.ID,
		Zone:       d.zone,
		Slots:      d.up.Slots,
		FreeSlots:  d.freeSlots(),
		Pieces:     d.up.Pieces,
		FreePieces: d.freePieces(),
		LinkRate:   d.up.LinkRate,
		Suspects:   d.suspects,
		Innocents:  d.slots - d.suspects,
		Unusable:   !d.usable(now),
	}
}

// prefillState is what the keeper knows of one prefill upstream.
type prefillState struct {
	upstreamState
	// position names the upstream in the prefix index.
	position int
	// busyUntil is the predicted end of the granted prefill work, suspectUntil that
	// of the work of suspects. linkUntil is the end of the granted transfers if
	// they ran without a break; it does not follow busyUntil, so that an error of
	// that prediction, which load reports correct, does not stay in it.
	busyUntil, linkUntil, suspectUntil time.Time
	// log holds recently granted work in order of time.
	log []prefillWork
	// lastEvent is the time of the last cache event.
	lastEvent time.Time
	polling   bool
}

// prefillWork is the prefill of one grant.
type prefillWork struct {
	at   time.Time
	time time.Duration
}

func (p *prefillState) snapshot(now time.Time) placement.Prefill {
	return placement.Prefill{
		ID:        p.up.ID,
		Zone:      p.zone,
		Position:  p.position,
		Rate:      float64(p.up.PrefillRate),
		Queue:     max(0, p.busyUntil.Sub(now)),
		LinkRate:  p.up.LinkRate,
		LinkQueue: max(0, p.linkUntil.Sub(now)),
		Suspect:   now.Before(p.suspectUntil),
		Unusable:  !p.usable(now),
	}
}

// plan adds the work of a granted pair to the upstream's queues.
func (p *prefillState) plan(now time.Time, pair placement.Pair, suspect bool) {
	p.busyUntil = latest(now, p.busyUntil).Add(pair.PrefillWork)
	p.linkUntil = latest(now, p.linkUntil).Add(pair.Transfer)
	if suspect {
		p.suspectUntil = latest(p.suspectUntil, p.busyUntil.Add(pair.Transfer))
	}
	p.log = append(p.log, prefillWork{at: now, time: pair.PrefillWork})
}

// correct replaces the predicted queue by a load report and the work that was
// granted after it.
func (p *prefillState) correct(now time.Time, load ports.Load) {
	if p.up.PrefillRate <= 0 || load.Age > workLogTime {
		return
	}
	reported := now.Add(-load.Age)
	queued := float64(load.QueuedTokens) / float64(p.up.PrefillRate)
	busy := reported.Add(time.Duration(queued * float64(time.Second)))
	for _, w := range p.log {
		if w.at.After(reported) {
			busy = latest(busy, w.at).Add(w.time)
		}
	}
	p.busyUntil = busy
	p.trimLog(now)
}

func (p *prefillState) trimLog(now time.Time) {
	old := 0
	for old < len(p.log) && now.Sub(p.log[old].at) > workLogTime {
		old++
	}
	p.log = append(p.log[:0], p.log[old:]...)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
