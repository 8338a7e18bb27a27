// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// This file checks that files, directories and tests that the documentation pages name exist.

var (
	repoPath     = regexp.MustCompile(`^[.\w][-.\w]*(/[-.\w*]+)+/?$|^[a-z]\w*/$`)
	namedTest    = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w*)\(`)
	// The package argument of a command: ./dir, ./dir/... or ./..., after a space or a backtick.
	commandDir = regexp.MustCompile("(?:^|[ `])\\./([-.\\w/]*)")
)

// readRepository returns the text of the pages by file name, the test functions,
// one per line, and the top-level directories, with which paths in pages may begin.
func readRepository(t *testing.T) (pages map[string]string, functions string, top map[string]bool) {
	pages, top = map[string]string{}, map[string]bool{}
	var names strings.Builder
	names.WriteByte('\n')
	err := filepath.WalkDir(".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		file = filepath.ToSlash(file)
		if entry.IsDir() {
			if file == ".git" || file == "journal" || file == "docs/incidents" {
				return fs.SkipDir
			}
			if file != "." && !strings.Contains(file, "/") {
				top[file] = true
			}
			return nil
		}
		page := file == "README.md" || file == "CONTRIBUTING.md" || strings.HasPrefix(file, "docs/") && path.Ext(file) == ".md"
		if !page && !strings.HasSuffix(file, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if page {
			pages[file] = string(text)
			return nil
		}
		for _, m := range testFunction.FindAllSubmatch(text, -1) {
			names.Write(m[1])
			names.WriteByte('\n')
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return pages, names.String(), top
}

// staleNames returns the names in a line of a page that don't exist in the repository.
func staleNames(line, functions string, top map[string]bool) (missing []string) {
	// Every part between two backticks is checked, since a code span may have
	// started on the previous line.
	parts := strings.Split(line, "`")
	for _, name := range parts[min(1, len(parts)-1) : len(parts)-1] {
		first, _, _ := strings.Cut(name, "/")
		// A Go file is assumed to belong to the repository even if its directory doesn't exist.
		if !repoPath.MatchString(name) || !top[first] && path.Ext(name) != ".go" {
			continue
		}
		if found, err := filepath.Glob(strings.TrimSuffix(name, "/")); err != nil || len(found) == 0 {
			missing = append(missing, name)
		}
	}
	for _, name := range namedTest.FindAllString(line, -1) {
		if !strings.Contains(functions, "\n"+name) {
			missing = append(missing, name)
		}
	}
	for _, m := range commandDir.FindAllStringSubmatch(line, -1) {
		dir := path.Clean(strings.TrimSuffix(m[1], "..."))
		if info, err := os.Stat(dir); err != nil || !info.IsDir() {
			missing = append(missing, "./"+m[1])
		}
	}
	return missing
}

// TestPagesNameWhatExists checks all pages for stale names.
func TestPagesNameWhatExists(t *testing.T) {
	pages, functions, top := readRepository(t)
	if len(pages) < 3 || !top["docs"] || !strings.Contains(functions, "\nTestPagesNameWhatExists\n") {
		t.Fatalf("the repository was not read completely: found %d pages", len(pages))
	}
	for page, text := range pages {
		for i, line := range strings.Split(text, "\n") {
			for _, name := range staleNames(line, functions, top) {
				t.Errorf("%s:%d: %s does not exist", page, i+1, name)
			}
		}
	}
}

// TestStaleNamesAreFound checks that staleNames reports names that don't exist, but not existing names
// and not text that isn't a path in the repository.
func TestStaleNamesAreFound(t *testing.T) {
	_, functions, top := readRepository(t)
	for line, want := range map[string]string{
		"`docs/design`, `platform/`, `cmd/*`, `.ci/run`, `testdata/sessions/late-and-crossed.txt`": "",
		"`pkg/errors`, `testing/synctest`, `/readyz`, `go test ./docs/... ./...`, `-bench X .`":    "",
		"`TestStaleNamesAre…` by the start of its name":                                            "",
		"from before` and `docs/no-such`":                                                          "docs/no-such",
		"`nosuch/file.go`":                                                                         "nosuch/file.go",
		"`docs/no_such.md`":                                                                        "docs/no_such.md",
		"`.ci/no-such`, `cmd/no-such*`":                                                            ".ci/no-such cmd/no-such*",
		"TestNoSuchThing, BenchmarkNoSuch…":                                                        "TestNoSuchThing BenchmarkNoSuch",
		"    go test -run '^$' ./docs/no-such":                                                     "./docs/no-such",
		"`go test . ./docs ./no-such/...`":                                                         "./no-such/...",
	} {
		if got := strings.Join(staleNames(line, functions, top), " "); got != want {
			t.Errorf("stale names in %s: got %q, want %q", line, got, want)
		}
	}
}
