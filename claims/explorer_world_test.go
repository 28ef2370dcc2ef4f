package claims

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"
	"time"

	"greengagespoke/counters"
	"greengagespoke/domain"
	"greengagespoke/ports"
)

// callAttempt is one attempt at the call, sent through the given host.
type callAttempt struct {
	host    int
	attempt int
}

// request is a step that an attempt waits to make.
type request struct {
	kind string
	txn  ports.Txn
	key  string
}

// reply is the result of a step.
type reply struct {
	crash  bool
	result ports.TxnResult
	row    ports.Row
	ok     bool
	err    error
}

// actor executes one attempt.
type actor struct {
	callAttempt
	index      int
	simulation *simulation
	started    bool
	done       bool
	waiting    *request
	replies    chan reply
	// observed is everything that the attempt has learned from its replies.
	observed strings.Builder
	// lastStep is the number of the actor's latest step. It orders attempts that
	// wait for others on their host.
	lastStep int
	response ports.ServiceResponse
	err      error
}

// hostCrash is the panic value that ends an actor whose host crashed.
type hostCrash struct{}

type actorKey struct{}

// simulation is one run of the claim code. It implements ports.TableService.
type simulation struct {
	actors        []*actor
	claimers      []*Claimer
	crashed       []bool
	rows          map[string]ports.Row
	previousRows  map[string]ports.Row
	version       int64
	delayedWrites []ports.Txn
	executedBy    []int
	steps         int
	faults        int
	trace         []transition
}

func newSimulation(attempts []callAttempt, hosts, faults int) *simulation {
	sim := &simulation{rows: map[string]ports.Row{}, previousRows: map[string]ports.Row{}, faults: faults, crashed: make([]bool, hosts)}
	for host := range hosts {
		c := New(Config{Store: sim, Host: domain.HostID(fmt.Sprint("h", host)), Clock: fixedClock{}, Counters: counters.NewSet()})
		c.tryLimits = tryLimits{claim: 2, record: 2, poll: 1}
		c.sleep = func(ctx context.Context, _ time.Duration) error {
			sim.step(ctx, request{kind: "backoff"})
			return nil
		}
		made := 0
		c.nonce = func() string {
			made++
			return fmt.Sprintf("n%d.%d", host, made)
		}
		sim.claimers = append(sim.claimers, c)
	}
	for i, attempt := range attempts {
		sim.actors = append(sim.actors, &actor{callAttempt: attempt, index: i, simulation: sim, replies: make(chan reply)})
	}
	return sim
}

// step blocks the actor of ctx until the explorer delivers the reply.
func (s *simulation) step(ctx context.Context, req request) reply {
	a := ctx.Value(actorKey{}).(*actor)
	if s.crashed[a.host] {
		panic(hostCrash{})
	}
	a.waiting = &req
	r := <-a.replies
	if r.crash {
		panic(hostCrash{})
	}
	return r
}

// Get implements ports.TableService.
func (s *simulation) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	r := s.step(ctx, request{kind: "get", key: key})
	return r.row, r.ok, r.err
}

// Scan implements ports.TableService.
func (s *simulation) Scan(context.Context, string, string, int) ([]ports.Row, error) {
	panic("not used")
}

// Commit implements ports.TableService.
func (s *simulation) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	r := s.step(ctx, request{kind: "commit", txn: txn})
	return r.result, r.err
}

func (a *actor) run() {
	defer func() {
		a.done = true
		if p := recover(); p != nil {
			if _, ok := p.(hostCrash); !ok {
				panic(p)
			}
			a.err = fmt.Errorf("host crashed")
		}
	}()
	ctx := context.WithValue(context.Background(), actorKey{}, a)
	call := Call{Caller: "c", Key: "k", Digest: 1, Attempt: a.attempt}
	a.response, a.err = a.simulation.claimers[a.host].Execute(ctx, call, func(ctx context.Context) (ports.ServiceResponse, error) {
		r := a.simulation.step(ctx, request{kind: "send"})
		return ports.ServiceResponse{Status: 200, Body: fmt.Append(nil, a.index)}, r.err
	})
}

