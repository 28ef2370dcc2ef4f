package promptcache

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const testMemory = 28000

func testEngine(id string) *traffic.Upstream {
	return &traffic.Upstream{ID: domain.UpstreamID(id), Service: "models", Address: "10.0.0.1:1", Role: domain.RolePrefill, Version: "v1", StartedAtMillis: 1}
}

// testPrompt returns a prompt of a common beginning, a session's part and its own part.
func testPrompt(session, own uint64) []traffic.PromptPart {
	return []traffic.PromptPart{{ID: 1, Tokens: 400}, {ID: 100 + session, Tokens: 5000}, {ID: 1_000_000 + own, Tokens: 600}}
}

func wantHeld(t *testing.T, c *Cache, ups []*traffic.Upstream, parts []traffic.PromptPart, now time.Time, want ...int) {
	t.Helper()
	got := c.Match(ups, parts, now)
	if got == nil {
		got = make([]int, len(ups))
	}
	if !slices.Equal(got, want) {
		t.Errorf("held %v, want %v", got, want)
	}
}

// Only leading parts of the same size count, and only until the engine has evicted them for later
// prompts. Guards against following a prompt that is no longer held.
func TestEnginesHoldTheLastPrompts(t *testing.T) {
	c, now := New(), time.Now()
	a, b := testEngine("a"), testEngine("b")
	both := []*traffic.Upstream{a, b}
	c.Record(a, testMemory, testPrompt(1, 1), now)
	wantHeld(t, c, both, testPrompt(1, 99), now, 5400, 0)
	wantHeld(t, c, both, testPrompt(2, 99), now, 400, 0)
	wantHeld(t, c, both, testPrompt(1, 1)[1:], now, 5600, 0)
	wantHeld(t, c, both, []traffic.PromptPart{{ID: 9, Tokens: 1}, {ID: 101, Tokens: 5000}}, now, 0, 0)
	wantHeld(t, c, both, []traffic.PromptPart{{ID: 1, Tokens: 401}}, now, 0, 0)
	for session := uint64(2); session <= 6; session++ {
		c.Record(a, testMemory, testPrompt(session, session), now)
	}
	wantHeld(t, c, both, testPrompt(1, 99), now, 400, 0) // The common beginning was used since.
	wantHeld(t, c, both, testPrompt(6, 99), now, 5400, 0)
	if tokens := c.engines["a"].tokens; tokens > testMemory {
		t.Errorf("%d tokens are held in %d", tokens, testMemory)
	}
	long := []traffic.PromptPart{{ID: 7, Tokens: testMemory - 5000}, {ID: 8, Tokens: 6000}}
	c.Record(b, testMemory, long, now)
	wantHeld(t, c, both, long, now, 0, testMemory-5000) // The beginning stays.
	c.Record(b, 0, testPrompt(1, 1), now)
	wantHeld(t, c, both, testPrompt(1, 99), now, 400, 0) // Memory that is not known holds nothing.
}

// A restarted engine, one with other software and one in another role hold nothing. Guards against
// waiting for a process that has lost its memory.
func TestOtherProcessesHoldNothing(t *testing.T) {
	for name, change := range map[string]func(*traffic.Upstream){
		"restarted": func(u *traffic.Upstream) { u.StartedAtMillis = 2 },
		"address":   func(u *traffic.Upstream) { u.Address = "10.0.0.2:1" },
		"version":   func(u *traffic.Upstream) { u.Version = "v2" },
		"role":      func(u *traffic.Upstream) { u.Role = domain.RoleDecode },
	} {
		c, now := New(), time.Now()
		up := testEngine("a")
		c.Record(up, testMemory, testPrompt(1, 1), now)
		other := *up
		change(&other)
		wantHeld(t, c, []*traffic.Upstream{&other}, testPrompt(1, 2), now, 0)
		c.Record(&other, testMemory, testPrompt(2, 1), now)
		wantHeld(t, c, []*traffic.Upstream{&other, up}, testPrompt(2, 2), now, 5400, 0)
		if c.byUse.Len() != 3 {
			t.Errorf("%s: %d parts are known, want 3", name, c.byUse.Len())
		}
		c.Forget(&other)
		wantHeld(t, c, []*traffic.Upstream{&other}, testPrompt(2, 2), now, 0)
	}
}

// Beliefs end with time, and their number is bounded, over more engines and parts than a host has.
func TestBeliefsAreBounded(t *testing.T) {
	c, now := New(), time.Now()
	up := testEngine("a")
	c.Record(up, testMemory, testPrompt(1, 1), now)
	wantHeld(t, c, []*traffic.Upstream{up}, testPrompt(1, 2), now.Add(heldTTL), 5400)
	wantHeld(t, c, []*traffic.Upstream{up}, testPrompt(1, 2), now.Add(heldTTL+1), 0)
	for _, engines := range []uint64{2 * maxEngines, maxEngines / 2} {
		for i := range uint64(2 * maxParts) {
			up = testEngine(fmt.Sprint("e", i%engines))
			c.Record(up, testMemory, testPrompt(i, i), now)
		}
		if c.byUse.Len() > maxParts || len(c.engines) > maxEngines || len(c.engines)+len(c.positions) != maxEngines {
			t.Errorf("%d parts, %d engines, %d free positions", c.byUse.Len(), len(c.engines), len(c.positions))
		}
		wantHeld(t, c, []*traffic.Upstream{up}, testPrompt(2*maxParts-1, 0), now, 5400)
	}
}

