package catalog

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

func testConfig(version domain.Revision, prefixes ...string) *traffic.Config {
	c := &traffic.Config{Version: version}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, traffic.Route{Name: p, Host: "h", Prefix: p})
	}
	return c
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	c := New()
	c.Apply(testConfig(1, "/", "/a/", "/a/b/"), "test")
	for path, want := range map[string]string{"/x": "/", "/a/x": "/a/", "/a/b/c": "/a/b/", "/a": "/"} {
		if _, r := c.Match("H:80", path); r == nil || r.Prefix != want {
			t.Errorf("%s matched %v, want %s", path, r, want)
		}
	}
	if _, r := c.Match("other", "/a/x"); r != nil {
		t.Errorf("another host matched %v", r)
	}
}

func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		highest := domain.Revision(0)
		for _, v := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
			c.Apply(testConfig(domain.Revision(v)), "test")
			highest = max(highest, domain.Revision(v))
			if c.Version() != highest {
				t.Fatalf("applied version %d, want %d", c.Version(), highest)
			}
		}
	})
}

func testUpstream(id domain.UpstreamID, born int64) *traffic.Upstream {
	return &traffic.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", StartedAtMillis: born}
}

func TestEntriesExpiredByOutageAreKeptForGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	c.Replace([]*traffic.Upstream{testUpstream("a", 1), testUpstream("b", 1)}, now)
	c.RegistryLost()
	c.RegistryRegained(now)
	remove(c, "a", now)
	remove(c, "b", now)
	if n := len(c.Ready("s")); n != 2 {
		t.Fatalf("%d upstreams right after the outage, want 2", n)
	}
	put(c, testUpstream("a", 1))
	c.RemoveExpired(now.Add(reappearGrace))
	if got := c.Ready("s"); len(got) != 1 || got[0].ID != "a" {
		t.Fatalf("after the grace period got %v, want only a", got)
	}
	remove(c, "a", now.Add(reappearGrace))
	if n := len(c.Ready("s")); n != 0 {
		t.Fatal("an upstream removed without an outage is still ready")
	}
}

// An upstream that stops without draining right after an outage of the registry looks
// like one whose entry expired in the outage, but its entry does not come back. It must
// not get new requests 2 s later.
func TestEntriesRemovedRightAfterOutageAreKeptBriefly(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	put(c, testUpstream("a", 1))
	c.RegistryLost()
	c.RegistryRegained(now)
	removed := now.Add(500 * time.Millisecond)
	remove(c, "a", removed)
	if len(c.Ready("s")) != 1 {
		t.Fatal("the upstream was removed immediately")
	}
	c.RemoveExpired(removed.Add(1500 * time.Millisecond))
	if len(c.Ready("s")) != 0 {
		t.Fatal("the upstream is still ready 1.5 s after its entry was removed")
	}
}

func TestDrainingAndRestartedUpstreamsAreNotCurrent(t *testing.T) {
	c := New()
	first := testUpstream("a", 1)
	put(c, first)
	if !c.Current(first) {
		t.Fatal("a ready upstream is not current")
	}
	put(c, testUpstream("a", 2))
	if c.Current(first) {
		t.Fatal("the previous incarnation of a restarted upstream is current")
	}
	draining := testUpstream("a", 2)
	draining.State = traffic.UpstreamDraining
	put(c, draining)
	if c.Current(draining) || len(c.Ready("s")) != 0 {
		t.Fatal("a draining upstream accepts new requests")
	}
	// A draining upstream is removed with its entry, even right after an outage.
	c.RegistryLost()
	c.RegistryRegained(time.Unix(5, 0))
	remove(c, "a", time.Unix(5, 0))
	if c.Known(draining) {
		t.Fatal("a draining upstream was kept after its entry was removed")
	}
}

func put(c *Catalog, u *traffic.Upstream) {
	c.Change([]traffic.UpstreamChange{{ID: u.ID, Upstream: u}}, time.Now())
}

func remove(c *Catalog, id domain.UpstreamID, now time.Time) {
	c.Change([]traffic.UpstreamChange{{ID: id}}, now)
}