// transition is one way in which a run can continue. Its index is that of an
// attempt, a host or a delayed write.
type transition struct {
	index int
	kind  string
	name  string
	fault bool
	do    func()
}

func (m transition) String() string { return fmt.Sprint(m.index, " ", m.kind, " ", m.name) }

// transitions lists the ways in which the run can continue, in a fixed order so
// that paths can be replayed.
func (s *simulation) transitions() []transition {
	var out []transition
	for i, a := range s.actors {
		if !a.started && !s.crashed[a.host] && (i == 0 || s.actors[i-1].started || s.crashed[s.actors[i-1].host]) {
			out = append(out, transition{index: i, kind: "attempt", name: "starts", do: func() {
				a.started = true
				go a.run()
			}})
		}
		if a.waiting != nil && !a.done {
			out = append(out, s.possibleReplies(a)...)
		}
	}
	for host, crashed := range s.crashed {
		if !crashed && s.hasUnfinishedAttempt(host) {
			out = append(out, transition{index: host, kind: "host", name: "crashes", fault: true, do: func() { s.crash(host) }})
		}
	}
	for i, txn := range s.delayedWrites {
		out = append(out, transition{index: i, kind: "delayed write", name: "applied", do: func() {
			s.delayedWrites = append(s.delayedWrites[:i:i], s.delayedWrites[i+1:]...)
			s.apply(txn)
		}})
	}
	return out
}

func (s *simulation) hasUnfinishedAttempt(host int) bool {
	for _, a := range s.actors {
		if a.host == host && a.started && !a.done {
			return true
		}
	}
	return false
}

// possibleReplies lists the results that the step of an attempt can have.
func (s *simulation) possibleReplies(a *actor) []transition {
	req := *a.waiting
	withReply := func(name string, fault bool, do func() reply) transition {
		return transition{index: a.index, kind: req.kind, name: name, fault: fault, do: func() { s.deliver(a, name, do()) }}
	}
	noAnswer := reply{err: ports.ErrStoreUnknown}
	down := func() reply { return reply{err: ports.ErrStoreDown} }
	switch req.kind {
	case "commit":
		return []transition{
			withReply("ok", false, func() reply { return reply{result: s.apply(req.txn)} }),
			withReply("response lost", true, func() reply { s.apply(req.txn); return noAnswer }),
			withReply("request lost", true, func() reply { return noAnswer }),
			withReply("delayed", true, func() reply { s.delayedWrites = append(s.delayedWrites, req.txn); return noAnswer }),
			withReply("down", true, down),
		}
	case "get":
		return []transition{
			withReply("ok", false, func() reply { return readReply(s.rows, req.key) }),
			withReply("stale", true, func() reply { return readReply(s.previousRows, req.key) }),
			withReply("down", true, down),
		}
	case "send":
		execute := func() { s.executedBy = append(s.executedBy, a.index) }
		return []transition{
			withReply("ok", false, func() reply { execute(); return reply{} }),
			withReply("not sent", true, func() reply { return reply{err: &ports.ServiceError{}} }),
			withReply("interrupted before execution", true, func() reply { return reply{err: &ports.ServiceError{Sent: true}} }),
			withReply("interrupted after execution", true, func() reply { execute(); return reply{err: &ports.ServiceError{Sent: true}} }),
		}
	default:
		return []transition{withReply("ok", false, func() reply { return reply{} })}
	}
}

func readReply(rows map[string]ports.Row, key string) reply {
	row, ok := rows[key]
	return reply{row: row, ok: ok}
}

// deliver passes a reply to an attempt, which then continues. All attempts write
// the same row, so no two of them share a transaction.
func (s *simulation) deliver(a *actor, name string, r reply) {
	a.observed.WriteString(name)
	a.observed.WriteString(strconv.FormatInt(r.result.Version, 10))
	a.observed.Write(r.row.Value)
	s.steps++
	a.lastStep = s.steps
	a.waiting = nil
	a.replies <- r
}

