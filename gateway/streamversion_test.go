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
		rollout  protocol.Rollout
		want     int // events that the caller gets
		servers  []int
	}{
		{"a server of its version serves", []string{"v1", "v2", "v1"}, protocol.Rollout{}, 6, []int{0, 2}},
		{"only another version serves", []string{"v1", "v2", "v3"}, protocol.Rollout{}, 3, []int{0}},
		{"one version", []string{"v1", "v1"}, protocol.Rollout{}, 6, []int{0, 1}},
		{"no version is stated", []string{"", ""}, protocol.Rollout{}, 6, []int{0, 1}},
		{"the others state no version", []string{"v1", "", "v1"}, protocol.Rollout{}, 6, []int{0, 2}},
		{"the target gets all requests", []string{"v1", "v2", "v1"}, protocol.Rollout{Attempt: 1, Target: "v2", Share: 1}, 6, []int{0, 2}},
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
				if tt.rollout.Attempt > 0 { // after the first attempt: the gateway sends no new streams to the old version
					time.AfterFunc(2*pause, func() { x.sendRollout(1, 1, tt.rollout) })
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
