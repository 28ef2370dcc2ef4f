package membudget

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

// testLimit is the memory of the smallest hosts.
const testLimit = 112 << 20

// fill takes room in parts until there is none, or twice the budget has been taken.
func fill(b *Budget, c Claim, part int64) {
	for taken := int64(0); taken < 2*b.Total() && hold(b).Take(c, part); taken += part {
	}
}

func hold(b *Budget) *Hold {
	h := &Hold{}
	b.Open(h)
	return h
}

// Guards against large bodies that take the room of small ones or of responses, and against an order in
// which small or urgent bodies are refused before large or less urgent ones.
func TestLargestAndLeastUrgentAreRefusedFirst(t *testing.T) {
	b := New(testLimit, nil)
	claims := []Claim{
		{Bodies, 4 << 20, 9},
		{Bodies, 4 << 20, 0},
		{Bodies, 512 << 10, 0},
		{Bodies, 64 << 10, 0},
		{Responses, 64 << 10, 0},
		{Bodies, SmallBytes, 9},
	}
	filled := make([]int64, len(claims))
	for i, c := range claims[:len(claims)-1] {
		fill(b, c, min(c.Size, 64<<10))
		filled[i] = b.HeldInAll()
		if i > 0 && filled[i] <= filled[i-1] {
			t.Errorf("%+v is refused at %d bytes, not after %+v at %d", c, filled[i], claims[i-1], filled[i-1])
		}
		if filled[i] > b.Total() {
			t.Errorf("%d bytes held of %d", filled[i], b.Total())
		}
	}
	if left := b.Total() - filled[3]; left < b.Total()/8 {
		t.Errorf("bodies leave %d bytes of %d for small ones and responses", left, b.Total())
	}
	for range 1000 {
		if !hold(b).Take(claims[len(claims)-1], SmallBytes) {
			t.Fatal("a small body was refused")
		}
	}
}

// Guards against slow readers whose responses take the room of the bodies.
func TestResponsesLeaveRoomForBodies(t *testing.T) {
	b := New(testLimit, nil)
	fill(b, Claim{Use: Responses, Size: 1 << 20}, 1<<20)
	if !hold(b).Take(Claim{Use: Bodies, Size: 4 << 20}, 4<<20) {
		t.Errorf("no room for a body beside responses of %d bytes", b.Held(Responses))
	}
}

// Guards against more bytes than the budget when many take at once, and against bytes that stay taken
// after the last user has released its hold.
func TestConcurrentHoldsStayWithinTheBudget(t *testing.T) {
	b := New(testLimit, nil)
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 2000 {
				h := hold(b)
				h.Retain()
				size := SmallBytes + random.Int64N(16<<20)
				h.Take(Claim{Use: Use(random.IntN(int(Connections))), Size: size}, size)
				if held := b.HeldInAll(); held > b.Total() {
					t.Errorf("%d bytes held of %d", held, b.Total())
				}
				h.Release()
				h.Release()
			}
		})
	}
	group.Wait()
	if held := b.HeldInAll(); held != 0 {
		t.Errorf("%d bytes are held at the end", held)
	}
}

// Guards against settings without a limit that refuse bodies or bound the system's buffers.
func TestNoLimitRefusesNoBody(t *testing.T) {
	b := New(0, nil)
	for range 100 {
		if !hold(b).Take(Claim{Use: Bodies, Size: 16 << 20}, 16<<20) {
			t.Fatal("a body was refused without a memory limit")
		}
	}
	if b.SocketBuffer() != 0 || b.PerUpstream() != 0 {
		t.Errorf("socket buffers of %d bytes, %d bytes per upstream, want no bounds", b.SocketBuffer(), b.PerUpstream())
	}
}

