// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/internal/golden"
)

// This file compares the encoding of every message with testdata/golden, because boxes of
// consecutive versions exchange messages. Run with -update to rewrite the files, which only a
// deliberate change of the wire format justifies.

const bigNumber = 1<<64 - 2 // a number that needs all 64 bits

// goldenMessages holds one message of each kind. The first element of every list has all its
// fields set.
var goldenMessages = []Message{
	Hello{
		Router: "router-1", Hall: "hall-a", BootID: bigNumber, Revision: 300, Epoch: 70000,
		Held: []ServerSlots{{Server: "a1", Slots: 4}, {Server: "a2", Slots: 500}}, Pools: goldenPools,
	},
	Welcome{Epoch: 41, LeaseMillis: 3000, Leader: "control-2", StateKept: true, Reports: 99, LeaseExpired: true},
	Redirect{Leader: "control-2", FollowsLeader: true, Group: bigNumber, Revision: 301, Pending: true},
	Renew{Seq: 17, Revision: 302},
	Renewed{Seq: 18},
	Report{
		ViewSeq: 21,
		Pools: []PoolReport{
			{Pool: "llm", Idle: 2, Accounts: []AccountReport{
				{Account: "b", Waiting: 3, Running: 4, Started: 5, Service: 6.125},
				{Account: "c", Waiting: 1000, Running: 24, Started: 70000, Service: 1234567.8901},
			}},
			{Pool: "web"},
		},
		Returned: []ServerSlots{{Server: "a1", Slots: 1}, {Server: "a3", Slots: 2}}, Suspects: []string{"a4", "a5"}, Goodbye: true,
	},
	View{Seq: 22, Granted: []ServerSlots{{Server: "a1", Slots: 7}, {Server: "a2", Slots: 8}}, Pools: goldenPools, ReportSeq: 23},
	Configure{Delta: []byte{1, 2, 3}, Snapshot: []byte{4, 5, 6, 7}},
	Claim{Call: 31, Account: "hotel-a", Key: "booking-1", Digest: bigNumber, Attempt: bigNumber - 1, Wait: true},
	Settle{
		Call: 32, Account: "hotel-a", Key: "booking-2", Attempt: 33, State: ClaimRan,
		Answer: &Answer{Status: 200, ContentType: "text/plain", Body: []byte("booked")},
	},
	Claimed{Call: 34, State: ClaimUnknown, Answer: &Answer{Status: 503, ContentType: "application/json", Body: []byte("{}")}},
	Consensus{
		Name: "config", Group: bigNumber, Kind: MsgAppend,
		From: Peer{Name: "control-1", Incarnation: bigNumber - 2}, To: Peer{Name: "control-2", Incarnation: 52},
		Term: 53, Index: 54, LogTerm: 55, Commit: 56,
		Entries: []Entry{
			{Term: 57, Index: 58, Kind: EntryMembership, Data: []byte{7, 8}},
			{Term: 59, Index: 60, Data: []byte("command")},
			{Term: 61, Index: 62},
		},
		Reject: true, Hint: 63, Sent: -64, Force: true,
		Snapshot: &Snapshot{
			Group: 65, Index: 66, Term: 67,
			Members: Membership{
				Voters:   []Peer{{Name: "control-1", Incarnation: 68}, {Name: "control-2", Incarnation: 69}},
				Learners: []Peer{{Name: "control-3", Incarnation: 70}},
			},
			Data: []byte("piece"),
		},
		Offset: 71, Total: 72, Sync: 115, Start: LaterStart,
	},
	Watch{
		Gateway: "gateway-1", BootID: bigNumber, DocumentNumber: 82, Term: 83, SupportsHalls: true, SupportsRollouts: true, Region: "north", Relay: true, Avoid: []string{"10.0.0.1:7000", "10.0.0.2:7000"},
		KnownServers: 191, KeepsHandles: true, Hall: "hall-2", Redirected: true,
	},
	WatchRedirect{Leader: "10.0.0.1:7000", Members: []string{"10.0.0.1:7000", "10.0.0.2:7000"}},
	Document{Number: 84, Data: []byte{0xa1, 1, 2}},
	Servers{
		Term: 85, Whole: true, Complete: true,
		Set: []Server{
			{
				Registration: Registration{ID: "engine-1#a", Pool: "llm", Address: "10.0.0.3:80", Hall: "hall-a", Slots: 16, Version: "v7", Born: 1<<41 + 118}, Handle: 1<<32 - 1,
				Cold: &Cold{Remaining: 3 * time.Second, Shares: []ColdShare{{Gateway: "gateway-1", PerSecond: 5}, {Gateway: "gateway-2", PerSecond: 4}}},
			},
			{Registration: Registration{ID: "engine-2#b", Pool: "llm", Address: "10.0.0.4:80"}, Handle: 2},
		},
		Removed: []string{"engine-3#c", "engine-4#d"}, HallsOut: []string{"hall-a", "hall-b"}, HallChanges: 93, Relays: true,
		HandleSpace: bigNumber, Unlisted: []string{"engine-5#e"}, Part: true, AnswersStreams: true,
	},
	Usage{
		Loads:          []ServerLoad{{Handle: 7, Requests: 2, Tokens: 90000}, {Handle: 8, Requests: 300, Tokens: 1}},
		Demands:        []Demand{{Account: "t1", Tokens: bigNumber}, {Account: "t2", Tokens: 12}},
		DocumentNumber: 86, Started: 87, Missed: 88, Served: []Demand{{Account: "t2", Tokens: 89}}, Seq: 90, Late: []Demand{{Account: "t1", Tokens: 92}}, Unread: []Demand{{Account: "t2", Tokens: 93}},
		Outcomes: []Outcomes{
			{Pool: "web", Attempt: 98, Version: "v7", Route: "pay", Sent: 99, Answered: 100, Failed: 101, PaceCounts: []uint32{102, 0, 103}},
			{Pool: "web", Attempt: 104, Version: "v6"},
		},
		AppliedRollouts: 105, Incremental: true, Barred: []BarredTarget{{Pool: "web", Attempt: 106}},
		Losses: []Loss{
			{Key: []byte("0123456789abcdef"), Hint: 1<<32 - 1, Account: "t1", Pool: "llm", Server: "engine-1#a", Address: "10.0.0.3:80", RanMillis: 115, AgeMillis: 116, AfterLoss: true, Serving: true},
			{Key: []byte("fedcba9876543210"), Pool: "llm", Server: "engine-1#a"},
		},
		Cleared: [][]byte{[]byte("0123456789abcdef")}, Term: 96,
		LostParts:    []LostParts{{Loss: 1, Model: "badger-small", Names: []string{"5c1e07a2", "91bd3f06"}}},
		BegunParts:   [][]byte{[]byte("fedcba9876543210")},
		ServedLosses: []ServedLoss{{Loss: 1, Request: true, Parts: []string{"5c1e07a2"}}}, Refused: [][]byte{[]byte("0123456789abcdef")},
	},
	Fleet{
		Gateways: 3, Loads: []ServerLoad{{Handle: 9, Requests: 10, Tokens: 11}, {Handle: 12, Requests: 13, Tokens: 14}},
		Entitlements: []Entitlement{{Account: "t1", Part: 0.25, Extra: 0.7}, {Account: "t2", Part: 0.1, Extra: 1}},
		Members:      []string{"10.0.0.1:7000", "10.0.0.2:7000"}, Contended: true, Incomplete: true, MaxRate: 1.5,
		Late: []Entitlement{{Account: "t2", Part: 0.05, Extra: 0.5}},
	},
	Counted{Seq: 91},
	Announce{Seq: 94, List: []Announcement{
		{Registration: Registration{ID: "engine-1#a", Pool: "llm", Address: "10.0.0.3:80", Hall: "hall-a", Slots: 16, Version: "v7", Born: 1<<41 + 118}, Seq: 95, ColdLeft: 3 * time.Second},
		{Registration: Registration{ID: "engine-2#b", Pool: "llm", Address: "10.0.0.4:80"}, Seq: 96},
	}, Unchanged: []UnchangedAnnouncement{{Handle: 110, Seq: 111}, {Handle: 112, Seq: 113}}, Term: 114},
	Announced{Seq: 97},
	Rollouts{Term: 106, Seq: 107, List: []Rollout{
		{Pool: "llm", Attempt: 108, Target: "v7", Share: 0.25, Barred: []string{"v5", "v4"}, Replaced: []string{"v3"},
			Routes: []RouteShare{{Route: "chat", Share: 0.5}}, Final: true},
		{Pool: "web", Attempt: 109, Barred: []string{"v8"}},
	}},
	RolloutOrder{Action: OrderStart, Pool: "llm", Target: "v7", Duration: 10 * time.Minute, Attempt: 110},
	RolloutAnswer{
		Outcome: OrderNotLeader, Reason: "another leads", Leader: "10.0.0.1:7000",
		Newest: &RolloutStatus{
			Target: "v7", State: 1, Attempt: 110, Duration: 10 * time.Minute, Elapsed: 3 * time.Second,
			Barred: []string{"v5", "v4"}, Replaced: []string{"v3"},
		},
	},
	RelayGateways{Gateways: []RelayGateway{{Gateway: "gateway-1", SupportsHalls: true, SupportsRollouts: true}, {Gateway: "gateway-2"}}},
	Quarantine{
		Whole: true, Set: []Quarantined{{Key: []byte("0123456789abcdef"), Hint: 117, Ends: 3, Condemned: true}, {Key: []byte("fedcba9876543210"), Ends: 1}},
		Removed:        [][]byte{[]byte("abcdefghijklmnop")},
		SuspectParts:   []SuspectPart{{Key: []byte("0123456789abcdef"), Crashes: 2, AgeMillis: 122}, {Key: []byte("fedcba9876543210"), Crashes: 3}},
		CondemnedParts: []CondemnedParts{{Parts: [][]byte{[]byte("0123456789abcdef"), []byte("fedcba9876543210")}}},
		RemovedParts:   [][]byte{[]byte("abcdefghijklmnop")},
		Provisional:    [][]byte{[]byte("0123456789abcdef")}, Probes: [][]byte{[]byte("fedcba9876543210")},
	},
	QuarantineOrder{Release: []byte("0123456789abcdef")},
	QuarantineAnswer{
		Outcome: OrderNotLeader, Reason: "another leads", Leader: "10.0.0.1:7000",
		Condemned: []CondemnedRequest{{
			Key: []byte("0123456789abcdef"), Account: "t1", Pool: "llm", Servers: []string{"engine-1#a", "engine-2#b"},
			Parts: []string{"5c1e07a2", "91bd3f06"}, Model: "badger-small",
		}},
	},
	ServingReplicas{List: []ServingReplica{{Address: "10.0.0.1:7000", Hall: "hall-1"}, {Address: "10.0.0.2:7000"}}},
	Streams{List: []StreamsBegun{{Pool: "llm", Version: "v7", IDs: []byte("0123456789abcdef")}, {Pool: "llm", IDs: []byte("01234567")}}},
	StreamQuery{Seq: 120, ID: bigNumber, Pool: "llm", Versions: []string{"v7", "v8"}},
	StreamAnswer{Seq: 121, Known: true, Pool: "llm", Version: "v7", Inferred: true},
}

