// SPDX-License-Identifier: Apache-2.0

// Package seeds runs property tests with rapid on schedules generated from seeds in the repository,
// so that the result for a commit is reproducible.
//
// The file testdata/seeds/<test>.txt of the tested package has one line per seed: the seed, the
// number of schedules to generate from it, and after # the reason for keeping it. A seed that failed
// is added with one schedule and is never removed.
//
// If -rapid.seed or -rapid.checks is on the command line, the schedules are generated from these
// flags and the file is not read. tools/draw.sh uses this to find new failing seeds. In both cases
// rapid's failure files are neither written nor read. A test that runs out of time fails at the
// time limit of go test; it does not pass with fewer schedules.
//
// Only tests import this package.
package seeds

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// This file defines Check, the format of seed files, and the flags of rapid.

// seed is one line of a seed file.
type seed struct {
	seed      uint64
	schedules int
}

// checks returns the value of -rapid.checks that makes rapid generate all schedules. With -short,
// rapid divides the value by five.
func (s seed) checks() int {
	if testing.Short() {
		return 5 * s.schedules
	}
	return s.schedules
}

// Check runs a property for each seed of the calling test, in a subtest per seed that logs the number
// of schedules.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if scheduledByFlags() {
		setFlag(t, "rapid.nofailfile", "true")
		run(t, t.Name()+"/by hand", property)
		return
	}
	for _, s := range readSeeds(t, filepath.Join("testdata", "seeds", t.Name()+".txt")) {
		t.Run(strconv.FormatUint(s.seed, 10), func(t *testing.T) {
			setFlag(t, "rapid.seed", strconv.FormatUint(s.seed, 10))
			setFlag(t, "rapid.checks", strconv.Itoa(s.checks()))
			setFlag(t, "rapid.failfile", "")
			setFlag(t, "rapid.nofailfile", "true")
			n := run(t, t.Name(), property)
			t.Logf("%s played %d schedules", t.Name(), n)
		})
	}
}

// run runs a property with the current flags of rapid and returns the number of schedules.
func run(t *testing.T, name string, property func(*rapid.T)) (schedules int) {
	t.Helper()
	rapid.Check(namedTest{t, name}, func(t *rapid.T) {
		schedules++
		property(t)
	})
	return schedules
}

// namedTest wraps a test for rapid. Because it is not a *testing.T, rapid does not stop early at the
// deadline of the test. The name is one for which no failure files exist.
type namedTest struct {
	*testing.T
	name string
}

// Name returns the name that rapid reports and uses to find failure files.
func (n namedTest) Name() string { return n.name }

// scheduledByFlags reports whether the command line sets the seed or the number of schedules. The result
// is computed once, before the first call of setFlag, because flag.Visit does not distinguish flags
// changed by setFlag.
var scheduledByFlags = sync.OnceValue(func() bool {
	isSet := false
	flag.Visit(func(f *flag.Flag) {
		isSet = isSet || f.Name == "rapid.seed" || f.Name == "rapid.checks"
	})
	return isSet
})

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

func readSeeds(t *testing.T, file string) []seed {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read seeds of the test: %v", err)
	}
	seeds, err := parseSeeds(string(text))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return seeds
}

// parseSeeds returns the seeds in a file. A file without seeds is an error, because the test would run
// nothing. Seed 0 is an error, because rapid replaces it by a random seed.
func parseSeeds(text string) ([]seed, error) {
	var out []seed
	for line := range strings.Lines(text) {
		fields, _, _ := strings.Cut(line, "#")
		if strings.TrimSpace(fields) == "" {
			continue
		}
		var s seed
		n, err := fmt.Sscanf(fields, "%d %d", &s.seed, &s.schedules)
		if err != nil || n != len(strings.Fields(fields)) || s.seed == 0 || s.schedules <= 0 {
			return nil, fmt.Errorf("%q is not a seed and a number of schedules", strings.TrimSpace(line))
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("the file has no seeds")
	}
	return out, nil
}
