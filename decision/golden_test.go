// SPDX-License-Identifier: Apache-2.0

package decision_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/decision"
)

// This file explains requests of a recorded log, today.log, and compares the
// text with testdata/golden, which pins outward names. The log was written by
// a gateway, g1, and a directory replica, d1, in virtual time. It is not
// written anew: operators keep such logs, and they stay readable when lines
// get other words. Run with -update to write the explanation anew.

var update = flag.Bool("update", false, "write the golden files anew")

func TestGoldenExplain(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join("testdata", "golden")
	log, err := os.ReadFile(filepath.Join(folder, "today.log"))
	is.NoErr(err)
	lines, err := decision.ReadLines(bytes.NewReader(log))
	is.NoErr(err)
	var got bytes.Buffer
	for _, id := range []string{"early", "done", "broken", "lost", "refused", "hangs", "unreachable", "late"} {
		got.WriteString("request " + id + "\n")
		is.True(decision.Explain(&got, lines, id)) // found
	}
	path := filepath.Join(folder, "explained.txt")
	if *update {
		is.NoErr(os.WriteFile(path, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}
