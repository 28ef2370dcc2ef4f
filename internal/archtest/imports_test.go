package archtest

import (
	"go/build"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const modulePath = "greengagespoke"

// outer lists the packages that decisions must not import.
var outer = []string{"adapters", "standin", "entry", "cmd", "demo", "platform", "platformentry"}

// decisions lists the packages that run without sockets under virtual time.
var decisions = []string{
	"domain", "ports", "counters", "groups", "routing", "placement", "keeper", "claims", "quarantine",
	"tables", "membership", "orders", "entrypoints", "fairqueue", "retry",
	"hostwatch", "host", "leases", "storeguard", "relay",
	"traffic", "catalog", "dispatch", "stages", "storerelay", "ratelimit", "origins", "rendezvous", "reach",
	"quota", "urgency", "promptcache", "internal/membudget",
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

// adapterMayImport lists the packages of the module that the platform's adapters
// may use: types, ports and helpers, but nothing that decides. The copies of the
// store's tables are plain data.
var adapterMayImport = []string{"domain", "ports", "traffic", "platform", "storerelay", "internal"}

// TestPlatformDecidesNothing checks that the adapters of the users' platform
// import no package that decides.
func TestPlatformDecidesNothing(t *testing.T) {
	dirs := packageDirs(t, filepath.Join("..", "..", "platform"))
	if len(dirs) < 5 {
		t.Fatalf("found %d packages below platform", len(dirs))
	}
	for _, dir := range dirs {
		pkg, err := build.ImportDir(dir, 0)
		if err != nil {
			t.Fatalf("read package %s: %v", dir, err)
		}
		for _, path := range pkg.Imports {
			inner, ok := strings.CutPrefix(path, modulePath+"/")
			if !ok {
				continue
			}
			first, _, _ := strings.Cut(inner, "/")
			if !slices.Contains(adapterMayImport, first) {
				t.Errorf("%s imports %s; the platform's adapters decide nothing", dir, path)
			}
		}
	}
}

// wireNames matches names of the platform's protocol: headers, paths and fields.
var wireNames = regexp.MustCompile("Greengagespoke-[A-Z]|\"/-/|rows-(tx|get|feed)|kv[-_](handle|hold|events|list|pin|move)|expected_rev|max_attempts|target_latency_ms|cold_left_ms")

// TestWireNamesStayInThePlatformFolder checks that no Go file outside platform
// names a header, path or field of the platform's protocol.
func TestWireNamesStayInThePlatformFolder(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		if entry.IsDir() {
			if rel == "platform" || rel == "internal/archtest" || strings.HasPrefix(entry.Name(), ".") && rel != "." {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := wireNames.Find(text); found != nil {
			t.Errorf("%s names %q of the platform's protocol; it belongs into platform", rel, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// clientTransport matches places that make the transport of an HTTP client.
var clientTransport = regexp.MustCompile(`http\.Transport\{|http\.DefaultTransport|http\.DefaultClient|http\.Get\(|http\.Post\(`)

// TestHTTPClientsLimitResponses checks that each transport is limited where it is made.
func TestHTTPClientsLimitResponses(t *testing.T) {
	root := filepath.Join("..", "..")
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			if !clientTransport.MatchString(line) {
				continue
			}
			checked++
			if !strings.Contains(line, "httplimit.Transport(") {
				t.Errorf("%s makes a transport without httplimit.Transport: %s", path, strings.TrimSpace(line))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Error("no transport found; the pattern is out of date")
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