func (s *simulation) crash(host int) {
	s.crashed[host] = true
	for _, a := range s.actors {
		if a.host == host && a.waiting != nil && !a.done {
			a.waiting = nil
			a.replies <- reply{crash: true}
		}
	}
}

func (s *simulation) apply(txn ports.Txn) ports.TxnResult {
	for _, cond := range txn.If {
		if s.rows[cond.Key].Version != cond.Version {
			return ports.TxnResult{}
		}
	}
	s.version++
	for _, write := range txn.Then {
		s.previousRows[write.Key] = s.rows[write.Key]
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.rows[write.Key] = ports.Row{Key: write.Key, Value: write.Value, Version: s.version}
	}
	return ports.TxnResult{Applied: true, Version: s.version}
}

// stateKey returns a hash of the state of the run.
func (s *simulation) stateKey() [sha256.Size]byte {
	var b strings.Builder
	for _, rows := range []map[string]ports.Row{s.rows, s.previousRows} {
		b.WriteByte('#')
		for _, row := range rows {
			writeInts(&b, int(row.Version))
			b.Write(row.Value)
		}
	}
	for _, txn := range s.delayedWrites {
		writeTxn(&b, txn)
	}
	b.WriteByte('#')
	writeInts(&b, s.executedBy...)
	writeInts(&b, len(s.executedBy), s.faults, int(s.version), packBools(s.crashed...))
	for _, a := range s.actors {
		writeInts(&b, packBools(a.started, a.done, a.waiting != nil))
		b.WriteString(a.observed.String())
		if a.waiting != nil {
			b.WriteString(a.waiting.kind)
			writeTxn(&b, a.waiting.txn)
			continue
		}
		for _, other := range s.actors {
			writeInts(&b, packBools(other.waiting == nil && other.lastStep < a.lastStep))
		}
	}
	return sha256.Sum256([]byte(b.String()))
}

func writeInts(b *strings.Builder, values ...int) {
	for _, v := range values {
		b.WriteString(strconv.Itoa(v))
		b.WriteByte(',')
	}
}

func writeTxn(b *strings.Builder, txn ports.Txn) {
	for _, cond := range txn.If {
		writeInts(b, int(cond.Version))
	}
	for _, write := range txn.Then {
		writeInts(b, packBools(write.Delete))
		b.Write(write.Value)
	}
}

// packBools encodes a list of truth values as a number.
func packBools(values ...bool) int {
	n := 1
	for _, v := range values {
		n *= 2
		if v {
			n++
		}
	}
	return n
}

// checkInvariants returns the first violation of the guarantees in the run so far:
// the call is executed at most once, and each answer is true.
func (s *simulation) checkInvariants() error {
	if len(s.executedBy) > 1 {
		return fmt.Errorf("executed %d times", len(s.executedBy))
	}
	for _, a := range s.actors {
		if !a.done {
			continue
		}
		refusal, refused := domain.AsRefusal(a.err)
		switch {
		case a.err == nil && (len(s.executedBy) != 1 || string(a.response.Body) != fmt.Sprint(s.executedBy[0])):
			return fmt.Errorf("attempt %d got response %s, executed by %v", a.index, a.response.Body, s.executedBy)
		case refused && refusal.Ran == domain.RanNo && s.executedByAttemptUpTo(a):
			return fmt.Errorf("attempt %d was told that nothing ran, executed by %v", a.index, s.executedBy)
		case refused && refusal.Ran == domain.RanYes && len(s.executedBy) == 0:
			return fmt.Errorf("attempt %d was told that the call ran", a.index)
		}
	}
	return nil
}

// executedByAttemptUpTo reports whether the attempt of a or one with a lower
// attempt number was executed.
func (s *simulation) executedByAttemptUpTo(a *actor) bool {
	for _, i := range s.executedBy {
		if i == a.index || s.actors[i].attempt < a.attempt {
			return true
		}
	}
	return false
}
