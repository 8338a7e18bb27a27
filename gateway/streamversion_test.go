// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file tests that a stream goes on only at the version that began it.

// TestBrokenStreamStaysAtItsVersion guards against answers with events of two versions: the server
// that suits a broken stream best may run another version than the one that began it.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	for _, tt := range []struct {
		name     string
		versions []string
		fault    func(x *fixture) // after the first events
		want     int              // events that the caller gets
		servers  []int
	}{
		{"a server of its version serves", []string{"v1", "v2", "v1"}, nil, 6, []int{0, 2}},
		{"its server is the only one of its version", []string{"v1", "v2", "v3"}, nil, 6, []int{0, 0}},
		{"its version has left", []string{"v1", "v2", "v3"}, func(x *fixture) {
			x.g.table.update(protocol.Servers{Term: 1, Removed: []string{"p0"}})
		}, 3, []int{0}},
		{"its server is back with another version", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.setVersions("v2", "v2", "v2")
		}, 3, []int{0}},
		{"its server may have begun it at either of two versions", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.setVersions("v2", "v2", "v1")
		}, 3, []int{0}},
		{"its version is barred", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Barred: []string{"v1"}})
		}, 3, []int{0}},
		{"its version is replaced", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Replaced: []string{"v1"}})
		}, 3, []int{0}},
		{"its version is about to be replaced", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1, Final: true})
		}, 3, []int{0}},
		{"another version gets all requests", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.sendRollout(1, 1, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1})
			x.renewShares()
		}, 6, []int{0, 2}},
		{"its server's hall is out of service", []string{"v1", "v2", "v1"}, func(x *fixture) {
			x.g.table.update(protocol.Servers{Term: 1, HallsOut: []string{"z"}, HallChanges: 1})
		}, 3, []int{0}},
		{"one version", []string{"v1", "v1"}, nil, 6, []int{0, 1}},
		{"no version is stated", []string{"", ""}, nil, 6, []int{0, 1}},
		{"the others state no version", []string{"v1", "", "v1"}, nil, 6, []int{0, 2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGateway(t, func(x *fixture) {
				is := is.New(x.t)
				behaviours := []behaviour{resuming(6, 3, errReset)}
				for range tt.versions[1:] {
					behaviours = append(behaviours, resuming(6, 0, nil))
				}
				x.announceInOrder(behaviours)
				x.setVersions(tt.versions...)
				if tt.fault != nil {
					time.AfterFunc(2*pause, func() { tt.fault(x) })
				}
				got := x.request("/resume/x")
				is.Equal(got.body, wholeStream(tt.want))
				is.Equal(got.cut, tt.want < 6)
				var servers []int
				for _, call := range x.servers.arrivals {
					servers = append(servers, int(call.Header.Get("Backend")[1]-'0'))
				}
				is.Equal(servers, tt.servers)
				if got.cut {
					is.True(got.took < 6*pause) // the stream is cut off at once
				}
			})
		})
	}
}
