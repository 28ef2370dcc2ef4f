package fairqueue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"greengagespoke/domain"
)

// The trial compares weighted fair queueing between two rival firms with the cap
// of Partial Pooling with Repacking (PPR) of V. Hari Rohit, Akshay Mete,
// D. Manjunath, Jayakrishnan Nair and Balakrishna Prabhu, "Partial Server Pooling
// in Delay Systems" (2024): a firm's request is eligible while fewer of the firm's
// are in service than its own places plus those that the other firm shares.
const (
	trialPlaces   = 120
	trialSeconds  = 1200.0
	trialWarmup   = 300.0
	trialInterval = 10.0
	trialWaiting  = 200
	trialTarget   = 5.0
)

// firm is the load of one firm: its offered load over its half of the places,
// and the mean time in seconds for which a request holds a place.
type firm struct {
	load, hold float64
}

// job is one request: a wait and a time of service.
type job struct {
	firm          int
	arrived, hold float64
}

// rule decides which waiting request is served next.
type rule interface {
	push(j *job)
	// next returns the next request, given the places that each firm uses.
	next(used [2]int) *job
	waiting(firm int) int
	done(j *job)
}

// pprRule serves the earliest eligible request. Each firm shares k places.
type pprRule struct {
	k      int
	queues [2][]*job
}

func (r *pprRule) push(j *job)          { r.queues[j.firm] = append(r.queues[j.firm], j) }
func (r *pprRule) waiting(firm int) int { return len(r.queues[firm]) }
func (r *pprRule) done(*job)            {}

func (r *pprRule) next(used [2]int) *job {
	first := -1
	for f, q := range r.queues {
		if len(q) == 0 || used[f] >= trialPlaces/2+r.k {
			continue
		}
		if first < 0 || q[0].arrived < r.queues[first][0].arrived {
			first = f
		}
	}
	if first < 0 {
		return nil
	}
	j := r.queues[first][0]
	r.queues[first] = r.queues[first][1:]
	return j
}

// fairRule is the queue of this package, charged as the keeper charges it: the
// expected service when a request is served, the rest when it is done.
type fairRule struct {
	queue *Queue[*job]
	firms [2]firm
}

func caller(firm int) domain.CallerID { return domain.CallerID(fmt.Sprint(firm)) }

func (r *fairRule) push(j *job) {
	r.queue.Push(&Entry[*job]{Value: j, Caller: caller(j.firm), Class: domain.ClassPatient, Cost: r.firms[j.firm].hold})
}

func (r *fairRule) next([2]int) *job {
	e := r.queue.Serve(func(*Entry[*job]) Verdict { return Accept })
	if e == nil {
		return nil
	}
	return e.Value
}

func (r *fairRule) waiting(firm int) int { return r.queue.Waiting(caller(firm)) }

func (r *fairRule) done(j *job) {
	r.queue.Charge(caller(j.firm), domain.ClassPatient, 1, j.hold-r.firms[j.firm].hold)
}

// measures are the outcomes of one run.
type measures struct {
	// rate is the requests done per second, late the part that waited longer than
	// the target, lost the part turned away by the bound on waiting.
	rate, late, lost [2]float64
	// used is the part of the places in use, fairness Jain's index of the service
	// of both firms over the intervals in which both had requests waiting
	// throughout, and intervals their number.
	used, fairness float64
	intervals      int
}

// String shows the measures of both firms, the rival second.
func (m measures) String() string {
	return fmt.Sprintf("rate %.2f late %.3f lost %.3f used %.3f fairness %.3f over %d",
		m.rate, m.late, m.lost, m.used, m.fairness, m.intervals)
}

