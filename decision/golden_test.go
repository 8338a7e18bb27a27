// SPDX-License-Identifier: Apache-2.0

package decision_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file explains requests of a recorded log, recorded.log, and compares the
// text with testdata/golden, which pins outward names. The log was written by
// a gateway, g1, and a directory replica, d1, in virtual time. It is not
// written anew: operators keep such logs, and they stay readable when lines
// get other words. Run with -update to write the explanation anew.

func TestGoldenExplain(t *testing.T) {
	explainRecorded(t, "recorded.log", "explained.txt", "early", "done", "broken", "lost", "refused", "hangs", "unreachable", "late")
}

// TestGoldenExplainRegions: a gateway with servers in two regions, of which its own is full from the second
// request on and both from the third, and with homes from the fourth on.
func TestGoldenExplainRegions(t *testing.T) {
	explainRecorded(t, "regions.log", "explained-regions.txt", "near", "over", "full", "homed", "none", "west")
}

// explainRecorded explains requests of a recorded log and compares the text with the pinned one.
func explainRecorded(t *testing.T, recorded, explained string, requests ...string) {
	t.Helper()
	is := is.New(t)
	log, err := os.ReadFile(filepath.Join("testdata", "golden", recorded))
	is.NoErr(err)
	lines, err := decision.ReadLines(bytes.NewReader(log))
	is.NoErr(err)
	var got bytes.Buffer
	for _, id := range requests {
		got.WriteString("request " + id + "\n")
		is.True(decision.Explain(&got, lines, id)) // found
	}
	golden.Text(t, explained, got.String())
}

// TestGoldenExplainRollout explains requests of a log that was recorded during a rollout, with
// lines of its leader and of one gateway: which version served each, and why.
func TestGoldenExplainRollout(t *testing.T) {
	is := is.New(t)
	log, err := os.ReadFile(filepath.Join("testdata", "golden", "recorded-rollout.log"))
	is.NoErr(err)
	lines, err := decision.ReadLines(bytes.NewReader(log))
	is.NoErr(err)
	var got bytes.Buffer
	is.True(decision.Explain(&got, lines, "r"))
	golden.Text(t, "explained-rollout.txt", got.String())
}
