package stages

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const testMemoryTokens = 26473

// testEngines returns engines spread over three zones, the prefill engines first.
func testEngines(prefill, decode int) []*traffic.Upstream {
	out := make([]*traffic.Upstream, prefill+decode)
	for i := range out {
		role := domain.RoleDecode
		if i < prefill {
			role = domain.RolePrefill
		}
		out[i] = &traffic.Upstream{
			ID: domain.UpstreamID(fmt.Sprintf("e%02d", i)), Zone: domain.Zone(fmt.Sprint("z", i%3)), Role: role,
		}
	}
	return out
}

func TestPlanByLoad(t *testing.T) {
	long := NewLoads()
	short := NewLoads()
	for range 500 {
		long.RecordRequest("s", 12000, 12100, time.Second)
		short.RecordRequest("s", 300, 1200, 4*time.Second)
	}
	cases := []struct {
		name            string
		prefill, decode int
		memory          int
		load            Load
		role            domain.Role
		changes         int
	}{
		{"a third of the engines for prefill, a quarter suffices", 21, 39, testMemoryTokens, DefaultLoad(), domain.RoleDecode, 6},
		{"nearly balanced", 14, 46, testMemoryTokens, DefaultLoad(), "", 0},
		{"small site with larger memory", 3, 6, 42754, DefaultLoad(), "", 0},
		{"short prompts and long answers", 21, 39, testMemoryTokens, short.Of("s"), domain.RoleDecode, 17},
		{"long prompts, over half of the wanted prefill engines", 21, 39, testMemoryTokens, long.Of("s"), "", 0},
		{"half of the prefill engines are missing", 7, 46, testMemoryTokens, DefaultLoad(), "", 0},
		{"most of the prefill engines are missing", 3, 46, testMemoryTokens, DefaultLoad(), domain.RolePrefill, 5},
		{"most of a small site's prefill engines are missing", 1, 8, 36246, DefaultLoad(), domain.RolePrefill, 1},
		{"no prefill engine", 0, 9, testMemoryTokens, DefaultLoad(), "", 0},
		{"one of each", 1, 1, testMemoryTokens, DefaultLoad(), "", 0},
	}
	for _, c := range cases {
		changes := Plan(testEngines(c.prefill, c.decode), c.memory, c.load)
		if len(changes) != c.changes {
			t.Errorf("%s: %d changes, want %d", c.name, len(changes), c.changes)
		}
		for _, change := range changes {
			if change.Role != c.role || change.Engine.Role == c.role {
				t.Errorf("%s: %s becomes %s", c.name, change.Engine.ID, change.Role)
			}
		}
	}
}

// For any load and any number of engines, each role keeps an engine and no engine
// changes twice.
func TestPlanKeepsBothRoles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefill, decode := rapid.IntRange(1, 30).Draw(t, "prefill engines"), rapid.IntRange(1, 60).Draw(t, "decode engines")
		load := Load{
			requests:               1,
			promptTokens:           rapid.Float64Range(1, 1e5).Draw(t, "prompt"),
			heldTokenSeconds:       rapid.Float64Range(1, 1e6).Draw(t, "held"),
			prefillTokensPerSecond: rapid.Float64Range(1, 1e5).Draw(t, "rate"),
		}
		changes := Plan(testEngines(prefill, decode), testMemoryTokens, load)
		seen := make(map[domain.UpstreamID]bool)
		byRole := map[domain.Role]int{domain.RolePrefill: prefill, domain.RoleDecode: decode}
		for _, c := range changes {
			if seen[c.Engine.ID] {
				t.Fatalf("%s changes twice", c.Engine.ID)
			}
			seen[c.Engine.ID] = true
			byRole[c.Engine.Role]--
			byRole[c.Role]++
		}
		if byRole[domain.RolePrefill] < 1 || byRole[domain.RoleDecode] < 1 {
			t.Fatalf("%d prefill and %d decode engines become %v", prefill, decode, byRole)
		}
	})
}

// If the zones have equally many engines, the numbers of engines that change differ by
// at most one between zones.
func TestChangesSpreadOverZones(t *testing.T) {
	zones := make(map[domain.Zone]int)
	for _, c := range Plan(testEngines(21, 39), testMemoryTokens, DefaultLoad()) {
		zones[c.Engine.Zone]++
	}
	for zone, n := range zones {
		if n < 2 || n > 3 {
			t.Errorf("%d engines of zone %s change, want 2 or 3", n, zone)
		}
	}
}

// Four prefill engines of twelve were taken away, and half of the decode engines were ordered to
// become prefill engines at once. Until they had changed, they granted slots and rejected the
// streams, whose prompts had been read for nothing. Whatever is missing, only an eighth of the
// decode engines changes at once, or one.
func TestFewDecodeEnginesChangeAtOnce(t *testing.T) {
	for decode := 1; decode <= 200; decode++ {
		for prefill := 1; prefill <= 20; prefill++ {
			changes := Plan(testEngines(prefill, decode), testMemoryTokens, DefaultLoad())
			if len(changes) == 0 || changes[0].Role != domain.RolePrefill {
				continue
			}
			if len(changes) > max(1, decode/8) {
				t.Fatalf("%d of %d decode engines change at once", len(changes), decode)
			}
		}
	}
}
