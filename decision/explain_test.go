// SPDX-License-Identifier: Apache-2.0

package decision

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const explainLog = `   1.2 g1 {"time":"2026-09-26T04:20:40.1Z","level":"INFO","msg":"document in force","number":7}
   1.2 g2 {"time":"2026-09-26T04:20:40.2Z","level":"INFO","msg":"processor pressure","high":true}
   1.2 g1 {"time":"2026-09-26T04:20:42.1Z","level":"INFO","msg":"backend suspected","backend":"b1","cause":"silent"}
   1.2 g1 {"time":"2026-09-26T04:20:42.2Z","level":"INFO","msg":"backend suspected","backend":"b9","cause":"silent"}
   1.2 g1 {"time":"2026-09-26T04:20:42.3Z","level":"INFO","msg":"backends changed","joined":["b2"],"left":null}
   1.2 g1 {"time":"2026-09-26T04:20:42.4Z","level":"INFO","msg":"backends changed","joined":["b7"],"left":null}
not a line of the log
   1.2 g1 {"time":"2026-09-26T04:20:43.9Z","level":"WARN","msg":"refused","request":"r1","cause":"may-have-run","status":502,"backend":"b2"}
   1.2 g1 {"time":"2026-09-26T04:20:43.5Z","level":"WARN","msg":"attempt failed","request":"r1","backend":"b1","cause":"lost"}
   1.2 g1 {"time":"2026-09-26T04:20:43.6Z","level":"WARN","msg":"refused","request":"r2","cause":"overloaded","status":503}
   1.2 g1 {"time":"2026-09-26T04:20:50.6Z","level":"INFO","msg":"directory lost"}
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	lines, err := ReadLines(strings.NewReader(explainLog))
	is.NoErr(err)
	var out strings.Builder
	is.True(Explain(&out, lines, "r1"))
	want := `04:20:40.100 g1 document in force number=7
04:20:42.100 g1 backend suspected backend=b1 cause=silent
04:20:42.300 g1 backends changed joined=[b2] left=<nil>
04:20:43.500 g1 attempt failed backend=b1 cause=lost request=r1
04:20:43.900 g1 refused backend=b2 cause=may-have-run request=r1 status=502
may-have-run: a backend took the request and its answer was lost: see 'attempt failed'; it must not be sent again by itself
`
	is.Equal(out.String(), want)
	is.True(!Explain(&out, lines, "r3"))
}
