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

// sending is one sending of the call: it goes through a host.
type sending struct {
	host    int
	attempt int
}

// request is a step that a sending waits to make.
type request struct {
	kind string
	txn  ports.Txn
	key  string
}

// reply is the result of a step.
type reply struct {
	kill   bool
	result ports.TxnResult
	row    ports.Row
	ok     bool
	err    error
}

// actor runs one sending.
type actor struct {
	sending
	index   int
	world   *world
	started bool
	done    bool
	waiting *request
	replies chan reply
	// seen is all that the sending has observed.
	seen strings.Builder
	// lastStep orders sendings that wait for others of their host.
	lastStep int
	response ports.ServiceResponse
	err      error
}

// killed ends an actor whose host crashed.
type killed struct{}

type actorKey struct{}

// world is one run of the code.
type world struct {
	actors   []*actor
	claimers []*Claimer
	crashed  []bool
	rows     map[string]ports.Row
	before   map[string]ports.Row
	version  int64
	late     []ports.Txn
	executed []int
	steps    int
	faults   int
	trace    []move
}

func newWorld(sendings []sending, hosts, faults int) *world {
	w := &world{rows: map[string]ports.Row{}, before: map[string]ports.Row{}, faults: faults, crashed: make([]bool, hosts)}
	for host := range hosts {
		c := New(Config{Store: w, Host: domain.HostID(fmt.Sprint("h", host)), Clock: fixedClock{}, Counters: counters.NewSet()})
		c.tries = tries{claim: 2, settle: 2, wait: 1}
		c.pause = func(ctx context.Context, _ time.Duration) error {
			w.step(ctx, request{kind: "pause"})
			return nil
		}
		made := 0
		c.nonce = func() string {
			made++
			return fmt.Sprintf("n%d.%d", host, made)
		}
		w.claimers = append(w.claimers, c)
	}
	for i, s := range sendings {
		w.actors = append(w.actors, &actor{sending: s, index: i, world: w, replies: make(chan reply)})
	}
	return w
}

// step waits until the explorer makes the step.
func (w *world) step(ctx context.Context, req request) reply {
	a := ctx.Value(actorKey{}).(*actor)
	if w.crashed[a.host] {
		panic(killed{})
	}
	a.waiting = &req
	r := <-a.replies
	if r.kill {
		panic(killed{})
	}
	return r
}

// Get implements ports.TableService.
func (w *world) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	r := w.step(ctx, request{kind: "get", key: key})
	return r.row, r.ok, r.err
}

// Scan implements ports.TableService.
func (w *world) Scan(context.Context, string, string, int) ([]ports.Row, error) {
	panic("not used")
}

// Commit implements ports.TableService.
func (w *world) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	r := w.step(ctx, request{kind: "commit", txn: txn})
	return r.result, r.err
}

func (a *actor) run() {
	defer func() {
		a.done = true
		if p := recover(); p != nil {
			if _, ok := p.(killed); !ok {
				panic(p)
			}
			a.err = fmt.Errorf("killed")
		}
	}()
	ctx := context.WithValue(context.Background(), actorKey{}, a)
	call := Call{Caller: "c", Key: "k", Digest: 1, Attempt: a.attempt}
	a.response, a.err = a.world.claimers[a.host].Execute(ctx, call, func(ctx context.Context) (ports.ServiceResponse, error) {
		r := a.world.step(ctx, request{kind: "send"})
		return ports.ServiceResponse{Status: 200, Body: fmt.Append(nil, a.index)}, r.err
	})
}

// move is one way in which a run can go on. Its index is that of a sending, a
// host or a late write.
type move struct {
	index int
	kind  string
	name  string
	fault bool
	do    func()
}

func (m move) String() string { return fmt.Sprint(m.index, " ", m.kind, " ", m.name) }

// moves lists the ways in which the run can go on, in a fixed order.
func (w *world) moves() []move {
	var out []move
	for i, a := range w.actors {
		if !a.started && !w.crashed[a.host] && (i == 0 || w.actors[i-1].started || w.crashed[w.actors[i-1].host]) {
			out = append(out, move{index: i, kind: "sending", name: "starts", do: func() {
				a.started = true
				go a.run()
			}})
		}
		if a.waiting != nil && !a.done {
			out = append(out, w.stepsOf(a)...)
		}
	}
	for host, crashed := range w.crashed {
		if !crashed && w.active(host) {
			out = append(out, move{index: host, kind: "host", name: "crashes", fault: true, do: func() { w.crash(host) }})
		}
	}
	for i, txn := range w.late {
		out = append(out, move{index: i, kind: "late write", name: "lands", do: func() {
			w.late = append(w.late[:i:i], w.late[i+1:]...)
			w.apply(txn)
		}})
	}
	return out
}

func (w *world) active(host int) bool {
	for _, a := range w.actors {
		if a.host == host && a.started && !a.done {
			return true
		}
	}
	return false
}

