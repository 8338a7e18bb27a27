// SPDX-License-Identifier: Apache-2.0

package seeds

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// This file tests Check, and that every property test of the repository runs from a seed file.

func TestParseSeeds(t *testing.T) {
	is := is.New(t)
	got, err := parseSeeds("# seed schedules\n1 300\n\n18446744073709551615 1 # why\n")
	is.NoErr(err)
	is.Equal(got, []seed{{1, 300}, {18446744073709551615, 1}})
	for _, bad := range []string{"", "# none\n", "1\n", "0 5\n", "1 0\n", "1 2 3\n", "x 1\n", "1 300 why\n"} {
		_, err := parseSeeds(bad)
		is.True(err != nil) // not a list of seeds
	}
}

// TestSeedDeterminesSchedules checks that two runs of a seed file generate the same schedules, even if
// there is a failure file, which rapid by itself would run first.
func TestSeedDeterminesSchedules(t *testing.T) {
	if scheduledByFlags() {
		t.Skip("the command line sets the seed or the number of schedules")
	}
	is := is.New(t)
	name := t.Name()
	t.Chdir(t.TempDir())
	is.NoErr(os.MkdirAll("testdata/seeds", 0o700))
	is.NoErr(os.WriteFile("testdata/seeds/"+name+".txt", []byte("7 3\n8407117806593818294 1\n"), 0o600))
	failureDir := "testdata/rapid/" + name
	is.NoErr(os.MkdirAll(failureDir, 0o700))
	is.NoErr(os.WriteFile(failureDir+"/"+name+"-1.fail", []byte("v0.4.8#5\n0x2a\n"), 0o600))
	var draws []uint64
	property := func(t *rapid.T) { draws = append(draws, rapid.Uint64().Draw(t, "draw")) }
	for range 2 { // repeated subtests get numbered names but use the same seeds
		Check(t, property)
	}
	is.Equal(len(draws), 8)        // the failure file was not run
	is.Equal(draws[:4], draws[4:]) // both runs are equal
	is.True(draws[0] != draws[1])  // schedules of one seed differ
	is.True(draws[0] != draws[3])  // seeds differ
	_, err := os.Stat(failureDir)  // the failure file is in the folder that rapid searches
	is.NoErr(err)
}

// TestPropertyTestsUseSeedFiles fails for property tests that do not use this package, for seed files
// that no test reads and for missing seed files.
func TestPropertyTestsUseSeedFiles(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	var existing []string     // seed files in the repository
	used := map[string]bool{} // seed files that tests read
	is.NoErr(filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && d.Name() == ".git":
			return filepath.SkipDir
		case strings.Contains(path, "testdata/seeds/"):
			existing = append(existing, path)
		case strings.HasSuffix(path, "_test.go") && filepath.Dir(path) != filepath.Join(root, "internal", "seeds"):
			return collectSeedFiles(t, path, used)
		}
		return nil
	}))
	is.True(len(existing) > 0)
	for _, f := range existing {
		if !used[f] {
			t.Errorf("no test reads %s", f)
		}
		delete(used, f)
	}
	for f := range used {
		t.Errorf("%s is missing", f)
	}
}

// collectSeedFiles adds the seed files that the tests in a Go file read to seedFiles, and fails for
// property tests that call rapid directly.
func collectSeedFiles(t *testing.T, path string, seedFiles map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			switch x, _ := s.X.(*ast.Ident); {
			case x == nil:
			case x.Name == "rapid" && slices.Contains([]string{"Check", "MakeCheck", "MakeFuzz"}, s.Sel.Name):
				t.Errorf("%s: %s calls rapid directly instead of seeds.Check", path, f.Name.Name)
			case x.Name == "seeds" && s.Sel.Name == "Check":
				seedFiles[filepath.Join(filepath.Dir(path), "testdata", "seeds", f.Name.Name+".txt")] = true
			}
			return true
		})
	}
	return nil
}
