package docstest

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the generated parts of the pages anew")

// checkGenerated compares the part of a page between the markers of a section
// with the wanted text, or writes it with -update.
func checkGenerated(t *testing.T, page, section, want string) {
	t.Helper()
	path := filepath.Join("..", "..", "docs", page)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	begin := fmt.Sprintf("<!-- begin generated %s -->\n", section)
	end := fmt.Sprintf("<!-- end generated %s -->", section)
	head, rest, found := strings.Cut(string(data), begin)
	got, tail, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatalf("docs/%s has no markers %q and %q", page, strings.TrimSpace(begin), end)
	}
	if got == want {
		return
	}
	if !*update {
		t.Errorf("docs/%s, section %s, does not match the code; run go test ./internal/docstest -update", page, section)
		return
	}
	if err := os.WriteFile(path, []byte(head+begin+want+end+tail), 0o600); err != nil {
		t.Fatal(err)
	}
}

// table renders rows as a Markdown table.
func table(t *testing.T, rows []row) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("| Key | Type | Meaning |\n|---|---|---|\n")
	for _, r := range rows {
		if r.text == "" {
			t.Errorf("key %s has no doc comment", r.key)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", r.key, r.kind, strings.ReplaceAll(r.text, "|", "\\|"))
	}
	return b.String()
}

func TestSettingsPage(t *testing.T) {
	types := parseSource(t, "adapters/settings", "domain")
	rows := types.rows(t, "settings", "Settings", "")
	checkGenerated(t, "operators/settings.md", "settings", table(t, rows))
}

func TestTablesPage(t *testing.T) {
	types := parseSource(t, "domain")
	checkGenerated(t, "operators/tables-reference.md", "routes", table(t, types.rows(t, "domain", "Route", "")))
	checkGenerated(t, "operators/tables-reference.md", "pools", table(t, types.rows(t, "domain", "Pool", "")))
}
