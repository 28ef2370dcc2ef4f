package docstest

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"greengagespoke/counters"
	// The daemon imports the packages that count.
	_ "greengagespoke/entry"
	_ "greengagespoke/orders"
	_ "greengagespoke/platformentry"
)

// TestCountersPage checks that the counters page lists the whole catalogue, and
// that the catalogue has every counter whose name stands in the source.
func TestCountersPage(t *testing.T) {
	catalogue := make(map[string]bool)
	var b strings.Builder
	b.WriteString("| Counter | What it counts |\n|---|---|\n")
	for _, def := range counters.Catalogue() {
		catalogue[def.Name] = true
		fmt.Fprintf(&b, "| `%s` | %s |\n", def.Name, sentence(def.Help))
	}
	found := 0
	for path, names := range namesInSource(t) {
		for _, name := range names {
			found++
			if !catalogue[name] {
				t.Errorf("counter %s of %s is not in the catalogue; import its package in the daemon or in this test", name, path)
			}
		}
	}
	if found < 10 {
		t.Fatalf("found %d counters in the source; the test no longer reads them", found)
	}
	checkGenerated(t, "operators/counters.md", "counters", b.String())
}

// sentence gives a help text a capital and a full stop.
func sentence(text string) string {
	return strings.ToUpper(text[:1]) + strings.TrimSuffix(text[1:], ".") + "."
}

// counterName matches what looks like the name of a counter on a page.
var counterName = regexp.MustCompile("`((?:claims|entry|hostwatch|keeper|membership|orders|peerrpc|placement|quarantine|routing|tables)_[a-z_]+)`")

// TestPagesNameKnownCounters checks the counters that the operators' pages name.
func TestPagesNameKnownCounters(t *testing.T) {
	known := make(map[string]bool)
	for _, def := range counters.Catalogue() {
		known[def.Name] = true
	}
	paths, err := filepath.Glob(filepath.Join("..", "..", "docs", "operators", "*.md"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range counterName.FindAllStringSubmatch(string(text), -1) {
			if !known[m[1]] {
				t.Errorf("%s names counter %s, which does not exist", path, m[1])
			}
		}
	}
}

// namesInSource returns the literal names of counters by file.
func namesInSource(t *testing.T) map[string][]string {
	t.Helper()
	names := make(map[string][]string)
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if name, ok := definedName(node); ok {
				names[path] = append(names[path], name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// definedName returns the name in a call of counters.Define with a literal name.
func definedName(node ast.Node) (string, bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Define" {
		return "", false
	}
	pkg, ok := selector.X.(*ast.Ident)
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !ok || !isLiteral || pkg.Name != "counters" {
		return "", false
	}
	name, err := strconv.Unquote(literal.Value)
	return name, err == nil
}
