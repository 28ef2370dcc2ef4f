// Package knownred lets the tests that KNOWN-RED.txt lists run and report their
// miss without failing the run. All other tests fail as usual.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// fileName is the list at the root of the module.
	fileName = "KNOWN-RED.txt"
	// entryPrefix begins the line that names a test, sometimesPrefix that of one that misses in some
	// runs only.
	entryPrefix     = "test: "
	sometimesPrefix = "sometimes: "
)

// Errorf fails the test, or ends it as skipped with the same message where the
// list names it.
func Errorf(t *testing.T, format string, args ...any) {
	t.Helper()
	if listed(t, entryPrefix) || listed(t, sometimesPrefix) {
		t.Skipf("known red, see "+fileName+": "+format, args...)
	}
	t.Errorf(format, args...)
}

// Done fails a test that passed although the list names it, so that the list
// stays true. It has no say on a test that misses in some runs only.
func Done(t *testing.T) {
	t.Helper()
	if !t.Skipped() && !t.Failed() && listed(t, entryPrefix) {
		t.Errorf("%s passes; strike it from %s", t.Name(), fileName)
	}
}

// listed reports whether a line of the list with a prefix names the test.
func listed(t *testing.T, prefix string) bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root(t), fileName))
	if os.IsNotExist(err) {
		return false
	}
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if entry, ok := strings.CutPrefix(line, prefix); ok && strings.TrimSpace(entry) == t.Name() {
			return true
		}
	}
	return false
}

// root returns the directory of the module above the test's package.
func root(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	for err == nil {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			break
		}
		dir = parent
	}
	t.Fatalf("no go.mod above the test's directory: %v", err)
	return ""
}
