// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOrderOfWaiting(t *testing.T) {
	served := RecentService{}
	served.Add(time.Second, "busy", 1000)
	for _, tt := range []struct {
		name          string
		first, second Waiting
	}{
		{"within the share before beyond the named one", Waiting{Class: Entitled, Priority: 9}, Waiting{Class: Extra}},
		{"beyond the named share before beyond every one", Waiting{Class: Extra, Priority: 9}, Waiting{Class: Beyond}},
		{"priority", Waiting{Priority: 1, Account: "busy"}, Waiting{Priority: 2, Account: "idle"}},
		{"the account's priority before the route's", Waiting{Priority: Priority(1, 9)}, Waiting{Priority: Priority(2, 0)}},
		{"the account that was served least", Waiting{Account: "idle"}, Waiting{Account: "busy"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(served.Compare(2*time.Second, tt.first, tt.second) < 0)
			is.True(served.Compare(2*time.Second, tt.second, tt.first) > 0)
			is.Equal(served.Compare(2*time.Second, tt.first, tt.first), 0)
		})
	}
}

func TestServiceIsForgotten(t *testing.T) {
	is := is.New(t)
	served := RecentService{}
	served.Add(time.Second, "a", 1000)
	served.Add(time.Second+servedMemory, "a", 500)
	is.True(math.Abs(served.recent(time.Second+servedMemory, "a")-(1000/math.E+500)) < 1e-6)
}
