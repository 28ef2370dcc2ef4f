package archtest

import (
	"go/build"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const modulePath = "greengagespoke"

// outer lists the packages that decisions must not import.
var outer = []string{"adapters", "standin", "entry", "cmd", "demo"}

// decisions lists the packages that run without sockets under virtual time.
var decisions = []string{
	"domain", "ports", "counters", "groups", "routing", "placement", "keeper", "claims", "quarantine",
	"tables", "membership", "orders", "entrypoints", "fairqueue", "retry",
	"hostwatch", "host", "leases", "storeguard", "relay",
}

// TestImportsPointInwards checks that decisions import neither adapters nor
// stand-ins, that ports import the domain only, and that the domain imports
// nothing of the module.
func TestImportsPointInwards(t *testing.T) {
	checked := 0
	for _, top := range decisions {
		for _, dir := range packageDirs(t, filepath.Join("..", "..", top)) {
			checked++
			checkImports(t, top, dir)
		}
	}
	if checked < 2 {
		t.Fatalf("checked %d packages; the list of decisions is out of date", checked)
	}
}

func checkImports(t *testing.T, top, dir string) {
	t.Helper()
	pkg, err := build.ImportDir(dir, 0)
	if err != nil {
		t.Fatalf("read package %s: %v", dir, err)
	}
	for _, path := range pkg.Imports {
		inner, ok := strings.CutPrefix(path, modulePath+"/")
		if !ok {
			if path == "net/http" && top != "ports" && top != "domain" {
				t.Errorf("%s imports net/http; decisions do no I/O", dir)
			}
			continue
		}
		first, _, _ := strings.Cut(inner, "/")
		for _, o := range outer {
			if first == o {
				t.Errorf("%s imports %s; arrows point inwards only", dir, path)
			}
		}
		if top == "domain" {
			t.Errorf("domain imports %s; it imports nothing of the module", path)
		}
		if top == "ports" && first != "domain" {
			t.Errorf("ports imports %s; it imports the domain only", path)
		}
	}
}

// packageDirs returns the directories below root that hold Go files, or nothing
// where root does not exist.
func packageDirs(t *testing.T, root string) []string {
	t.Helper()
	seen := make(map[string]bool)
	var dirs []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		dir := filepath.Dir(path)
		if !seen[dir] {
			seen[dir] = true
			dirs = append(dirs, dir)
		}
		return nil
	})
	if err != nil && !strings.Contains(err.Error(), "no such file") {
		t.Fatalf("walk %s: %v", root, err)
	}
	return dirs
}
