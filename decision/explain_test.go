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

const quarantineLog = `g1 {"time":"2026-09-26T04:20:40.1Z","level":"INFO","msg":"backend ended","backend":"b1","keys":["cc","aa"],"requests":2}
g1 {"time":"2026-09-26T04:20:40.2Z","level":"WARN","msg":"attempt failed","request":"r1","backend":"b1","cause":"lost","key":"aa"}
g2 {"time":"2026-09-26T04:20:41.1Z","level":"INFO","msg":"backend ended","backend":"b2","keys":["dd"],"requests":1}
g2 {"time":"2026-09-26T04:20:41.2Z","level":"INFO","msg":"backend ended","backend":"b3","keys":["aa"],"requests":1}
c1 {"time":"2026-09-26T04:20:42.1Z","level":"INFO","msg":"request condemned","key":"aa","backends":["b1","b3","b4"]}
c1 {"time":"2026-09-26T04:20:42.2Z","level":"INFO","msg":"request condemned","key":"cc","backends":["b1","b2","b4"]}
g3 {"time":"2026-09-26T04:20:50.1Z","level":"WARN","msg":"refused","request":"r9","cause":"quarantined","ends":3,"key":"aa","status":400}
c1 {"time":"2026-09-26T04:20:55.1Z","level":"INFO","msg":"request released","key":"aa","why":"ordered"}
`

// TestExplainQuarantined checks that the explanation of a quarantined request includes its history
// at other gateways and under other IDs.
func TestExplainQuarantined(t *testing.T) {
	is := is.New(t)
	lines, err := ReadLines(strings.NewReader(quarantineLog))
	is.NoErr(err)
	var out strings.Builder
	is.True(Explain(&out, lines, "r9"))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(got[:5], []string{
		"04:20:40.100 g1 backend ended backend=b1 requests=2",
		"04:20:40.200 g1 attempt failed backend=b1 cause=lost key=aa request=r1",
		"04:20:41.200 g2 backend ended backend=b3 requests=1",
		"04:20:42.100 c1 request condemned backends=[b1 b3 b4] key=aa",
		"04:20:50.100 g3 refused cause=quarantined ends=3 key=aa request=r9 status=400",
	})
	is.Equal(len(got), 6)
	is.True(strings.HasPrefix(got[5], "quarantined: backends end under this request"))
}
