// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/directory"
)

// This file tests the first document of a group that was just founded.

// TestFirstDocumentSurvivesLossOfTwoDisks puts the first document as soon as the group accepts it, and loses the disks
// of the leader and of one more seed right after the acknowledgement. The group is founded by three seeds; the other
// replicas must have a vote by then.
func TestFirstDocumentSurvivesLossOfTwoDisks(t *testing.T) {
	for i := range 3 {
		withStartingFleet(t, 5, voters, func(*fleet) {}, func(x *fleet) {
			is := is.New(x.t)
			for began := time.Now(); ; {
				n := x.leader()
				if n != nil && n.d.Put(x.t.Context(), testDocument(1)) == nil {
					break
				}
				is.True(time.Since(began) < 5*time.Second) // the operator waits for no more
				time.Sleep(time.Millisecond)
			}
			lost := []string{x.awaitLeader().ip, x.ips[i]}
			for _, ip := range slices.Compact(lost) {
				x.nodes[ip].kill()
				x.replaceDisk(ip)
				x.startReplica(ip, false)
			}
			h, err := x.awaitLeader().d.Read(x.t.Context())
			is.NoErr(err)
			is.Equal(h.Document.Number, uint64(1))
		})
	}
}

// TestFirstDocumentDoesNotWaitForMissingReplicas checks that a group which cannot get all its voters accepts the first
// document all the same, soon enough for the operator.
func TestFirstDocumentDoesNotWaitForMissingReplicas(t *testing.T) {
	for _, replicas := range []int{3, 4} {
		withStartingFleet(t, replicas, voters, func(*fleet) {}, func(x *fleet) {
			is := is.New(x.t)
			err := x.awaitLeader().d.Put(x.t.Context(), testDocument(1))
			is.True(errors.As(err, new(directory.GroupForming)))
			began := time.Now()
			for x.awaitLeader().d.Put(x.t.Context(), testDocument(1)) != nil {
				time.Sleep(10 * time.Millisecond)
			}
			is.True(time.Since(began) < 3*time.Second)
		})
	}
}