// Guards against buffers that are larger than a body of a known length, as those that grow by doubling
// are, and against room that an unread body keeps.
func TestReadTakesWhatABodyNeeds(t *testing.T) {
	for _, size := range []int64{1, SmallBytes, 100_000, 4 << 20} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(rand.Uint32())
		}
		for _, declared := range []int64{size, -1} {
			b := New(testLimit, nil)
			h := hold(b)
			got, err := Read(iotest.HalfReader(bytes.NewReader(want)), Body{Use: Bodies, Declared: declared, Max: 4 << 20}, h)
			if err != nil || !bytes.Equal(got, want) {
				t.Fatalf("body of %d bytes, declared %d: %d bytes, %v", size, declared, len(got), err)
			}
			if declared == size && int64(cap(got)) != size {
				t.Errorf("buffer of %d bytes for a body of %d", cap(got), size)
			}
			if held := b.Held(Bodies); held < int64(cap(got)) {
				t.Errorf("%d bytes counted for a buffer of %d", held, cap(got))
			}
			h.Release()
			if held := b.HeldInAll(); held != 0 {
				t.Errorf("%d bytes are held at the end", held)
			}
		}
	}
	for name, c := range map[string]struct {
		body Body
		sent int64
		want error
	}{
		"declared too large": {Body{Declared: 4<<20 + 1, Max: 4 << 20}, 0, ErrTooLarge},
		"grows too large":    {Body{Declared: -1, Max: 4 << 20}, 5 << 20, ErrTooLarge},
		"too short":          {Body{Declared: 4 << 20}, 100, io.ErrUnexpectedEOF},
		"short and small":    {Body{Declared: 1000}, 100, io.ErrUnexpectedEOF},
		"no room":            {Body{Declared: 64 << 20}, 64 << 20, ErrNoRoom},
		"grows past room":    {Body{Declared: -1}, 64 << 20, ErrNoRoom},
	} {
		b := New(testLimit, nil)
		h := hold(b)
		_, err := Read(io.LimitReader(zeros{}, c.sent), c.body, h)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		h.Release()
		if held := b.HeldInAll(); held != 0 {
			t.Errorf("%s: %d bytes are held at the end", name, held)
		}
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against senders that stop and keep the room for all that they declared, and against one that
// goes on and loses its room to those that come later.
func TestBodyThatStopsComingKeepsLittleRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLimit, nil)
		const size = 4 << 20
		var ends []*io.PipeWriter
		done := make(chan error)
		begin := func() *io.PipeWriter {
			reader, writer := io.Pipe()
			ends = append(ends, writer)
			go func() {
				_, err := Read(reader, Body{Use: Bodies, Declared: size}, hold(b))
				done <- err
			}()
			_, _ = writer.Write(make([]byte, 1000))
			synctest.Wait()
			return writer
		}
		steady := begin()
		for len(ends) < 20 && b.level(Claim{Use: Bodies, Size: size})-b.HeldInAll() > b.cost(size) {
			begin()
		}
		if held := b.HeldInAll(); held < 5*size {
			t.Fatalf("%d bytes held for %d bodies that are coming", held, len(ends))
		}
		sent := 1000
		for ; sent < size/8; sent += promiseBytes {
			time.Sleep(promiseCheck - time.Millisecond)
			_, _ = steady.Write(make([]byte, promiseBytes))
		}
		synctest.Wait()
		if held, most := b.HeldInAll(), b.cost(size)+int64(len(ends)-1)*b.cost(firstStep); held > most {
			t.Errorf("%d bytes held, want at most %d for one body that comes and %d that have stopped", held, most, len(ends)-1)
		}
		fill(b, Claim{Use: Bodies, Size: size}, SmallBytes)
		_, _ = steady.Write(make([]byte, size-sent))
		if err := <-done; err != nil {
			t.Errorf("the body that came steadily was not read: %v", err)
		}
		for _, end := range ends[1:] {
			_ = end.Close()
			<-done
		}
	})
}

// Guards against bodies that are admitted in place of others whose buffers have not been collected: on
// a busy machine a host of 134 MB had 138 MB in a run of review/2.
func TestGarbageTakesRoomUntilItIsCollected(t *testing.T) {
	b := New(testLimit, nil)
	claim := Claim{Use: Bodies, Size: 4 << 20}
	b.collecting.Store(true) // As while a collection takes long.
	reuse := func() (bodies int) {
		for ; bodies < 100; bodies++ {
			h := hold(b)
			if !h.Take(claim, claim.Size) {
				break
			}
			h.Release()
		}
		return bodies
	}
	if n, most := reuse(), int((b.Total()+b.maxGarbage())/claim.Size); n == 0 || n > most {
		t.Errorf("%d bodies one after the other without a collection, want at most %d", n, most)
	}
	b.collect()
	if reuse() == 0 || b.HeldInAll() != 0 {
		t.Errorf("no room after the collection, with %d bytes held", b.HeldInAll())
	}
}