var goldenPools = []PoolView{
	{
		Pool: "llm", Short: true, Floor: 1.5, Lift: 1.25, Slack: 100, Recall: 6, Rate: 600.1,
		Accounts: []AccountView{{Account: "b", Ahead: 0.5}, {Account: "c", Ahead: float64(float32(17.3))}},
	},
	{Pool: "web"},
}

func TestGoldenMessages(t *testing.T) {
	seen := map[Kind]bool{}
	for _, m := range goldenMessages {
		seen[KindOf(m)] = true
		t.Run(KindOf(m).String(), func(t *testing.T) {
			is := is.New(t)
			golden.AllSet(t, KindOf(m).String(), m)
			b, err := Encode(m)
			is.NoErr(err)
			want := golden.Bytes(t, KindOf(m).String(), b)
			got, err := Decode(want)
			is.NoErr(err)
			is.True(reflect.DeepEqual(got, m)) // the pinned bytes decode to the same value
		})
	}
	is.New(t).Equal(len(seen), len(kinds)) // a message of every kind
}

// TestGoldenEarlierMessages decodes messages of the version before rollouts and regions, from
// the files whose names end in "-earlier". These files are never rewritten.
func TestGoldenEarlierMessages(t *testing.T) {
	is := is.New(t)
	for _, m := range goldenMessages {
		name := KindOf(m).String()
		text, err := os.ReadFile(filepath.Join("testdata", "golden", name+"-earlier.hex"))
		if os.IsNotExist(err) {
			continue // the message has not changed since
		}
		is.NoErr(err)
		b, err := hex.DecodeString(strings.TrimSpace(string(text)))
		is.NoErr(err)
		got, err := Decode(b)
		is.NoErr(err)
		is.True(reflect.DeepEqual(got, withoutNewerFields(m)))
	}
}

