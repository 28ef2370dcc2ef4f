package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"greengagespoke/internal/knownred"
)

// ciSeeds are played in each run of the tests. Seeds that ever failed are added,
// with a line on the cause.
var ciSeeds = []uint64{
	1,
	// 2: a place of a killed host was counted as kept; reservations lapse.
	2,
	// 9000: a request that its only upstream rejected with a rest was refused for rate limits.
	9000,
	// 24002: a repeatable request that may have run at one host was answered with the refusal of
	// the next one, which says that it did not run.
	24002,
	// 31202: a send-once request whose time ended while another host had it was answered as not
	// run.
	31202,
}

func TestSeeds(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "greengagespoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "greengagespoke/cmd/greengagespoke").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			report, err := Run(t.Context(), Options{
				Binary: binary, Dir: t.TempDir(), Seed: seed, Length: 4 * time.Second, Hosts: 3, Callers: 4,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if report.Requests == 0 || report.Faults == 0 {
				t.Errorf("seed %d tested nothing", seed)
			}
			for _, finding := range report.Findings {
				if strings.Contains(finding, rateLimitFinding) || strings.Contains(finding, crashFinding) {
					knownred.Errorf(t, "seed %d: %s", seed, finding)
					continue
				}
				t.Errorf("seed %d: %s", seed, finding)
			}
		})
	}
}

// The checks notice what they are there for.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	l := newLedger()
	l.add(sent{id: "a", kind: kindFiling, status: 200})
	l.add(sent{id: "b", kind: kindDraft, status: 503, promised: true})
	l.add(sent{id: "c", kind: kindStatus, status: 200})
	l.add(sent{id: "d", kind: kindFiling, status: 502})
	runs := map[string]int{"a": 2, "b": 1, "c": 3, "d": 1}
	l.check(func(id string) int { return runs[id] }, func(id string) int { return runs[id] })
	if len(l.findings) != 4 {
		t.Fatalf("findings %q, want two for a, one for b and one for c", l.findings)
	}
}
