// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"flag"
	"testing"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file compares the daemon's flags and environment variables with testdata/golden, which
// pins the public names. Run with -update to rewrite it.

func TestGoldenFlags(t *testing.T) {
	var got bytes.Buffer
	new(rawSettings).flags(&got).VisitAll(func(f *flag.Flag) {
		got.WriteString("-" + f.Name + " " + EnvName(f.Name) + " default " + `"` + f.DefValue + "\"\n")
	})
	golden.Text(t, "flags.txt", got.String())
}
