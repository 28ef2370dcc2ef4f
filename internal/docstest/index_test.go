package docstest

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestPageLists checks that the maps list every page of their directories: the
// design notes by their titles, the operators' pages by links.
func TestPageLists(t *testing.T) {
	checkGenerated(t, "README.md", "design", pageList(t, "design", "design/"))
	dir := filepath.Join("..", "..", "docs", "operators")
	index, err := os.ReadFile(filepath.Join(dir, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*.md"))
	if err != nil || len(paths) < 2 {
		t.Fatalf("no pages for operators: %v", err)
	}
	for _, path := range paths {
		name := filepath.Base(path)
		if name != "README.md" && !strings.Contains(string(index), "]("+name+")") {
			t.Errorf("docs/operators/README.md does not link to %s", name)
		}
	}
}

// pageList returns a list of the pages of a directory with their titles.
func pageList(t *testing.T, dir, prefix string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "..", "docs", dir, "*.md"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("docs/%s has no pages: %v", dir, err)
	}
	var b strings.Builder
	for _, path := range paths {
		name := filepath.Base(path)
		if name == "README.md" {
			continue
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		title, found := strings.CutPrefix(strings.SplitN(string(text), "\n", 2)[0], "# ")
		if !found {
			t.Errorf("%s does not begin with a title", path)
		}
		fmt.Fprintf(&b, "- [%s](%s%s): %s\n", name, prefix, name, title)
	}
	return b.String()
}

var (
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)[A-Z]\w*)\(`)
	testMention     = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w*`)
)

// TestPagesNameKnownTests checks that the tests and benchmarks that pages name
// exist. A page may name the beginning of a test's name, as -run does.
func TestPagesNameKnownTests(t *testing.T) {
	var known []string
	eachFile(t, "_test.go", func(_, text string) {
		for _, m := range testDeclaration.FindAllStringSubmatch(text, -1) {
			known = append(known, m[1])
		}
	})
	eachFile(t, ".md", func(path, text string) {
		for _, name := range testMention.FindAllString(text, -1) {
			begins := func(test string) bool { return strings.HasPrefix(test, name) }
			if !slices.ContainsFunc(known, begins) {
				t.Errorf("%s names %s, which does not exist", path, name)
			}
		}
	})
}

// eachFile calls a function for the files of the module with a suffix.
func eachFile(t *testing.T, suffix string, visit func(path, text string)) {
	t.Helper()
	visited := 0
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		visited++
		visit(path, string(text))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if visited == 0 {
		t.Fatalf("no file ends with %s", suffix)
	}
}