// withoutNewerFields returns a message without the fields that the earlier version did not
// have.
func withoutNewerFields(m Message) Message {
	switch m := m.(type) {
	case Consensus:
		m.Sync, m.Start = 0, StartNotStated
		return m
	case Watch:
		m.SupportsRollouts, m.Region, m.Relay, m.Avoid = false, "", false, nil
		m.KnownServers, m.KeepsHandles, m.Hall, m.Redirected = 0, false, "", false
		return m
	case Servers:
		m.Set = slices.Clone(m.Set)
		for i := range m.Set {
			m.Set[i].Version, m.Set[i].Born = "", 0
		}
		m.Relays, m.HandleSpace, m.Unlisted, m.Part, m.AnswersStreams = false, 0, nil, false, false
		return m
	case Usage:
		m.Outcomes, m.AppliedRollouts, m.Incremental, m.Barred = nil, 0, false, nil
		m.Losses, m.Cleared, m.Unread, m.Term, m.LostParts, m.BegunParts = nil, nil, nil, 0, nil, nil
		m.ServedLosses, m.Refused = nil, nil
		return m
	case Quarantine:
		m.SuspectParts, m.CondemnedParts, m.RemovedParts, m.Provisional, m.Probes = nil, nil, nil, nil, nil
		return m
	case QuarantineAnswer:
		m.Condemned = slices.Clone(m.Condemned)
		m.Condemned[0].Parts, m.Condemned[0].Model = nil, ""
		return m
	case Announce:
		m.List = slices.Clone(m.List)
		for i := range m.List {
			m.List[i].Version, m.List[i].Born = "", 0
		}
		m.Unchanged, m.Term = nil, 0
		return m
	}
	return m
}

