// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// This file defines the envelope around every message, and the encoder and decoder that all
// links use.

// MaxMessage is the maximum size of a message, in bytes. The largest message, a configuration
// snapshot at the sizes of docs/CAPACITY.md, takes 932 KB (BenchmarkConfigDistribution of package control).
const MaxMessage = 16 << 20

// Kind identifies the type of a message on a link. The numbers are on the wire and are never
// reused.
type Kind uint8

// The kinds of message. Each message type documents its sender, its receiver and when it is
// sent.
const (
	// Between a router and a control replica.
	KindHello     Kind = 1  // router: open a session
	KindWelcome   Kind = 2  // leader: the session is open
	KindRedirect  Kind = 3  // other replica: who leads
	KindRenew     Kind = 4  // router: extend the lease
	KindRenewed   Kind = 5  // leader: the lease is extended
	KindReport    Kind = 6  // router: load and slots since the last report
	KindView      Kind = 7  // leader: slots granted, state of the fleet
	KindConfigure Kind = 8  // leader: a newer configuration
	KindClaim     Kind = 9  // router: claim the right to run a keyed request
	KindSettle    Kind = 10 // router: the result of a claimed request
	KindClaimed   Kind = 11 // leader: the answer to KindClaim and KindSettle

	// Between the replicas of one group.
	KindConsensus Kind = 12 // of any [ConsensusKind]

	// Between a gateway and a directory replica.
	KindWatch         Kind = 13 // gateway: open a session
	KindWatchRedirect Kind = 14 // other replica: who leads
	KindDocument      Kind = 15 // leader: a newer document
	KindServers       Kind = 16 // leader: backend servers added or removed
	KindUsage         Kind = 17 // gateway: running and requested load
	KindFleet         Kind = 18 // leader: the sums over all gateways
	KindCounted       Kind = 19 // leader: the last report included in the sums

	// Between the replicas of the directory.
	KindAnnounce  Kind = 20 // replica: announcements of backend servers
	KindAnnounced Kind = 21 // leader: the announcements are accepted

	// Between a gateway and a directory replica, continued.
	KindRollouts   Kind = 22 // leader: the versions of pools that receive requests
	KindQuarantine Kind = 31 // leader: requests whose backend servers ended while running them

	// Between an operator's command and a directory replica.
	KindQuarantineOrder  Kind = 32 // command: list condemned requests, or release one
	KindQuarantineAnswer Kind = 33 // replica: the result of the order

	// Between an operator's command and a directory replica, continued.
	KindRolloutOrder  Kind = 23 // command: begin, read or end a rollout
	KindRolloutAnswer Kind = 24 // replica: the result of the order

	// Between a gateway and a directory replica, and between the replicas of the directory, continued.
	KindStreams      Kind = 35 // gateway or replica: the versions of streams that have begun
	KindStreamQuery  Kind = 36 // gateway, relay or leader: which version began a stream
	KindStreamAnswer Kind = 37 // the answer to KindStreamQuery

	// Between the replicas of the directory, continued.
	KindRelayGateways   Kind = 30 // relay: the gateways that it serves
	KindServingReplicas Kind = 34 // leader: the replicas that serve gateways
)

// kinds maps each kind to its name, as used in metric labels, and its decoder.
var kinds = map[Kind]struct {
	name   string
	decode func(Envelope) (Message, error)
}{
	KindHello:           {"hello", decodeAs[Hello]},
	KindWelcome:         {"welcome", decodeAs[Welcome]},
	KindRedirect:        {"redirect", decodeAs[Redirect]},
	KindRenew:           {"renew", decodeAs[Renew]},
	KindRenewed:         {"renewed", decodeAs[Renewed]},
	KindReport:          {"report", decodeAs[Report]},
	KindView:            {"view", decodeAs[View]},
	KindConfigure:       {"configure", decodeAs[Configure]},
	KindClaim:           {"claim", decodeAs[Claim]},
	KindSettle:          {"settle", decodeAs[Settle]},
	KindClaimed:         {"claimed", decodeAs[Claimed]},
	KindConsensus:       {"consensus", decodeAs[Consensus]},
	KindWatch:           {"watch", decodeAs[Watch]},
	KindWatchRedirect:   {"elsewhere", decodeAs[WatchRedirect]},
	KindDocument:        {"document", decodeAs[Document]},
	KindServers:         {"backends", decodeAs[Servers]},
	KindUsage:           {"usage", decodeAs[Usage]},
	KindFleet:           {"fleet", decodeAs[Fleet]},
	KindCounted:         {"counted", decodeAs[Counted]},
	KindAnnounce:        {"announce", decodeAs[Announce]},
	KindAnnounced:       {"announced", decodeAs[Announced]},
	KindRollouts:        {"rollouts", decodeAs[Rollouts]},
	KindRolloutOrder:    {"rollout-order", decodeAs[RolloutOrder]},
	KindRolloutAnswer:   {"rollout-answer", decodeAs[RolloutAnswer]},
	KindRelayGateways:   {"behind", decodeAs[RelayGateways]},
	KindQuarantine:      {"quarantine", decodeAs[Quarantine]},
	KindServingReplicas: {"places", decodeAs[ServingReplicas]},
	KindStreams:         {"streams", decodeAs[Streams]},
	KindStreamQuery:     {"stream-query", decodeAs[StreamQuery]},
	KindStreamAnswer:    {"stream-answer", decodeAs[StreamAnswer]},

	KindQuarantineOrder:  {"quarantine-order", decodeAs[QuarantineOrder]},
	KindQuarantineAnswer: {"quarantine-answer", decodeAs[QuarantineAnswer]},
}

