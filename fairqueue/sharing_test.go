package fairqueue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"greengagespoke/domain"
)

// The simulation compares weighted fair queueing between two callers with the cap
// of Partial Pooling with Repacking (PPR) of V. Hari Rohit, Akshay Mete,
// D. Manjunath, Jayakrishnan Nair and Balakrishna Prabhu, "Partial Server Pooling
// in Delay Systems" (2024): a caller's request is eligible while the caller has
// fewer requests in service than its own slots plus those that the other caller
// shares. Each caller owns half of the slots.
const (
	simulatedSlots      = 120
	simulatedSeconds    = 1200.0
	warmupSeconds       = 300.0
	intervalSeconds     = 10.0
	maxWaitingPerCaller = 200
	targetWaitSeconds   = 5.0
)

// callerLoad is the load of one caller: its offered load relative to its half of
// the slots, and the mean service time of a request in seconds.
type callerLoad struct {
	offeredLoad, meanService float64
}

// job is one request: the index of its caller, and its arrival and service times
// in seconds.
type job struct {
	caller           int
	arrived, service float64
}

// policy queues requests and decides which of them is served next.
type policy interface {
	push(j *job)
	// next dequeues the next request, or returns nil if none is eligible. used is the
	// number of slots in use by each caller.
	next(used [2]int) *job
	waiting(caller int) int
	complete(j *job)
}

// pprPolicy serves the eligible request that arrived first. Each caller shares
// sharedSlots of its slots.
type pprPolicy struct {
	sharedSlots int
	queues      [2][]*job
}

func (r *pprPolicy) push(j *job)            { r.queues[j.caller] = append(r.queues[j.caller], j) }
func (r *pprPolicy) waiting(caller int) int { return len(r.queues[caller]) }
func (r *pprPolicy) complete(*job)          {}

func (r *pprPolicy) next(used [2]int) *job {
	first := -1
	for caller, q := range r.queues {
		if len(q) == 0 || used[caller] >= simulatedSlots/2+r.sharedSlots {
			continue
		}
		if first < 0 || q[0].arrived < r.queues[first][0].arrived {
			first = caller
		}
	}
	if first < 0 {
		return nil
	}
	j := r.queues[first][0]
	r.queues[first] = r.queues[first][1:]
	return j
}

// fairPolicy is the queue of this package, charged as the keeper charges it: the
// expected service when a request is served, and the difference to the actual
// service when it is complete.
type fairPolicy struct {
	queue *Queue[*job]
	loads [2]callerLoad
}

func callerID(caller int) domain.CallerID { return domain.CallerID(fmt.Sprint(caller)) }

func (r *fairPolicy) push(j *job) {
	r.queue.Push(&Entry[*job]{Value: j, Caller: callerID(j.caller), Class: domain.ClassPatient, Cost: r.loads[j.caller].meanService})
}

func (r *fairPolicy) next([2]int) *job {
	e := r.queue.Serve(func(*Entry[*job]) Verdict { return Accept })
	if e == nil {
		return nil
	}
	return e.Value
}

func (r *fairPolicy) waiting(caller int) int { return r.queue.Waiting(callerID(caller)) }

func (r *fairPolicy) complete(j *job) {
	r.queue.Charge(callerID(j.caller), domain.ClassPatient, 1, j.service-r.loads[j.caller].meanService)
}

// results are the measurements of one simulation, by caller where they are arrays.
type results struct {
	// throughput is the completed requests per second, lateFraction the fraction of
	// started requests that waited longer than targetWaitSeconds, rejectedFraction
	// the fraction of arrived requests rejected by maxWaitingPerCaller.
	throughput, lateFraction, rejectedFraction [2]float64
	// utilization is the mean fraction of the slots in use. fairness is the mean of
	// Jain's index of the service of both callers over the intervals after the
	// warmup in which both had requests waiting throughout, and intervals is the
	// number of these.
	utilization, fairness float64
	intervals             int
}

// String formats the results.
func (m results) String() string {
	return fmt.Sprintf("throughput %.2f late %.3f rejected %.3f utilization %.3f fairness %.3f over %d",
		m.throughput, m.lateFraction, m.rejectedFraction, m.utilization, m.fairness, m.intervals)
}

