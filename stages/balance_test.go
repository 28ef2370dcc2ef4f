package stages

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagespoke/domain"
	"greengagespoke/traffic"
)

const testMemory = 26473

// fleet returns engines spread over three zones, the first ones for prefill.
func fleet(readers, decoders int) []*traffic.Upstream {
	out := make([]*traffic.Upstream, readers+decoders)
	for i := range out {
		role := domain.RoleDecode
		if i < readers {
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
		long.Served("s", 12000, 12100, time.Second)
		short.Served("s", 300, 1200, 4*time.Second)
	}
	cases := []struct {
		name              string
		readers, decoders int
		memory            int
		load              Load
		role              domain.Role
		changes           int
	}{
		{"a third reads, a quarter would do", 21, 39, testMemory, UsualLoad(), domain.RoleDecode, 6},
		{"near the balance", 14, 46, testMemory, UsualLoad(), "", 0},
		{"small site with larger memory", 3, 6, 42754, UsualLoad(), "", 0},
		{"short prompts and long answers", 21, 39, testMemory, short.Of("s"), domain.RoleDecode, 17},
		{"long prompts, over half of the wanted read", 21, 39, testMemory, long.Of("s"), "", 0},
		{"half of the prefill engines are missing", 7, 46, testMemory, UsualLoad(), "", 0},
		{"most of the prefill engines are missing", 3, 46, testMemory, UsualLoad(), domain.RolePrefill, 10},
		{"no prefill engine is known", 0, 9, testMemory, UsualLoad(), "", 0},
		{"one of each", 1, 1, testMemory, UsualLoad(), "", 0},
	}
	for _, c := range cases {
		changes := Plan(fleet(c.readers, c.decoders), c.memory, c.load)
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

// Whatever the load, each role keeps an engine, no engine changes twice, and the
// zones of those that change differ by one at most where they began alike.
func TestPlanKeepsBothRoles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		readers, decoders := rapid.IntRange(1, 30).Draw(t, "readers"), rapid.IntRange(1, 60).Draw(t, "decoders")
		load := Load{
			requests: 1, prompt: rapid.Float64Range(1, 1e5).Draw(t, "prompt"),
			held: rapid.Float64Range(1, 1e6).Draw(t, "held"), readRate: rapid.Float64Range(1, 1e5).Draw(t, "rate"),
		}
		changes := Plan(fleet(readers, decoders), testMemory, load)
		seen := make(map[domain.UpstreamID]bool)
		byRole := map[domain.Role]int{domain.RolePrefill: readers, domain.RoleDecode: decoders}
		for _, c := range changes {
			if seen[c.Engine.ID] {
				t.Fatalf("%s changes twice", c.Engine.ID)
			}
			seen[c.Engine.ID] = true
			byRole[c.Engine.Role]--
			byRole[c.Role]++
		}
		if byRole[domain.RolePrefill] < 1 || byRole[domain.RoleDecode] < 1 {
			t.Fatalf("%d readers and %d decoders become %v", readers, decoders, byRole)
		}
	})
}

func TestChangesSpreadOverZones(t *testing.T) {
	zones := make(map[domain.Zone]int)
	for _, c := range Plan(fleet(21, 39), testMemory, UsualLoad()) {
		zones[c.Engine.Zone]++
	}
	for zone, n := range zones {
		if n < 2 || n > 3 {
			t.Errorf("%d engines of zone %s change, want 2 or 3", n, zone)
		}
	}
}