// What is 200 of 3,200 tokens must not change a choice, whatever else is known. Guards against
// choices of the deployments of today that change for a few milliseconds.
func TestSmallSavingsChangeNothing(t *testing.T) {
	c, now := New(), time.Now()
	ups := []*traffic.Upstream{testEngine("a"), testEngine("b"), testEngine("c")}
	prompt := func(i uint64) []traffic.PromptPart {
		return []traffic.PromptPart{{ID: 1, Tokens: 200}, {ID: 1000 + i, Tokens: 3000}}
	}
	for i := range uint64(400) {
		// 90 ms and 1 ms for 33 tokens, and the queues of other hosts.
		elapsed := time.Duration(90+(2000+10*(i%200))/33+i%7*20) * time.Millisecond
		c.Record(ups[i%2], testMemory, prompt(i), now)
		c.Observe(ups[i%2], int(2000+10*(i%200)), Weight{Held: 200}, elapsed, now)
		now = now.Add(50 * time.Millisecond)
		weights := c.Weigh(ups, testMemory, prompt(1_000+i), 3200, now)
		if len(weights) != 3 || weights[0].Held != 200 || weights[2].Held != 0 {
			t.Fatalf("weights %+v", weights)
		}
		options := make([]Option, len(ups))
		for j, w := range weights {
			options[j] = Option{Cost: time.Duration(j) * time.Nanosecond, Wait: -time.Duration(j) * time.Hour, Gain: w.Gain, MaxWait: w.MaxWait, Worth: w.Worth}
		}
		if at, changed := Choose(options); at != 0 || changed || weights[0].Spare != 0 {
			t.Fatalf("choice %d instead of 0, weights %+v", at, weights)
		}
	}
}

// Another engine is chosen only if it gains more than the threshold after its longer wait.
func TestChoiceNeedsAGain(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		options []Option
		want    int
	}{
		"none":                {nil, -1},
		"least cost":          {[]Option{{Cost: 9 * ms}, {Cost: 5 * ms}}, 1},
		"holds it, idle":      {[]Option{{Cost: 5 * ms}, {Cost: 90 * ms, Wait: 90 * ms, Gain: 160 * ms, Worth: true}}, 1},
		"holds it, waits":     {[]Option{{Cost: 5 * ms}, {Cost: 90 * ms, Wait: 140 * ms, Gain: 160 * ms, Worth: true}}, 0},
		"waits too long":      {[]Option{{Cost: 5 * ms}, {Cost: 6 * ms, Wait: 201 * ms, Gain: 9000 * ms, Worth: true}}, 0},
		"below the threshold": {[]Option{{Cost: 5 * ms}, {Cost: 9 * ms, Wait: 4 * ms, Gain: 24 * ms, Worth: true}}, 0},
		"not worth it":        {[]Option{{Cost: 5 * ms, Gain: -time.Second}, {Cost: 9 * ms}}, 0},
		"two hold it":         {[]Option{{Cost: 5 * ms}, {Wait: 90 * ms, Gain: 160 * ms, Worth: true, Cost: 6 * ms}, {Wait: 20 * ms, Gain: 160 * ms, Worth: true, Cost: 6 * ms}}, 2},
	} {
		for i := range c.options {
			c.options[i].MaxWait = maxExtraWait
		}
		if got, changed := Choose(c.options); got != c.want || changed != (got >= 0 && c.options[got].Worth) {
			t.Errorf("%s: chose %d, changed %t, want %d", name, got, changed, c.want)
		}
	}
}

// The time per token is learned from calls with a fixed part and noise, and savings that do not come
// true count less at that age only, until time has passed. Guards against following beliefs that
// other hosts' prompts have made wrong.
func TestSavingsThatDoNotComeTrueCountLess(t *testing.T) {
	c, now := New(), time.Now()
	up := testEngine("a")
	for i := range 100 {
		tokens := 2000 + 60*(i%100)
		c.Observe(up, tokens, Weight{}, 90*time.Millisecond+time.Duration(tokens)*time.Millisecond/33+time.Duration(i%3)*5*time.Millisecond, now)
	}
	c.Record(up, testMemory, testPrompt(1, 1), now)
	weigh := func(age time.Duration) Weight {
		return c.Weigh([]*traffic.Upstream{up}, testMemory, testPrompt(1, 2), 6000, now.Add(age))[0]
	}
	fresh, old := weigh(time.Millisecond), weigh(10*time.Second)
	if fresh.Gain < 150*time.Millisecond || fresh.Gain > 165*time.Millisecond || old.Gain != fresh.Gain {
		t.Fatalf("5,400 tokens gain %s, and %s after 10 s; want nearly 164 ms", fresh.Gain, old.Gain)
	}
	for range 30 {
		c.Observe(up, 6000, old, old.Call, now.Add(10*time.Second))
		c.Observe(up, 6000, fresh, fresh.Call-fresh.Gain, now.Add(10*time.Second))
	}
	if now := weigh(10 * time.Second); now.Gain > old.Gain/4 {
		t.Errorf("the gain after 10 s is %s though it never came true", now.Gain)
	}
	c.Record(up, testMemory, testPrompt(1, 1), now.Add(10*time.Second))
	if now := weigh(10*time.Second + time.Millisecond); now.Gain < fresh.Gain*9/10 {
		t.Errorf("the gain of a fresh part is %s though it came true", now.Gain)
	}
	if e := c.estimateOf(up.Service, up.Role); e.reliability(10*time.Second, now.Add(2*time.Minute)) < 0.9 {
		t.Error("the reliability does not return with time")
	}
}
