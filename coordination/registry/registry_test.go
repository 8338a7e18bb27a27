// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
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
		"port 0":         {ID: "a", Pool: "p", Address: "10.0.0.1:0"},
		"unspecified":    {ID: "a", Pool: "p", Address: "0.0.0.0:80"},
		"multicast":      {ID: "a", Pool: "p", Address: "224.0.0.1:80"},
		"negative slots": {ID: "a", Pool: "p", Address: "10.0.0.1:80", Slots: -1},
		"a long version": {ID: "a", Pool: "p", Address: "10.0.0.1:80", Version: strings.Repeat("v", document.MaxVersionName+1)},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(errors.As(Announcement{Registration: s}.Check(), new(InvalidAnnouncement)))
		})
	}
	is.New(t).NoErr(announcement("a", "10.0.0.1:80", 1).Check())
	longest := announcement("a", "10.0.0.1:80", 1)
	longest.Version = strings.Repeat("v", document.MaxVersionName)
	is.New(t).NoErr(longest.Check())
}

func TestRepeatedAnnouncementChangesNothing(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	is.Equal(ids(r.Announce(0, announcement("a", "10.0.0.1:80", 1)).Set), []string{"a"})
	is.True(r.Announce(interval, announcement("a", "10.0.0.1:80", 2)).Empty())
	grown := announcement("a", "10.0.0.1:80", 3)
	grown.Slots = 8
	is.Equal(r.Announce(interval, grown).Set[0].Slots, 8)
}

func TestLateAnnouncementChangesNothing(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	r.Announce(0, announcement("a", "10.0.0.1:80", 5))
	late := announcement("a", "10.0.0.1:80", 4)
	late.Slots = 99
	is.True(r.Announce(interval, late).Empty())
	is.Equal(r.List(0)[0].Slots, 4)
}

func TestReusedAddressReplacesServer(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	r.Announce(0, announcement("old", "10.0.0.1:80", 1))
	other := announcement("new", "10.0.0.1:80", 1)
	other.Pool = "q"
	change := r.Announce(interval, other)
	is.Equal(change.Gone, []string{"old"})
	is.Equal(ids(r.List(0)), []string{"new"})
	r.Remove("old") // the departure of the replaced one arrives later
	is.Equal(ids(r.List(0)), []string{"new"})
	is.Equal(r.Announce(interval, announcement("x", "10.0.0.1:80", 1)).Gone, []string{"new"})
}

// TestServerMovesToAnotherAddress: when a server announces another address, its old address becomes
// free for others, and the new one is taken from the server that had it.
func TestServerMovesToAnotherAddress(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	r.Announce(0, announcement("a", "10.0.0.1:80", 1))
	r.Announce(0, announcement("b", "10.0.0.2:80", 1))
	change := r.Announce(interval, announcement("a", "10.0.0.2:80", 2))
	is.Equal(ids(change.Set), []string{"a"})
	is.Equal(change.Gone, []string{"b"})
	is.Equal(len(r.Announce(interval, announcement("c", "10.0.0.1:80", 1)).Gone), 0) // the old address of a
	is.Equal(ids(r.List(0)), []string{"a", "c"})
	is.Equal(r.Announce(interval, announcement("d", "10.0.0.2:80", 1)).Gone, []string{"a"})
	is.Equal(ids(r.List(0)), []string{"c", "d"})
}

func TestHandlesAreNeverReused(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	first := r.Announce(0, announcement("a", "10.0.0.1:80", 1)).Set[0].Handle
	r.Remove("a")
	second := r.Announce(0, announcement("b", "10.0.0.1:80", 1)).Set[0].Handle
	is.True(first != 0 && second != 0 && first != second)
}

func TestSilentServerExpires(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	r.Announce(0, announcement("a", "10.0.0.1:80", 1))
	r.Announce(0, announcement("b", "10.0.0.2:80", 1))
	is.True(r.ExpireSilent(10 * interval).Empty()) // callers may still reach it
	r.Announce(10*interval, announcement("b", "10.0.0.2:80", 2))
	is.Equal(r.ExpireSilent((expireAfterIntervals+1)*interval).Gone, []string{"a"})
}

func TestCompleteAfterThreeIntervals(t *testing.T) {
	is := is.New(t)
	r := New(10*interval, interval, NewHandles(1))
	is.True(!r.Complete(12 * interval))
	is.True(r.Complete(13 * interval))
}

func TestRestore(t *testing.T) {
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	r.Announce(0, announcement("new", "10.0.0.1:80", 1))
	r.Restore(0, announcement("old", "10.0.0.1:80", 9).Registration) // its address is taken
	r.Restore(0, announcement("a", "10.0.0.2:80", 9).Registration)
	is.Equal(ids(r.List(0)), []string{"a", "new"})
	is.True(r.Announce(interval, announcement("a", "10.0.0.2:80", 1)).Empty()) // any sequence number is accepted after a restore
	is.Equal(r.ExpireSilent((expireAfterIntervals+1)*interval).Gone, []string{"new"})
}

func TestFleetPause(t *testing.T) {
	for size, want := range map[int]time.Duration{
		0:                      50 * time.Millisecond,
		133:                    50 * time.Millisecond, // the size of 15 backend servers
		4 << 10:                450 * time.Millisecond,
		linkBytesPerSecond * 9: 550 * time.Millisecond,
	} {
		is.New(t).Equal(NewFleetBudget(false, 0).Pause(size, 45), want)
	}
}

