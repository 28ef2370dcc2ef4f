package docstest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"testing"
)

// TestSettingsAreUsed checks that the program acts on every setting: the name of
// each field is selected somewhere in the daemon or the command line.
func TestSettingsAreUsed(t *testing.T) {
	used := make(map[string]bool)
	for _, dir := range []string{"entry", "adapters/cli"} {
		paths, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("package %s has no files: %v", dir, err)
		}
		for _, path := range paths {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if selector, ok := node.(*ast.SelectorExpr); ok {
					used[selector.Sel.Name] = true
				}
				return true
			})
		}
	}
	for name, structure := range parseSource(t, "adapters/settings") {
		if name == "settings.checker" {
			continue
		}
		for _, field := range structure.Fields.List {
			for _, ident := range field.Names {
				if !used[ident.Name] {
					t.Errorf("no package acts on %s.%s; remove the setting or connect it", name, ident.Name)
				}
			}
		}
	}
}
