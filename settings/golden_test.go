// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"flag"
	"testing"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file writes the daemon's flags and environment variables down and
// compares them with testdata/golden, which pins outward names. Run with
// -update to write them anew.

func TestGoldenFlags(t *testing.T) {
	var got bytes.Buffer
	new(raw).flags(&got).VisitAll(func(f *flag.Flag) {
		got.WriteString("-" + f.Name + " " + EnvName(f.Name) + " default " + `"` + f.DefValue + "\"\n")
	})
	golden.Text(t, "flags.txt", got.String())
}
