// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

func load(handle, requests, tokens uint32) protocol.ServerLoad {
	return protocol.ServerLoad{Handle: handle, Requests: requests, Tokens: tokens}
}

func TestLoadFeedSendsChanges(t *testing.T) {
	is := is.New(t)
	var f LoadFeed
	is.Equal(f.Next([]protocol.ServerLoad{load(1, 2, 10), load(2, 1, 0)}, 9), []protocol.ServerLoad{load(1, 2, 10), load(2, 1, 0)})
	is.Equal(len(f.Next([]protocol.ServerLoad{load(1, 2, 10), load(2, 1, 0)}, 9)), 0)
	is.Equal(f.Next([]protocol.ServerLoad{load(1, 3, 10)}, 9), []protocol.ServerLoad{load(1, 3, 10), load(2, 0, 0)})
	is.Equal(f.Sent(), []protocol.ServerLoad{load(1, 3, 10)})
	// The largest differences come first, the rest next time.
	sums := []protocol.ServerLoad{load(1, 3, 20), load(3, 9, 0), load(4, 0, 8000)}
	is.Equal(f.Next(sums, 2), []protocol.ServerLoad{load(3, 9, 0), load(4, 0, 8000)})
	is.Equal(f.Next(sums, 2), []protocol.ServerLoad{load(1, 3, 20)})
	is.Equal(f.Sent(), sums)
}

// TestLoadFeedConverges changes sums at random, more of them than fit into a message. A receiver of
// all messages has the same sums once they stop changing, and so has a session that opens then.
func TestLoadFeedConverges(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var f LoadFeed
	received := map[uint32]protocol.ServerLoad{}
	sums := []protocol.ServerLoad{}
	send := func() int {
		sent := f.Next(sums, 20)
		is.True(len(sent) <= 20)
		for _, l := range sent {
			received[l.Handle] = l
		}
		return len(sent)
	}
	for range 200 {
		sums = sums[:0]
		for h := range uint32(100) {
			if rng.IntN(3) > 0 {
				sums = append(sums, load(h+1, 1+rng.Uint32N(12), rng.Uint32N(9000)))
			}
		}
		send()
	}
	for send() > 0 {
	}
	is.Equal(f.Sent(), sums)
	for _, l := range sums {
		is.Equal(received[l.Handle], l)
	}
}
