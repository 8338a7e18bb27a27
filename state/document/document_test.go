// SPDX-License-Identifier: Apache-2.0

package document

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

func validDocument() Document {
	return Document{
		Number: 7,
		Pools:  []Pool{{Name: "p"}, {Name: "q"}},
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{"p", 9}, {"q", 1}}},
			{Name: "b", Host: "h", Prefix: "/b/", Timeout: time.Second, Targets: []Target{{"q", 1}}},
		},
		Accounts: []Account{{Name: "t", Keys: []string{"k1", "k2"}}, {Name: "u", Keys: []string{"k3"}}},
	}
}

func TestCheckNamesEveryMistake(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*Document)
		want   string // part of the mistake; empty is valid
	}{
		{"valid", func(*Document) {}, ""},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, `route "a": has no timeout`},
		{"unknown pool", func(d *Document) { d.Routes[1].Targets[0].Pool = "x" }, `names the unknown pool "x"`},
		{"same host and prefix", func(d *Document) { d.Routes[1].Prefix = "/a/" }, `shares host and prefix with route "a"`},
		{"same prefix on another host", func(d *Document) { d.Routes[1].Prefix, d.Routes[1].Host = "/a/", "i" }, ""},
		{"no weight", func(d *Document) { d.Routes[1].Targets[0].Weight = 0 }, "weights add up to 0"},
		{"negative weight", func(d *Document) { d.Routes[0].Targets[1].Weight = -1 }, "negative weight -1"},
		{"no target", func(d *Document) { d.Routes[1].Targets = nil }, "weights add up to 0"},
		{"shared key", func(d *Document) { d.Accounts[1].Keys = []string{"k2"} }, `shares a key with tenant "t"`},
		{"key twice at one tenant", func(d *Document) { d.Accounts[0].Keys = []string{"k1", "k1"} }, ""},
		{"pool twice", func(d *Document) { d.Pools[1].Name = "p" }, `pool "p": is defined twice`},
		{"home without a name", func(d *Document) { d.Routes[0].Homes = []string{"north", ""} }, `route "a": has a home without a name`},
		{"account's home without a name", func(d *Document) { d.Accounts[1].Homes = []string{""} }, `tenant "u": has a home without a name`},
		{"unknown home", func(d *Document) { d.Routes[0].Homes = []string{"moon"} }, ""},
		{"prefix", func(d *Document) { d.Routes[0].Prefix = "a/" }, "does not begin with a slash"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := validDocument()
			tt.change(&d)
			err := d.Check()
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			var invalid Invalid
			is.True(errors.As(err, &invalid))
			is.True(strings.Contains(err.Error(), tt.want)) // the error names the mistake
		})
	}
}

func TestCheckListsAllMistakesAtOnce(t *testing.T) {
	is := is.New(t)
	d := validDocument()
	d.Routes[0].Timeout = 0
	d.Routes[1].Targets[0].Pool = "x"
	d.Accounts[1].Keys = []string{"k1"}
	var invalid Invalid
	is.True(errors.As(d.Check(), &invalid))
	is.Equal(len(invalid.Mistakes), 3)
}

func TestDocumentWithHighestNumberIsInForce(t *testing.T) {
	is := is.New(t)
	var s Store
	_, ok := s.Current()
	is.True(!ok)
	put := func(number uint64, source string) bool {
		return s.Put(StoredDocument{Document: Document{Number: number}, Source: []byte(source)})
	}
	is.True(put(5, "five"))
	is.True(!put(5, "another five")) // other content with the same number
	is.True(!put(4, "four"))         // an older document arrives late
	is.True(put(9, "nine"))
	held, _ := s.Current()
	is.Equal(string(held.Source), "nine")
}

func TestDeparturesAreRememberedInOrderAndBounded(t *testing.T) {
	is := is.New(t)
	var s Store
	is.True(s.Depart("x"))
	is.True(!s.Depart("x"))
	for i := range MaxDepartures {
		s.Depart(fmt.Sprint(i))
	}
	is.True(!s.Departed("x")) // the oldest departure was dropped
	is.True(s.Departed("0"))
	ids, total := s.DeparturesSince(0)
	is.Equal(len(ids), MaxDepartures)
	is.Equal(total, uint64(MaxDepartures+1))
	s.Depart("last")
	ids, total = s.DeparturesSince(total)
	is.Equal(ids, []string{"last"}) // although the oldest departure was dropped again
	ids, _ = s.DeparturesSince(total)
	is.Equal(len(ids), 0)
}

