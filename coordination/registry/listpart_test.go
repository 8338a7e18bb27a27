// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// changingList is a leader's list that changes while it is sent in parts.
type changingList struct {
	rng  *rand.Rand
	list protocol.Servers
	next uint32
}

// listOf returns a complete list of random servers with a leader's handles.
func listOf(rng *rand.Rand, servers int) *changingList {
	l := &changingList{rng: rng, list: protocol.Servers{Term: 2, HandleSpace: 7, Whole: true, Complete: true}}
	for range servers {
		l.add()
	}
	return l
}

// add lists a new server and returns it.
func (l *changingList) add() protocol.Server {
	l.next++
	s := protocol.Server{Handle: l.next, Registration: protocol.Registration{
		ID: fmt.Sprintf("s%d-%d", l.rng.IntN(1000), l.next), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:80", l.next/250, l.next%250),
	}}
	l.list.Set = append(l.list.Set, s)
	slices.SortFunc(l.list.Set, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// change removes a server, changes one and adds one, and returns the message for receivers of a
// part.
func (l *changingList) change() protocol.Servers {
	gone := l.rng.IntN(len(l.list.Set))
	m := protocol.Servers{Term: l.list.Term, HandleSpace: l.list.HandleSpace, Removed: []string{l.list.Set[gone].ID}}
	l.list.Set = slices.Delete(slices.Clone(l.list.Set), gone, gone+1)
	changed := &l.list.Set[l.rng.IntN(len(l.list.Set))]
	changed.Slots++
	m.Set = []protocol.Server{*changed}
	m.Set = append(m.Set, l.add())
	return m
}

// TestListInParts: a receiver of all parts of a list, and of the changes between them, has the
// list. One that had the list of an earlier leader passes on only the differences, and drops
// nothing before the list is complete.
func TestListInParts(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		l := listOf(rand.New(rand.NewPCG(seed, 1)), 40)
		fresh, outlived := NewCopy(NewHandles(1)), NewCopy(NewHandles(2))
		before := l.list
		before.Term, before.Set = 1, append(slices.Clone(before.Set), protocol.Server{Handle: 1000, Registration: protocol.Registration{ID: "left", Address: "10.9.9.9:80"}})
		outlived.Apply(0, before)
		passed := 0
		for after, last := "", false; !last; {
			var m protocol.Servers
			m, last = ListPart(l.list, after, 1+l.rng.IntN(9))
			fresh.Apply(0, m)
			is.True(outlived.Len() >= 41)
			passed += len(outlived.Apply(0, m).Set)
			if last {
				break
			}
			after = m.Set[len(m.Set)-1].ID
			between := l.change()
			fresh.Apply(0, between)
			outlived.Apply(0, between)
		}
		is.Equal(passed, 0) // the copy has all of it, from the earlier leader or from the changes
		for _, c := range []*Copy{&fresh, &outlived} {
			is.Equal(registrations(c.WholeList(0).Set), registrations(l.list.Set))
			is.True(c.WholeList(0).Complete)
		}
	}
}

// TestListThatFitsIsNotSplit: a list that fits into one message is sent unchanged.
func TestListThatFitsIsNotSplit(t *testing.T) {
	is := is.New(t)
	l := listOf(rand.New(rand.NewPCG(1, 1)), 40)
	m, last := ListPart(l.list, "", 40)
	is.True(last)
	is.Equal(m, l.list)
	m, last = ListPart(l.list, "", 39)
	is.True(!last && m.Whole && !m.Part && !m.Complete)
	m, last = ListPart(l.list, m.Set[38].ID, 39)
	is.True(last && !m.Whole && m.Part && m.Complete)
	is.Equal(m.Set, l.list.Set[39:])
}

func registrations(servers []protocol.Server) (all []protocol.Registration) {
	for _, s := range servers {
		all = append(all, s.Registration)
	}
	return all
}