// When a large fleet starts, the registry delivers thousands of entries at once. The
// cost of each change must not grow with the number of upstreams.
func TestChangeCostIsIndependentOfFleetSize(t *testing.T) {
	perChange := func(upstreams int) float64 {
		changes := make([]traffic.UpstreamChange, upstreams)
		for i := range changes {
			u := testUpstream(domain.UpstreamID(fmt.Sprintf("u%05d", i)), 1)
			changes[i] = traffic.UpstreamChange{ID: u.ID, Upstream: u}
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		New().Change(changes, time.Now())
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / float64(upstreams)
	}
	small, large := perChange(100), perChange(3000)
	if large > 3*small {
		t.Errorf("%.0f bytes allocated per change with 3,000 upstreams, %.0f with 100", large, small)
	}
}

// When the registry comes back from an older copy, upstreams that left or were replaced since
// must not be taken for ready, until their entries change again or the copy has settled, and
// those that came since are kept for a while.
func TestUpstreamsThatLeftDoNotComeBackWithAnOlderCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New()
	drained, removed, replaced, stays := testUpstream("drained", 1), testUpstream("removed", 1), testUpstream("replaced", 1), testUpstream("stays", 1)
	older := []*traffic.Upstream{drained, removed, replaced, stays}
	c.Replace(older, now)
	draining, newer, added := *drained, testUpstream("replaced", 2), testUpstream("added", 1)
	draining.State = traffic.UpstreamDraining
	c.Change([]traffic.UpstreamChange{
		{ID: "drained", Upstream: &draining}, {ID: "removed"}, {ID: "replaced", Upstream: newer}, {ID: "added", Upstream: added},
	}, now)
	now = now.Add(time.Second)
	c.RegistryRestored(now)
	c.Replace(older, now)
	for _, u := range []*traffic.Upstream{drained, removed, replaced} {
		if c.Current(u) {
			t.Errorf("upstream %s, which left, is taken for ready", u.ID)
		}
	}
	for _, u := range []*traffic.Upstream{newer, stays, added} {
		if !c.Current(u) {
			t.Errorf("upstream %s is not in use", u.ID)
		}
	}
	c.Change([]traffic.UpstreamChange{{ID: "drained", Upstream: drained}}, now)
	if !c.Current(drained) {
		t.Error("an entry that changed after the copy is ignored")
	}
	c.Replace(older, now.Add(restoredEntryTime))
	if !c.Current(removed) {
		t.Error("an entry that is still there when the copy has settled is ignored")
	}
}

// An upstream that said that it leaves takes no new requests, whatever the registry says of it
// later; another process with its identifier and address does, and one whose start is not known
// once the entry of the first is gone.
func TestUpstreamThatSaidItLeavesIsNotReady(t *testing.T) {
	now := time.Now()
	for _, born := range []int64{1, 0} {
		c, up := New(), testUpstream("u", born)
		put := func(u *traffic.Upstream) { c.Change([]traffic.UpstreamChange{{ID: "u", Upstream: u}}, now) }
		put(up)
		c.Announced(testUpstream("u", born+1))
		if !c.Current(up) {
			t.Error("the word of another process counts")
		}
		c.AnnouncedProcess(up.Incarnation().String())
		put(testUpstream("u", born))
		c.RegistryLost()
		c.RegistryRegained(now)
		c.Replace([]*traffic.Upstream{up}, now)
		if c.Current(up) || len(c.Ready(up.Service)) > 0 || !c.Known(up) {
			t.Errorf("start %d: the upstream is used again, or not known", born)
		}
		c.Change([]traffic.UpstreamChange{{ID: "u"}}, now.Add(time.Minute))
		put(up)
		if c.Current(up) != (born == 0) {
			t.Errorf("start %d: current %t after its entry was gone", born, c.Current(up))
		}
		put(testUpstream("u", born+2))
		if len(c.Ready(up.Service)) != 1 {
			t.Error("the next process is not used")
		}
	}
}
