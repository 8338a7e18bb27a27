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

// This file explains requests of recorded logs and compares the text with testdata/golden, which
// pins external names. The log recorded.log was written by a gateway, g1, and a directory replica,
// d1, in virtual time. It is never regenerated: operators keep such logs, and they must stay readable
// when the wording of lines changes. Run with -update to regenerate the explanation.

func TestGoldenExplain(t *testing.T) {
	explainRecorded(t, "recorded.log", "explained.txt", "early", "done", "broken", "lost", "refused", "hangs", "unreachable", "late")
}

// TestGoldenExplainRegions uses a log of a gateway with servers in two regions. Its own region is
// full from the second request on and both regions from the third; homes apply from the fourth on.
func TestGoldenExplainRegions(t *testing.T) {
	explainRecorded(t, "regions.log", "explained-regions.txt", "near", "over", "full", "homed", "none", "west")
}

// explainRecorded explains requests of a recorded log and compares the text with the golden file.
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

// TestGoldenExplainRollout uses a log recorded during a rollout, with lines of its leader and of
// one gateway. The explanation must show which version served each request, and why.
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