// String returns the kind's name, as used in metric labels.
func (k Kind) String() string {
	if entry, ok := kinds[k]; ok {
		return entry.name
	}
	return "unknown"
}

// Envelope is the unit that a link carries: a kind and the encoded message.
type Envelope struct {
	_    struct{}        `cbor:",toarray"`
	Kind Kind            `cbor:""`
	Body cbor.RawMessage `cbor:""`
}

// Message is any of the message types of this package.
type Message interface{ kind() Kind }

func (Hello) kind() Kind            { return KindHello }
func (Welcome) kind() Kind          { return KindWelcome }
func (Redirect) kind() Kind         { return KindRedirect }
func (Renew) kind() Kind            { return KindRenew }
func (Renewed) kind() Kind          { return KindRenewed }
func (Report) kind() Kind           { return KindReport }
func (View) kind() Kind             { return KindView }
func (Configure) kind() Kind        { return KindConfigure }
func (Claim) kind() Kind            { return KindClaim }
func (Settle) kind() Kind           { return KindSettle }
func (Claimed) kind() Kind          { return KindClaimed }
func (Consensus) kind() Kind        { return KindConsensus }
func (Watch) kind() Kind            { return KindWatch }
func (WatchRedirect) kind() Kind    { return KindWatchRedirect }
func (Document) kind() Kind         { return KindDocument }
func (Servers) kind() Kind          { return KindServers }
func (Usage) kind() Kind            { return KindUsage }
func (Fleet) kind() Kind            { return KindFleet }
func (Counted) kind() Kind          { return KindCounted }
func (Announce) kind() Kind         { return KindAnnounce }
func (Announced) kind() Kind        { return KindAnnounced }
func (Rollouts) kind() Kind         { return KindRollouts }
func (RolloutOrder) kind() Kind     { return KindRolloutOrder }
func (RolloutAnswer) kind() Kind    { return KindRolloutAnswer }
func (Quarantine) kind() Kind       { return KindQuarantine }
func (QuarantineOrder) kind() Kind  { return KindQuarantineOrder }
func (QuarantineAnswer) kind() Kind { return KindQuarantineAnswer }
func (RelayGateways) kind() Kind    { return KindRelayGateways }
func (ServingReplicas) kind() Kind  { return KindServingReplicas }
func (Streams) kind() Kind          { return KindStreams }
func (StreamQuery) kind() Kind      { return KindStreamQuery }
func (StreamAnswer) kind() Kind     { return KindStreamAnswer }
func (e Encoded) kind() Kind        { return e.messageKind }

// KindOf returns the kind of m.
func KindOf(m Message) Kind { return m.kind() }

// The decoder's limits bound the memory that decoding a malformed message can take. Messages of a
// fleet at the sizes of docs/CAPACITY.md stay below them.
var (
	encMode = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16, Sort: cbor.SortNone}.EncMode())
	decMode = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// Malformed is the error for bytes from a link that do not form a valid message.
type Malformed struct {
	Kind Kind
	Err  error
}

// Error names the kind and the decoder's error.
func (e Malformed) Error() string {
	return fmt.Sprintf("protocol: malformed %s message: %v", e.Kind, e.Err)
}

// Unwrap returns the decoder's error.
func (e Malformed) Unwrap() error { return e.Err }

// TooLarge is the error for a message that exceeds MaxMessage.
type TooLarge struct{ Size int }

// Error names the size.
func (e TooLarge) Error() string {
	return fmt.Sprintf("protocol: message of %d bytes exceeds %d", e.Size, MaxMessage)
}

// Encoded is an encoded message. It allows encoding a message once and sending it on many
// links.
type Encoded struct {
	messageKind Kind
	bytes       []byte
}

// EncodeOnce encodes m for any number of links. The error is [Malformed] or [TooLarge].
func EncodeOnce(m Message) (Encoded, error) {
	b, err := Encode(m)
	return Encoded{messageKind: m.kind(), bytes: b}, err
}

// Size returns the size of the encoded message in bytes.
func (e Encoded) Size() int { return len(e.bytes) }

// Encode returns the bytes of m in its envelope.
func Encode(m Message) ([]byte, error) {
	if e, ok := m.(Encoded); ok {
		return e.bytes, nil
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, Malformed{Kind: m.kind(), Err: err}
	}
	b, err := encMode.Marshal(Envelope{Kind: m.kind(), Body: body})
	if err != nil {
		return nil, Malformed{Kind: m.kind(), Err: err}
	}
	if len(b) > MaxMessage {
		return nil, TooLarge{Size: len(b)}
	}
	return b, nil
}

// Decode returns the message in b. For a kind that this version does not support it returns nil
// without an error.
func Decode(b []byte) (Message, error) {
	if len(b) > MaxMessage {
		return nil, TooLarge{Size: len(b)}
	}
	var e Envelope
	if err := decMode.Unmarshal(b, &e); err != nil {
		return nil, Malformed{Err: err}
	}
	entry, ok := kinds[e.Kind]
	if !ok {
		return nil, nil
	}
	return entry.decode(e)
}

func decodeAs[T Message](e Envelope) (Message, error) {
	var m T
	if err := decMode.Unmarshal(e.Body, &m); err != nil {
		return nil, Malformed{Kind: e.Kind, Err: err}
	}
	return m, nil
}
