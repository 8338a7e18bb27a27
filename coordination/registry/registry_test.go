// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

const interval = time.Second

func announcement(id, address string, seq uint64) Announcement {
	return Announcement{Registration: protocol.Registration{ID: id, Pool: "p", Address: address, Hall: "z", Slots: 4}, Seq: seq}
}

func ids(list []protocol.Server) []string {
	var out []string
	for _, b := range list {
		out = append(out, b.ID)
	}
	return out
}

func TestInvalidAnnouncements(t *testing.T) {
	for name, s := range map[string]protocol.Registration{
		"no identifier":  {Pool: "p", Address: "10.0.0.1:80"},
		"no pool":        {ID: "a", Address: "10.0.0.1:80"},
		"no port":        {ID: "a", Pool: "p", Address: "10.0.0.1"},
		"a name":         {ID: "a", Pool: "p", Address: "host:80"},
		"negative slots": {ID: "a", Pool: "p", Address: "10.0.0.1:80", Slots: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(errors.As(Announcement{Registration: s}.Check(), new(Invalid)))
		})
	}
	is.New(t).NoErr(announcement("a", "10.0.0.1:80", 1).Check())
}

func TestAnnounceAgainChangesNothing(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	is.Equal(ids(r.Announce(0, announcement("a", "10.0.0.1:80", 1)).Set), []string{"a"})
	is.True(r.Announce(interval, announcement("a", "10.0.0.1:80", 2)).Empty())
	grown := announcement("a", "10.0.0.1:80", 3)
	grown.Slots = 8
	is.Equal(r.Announce(interval, grown).Set[0].Slots, 8)
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	r.Announce(0, announcement("a", "10.0.0.1:80", 5))
	late := announcement("a", "10.0.0.1:80", 4)
	late.Slots = 99
	is.True(r.Announce(interval, late).Empty())
	is.Equal(r.List()[0].Slots, 4)
}

func TestReusedAddressReplaces(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	r.Announce(0, announcement("old", "10.0.0.1:80", 1))
	other := announcement("new", "10.0.0.1:80", 1)
	other.Pool = "q"
	change := r.Announce(interval, other)
	is.Equal(change.Gone, []string{"old"})
	is.Equal(ids(r.List()), []string{"new"})
	r.Remove("old") // the old one's departure comes after
	is.Equal(ids(r.List()), []string{"new"})
	is.Equal(r.Announce(interval, announcement("x", "10.0.0.1:80", 1)).Gone, []string{"new"})
}

// TestServerMovesToAnotherAddress: one identifier announces another address. The old
// address is free for others, and the new one is taken from whoever had it.
func TestServerMovesToAnotherAddress(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	r.Announce(0, announcement("a", "10.0.0.1:80", 1))
	r.Announce(0, announcement("b", "10.0.0.2:80", 1))
	change := r.Announce(interval, announcement("a", "10.0.0.2:80", 2))
	is.Equal(ids(change.Set), []string{"a"})
	is.Equal(change.Gone, []string{"b"})
	is.Equal(len(r.Announce(interval, announcement("c", "10.0.0.1:80", 1)).Gone), 0) // where a was
	is.Equal(ids(r.List()), []string{"a", "c"})
	is.Equal(r.Announce(interval, announcement("d", "10.0.0.2:80", 1)).Gone, []string{"a"})
	is.Equal(ids(r.List()), []string{"c", "d"})
}

func TestHandlesAreNeverReused(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	first := r.Announce(0, announcement("a", "10.0.0.1:80", 1)).Set[0].Handle
	r.Remove("a")
	second := r.Announce(0, announcement("b", "10.0.0.1:80", 1)).Set[0].Handle
	is.True(first != 0 && second != 0 && first != second)
}

func TestSilentBackendIsForgottenLate(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	r.Announce(0, announcement("a", "10.0.0.1:80", 1))
	r.Announce(0, announcement("b", "10.0.0.2:80", 1))
	is.True(r.ExpireSilent(10 * interval).Empty()) // callers may still reach it
	r.Announce(10*interval, announcement("b", "10.0.0.2:80", 2))
	is.Equal(r.ExpireSilent((forgetAfter+1)*interval).Gone, []string{"a"})
}

func TestCompleteOnceEverybodyCouldSpeak(t *testing.T) {
	is := is.New(t)
	r := New(10*interval, interval)
	is.True(!r.Complete(12 * interval))
	is.True(r.Complete(13 * interval))
}

func TestRememberedBackends(t *testing.T) {
	is := is.New(t)
	r := New(0, interval)
	r.Announce(0, announcement("new", "10.0.0.1:80", 1))
	r.Restore(0, announcement("old", "10.0.0.1:80", 9).Registration) // its address is taken
	r.Restore(0, announcement("a", "10.0.0.2:80", 9).Registration)
	is.Equal(ids(r.List()), []string{"a", "new"})
	is.True(r.Announce(interval, announcement("a", "10.0.0.2:80", 1)).Empty()) // speaks, whatever its number was
	is.Equal(r.ExpireSilent((forgetAfter+1)*interval).Gone, []string{"new"})
}

func TestFleetPause(t *testing.T) {
	for size, want := range map[int]time.Duration{
		0:               50 * time.Millisecond,
		133:             50 * time.Millisecond, // 15 backend servers
		4 << 10:         450 * time.Millisecond,
		fleetBudget * 9: 550 * time.Millisecond,
	} {
		is.New(t).Equal(FleetPause(size), want)
	}
}

func TestRedialPause(t *testing.T) {
	is := is.New(t)
	is.Equal(RedialPause(1), redialPause)
	is.Equal(RedialPause(redialsAtOnce), redialPause) // an election or two take that long
	is.Equal(RedialPause(redialsAtOnce+1), redialLongest)
	is.True(fleetLongest < SilenceLimit) // a leader with little to send is not left
}
