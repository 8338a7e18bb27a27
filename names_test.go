// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/printer"
	gotoken "go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file extracts public names from the source and compares them with
// testdata/golden: names of metrics and environment variables, and the flags and
// exit codes of the commands. A change of one of these names affects users. Run
// with -update to rewrite the files.

// forEachSourceFile calls f for every Go file under a folder, except test files.
func forEachSourceFile(t *testing.T, root string, f func(set *gotoken.FileSet, path string, file *ast.File)) {
	t.Helper()
	is.New(t).NoErr(filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := gotoken.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err == nil {
			f(set, path, file)
		}
		return err
	}))
}

// stringLiterals returns the string literals that match a pattern, sorted, one per line.
func stringLiterals(t *testing.T, pattern string) string {
	t.Helper()
	want, found := regexp.MustCompile(pattern), map[string]bool{}
	forEachSourceFile(t, ".", func(_ *gotoken.FileSet, _ string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == gotoken.STRING {
				if text, err := strconv.Unquote(l.Value); err == nil && want.MatchString(text) {
					found[text] = true
				}
			}
			return true
		})
	})
	return strings.Join(slices.Sorted(maps.Keys(found)), "\n") + "\n"
}

func TestGoldenMetricNames(t *testing.T) {
	golden.Text(t, "metric-names.txt", stringLiterals(t, `^badgerspoke_`))
}

func TestGoldenEnvironment(t *testing.T) {
	golden.Text(t, "environment.txt", stringLiterals(t, `^BADGERSPOKE_`))
}

// TestGoldenFlags compares the flags that the commands define with package flag,
// and their exit codes. Packages that define a flag set have their own test.
func TestGoldenFlags(t *testing.T) {
	var lines []string
	forEachSourceFile(t, "cmd", func(set *gotoken.FileSet, path string, file *ast.File) {
		text := func(n ast.Node) string {
			var b bytes.Buffer
			is.New(t).NoErr(printer.Fprint(&b, set, n))
			return b.String()
		}
		command := filepath.Base(filepath.Dir(path))
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				kind, isFlag := strings.CutPrefix(text(n.Fun), "flag.")
				if isFlag && len(n.Args) >= 2 {
					lines = append(lines, command+" -"+strings.Trim(text(n.Args[0]), `"`)+" "+kind+" "+text(n.Args[1]))
				}
			case *ast.ValueSpec:
				if strings.HasPrefix(n.Names[0].Name, "exit") && len(n.Values) == 1 {
					lines = append(lines, command+" exit code "+text(n.Values[0]))
				}
			}
			return true
		})
	})
	slices.Sort(lines)
	golden.Text(t, "command-flags.txt", strings.Join(lines, "\n")+"\n")
}

// TestGoldenMetricLabels compares the names and labels of the metrics that the
// control boxes of a fleet expose after responses of several kinds.
func TestGoldenMetricLabels(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := standardFleet(t, 1)
		var rs []request
		for range 20 { // more than there are slots
			rs = append(rs, completion("r1", "hotel", 20, true))
		}
		rs = append(rs, order("r1", "hotel", "30 sheets", ""), order("r1", "stranger", "30 sheets", ""))
		f.startAll(rs...)()
		found := map[string]bool{}
		metric := regexp.MustCompile(`(?m)^(badgerspoke_[a-z_]+)(?:\{(.*)\})? `)
		labelValue := regexp.MustCompile(`="[^"]*"`)
		for name := range f.replicas {
			for _, m := range metric.FindAllStringSubmatch(f.scrape(name), -1) {
				found[m[1]+"{"+labelValue.ReplaceAllString(m[2], "")+"}"] = true
			}
		}
		golden.Text(t, "metric-labels.txt", strings.Join(slices.Sorted(maps.Keys(found)), "\n")+"\n")
	})
}