// TestGoldenKinds pins the number of each kind, used in the envelope, and its name, used in
// metrics.
func TestGoldenKinds(t *testing.T) {
	is := is.New(t)
	names := []string{
		1: "hello", 2: "welcome", 3: "redirect", 4: "renew", 5: "renewed", 6: "report", 7: "view", 8: "configure",
		9: "claim", 10: "settle", 11: "claimed", 12: "consensus", 13: "watch", 14: "elsewhere", 15: "document",
		16: "backends", 17: "usage", 18: "fleet", 19: "counted", 20: "announce", 21: "announced", 22: "rollouts",
		23: "rollout-order", 24: "rollout-answer",
		30: "behind", 31: "quarantine", 32: "quarantine-order", 33: "quarantine-answer", 34: "places", 35: "streams", 36: "stream-query", 37: "stream-answer",
	}
	var used []int
	for number := range 1 << 8 {
		if number < len(names) && names[number] != "" {
			used = append(used, number)
			is.Equal(Kind(number).String(), names[number])
			continue
		}
		is.Equal(Kind(number).String(), "unknown") // fails for a kind without a golden message
	}
	is.Equal(len(goldenMessages), len(used))
	for i, m := range goldenMessages {
		is.Equal(int(KindOf(m)), used[i]) // the messages are ordered by kind
	}
}

// TestGoldenNumbers pins the enumeration values used inside messages.
func TestGoldenNumbers(t *testing.T) {
	is := is.New(t)
	for i, s := range []ClaimState{
		ClaimGranted, ClaimRunning, ClaimRan, ClaimUnknown, ClaimMismatch, ClaimRetry, ClaimReleased,
	} {
		is.Equal(int(s), i+1)
	}
	for i, k := range []ConsensusKind{
		MsgPreVote, MsgPreVoteReply, MsgVote, MsgVoteReply, MsgAppend, MsgAppendReply, MsgSnapshot, MsgSnapshotReply,
		MsgCampaignNow, MsgJoin, MsgBlankQuery, MsgBlankReply, MsgFound,
	} {
		is.Equal(int(k), i+1)
	}
	for i, a := range []OrderAction{OrderStart, OrderStatus, OrderAbort} {
		is.Equal(int(a), i+1)
	}
	for i, o := range []OrderOutcome{OrderDone, OrderRefused, OrderConflict, OrderNotLeader, OrderUnknown} {
		is.Equal(int(o), i+1)
	}
	for i, s := range []GroupStart{StartNotStated, FirstStart, LaterStart} {
		is.Equal(int(s), i)
	}
	is.Equal(int(EntryCommand), 0)
	is.Equal(int(EntryMembership), 1)
}