func TestRedialPause(t *testing.T) {
	is := is.New(t)
	is.Equal(RedialPause(1), redialPause)
	is.Equal(RedialPause(fastRedials), redialPause) // the length of one or two elections
	is.Equal(RedialPause(fastRedials+1), slowRedialPause)
	is.True(maxFleetPeriod < LeaderTimeout) // a leader with little to send is not taken for silent
}

// TestLateAnnouncementOfDeadServer: at one address "a" has crashed and "b" has started. A delayed
// announcement of "a" must not replace "b".
func TestLateAnnouncementOfDeadServer(t *testing.T) {
	const address = "10.0.0.1:80"
	announceTwenty := func(r *Registry) {
		for n := range uint64(20) {
			r.Announce(time.Duration(n)*interval, announcement("a", address, n+1))
		}
	}
	is := is.New(t)
	r := New(0, interval, NewHandles(1))
	announceTwenty(r)
	is.Equal(r.Announce(21*interval, announcement("b", address, 1)).Gone, []string{"a"})
	is.True(r.Announce(21*interval+1, announcement("a", address, 21)).Empty())
	is.True(r.Announce(22*interval, announcement("b", address, 2)).Empty())
	is.True(r.Announce(24*interval, announcement("a", address, 22)).Empty())
	is.Equal(ids(r.List(0)), []string{"b"})

	// A third server starts: it has the smallest number.
	is.Equal(r.Announce(24*interval, announcement("c", address, 1)).Gone, []string{"b"})
	// The address moves to a fourth server, whose first announcements were not answered.
	is.True(r.Announce(24*interval, announcement("d", address, 4)).Empty())
	is.Equal(r.Announce((24+aliveIntervals)*interval+maxSilence+1, announcement("d", address, 7)).Gone, []string{"c"}) // c has been silent for too long

	// A new leader has "b" from the log, but not "a".
	r = New(0, interval, NewHandles(1))
	r.Restore(0, announcement("b", address, 0).Registration)
	is.True(r.Announce(interval/2, announcement("a", address, 22)).Empty())
	is.True(r.Announce(interval, announcement("b", address, 3)).Empty())
	is.Equal(ids(r.List(0)), []string{"b"})

	// A leader without registrations from the log lists the first one to announce itself, and
	// corrects that.
	r = New(0, interval, NewHandles(1))
	is.Equal(ids(r.Announce(0, announcement("a", address, 22)).Set), []string{"a"})
	is.Equal(r.Announce(interval, announcement("b", address, 3)).Gone, []string{"a"})
	is.True(r.Announce(interval, announcement("a", address, 23)).Empty())

	// A server that was wrongly refused is listed once the other one is silent.
	r = New(0, interval, NewHandles(1))
	r.Announce(0, announcement("a", address, 1))
	is.True(r.Announce(interval, announcement("b", address, 9)).Empty())
	is.Equal(r.Announce(aliveIntervals*interval+maxSilence+1, announcement("b", address, 10)).Gone, []string{"a"})
}

// TestMergeChanges: of two changes to one server, the later one counts.
func TestMergeChanges(t *testing.T) {
	is := is.New(t)
	a, b := protocol.Server{Registration: protocol.Registration{ID: "a"}}, protocol.Server{Registration: protocol.Registration{ID: "b"}}
	moved := protocol.Server{Registration: protocol.Registration{ID: "a", Address: "x"}}
	c := Change{}.Merge(Change{Set: []protocol.Server{a, b}}).Merge(Change{Set: []protocol.Server{moved}, Gone: []string{"b", "c"}})
	is.Equal(c, Change{Set: []protocol.Server{moved}, Gone: []string{"b", "c"}})
	c = c.Merge(Change{Set: []protocol.Server{b}, Gone: []string{"a"}})
	is.Equal(c, Change{Set: []protocol.Server{b}, Gone: []string{"c", "a"}})
	is.Equal(c.Merge(Change{}), c)
}

// TestFleetBudget: each link and all links of a leader together stay within their budgets, whatever
// the number of gateways.
func TestFleetBudget(t *testing.T) {
	is := is.New(t)
	for _, links := range []int{0, 1, 62, 128, 300, 1600} {
		size := NewFleetBudget(false, 0).Loads(links)*loadBytes*10/9 + 1
		rate := float64(size) / (NewFleetBudget(false, 0).Pause(size, links) + FleetPeriod/2).Seconds() // bytes per second
		is.True(rate <= 1.01*linkBytesPerSecond)
		is.True(rate*float64(links) <= 1.01*totalBytesPerSecond)
	}
	is.Equal(NewFleetBudget(false, 0).Loads(62), 442)
	is.Equal(NewFleetBudget(false, 0).Loads(300), 188)
}

// TestFleetBudgetOfSpreadSessions: where sessions are spread, the budget of a gateway
// depends on the number of gateways at its replica, not on the fleet. A replica stays within 256
// KiB/s, and on a slow link within a tenth of its rate.
func TestFleetBudgetOfSpreadSessions(t *testing.T) {
	is := is.New(t)
	const gigabit = 125e6
	is.Equal(NewFleetBudget(false, gigabit).Loads(985), 57)
	is.Equal(NewFleetBudget(true, gigabit).Loads(99), 142)
	is.Equal(NewFleetBudget(true, gigabit).Loads(197), 71) // twice the gateways at one replica
	size := NewFleetBudget(true, gigabit).Loads(99) * loadBytes
	rate := float64(99*size) / (NewFleetBudget(true, gigabit).Pause(size, 99) + FleetPeriod/2).Seconds()
	is.True(rate <= 1.01*senderBytesPerSecond)
	is.Equal(NewFleetBudget(true, 455_000), FleetBudget(45_500))
}
