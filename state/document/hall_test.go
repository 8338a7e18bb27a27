// SPDX-License-Identifier: Apache-2.0

package document

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestChangeHallIgnoresStaleChanges(t *testing.T) {
	is := is.New(t)
	var s Store
	is.True(!s.ChangeHall(HallChange{Hall: "a"})) // already in service
	is.True(s.ChangeHall(HallChange{Hall: "a", Out: true}))
	is.True(!s.ChangeHall(HallChange{Hall: "a", Out: true}))           // based on an older state
	is.True(!s.ChangeHall(HallChange{Hall: "a", Out: true, After: 1})) // already out of service
	is.True(s.ChangeHall(HallChange{Hall: "a", After: 1}))
	is.True(!s.ChangeHall(HallChange{Hall: "a", Out: true, After: 0})) // a copy of the first change
	is.True(s.ChangeHall(HallChange{Hall: "b", Out: true}))
	out, changes := s.HallsOut()
	is.Equal(out, []string{"b"})
	is.Equal(changes, uint64(3))
	is.Equal(s.HallState("a"), HallState{Hall: "a", Changes: 2})
	is.Equal(s.HallState("never"), HallState{Hall: "never"})
}

// TestHallsAreBounded checks that the store does not grow without bound with new hall names.
func TestHallsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Store
	for i := range MaxHalls {
		is.True(s.ChangeHall(HallChange{Hall: fmt.Sprint(i), Out: true}))
	}
	is.True(!s.ChangeHall(HallChange{Hall: "one more", Out: true}))
	is.True(s.ChangeHall(HallChange{Hall: "0", After: 1})) // known halls still change
}
