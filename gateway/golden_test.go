// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"flag"
	"fmt"
	"maps"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file writes the gateway's own answers down, as callers see them, and
// compares them with testdata/golden, which pins outward names. Run with
// -update to write them anew.

var update = flag.Bool("update", false, "write the golden files anew")

func TestGoldenRefusals(t *testing.T) {
	is := is.New(t)
	var got strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(statuses)) {
		for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
			w := httptest.NewRecorder()
			Refusal{cause, after}.write(w)
			fmt.Fprintf(&got, "%s, come back after %v: %d\n", cause, after, w.Code)
			for _, name := range slices.Sorted(maps.Keys(w.Header())) {
				fmt.Fprintf(&got, "  %s: %q\n", name, w.Header()[name])
			}
			fmt.Fprintf(&got, "  %q\n", w.Body)
		}
	}
	path := filepath.Join("testdata", "golden", "refusals.txt")
	if *update {
		is.NoErr(os.MkdirAll(filepath.Dir(path), 0o755))
		is.NoErr(os.WriteFile(path, []byte(got.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}
