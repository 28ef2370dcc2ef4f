package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"greengagespoke/domain"
	"greengagespoke/platform/platformtest"
	"greengagespoke/platform/wire"
	"greengagespoke/storerelay"
)

const (
	// hostsGone is the number of machines that were taken away for good before the case begins.
	hostsGone = 8
	fleetSize = 9
	// cutFor is how long one machine is cut off from the store, frozenFor how long another one is frozen.
	cutFor    = 4 * time.Second
	frozenFor = 3500 * time.Millisecond
	// spellCount is the number of such spells, spellGap the time from the start of one to that of the next.
	spellCount = 6
	spellGap   = 11 * time.Second
	// requestGap is the time between two requests at each host: the sheet's 20.7 a second for the
	// service, on nine machines.
	requestGap = 435 * time.Millisecond
)

// goneMachines plays a fleet of nine hosts that had eight more in its history. In several spells one
// machine is cut off from the store while another one is frozen, and a worker reports that it drains as
// a spell begins. It checks DRAIN for the requests of the other seven hosts.
func goneMachines(l *lab, trouble bool) (verdict, error) {
	var mu sync.Mutex
	type arrival struct {
		at     time.Time
		id     string
		worker string
	}
	var arrivals []arrival
	takenBy := make(map[string]*host)
	workers := make(map[string]*platformtest.Worker)
	defer func() {
		for _, w := range workers {
			w.Close()
		}
	}()
	serial := 0
	addWorker := func(zone string) *platformtest.Worker {
		serial++
		w := platformtest.NewWorker(fmt.Sprintf("i-%02d", serial), ledgerService, zone, "")
		w.SetLatency(15 * time.Millisecond)
		w.OnArrival(func(w *platformtest.Worker, r *http.Request) {
			id := r.Header.Get(wire.HeaderRequestID)
			l.note("request %s reaches worker %s", id, w.ID)
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{time.Now(), id, w.ID})
		})
		workers[w.ID] = w
		w.Register(l.store, "ready")
		l.note("worker %s registers", w.ID)
		return w
	}
	serving := make(map[string]*platformtest.Worker)
	for _, zone := range hostZones {
		serving[zone] = addWorker(zone)
	}
	l.store.Configure(1, hostName, []platformtest.Route{{Prefix: ledgerPrefix, Kind: platformtest.KindOnce, Service: ledgerService, Attempts: 2}})

	// The machines of the past: they serve for a moment and are taken away as planned.
	if err := l.startHosts(hostsGone); err != nil {
		return verdict{}, err
	}
	for _, h := range l.hosts {
		h.signal(syscall.SIGTERM)
	}
	for _, h := range l.hosts {
		<-h.ended
	}
	past := l.hosts
	l.hosts = nil
	defer func() { l.hosts = append(l.hosts, past...) }()
	if err := l.startHosts(fleetSize); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var loads sync.WaitGroup
	for _, h := range l.hosts {
		loads.Go(func() {
			l.loadEvery(requestGap, stop, func(c *http.Client) {
				a := l.prepare()
				mu.Lock()
				takenBy[a.id] = h
				mu.Unlock()
				l.send(c, h, a, http.MethodPost, ledgerPath, ledgerDeadline, `{"closure":1}`)
			})
		})
	}
	defer func() {
		close(stop)
		loads.Wait()
	}()
	time.Sleep(10 * time.Second)

	late := 0
	for n := range spellCount {
		began := time.Now()
		zone := hostZones[n%len(hostZones)]
		cut, frozen := l.relaysOf(zone)
		if trouble {
			cut.link.setCut(true)
			frozen.signal(syscall.SIGSTOP)
			l.note("%s is cut off from the store, %s is frozen", cut.name, frozen.name)
		}
		time.Sleep(50 * time.Millisecond)
		old := serving[zone]
		old.Register(l.store, "draining")
		drainedAt := time.Now()
		l.note("worker %s reports that it drains, acknowledged", old.ID)
		time.Sleep(time.Until(began.Add(frozenFor)))
		frozen.signal(syscall.SIGCONT)
		time.Sleep(time.Until(began.Add(cutFor)))
		cut.link.setCut(false)
		l.note("no machine is cut off or frozen")
		l.store.Delete(wire.TableUpstreams, old.ID)
		old.Close()
		delete(workers, old.ID)
		l.note("worker %s exits", old.ID)
		serving[zone] = addWorker(zone)
		bound := drainedAt.Add(drainTime + inFlight)
		mu.Lock()
		for _, a := range arrivals {
			by := takenBy[a.id]
			if a.worker != old.ID || !a.at.After(bound) || by == cut || by == frozen {
				continue
			}
			late++
			l.note("request %s reached worker %s by %s, which is in touch, %.3f s after its report was acknowledged",
				a.id, old.ID, by.name, a.at.Sub(drainedAt).Seconds())
		}
		mu.Unlock()
		time.Sleep(time.Until(began.Add(spellGap)))
	}
	return verdict{late > 0, fmt.Sprintf("%d requests of hosts in touch reached draining workers later than drain_ms, in %d spells", late, spellCount)}, nil
}

// relaysOf returns the hosts from which the others of an availability zone read the store: the one of
// their own zone, and the one of another zone that they ask next.
func (l *lab) relaysOf(zone string) (own, next *host) {
	members := make([]domain.Member, len(l.hosts))
	byName := make(map[domain.HostID]*host)
	for i, h := range l.hosts {
		members[i] = domain.Member{ID: domain.HostID(h.name), Zone: domain.Zone(h.zone), State: domain.MemberAlive, Incarnation: 1}
		byName[domain.HostID(h.name)] = h
	}
	for n := range hostsGone {
		members = append(members, domain.Member{ID: domain.HostID(fmt.Sprint("gone-", n)), State: domain.MemberDead, Incarnation: 1})
	}
	for _, h := range l.hosts {
		readers, direct := storerelay.RelaysFor(domain.HostID(h.name), members)
		if h.zone == zone && !direct {
			return byName[readers[0]], byName[readers[len(readers)-1]]
		}
	}
	return nil, nil
}
