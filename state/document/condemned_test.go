// SPDX-License-Identifier: Apache-2.0

package document

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// condemn condemns a request of an account.
func condemn(s *Store, account string, n int) bool {
	return s.ChangeCondemned(CondemnedChange{Condemn: &Condemned{Key: fmt.Appendf(nil, "%s %d", account, n), Account: account}})
}

func TestCondemnAndRelease(t *testing.T) {
	is := is.New(t)
	var s Store
	is.True(condemn(&s, "a", 1))
	is.True(!condemn(&s, "a", 1)) // again
	is.True(condemn(&s, "a", 2))
	is.True(s.ChangeCondemned(CondemnedChange{Release: []byte("a 1")}))
	is.True(!s.ChangeCondemned(CondemnedChange{Release: []byte("a 1")}))
	is.True(!s.ChangeCondemned(CondemnedChange{}))
	b, err := s.MarshalBinary()
	is.NoErr(err)
	var restored Store
	is.NoErr(restored.UnmarshalBinary(b))
	is.Equal(restored.Condemned(), []Condemned{{Key: []byte("a 2"), Account: "a"}})
}

// TestCondemnedAreBounded checks that one account cannot evict the requests of others, and that at
// the total limit the account with the most requests loses its oldest one.
func TestCondemnedAreBounded(t *testing.T) {
	is := is.New(t)
	var s Store
	condemn(&s, "quiet", 0)
	for n := range 2 * MaxCondemnedPerAccount {
		condemn(&s, "loud", n)
	}
	is.Equal(len(s.Condemned()), MaxCondemnedPerAccount+1)
	is.Equal(string(s.Condemned()[1].Key), fmt.Sprint("loud ", MaxCondemnedPerAccount))
	for a := range 20 {
		for n := range MaxCondemnedPerAccount / 2 {
			condemn(&s, fmt.Sprint("account ", a), n)
		}
	}
	is.Equal(len(s.Condemned()), MaxCondemned)
	counts := map[string]int{}
	for _, c := range s.Condemned() {
		counts[c.Account]++
	}
	is.Equal(counts["quiet"], 1)
	is.True(counts["loud"] < MaxCondemnedPerAccount)
}
