// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilentConnections checks the verdicts on a sequence of silent attempts at one server. Times are in seconds.
func TestSilentConnections(t *testing.T) {
	var d ServerSilence
	for _, tt := range []struct {
		name               string
		now, began, opened float64
		verdict            Verdict
		drop               bool
	}{
		{"a new connection", 5, 4, 4, Lost, false},
		{"no connection", 6, 5, 0, Lost, false},
		{"the first reused one", 10, 9, 3, NoVerdict, true},
		{"another one open at that time", 10.5, 9.5, 8, NoVerdict, false},
		{"the same again", 12, 11, 10, NoVerdict, false},
		{"one opened later, for the attempt", 13, 12, 12, Lost, false},
		{"one opened later, and reused", 14, 13, 11, Lost, false},
		{"much later", 21, 20, 15, NoVerdict, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
			v, drop := d.ObserveSilence(at(tt.now), at(tt.began), at(tt.opened))
			is.Equal(v, tt.verdict)
			is.Equal(drop, tt.drop)
		})
	}
}

func TestOutage(t *testing.T) {
	is := is.New(t)
	var o Outage
	is.True(!o.ObserveSilence(1*time.Second, "a"))
	is.True(!o.ObserveSilence(1*time.Second, "a")) // the same server
	is.True(!o.ObserveSilence(4*time.Second, "b")) // too late after the first
	is.True(o.ObserveSilence(5*time.Second, "a"))
	is.True(!o.ObserveSilence(6*time.Second, "b")) // closed already
	is.True(!o.ObserveSilence(20*time.Second, "a"))
	is.True(o.ObserveSilence(21*time.Second, "c"))
}
