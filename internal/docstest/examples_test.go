package docstest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"greengagespoke/adapters/settings"
	"greengagespoke/adapters/tablefile"
)

// example returns the text of a fenced block of README.md by its info string.
func example(t *testing.T, info string) []byte {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), "```"+info+"\n")
	text, _, closed := strings.Cut(rest, "```")
	if !found || !closed {
		t.Fatalf("README.md has no block %q", info)
	}
	return []byte(text)
}

// TestExamplesAreValid checks the settings and tables in README.md.
func TestExamplesAreValid(t *testing.T) {
	if _, err := settings.Parse("README.md", example(t, "yaml settings")); err != nil {
		t.Error(err)
	}
	file, err := tablefile.Parse("README.md", example(t, "yaml tables"))
	if err != nil {
		t.Fatal(err)
	}
	if len(file.Routes) != 2 || len(file.Pools) != 2 {
		t.Errorf("the example has %d routes and %d pools, want 2 and 2", len(file.Routes), len(file.Pools))
	}
}

var localLink = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

// TestLinksLeadSomewhere checks the links between the pages.
func TestLinksLeadSomewhere(t *testing.T) {
	root := filepath.Join("..", "..")
	checked := 0
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".md") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range localLink.FindAllStringSubmatch(string(text), -1) {
			checked++
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, m[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked < 5 {
		t.Errorf("checked %d links; the test no longer finds them", checked)
	}
}
