// SPDX-License-Identifier: Apache-2.0

// Package seeds plays a property over schedules that are drawn from seeds in the
// repository, so that a commit has one verdict.
//
// The file testdata/seeds/<test>.txt of the tested package has a line for each
// seed: the seed, the number of schedules drawn from it, and after # what it was
// kept for. A seed that failed is added with one schedule and stays.
//
// With -rapid.seed or -rapid.checks on the command line the schedules are drawn
// from there, and the file is not read: that is how new ones are found
// (tools/draw.sh). Either way no file of a failed draw is written or looked for,
// and a test that is short of time fails by the time limit of go test and does
// not pass with fewer schedules.
//
// It is imported by tests only.
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

// This file defines Check, the files that it reads, and how rapid is set.

// seed is a line of a file.
type seed struct {
	seed      uint64
	schedules int
}

// checks is what makes rapid draw the schedules: with -short it draws a fifth.
func (s seed) checks() int {
	if testing.Short() {
		return 5 * s.schedules
	}
	return s.schedules
}

// Check plays a property over the seeds of the calling test, each in a subtest
// that prints what it played.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if byHand() {
		set(t, "rapid.nofailfile", "true")
		play(t, t.Name()+"/by hand", property)
		return
	}
	for _, s := range read(t, filepath.Join("testdata", "seeds", t.Name()+".txt")) {
		t.Run(strconv.FormatUint(s.seed, 10), func(t *testing.T) {
			set(t, "rapid.seed", strconv.FormatUint(s.seed, 10))
			set(t, "rapid.checks", strconv.Itoa(s.checks()))
			set(t, "rapid.failfile", "")
			set(t, "rapid.nofailfile", "true")
			n := play(t, t.Name(), property)
			t.Logf("%s played %d schedules", t.Name(), n)
		})
	}
}

// play returns how many schedules were drawn.
func play(t *testing.T, name string, property func(*rapid.T)) (schedules int) {
	t.Helper()
	rapid.Check(player{t, name}, func(t *rapid.T) {
		schedules++
		property(t)
	})
	return schedules
}

// player is a test as rapid sees it. It is no *testing.T, whose deadline would
// end the draws early, and it has a name under which rapid wrote no file.
type player struct {
	*testing.T
	name string
}

// Name returns the name that rapid looks for files by and reports.
func (p player) Name() string { return p.name }

// byHand reports whether the command line says what is drawn. It looks before
// set does, which counts as the command line afterwards.
var byHand = sync.OnceValue(func() bool {
	found := false
	flag.Visit(func(f *flag.Flag) {
		found = found || f.Name == "rapid.seed" || f.Name == "rapid.checks"
	})
	return found
})

func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, file string) []seed {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("the test has no seeds: %v", err)
	}
	seeds, err := parse(string(text))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return seeds
}

// parse returns the seeds of a file. A file without any is an error, since
// nothing would be played; so is a seed 0, from which rapid draws another one.
func parse(text string) ([]seed, error) {
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
		return nil, fmt.Errorf("no seed")
	}
	return out, nil
}