type event struct {
	at  float64
	job *job // nil on an arrival of the firm
	of  int
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

// share runs two firms on shared places under a rule in virtual time.
func share(firms [2]firm, r rule) measures {
	rng := rand.New(rand.NewPCG(1, 2))
	var m measures
	var queue events
	var used [2]int
	var sent, started, done, late, lost [2]float64
	var service, interval [2]float64
	both, intervalEnd, last := true, trialInterval, 0.0
	arrive := func(f int, now float64) {
		rate := firms[f].load * trialPlaces / 2 / firms[f].hold
		heap.Push(&queue, event{at: now + rng.ExpFloat64()/rate, of: f})
	}
	arrive(0, 0)
	arrive(1, 0)
	for queue[0].at < trialSeconds {
		e := heap.Pop(&queue).(event)
		for f := range used {
			interval[f] += float64(used[f]) * (e.at - last)
			service[f] += float64(used[f]) * (e.at - last)
		}
		last = e.at
		if e.job != nil {
			used[e.of]--
			r.done(e.job)
			done[e.of]++
		} else {
			arrive(e.of, e.at)
			sent[e.of]++
			j := &job{firm: e.of, arrived: e.at, hold: rng.ExpFloat64() * firms[e.of].hold}
			if r.waiting(e.of) >= trialWaiting {
				lost[e.of]++
			} else {
				r.push(j)
			}
		}
		for used[0]+used[1] < trialPlaces {
			j := r.next(used)
			if j == nil {
				break
			}
			used[j.firm]++
			started[j.firm]++
			if e.at-j.arrived > trialTarget {
				late[j.firm]++
			}
			heap.Push(&queue, event{at: e.at + j.hold, job: j, of: j.firm})
		}
		both = both && r.waiting(0) > 0 && r.waiting(1) > 0
		if e.at >= intervalEnd {
			if both && e.at > trialWarmup {
				a, b := interval[0], interval[1]
				m.fairness += (a + b) * (a + b) / (2 * (a*a + b*b))
				m.intervals++
			}
			interval, both, intervalEnd = [2]float64{}, true, intervalEnd+trialInterval
		}
	}
	for f := range firms {
		m.rate[f] = done[f] / trialSeconds
		m.late[f] = late[f] / max(1, started[f])
		m.lost[f] = lost[f] / max(1, sent[f])
	}
	m.used = (service[0] + service[1]) / (trialSeconds * trialPlaces)
	if m.intervals > 0 {
		m.fairness /= float64(m.intervals)
	}
	return m
}

// TestSharingRules measures the rules and checks the conclusion that the design
// note draws: where the cap lets the firms use as much as weighted fair queueing
// does under an uneven load, it makes the rival of a firm that sends ten times
// its share wait more, and where it does not, places stay empty.
func TestSharingRules(t *testing.T) {
	loads := []struct {
		name  string
		firms [2]firm
	}{
		{"peak", [2]firm{{0.95, 7}, {0.95, 7}}},
		{"uneven", [2]firm{{1.25, 7}, {0.7, 7}}},
		{"tenfold", [2]firm{{9.5, 7}, {0.95, 7}}},
		{"long", [2]firm{{1.25, 21}, {1.25, 7}}},
	}
	fair, capped := make(map[string]measures), make(map[string]map[int]measures)
	for _, load := range loads {
		fair[load.name] = share(load.firms, &fairRule{queue: New[*job](DefaultPatientShare), firms: load.firms})
		t.Logf("%-8s fair    %v", load.name, fair[load.name])
		capped[load.name] = make(map[int]measures)
		for _, k := range []int{0, 10, 30, 60} {
			capped[load.name][k] = share(load.firms, &pprRule{k: k})
			t.Logf("%-8s ppr %2d  %v", load.name, k, capped[load.name][k])
		}
	}
	for _, k := range []int{0, 10, 30, 60} {
		asMuch := capped["uneven"][k].used >= fair["uneven"].used-0.01
		protects := capped["tenfold"][k].late[1] <= fair["tenfold"].late[1]
		if asMuch && protects {
			t.Errorf("PPR with %d shared places uses as much and protects the rival as well; the design note is wrong", k)
		}
	}
}
