package docstest

import (
	"go/ast"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"greengagespoke/adapters/gatehttp"
	"greengagespoke/domain"
)

// documentedKind matches one row of the table of refusals: kind, status, ran,
// meaning and remedy.
var documentedKind = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d{3}) \\| ([a-z ]+) \\| ([^|]+) \\| ([^|]+) \\|$")

// TestRefusalsAreDocumented checks that docs/API.md has every kind of refusal
// exactly once with the status that hosts answer with, and no other.
func TestRefusalsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "API.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[domain.RefusalKind]int)
	for _, m := range documentedKind.FindAllStringSubmatch(string(page), -1) {
		kind := domain.RefusalKind(m[1])
		documented[kind]++
		if status := strconv.Itoa(gatehttp.StatusCode(kind)); status != m[2] {
			t.Errorf("kind %s is documented with status %s, but hosts answer with %s", kind, m[2], status)
		}
		for _, ran := range strings.Split(m[3], " or ") {
			if ran != string(domain.RanNo) && ran != string(domain.RanYes) && ran != string(domain.RanUnknown) {
				t.Errorf("kind %s is documented with ran %q", m[1], ran)
			}
		}
	}
	kinds := refusalKinds(t)
	if len(kinds) < 10 {
		t.Fatalf("found %d kinds of refusal in the source; the test no longer reads them", len(kinds))
	}
	for _, kind := range kinds {
		if documented[kind] != 1 {
			t.Errorf("kind %s stands %d times in docs/API.md, want once", kind, documented[kind])
		}
		delete(documented, kind)
	}
	for kind := range documented {
		t.Errorf("docs/API.md has kind %s, which does not exist", kind)
	}
}

// refusalKinds reads the constants of type RefusalKind from the source.
func refusalKinds(t *testing.T) []domain.RefusalKind {
	t.Helper()
	var kinds []domain.RefusalKind
	for _, spec := range declarations(t, "domain") {
		value, ok := spec.(*ast.ValueSpec)
		if !ok || len(value.Values) != 1 {
			continue
		}
		name, isName := value.Type.(*ast.Ident)
		literal, isLiteral := value.Values[0].(*ast.BasicLit)
		if !isName || !isLiteral || name.Name != "RefusalKind" {
			continue
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, domain.RefusalKind(text))
	}
	return kinds
}