type event struct {
	at     float64
	job    *job // nil for the arrival of a new request
	caller int
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulate runs the requests of two callers on shared slots under a policy, in
// simulated time.
func simulate(loads [2]callerLoad, scheduler policy) results {
	rng := rand.New(rand.NewPCG(1, 2))
	var res results
	var queue events
	var slotsInUse [2]int
	var arrived, started, done, late, rejected [2]float64
	var slotSeconds, intervalSlotSeconds [2]float64
	bothBacklogged, intervalEnd, lastEventAt := true, intervalSeconds, 0.0
	arrive := func(caller int, now float64) {
		rate := loads[caller].offeredLoad * simulatedSlots / 2 / loads[caller].meanService
		heap.Push(&queue, event{at: now + rng.ExpFloat64()/rate, caller: caller})
	}
	arrive(0, 0)
	arrive(1, 0)
	for queue[0].at < simulatedSeconds {
		e := heap.Pop(&queue).(event)
		for caller := range slotsInUse {
			intervalSlotSeconds[caller] += float64(slotsInUse[caller]) * (e.at - lastEventAt)
			slotSeconds[caller] += float64(slotsInUse[caller]) * (e.at - lastEventAt)
		}
		lastEventAt = e.at
		if e.job != nil {
			slotsInUse[e.caller]--
			scheduler.complete(e.job)
			done[e.caller]++
		} else {
			arrive(e.caller, e.at)
			arrived[e.caller]++
			j := &job{caller: e.caller, arrived: e.at, service: rng.ExpFloat64() * loads[e.caller].meanService}
			if scheduler.waiting(e.caller) >= maxWaitingPerCaller {
				rejected[e.caller]++
			} else {
				scheduler.push(j)
			}
		}
		for slotsInUse[0]+slotsInUse[1] < simulatedSlots {
			j := scheduler.next(slotsInUse)
			if j == nil {
				break
			}
			slotsInUse[j.caller]++
			started[j.caller]++
			if e.at-j.arrived > targetWaitSeconds {
				late[j.caller]++
			}
			heap.Push(&queue, event{at: e.at + j.service, job: j, caller: j.caller})
		}
		bothBacklogged = bothBacklogged && scheduler.waiting(0) > 0 && scheduler.waiting(1) > 0
		if e.at >= intervalEnd {
			if bothBacklogged && e.at > warmupSeconds {
				a, b := intervalSlotSeconds[0], intervalSlotSeconds[1]
				res.fairness += (a + b) * (a + b) / (2 * (a*a + b*b))
				res.intervals++
			}
			intervalSlotSeconds, bothBacklogged, intervalEnd = [2]float64{}, true, intervalEnd+intervalSeconds
		}
	}
	for caller := range loads {
		res.throughput[caller] = done[caller] / simulatedSeconds
		res.lateFraction[caller] = late[caller] / max(1, started[caller])
		res.rejectedFraction[caller] = rejected[caller] / max(1, arrived[caller])
	}
	res.utilization = (slotSeconds[0] + slotSeconds[1]) / (simulatedSeconds * simulatedSlots)
	if res.intervals > 0 {
		res.fairness /= float64(res.intervals)
	}
	return res
}

// TestSharingPolicies compares the policies and checks the conclusion of the design
// note: with a cap that allows as high a utilization as weighted fair queueing
// under an uneven load, a caller waits longer if the other one sends ten times its
// share; with a lower cap, slots stay idle.
func TestSharingPolicies(t *testing.T) {
	scenarios := []struct {
		name  string
		loads [2]callerLoad
	}{
		{"peak", [2]callerLoad{{0.95, 7}, {0.95, 7}}},
		{"uneven", [2]callerLoad{{1.25, 7}, {0.7, 7}}},
		{"tenfold", [2]callerLoad{{9.5, 7}, {0.95, 7}}},
		{"long", [2]callerLoad{{1.25, 21}, {1.25, 7}}},
	}
	fair, capped := make(map[string]results), make(map[string]map[int]results)
	for _, scenario := range scenarios {
		fair[scenario.name] = simulate(scenario.loads, &fairPolicy{queue: New[*job](DefaultPatientShare), loads: scenario.loads})
		t.Logf("%-8s fair    %v", scenario.name, fair[scenario.name])
		capped[scenario.name] = make(map[int]results)
		for _, k := range []int{0, 10, 30, 60} {
			capped[scenario.name][k] = simulate(scenario.loads, &pprPolicy{sharedSlots: k})
			t.Logf("%-8s ppr %2d  %v", scenario.name, k, capped[scenario.name][k])
		}
	}
	for _, k := range []int{0, 10, 30, 60} {
		usesAsMuch := capped["uneven"][k].utilization >= fair["uneven"].utilization-0.01
		protects := capped["tenfold"][k].lateFraction[1] <= fair["tenfold"].lateFraction[1]
		if usesAsMuch && protects {
			t.Errorf("PPR with %d shared slots reaches the same utilization and protects the other caller as well, which contradicts the design note", k)
		}
	}
}
