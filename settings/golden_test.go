// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// This file writes the daemon's flags and environment variables down and
// compares them with testdata/golden, which pins outward names. Run with
// -update to write them anew.

var update = flag.Bool("update", false, "write the golden files anew")

func TestGoldenFlags(t *testing.T) {
	is := is.New(t)
	var got bytes.Buffer
	new(raw).flags(&got).VisitAll(func(f *flag.Flag) {
		got.WriteString("-" + f.Name + " " + EnvName(f.Name) + " default " + `"` + f.DefValue + "\"\n")
	})
	path := filepath.Join("testdata", "golden", "flags.txt")
	if *update {
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, got.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}
