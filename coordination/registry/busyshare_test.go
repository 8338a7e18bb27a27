// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// TestMaxBusyShare: the result is the busy share of the group where it is largest, among the groups
// asked for. Servers that leave or change their pool are counted where they are.
func TestMaxBusyShare(t *testing.T) {
	is := is.New(t)
	r := New(0, time.Second, NewHandles(1))
	var loads []protocol.ServerLoad
	announce := func(i int, pool, hall string, seq uint64, requests uint32) {
		c := r.Announce(0, Announcement{Seq: seq, Registration: protocol.Registration{
			ID: fmt.Sprint("s", i), Pool: pool, Hall: hall, Address: fmt.Sprintf("10.0.0.%d:80", i),
		}})
		loads = append(loads, protocol.ServerLoad{Handle: c.Set[0].Handle, Requests: requests})
	}
	byPool := func(pool, _ string) string {
		if pool == "plain" {
			return ""
		}
		return pool
	}
	is.Equal(r.MaxBusyShare(nil, byPool), 1.0)
	for i := range 10 {
		announce(i, "large", fmt.Sprint("h", i%2), 1, uint32(i/8))
		announce(20+i, "plain", "h0", 1, 1)
	}
	is.Equal(r.PoolSize("large"), 10)
	is.Equal(r.MaxBusyShare(loads, byPool), 0.2)
	is.Equal(r.MaxBusyShare(loads, func(pool, hall string) string {
		if pool == "plain" {
			return ""
		}
		return hall
	}), 0.2)
	announce(40, "small", "h0", 1, 1)
	is.Equal(r.MaxBusyShare(loads, byPool), 1.0)
	r.Remove("s40")
	is.Equal(r.MaxBusyShare(loads, byPool), 0.2)
	r.Remove("s8")
	is.Equal(r.MaxBusyShare(loads, byPool), 1.0/9)
	announce(0, "plain", "h0", 2, 0)
	is.Equal(r.MaxBusyShare(loads, byPool), 1.0/8)
	is.Equal([]int{r.PoolSize("large"), r.PoolSize("plain"), r.PoolSize("small")}, []int{8, 11, 0})
}