func TestJoinReplacesAddressAndIgnoresDeparted(t *testing.T) {
	is := is.New(t)
	var s Store
	s.Join(protocol.Registration{ID: "b", Address: "10.0.0.2:80"})
	s.Join(protocol.Registration{ID: "a", Address: "10.0.0.1:80"})
	is.Equal(len(s.Joined()), 2)
	s.Join(protocol.Registration{ID: "c", Address: "10.0.0.1:80"}) // a's address
	is.Equal(s.Joined()[0].ID, "b")
	s.Depart("b")
	s.Join(protocol.Registration{ID: "b", Address: "10.0.0.2:80"}) // a late announcement
	is.Equal(len(s.Joined()), 1)
	is.Equal(s.Joined()[0].ID, "c")
}

// TestFullStoreAcceptsUpdatesOfKnownServers checks that a full store rejects only new servers: it still
// updates known servers and accepts servers at the address of a known one.
func TestFullStoreAcceptsUpdatesOfKnownServers(t *testing.T) {
	is := is.New(t)
	var s Store
	for i := range MaxServers {
		id := fmt.Sprint(i)
		s.Join(protocol.Registration{ID: id, Address: id})
	}
	s.Join(protocol.Registration{ID: "new", Address: "new"})
	is.Equal(len(s.joined), MaxServers)
	is.Equal(s.joined["new"].ID, "") // beyond the bound
	s.Join(protocol.Registration{ID: "7", Address: "moved"})
	is.Equal(s.joined["7"].Address, "moved")
	s.Join(protocol.Registration{ID: "next", Address: "8"})
	is.Equal(s.joined["next"].Address, "8") // replaces the server at that address
	is.Equal(s.joined["8"].ID, "")
	is.Equal(len(s.joined), MaxServers)
	s.Join(protocol.Registration{ID: "9", Address: "9"}) // unchanged
	s.Depart("9")
	s.Join(protocol.Registration{ID: "new", Address: "9"}) // takes the slot of the departed server
	is.Equal(s.joined["new"].Address, "9")
	is.Equal(len(s.idByAddress), len(s.joined))
}

func TestStoreRoundTrip(t *testing.T) {
	is := is.New(t)
	var s Store
	s.Put(StoredDocument{Document: validDocument(), Source: []byte("as it was sent")})
	s.Depart("x")
	s.Depart("y")
	s.Join(protocol.Registration{ID: "z", Pool: "p", Address: "10.0.0.1:80", Slots: 4})
	image, err := s.MarshalBinary()
	is.NoErr(err)
	var restored Store
	is.NoErr(restored.UnmarshalBinary(image))
	held, _ := restored.Current()
	is.Equal(held.Document, validDocument())
	is.Equal(string(held.Source), "as it was sent")
	ids, total := restored.DeparturesSince(0)
	is.Equal(ids, []string{"x", "y"})
	is.Equal(total, uint64(2))
	is.Equal(restored.Joined(), s.Joined())
}

// TestCommonHomes checks that the homes of route and account both apply if both are set, and that
// their intersection may be empty.
func TestCommonHomes(t *testing.T) {
	for _, tt := range []struct {
		route, account, want []string
		bound                bool
	}{
		{nil, nil, nil, false},
		{[]string{}, []string{}, nil, false},
		{[]string{"north"}, nil, []string{"north"}, true},
		{nil, []string{"south"}, []string{"south"}, true},
		{[]string{"north", "south"}, []string{"south", "west"}, []string{"south"}, true},
		{[]string{"north"}, []string{"south"}, nil, true},
	} {
		is := is.New(t)
		got, bound := CommonHomes(tt.route, tt.account)
		is.Equal(bound, tt.bound)
		is.True(slices.Equal(got, tt.want))
	}
}
