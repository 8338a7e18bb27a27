// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// This file tests where the watcher looks for the leader. Its sessions are
// tested with real directories, in package directory.

func TestCandidates(t *testing.T) {
	is := is.New(t)
	is.Equal(candidates(nil, []string{"s", "t"}), []string{"s", "t"})
	is.Equal(candidates([]string{"a", "s"}, []string{"s", "t"}), []string{"a", "s", "t"}) // each once
	seeds := []string{"s", "t"}
	w := watcher{g: &Gateway{}, startID: 3, replicas: []string{"a"}}
	w.g.SetSeeds(seeds)
	var tried []string
	for range 4 {
		tried = append(tried, w.next())
	}
	is.Equal(tried, []string{"s", "t", "a", "s"}) // in turn, from one that the start picked
	w.leader = "l"
	is.Equal([]string{w.next(), w.next()}, []string{"l", "t"}) // a redirect goes first, once
}
