// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/transport/response"
)

// This file compares the gateway's own error responses, as callers see them, with testdata/golden,
// which pins external names. Run with -update to regenerate the golden file.

func TestGoldenRefusals(t *testing.T) {
	var got strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(responsesByCause)) {
		for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
			w := httptest.NewRecorder()
			refusal := Refusal{cause, after}
			if err := refusal.write(response.New(w, httptest.NewRequest(http.MethodPost, "/", nil), func(response.SecondHead) {})); err != nil {
				t.Error(err)
			}
			fmt.Fprintf(&got, "%s, come back after %v: %d\n", cause, after, w.Code)
			for _, name := range slices.Sorted(maps.Keys(w.Header())) {
				fmt.Fprintf(&got, "  %s: %q\n", name, w.Header()[name])
			}
			fmt.Fprintf(&got, "  %q\n", w.Body)
		}
	}
	golden.Text(t, "refusals.txt", got.String())
}
