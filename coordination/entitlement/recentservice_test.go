// SPDX-License-Identifier: Apache-2.0

package entitlement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWaitingRequestOrder(t *testing.T) {
	served := RecentService{}
	served.Add(time.Second, "busy", 1000)
	for _, tt := range []struct {
		name          string
		first, second WaitingRequest
	}{
		{"entitled before extra", WaitingRequest{Class: Entitled, Priority: 9}, WaitingRequest{Class: Extra}},
		{"extra before beyond", WaitingRequest{Class: Extra, Priority: 9}, WaitingRequest{Class: Beyond}},
		{"priority", WaitingRequest{Priority: 1, Account: "busy"}, WaitingRequest{Priority: 2, Account: "idle"}},
		{"the account's priority before the route's", WaitingRequest{Priority: Priority(1, 9)}, WaitingRequest{Priority: Priority(2, 0)}},
		{"the account with less recent service", WaitingRequest{Account: "idle"}, WaitingRequest{Account: "busy"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.True(served.Compare(2*time.Second, tt.first, tt.second) < 0)
			is.True(served.Compare(2*time.Second, tt.second, tt.first) > 0)
			is.Equal(served.Compare(2*time.Second, tt.first, tt.first), 0)
		})
	}
}

func TestRecentServiceDecays(t *testing.T) {
	is := is.New(t)
	served := RecentService{}
	served.Add(time.Second, "a", 1000)
	served.Add(time.Second+serviceTimeConstant, "a", 500)
	is.True(math.Abs(served.recent(time.Second+serviceTimeConstant, "a")-(1000/math.E+500)) < 1e-6)
}
