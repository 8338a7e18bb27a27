// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// samples holds one message of each kind with every field set.
var samples = []Message{
	Hello{Router: "r", Hall: "h", Boot: 1, Revision: 2, Epoch: 3, Held: []Held{{Server: "a", Slots: 4}},
		Pools: []PoolView{{Pool: "p", Short: true, Floor: 1.5, Slack: 2, Lift: 1, Rate: 3, Recall: 1, Accounts: []AccountView{{Account: "b", Ahead: 0.5}}}}},
	Welcome{Epoch: 1, LeaseMillis: 3000, Leader: "c", Known: true, Reports: 4, Void: true},
	Redirect{Leader: "c", Follows: true, Group: 5, Revision: 6, Pending: true},
	Renew{Seq: 1, Revision: 2},
	Renewed{Seq: 1},
	Report{ViewSeq: 1, Pools: []PoolReport{{Pool: "p", Idle: 2, Accounts: []AccountReport{{Account: "b", Waiting: 3, Running: 4, Started: 5, Service: 6.125}}}},
		Returned: []Held{{Server: "a", Slots: 1}}, Suspects: []string{"a"}, Goodbye: true},
	View{Seq: 1, Granted: []Held{{Server: "a", Slots: 1}}, Pools: []PoolView{{Pool: "p"}}, ReportSeq: 2},
	Configure{Delta: []byte{1}, Snapshot: []byte{2}},
	Claim{Call: 1, Account: "a", Key: "k", Digest: 2, Attempt: 3, Wait: true},
	Settle{Call: 1, Account: "a", Key: "k", Attempt: 3, State: ClaimRan, Answer: &Answer{Status: 200, ContentType: "t", Body: []byte("b")}},
	Claimed{Call: 1, State: ClaimUnknown, Answer: &Answer{Status: 500}},
	Consensus{Name: "g", Group: 1, Kind: MsgAppend, From: Peer{Name: "a", Incarnation: 1}, To: Peer{Name: "b", Incarnation: 2},
		Term: 3, Index: 4, LogTerm: 5, Commit: 6, Entries: []Entry{{Term: 1, Index: 2, Kind: EntryMembership, Data: []byte{7}}},
		Reject: true, Hint: 8, Sent: 9, Force: true, Snapshot: &Snapshot{Group: 1, Index: 2, Term: 3, Data: []byte{4}}, Offset: 10, Total: 11},
	Watch{Gateway: "g", Boot: 1, Number: 2, Term: 3},
	WatchRedirect{Leader: "c", Members: []string{"c", "d"}},
	Document{Number: 4, Data: []byte{5}},
	Servers{Term: 1, Whole: true, Complete: true, Gone: []string{"x"},
		Set: []Server{{Registration{ID: "b", Pool: "p", Address: "10.0.0.1:80", Hall: "z", Slots: 4}, 7}}},
	Usage{Loads: []ServerLoad{{Handle: 7, Requests: 2, Tokens: 900}}, Demands: []Demand{{Account: "t", Tokens: 12}},
		Number: 4, Started: 5, Missed: 6},
	Fleet{Gateways: 3, Loads: []ServerLoad{{Handle: 7, Requests: 1, Tokens: 2}},
		Entitlements: []Entitlement{{Account: "t", Part: 0.25, Extra: 0.5}}, Members: []string{"c"}, Short: true},
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	seen := map[Kind]bool{}
	for _, m := range samples {
		b, err := Encode(m)
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, m)) // every field survives
		seen[KindOf(m)] = true
	}
	is.Equal(len(seen), len(kinds)) // a sample of every kind
}

func TestDecodeRefuses(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte{0x01})
	is.True(errors.As(err, new(Malformed)))
	_, err = Decode([]byte{0x82, 0x01, 0x61, 'x'}) // a hello that is a string
	is.True(errors.As(err, new(Malformed)))
	_, err = Decode(make([]byte, MaxMessage+1))
	is.True(errors.As(err, new(TooLarge)))
	m, err := Decode([]byte{0x82, 0x18, 0xc8, 0xa0}) // kind 200, of a later version
	is.NoErr(err)
	is.True(m == nil)
	m, err = Decode([]byte{0x82, 0x04, 0xa2, 0x01, 0x05, 0x18, 0x63, 0x01}) // a renew with a field of a later version
	is.NoErr(err)
	is.Equal(m, Renew{Seq: 5})
}

func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil || m == nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("what was decoded does not encode: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("what was encoded does not decode: %v", err)
		}
	})
}