// stepsOf lists the results that a sending's step can have.
func (w *world) stepsOf(a *actor) []move {
	req := *a.waiting
	mv := func(name string, fault bool, do func() reply) move {
		return move{index: a.index, kind: req.kind, name: name, fault: fault, do: func() { w.answer(a, name, do()) }}
	}
	lost := reply{err: ports.ErrStoreUnknown}
	down := func() reply { return reply{err: ports.ErrStoreDown} }
	switch req.kind {
	case "commit":
		return []move{
			mv("ok", false, func() reply { return reply{result: w.apply(req.txn)} }),
			mv("answer lost", true, func() reply { w.apply(req.txn); return lost }),
			mv("request lost", true, func() reply { return lost }),
			mv("late", true, func() reply { w.late = append(w.late, req.txn); return lost }),
			mv("down", true, down),
		}
	case "get":
		return []move{
			mv("ok", false, func() reply { return readReply(w.rows, req.key) }),
			mv("stale", true, func() reply { return readReply(w.before, req.key) }),
			mv("down", true, down),
		}
	case "send":
		execute := func() { w.executed = append(w.executed, a.index) }
		return []move{
			mv("ok", false, func() reply { execute(); return reply{} }),
			mv("unsent", true, func() reply { return reply{err: &ports.ServiceError{}} }),
			mv("broken before", true, func() reply { return reply{err: &ports.ServiceError{Sent: true}} }),
			mv("broken after", true, func() reply { execute(); return reply{err: &ports.ServiceError{Sent: true}} }),
		}
	default:
		return []move{mv("ok", false, func() reply { return reply{} })}
	}
}

func readReply(rows map[string]ports.Row, key string) reply {
	row, ok := rows[key]
	return reply{row: row, ok: ok}
}

// answer lets a sending go on. All sendings write the same row, so that no two
// of them share a transaction.
func (w *world) answer(a *actor, name string, r reply) {
	a.seen.WriteString(name)
	a.seen.WriteString(strconv.FormatInt(r.result.Version, 10))
	a.seen.Write(r.row.Value)
	w.steps++
	a.lastStep = w.steps
	a.waiting = nil
	a.replies <- r
}

func (w *world) crash(host int) {
	w.crashed[host] = true
	for _, a := range w.actors {
		if a.host == host && a.waiting != nil && !a.done {
			a.waiting = nil
			a.replies <- reply{kill: true}
		}
	}
}

func (w *world) apply(txn ports.Txn) ports.TxnResult {
	for _, cond := range txn.If {
		if w.rows[cond.Key].Version != cond.Version {
			return ports.TxnResult{}
		}
	}
	w.version++
	for _, write := range txn.Then {
		w.before[write.Key] = w.rows[write.Key]
		if write.Delete {
			delete(w.rows, write.Key)
			continue
		}
		w.rows[write.Key] = ports.Row{Key: write.Key, Value: write.Value, Version: w.version}
	}
	return ports.TxnResult{Applied: true, Version: w.version}
}

// key identifies the state of the run.
func (w *world) key() [sha256.Size]byte {
	var b strings.Builder
	for _, rows := range []map[string]ports.Row{w.rows, w.before} {
		b.WriteByte('#')
		for _, row := range rows {
			writeInts(&b, int(row.Version))
			b.Write(row.Value)
		}
	}
	for _, txn := range w.late {
		writeTxn(&b, txn)
	}
	b.WriteByte('#')
	writeInts(&b, w.executed...)
	writeInts(&b, len(w.executed), w.faults, int(w.version), flags(w.crashed...))
	for _, a := range w.actors {
		writeInts(&b, flags(a.started, a.done, a.waiting != nil))
		b.WriteString(a.seen.String())
		if a.waiting != nil {
			b.WriteString(a.waiting.kind)
			writeTxn(&b, a.waiting.txn)
			continue
		}
		for _, other := range w.actors {
			writeInts(&b, flags(other.waiting == nil && other.lastStep < a.lastStep))
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
		writeInts(b, flags(write.Delete))
		b.Write(write.Value)
	}
}

// flags packs truth values into a number.
func flags(values ...bool) int {
	n := 1
	for _, v := range values {
		n *= 2
		if v {
			n++
		}
	}
	return n
}

// check returns what is wrong with the run so far.
func (w *world) check() error {
	if len(w.executed) > 1 {
		return fmt.Errorf("executed %d times", len(w.executed))
	}
	for _, a := range w.actors {
		if !a.done {
			continue
		}
		refusal, refused := domain.AsRefusal(a.err)
		switch {
		case a.err == nil && (len(w.executed) != 1 || string(a.response.Body) != fmt.Sprint(w.executed[0])):
			return fmt.Errorf("sending %d got response %s, executed by %v", a.index, a.response.Body, w.executed)
		case refused && refusal.Ran == domain.RanNo && w.executedUpTo(a):
			return fmt.Errorf("sending %d was told that nothing ran, executed by %v", a.index, w.executed)
		case refused && refusal.Ran == domain.RanYes && len(w.executed) == 0:
			return fmt.Errorf("sending %d was told that the call ran", a.index)
		}
	}
	return nil
}

// executedUpTo says whether a sending or one with a lower attempt was executed.
func (w *world) executedUpTo(a *actor) bool {
	for _, i := range w.executed {
		if i == a.index || w.actors[i].attempt < a.attempt {
			return true
		}
	}
	return false
}
