// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// This file defines the messages of a gateway's session with the leading directory replica.
//
// A session starts with Watch. The leader answers with the whole list of backend servers and,
// if the gateway's document is older, with the document, and from then on sends changes. Any
// other replica answers with WatchRedirect and closes the link. A relay is a replica that takes
// the leader's role for the gateways of its region and itself opens a session with the leader.
// Values that are sent several times a second are encoded as arrays.

// Watch is the first message of a gateway to a directory replica and opens a session.
type Watch struct {
	Gateway        string `cbor:"1,keyasint"`
	BootID         uint64 `cbor:"2,keyasint"`           // random, drawn at each start of the process
	DocumentNumber uint64 `cbor:"3,keyasint,omitempty"` // number of the document held
	Term           uint64 `cbor:"4,keyasint,omitempty"` // highest term seen; an older leader must refuse
	// SupportsHalls is set by gateways that support HallsOut. Earlier versions do not send it.
	SupportsHalls bool `cbor:"5,keyasint,omitempty"`
	// SupportsRollouts is set by gateways that support Rollouts. Earlier versions do not send it.
	SupportsRollouts bool `cbor:"6,keyasint,omitempty"`
	// Region is the sender's region; empty if not configured.
	Region string `cbor:"7,keyasint,omitempty"`
	// Relay is set by a directory replica that opens a session on behalf of its region's
	// gateways.
	Relay bool `cbor:"8,keyasint,omitempty"`
	// Avoid are the fleet addresses of replicas that the gateway lost, or was redirected to
	// without reaching them, since its last session. The leader names another relay or serves
	// the gateway itself.
	Avoid []string `cbor:"9,keyasint,omitempty"`
	// KnownServers is the number of backend servers that the gateway holds from earlier sessions.
	KnownServers int `cbor:"10,keyasint,omitempty"`
	// KeepsHandles is set by gateways that distinguish handles by [Servers.HandleSpace]. Their
	// sessions outlive the leader. Earlier versions do not send it.
	KeepsHandles bool `cbor:"11,keyasint,omitempty"`
	// Hall is the sender's data hall; empty if not configured.
	Hall string `cbor:"12,keyasint,omitempty"`
	// Redirected is set if another replica redirected the gateway to the receiver.
	Redirected bool `cbor:"13,keyasint,omitempty"`
}

// WatchRedirect is the answer of a directory replica that does not lead to a Watch; the replica
// then closes the link. Unlike a [Redirect] it names the group's members, because a gateway has
// only seeds in its settings.
type WatchRedirect struct {
	Leader  string   `cbor:"1,keyasint,omitempty"` // fleet address; empty when unknown
	Members []string `cbor:"2,keyasint,omitempty"` // fleet addresses of the group
}

// Document is sent by the leader to a gateway that holds an older document. Data is the CBOR
// encoding of document.Document.
type Document struct {
	Number uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Registration is the record under which a backend server is registered. Messages and stored
// records hold it in the same form.
type Registration struct {
	ID      string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // IP:PORT
	Hall    string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"` // number of requests that it runs concurrently
	// Version is the version of the software that the server runs; empty if not reported.
	// Numbers 6 and 7 are used by the other fields of [Server] and [Announcement], which embed
	// this type.
	Version string `cbor:"8,keyasint,omitempty"`
	// Born is the start of this life of the server, in Unix milliseconds; 0 if not reported.
	// It is set only in messages and the log, see [Registration.Sent].
	Born uint64 `cbor:"9,keyasint,omitempty"`
}

// Server is one announced backend server.
type Server struct {
	Registration
	// Handle identifies the backend server in Usage and Fleet, within one [Servers.HandleSpace].
	Handle uint32 `cbor:"6,keyasint"`
	// Cold is set while the backend server is cold, after a start or later.
	Cold *Cold `cbor:"7,keyasint,omitempty"`
}

// Cold describes the limits of a backend server that can serve only few requests for a while.
type Cold struct {
	Remaining time.Duration `cbor:"1,keyasint"`           // remaining time, as of sending
	Shares    []ColdShare   `cbor:"2,keyasint,omitempty"` // shares of the gateways that may send to it
}

// ColdShare is the rate at which one gateway may send to a cold backend server.
type ColdShare struct {
	_         struct{} `cbor:",toarray"`
	Gateway   string
	PerSecond int // requests per second
}

// Servers is sent by the leader to every gateway: the whole list when the session opens, then
// the changes.
type Servers struct {
	Term uint64 `cbor:"1,keyasint"`
	// Whole is set if Set is the leader's whole list, or the first part of it.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Complete is set at least once if the leader has led for longer than backend servers take
	// to announce themselves. It says nothing about whether this message is a whole list or a
	// change. A server that is neither in the last whole list nor in a later Set is then not
	// announcing itself.
	Complete bool     `cbor:"3,keyasint,omitempty"`
	Set      []Server `cbor:"4,keyasint,omitempty"`
	Removed  []string `cbor:"5,keyasint,omitempty"` // identifiers of servers that are leaving, withdrawn or replaced
	// HallsOut are the data halls whose backend servers receive no requests, as of
	// HallChanges, which increases with each change. If HallChanges is 0, the message says
	// nothing about halls.
	HallsOut    []string `cbor:"6,keyasint,omitempty"`
	HallChanges uint64   `cbor:"7,keyasint,omitempty"`
	// Relays is set in the whole list of a leader that supports relays. Earlier versions do
	// not send it, and treat a relay as a gateway.
	Relays bool `cbor:"8,keyasint,omitempty"`
	// AnswersStreams is set in the whole list of a replica that answers [StreamQuery]. Earlier versions
	// do not send it.
	AnswersStreams bool `cbor:"12,keyasint,omitempty"`
	// HandleSpace identifies the leader that assigned the handles in the message. Earlier
	// versions send 0: the handles are those of the term's leader.
	HandleSpace uint64 `cbor:"9,keyasint,omitempty"`
	// Unlisted are servers that gateways hold from an earlier leader and that do not announce
	// themselves to the current one. They are used only as long as they answer.
	Unlisted []string `cbor:"10,keyasint,omitempty"`
	// Part is set if Set continues the whole list that an earlier message began. Earlier
	// versions treat it as a change.
	Part bool `cbor:"11,keyasint,omitempty"`
}

// ServerLoad is the load that runs on one backend server.
type ServerLoad struct {
	_        struct{} `cbor:",toarray"`
	Handle   uint32
	Requests uint32
	Tokens   uint32 // prompt tokens that the server has not processed yet, by the gateways' count
}

// Demand is the number of tokens that one account requested since the previous report.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Tokens  uint64
}

// Usage is a gateway's report to the leader, sent ten times a second.
type Usage struct {
	Loads          []ServerLoad `cbor:"1,keyasint,omitempty"`
	Demands        []Demand     `cbor:"2,keyasint,omitempty"`
	DocumentNumber uint64       `cbor:"3,keyasint,omitempty"` // number of the document in force at the gateway
	// Started counts the tokens of requests dispatched to engines since the previous report.
	// Missed counts those of requests within a share that found no free capacity.
	Started uint64 `cbor:"4,keyasint,omitempty"`
	Missed  uint64 `cbor:"5,keyasint,omitempty"`
	// Served is Started by account: what each was given, as opposed to its demand.
	Served []Demand `cbor:"6,keyasint,omitempty"`
	// Seq numbers the reports of a session from 1.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
	// Late is the part of Demands retried after its objective has passed: it is late even if
	// served now.
	Late []Demand `cbor:"8,keyasint,omitempty"`
	// Outcomes are those that have changed since the last report, for pools with a rollout in
	// progress. The first report of a session has all of them.
	Outcomes []Outcomes `cbor:"9,keyasint,omitempty"`
	// AppliedRollouts is the Seq of the newest [Rollouts] of the session's term that the gateway
	// has applied.
	AppliedRollouts uint64 `cbor:"10,keyasint,omitempty"`
	// Incremental is set in a relay's reports: Loads are the sums that have changed since its
	// previous report, and zeros for servers that run nothing any more.
	Incremental bool `cbor:"11,keyasint,omitempty"`
	// Barred are targets that a leader has barred at this gateway and that the newest
	// [Rollouts] does not bar, because the log may lack the decision.
	Barred []BarredTarget `cbor:"12,keyasint,omitempty"`
	// Losses are requests that ran on servers that have ended since the last report. The first
	// report of a session has all that no complete answer has cleared.
	Losses []Loss `cbor:"13,keyasint,omitempty"`
	// Cleared are the keys of listed requests that got a complete answer at this gateway.
	Cleared [][]byte `cbor:"14,keyasint,omitempty"`
	// LostParts are the prompt parts of Losses. Earlier versions do not send them.
	LostParts []LostParts `cbor:"17,keyasint,omitempty"`
	// BegunParts are the keys of listed parts of which a request has begun to be answered at this gateway.
	BegunParts [][]byte `cbor:"18,keyasint,omitempty"`
	// ServedLosses says of Losses what had been served before. Earlier versions do not send it.
	ServedLosses []ServedLoss `cbor:"20,keyasint,omitempty"`
	// Refused are the keys of condemned requests and sets of parts of which this gateway has refused
	// requests since the last report. Earlier versions do not send them.
	Refused [][]byte `cbor:"19,keyasint,omitempty"`
	// Unread estimates, by account, the demand on connections that the gateway has not
	// accepted. It is not included in Demands.
	Unread []Demand `cbor:"16,keyasint,omitempty"`
	// Term is the term of the leader from which the sender last received a message;
	// AppliedRollouts refers to that leader's lists. Earlier versions, whose sessions end with
	// the term, send 0.
	Term uint64 `cbor:"15,keyasint,omitempty"`
}

// Entitlement is the fraction of an account's demand that its fair share covers: Part of the
// rate that the operator configures, and Extra of the rate that the engines actually deliver if
// that is higher. Extra is never below Part. Accounts that are not listed are covered
// completely.
type Entitlement struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Part    float32
	Extra   float32
}

// Fleet is sent by the leader to every gateway, ten times a second, or less often if it is
// large (registry.FleetBudget). It describes the state of all gateways together and is the same
// for all, so that it is built and encoded once.
type Fleet struct {
	Gateways int `cbor:"1,keyasint,omitempty"`
	// Loads are the sums over all gateways that differ from those sent before, as far as the
	// budget of a link allows (registry.LoadFeed). Number 2 was used for an earlier encoding.
	Loads        []ServerLoad  `cbor:"8,keyasint,omitempty"`
	Entitlements []Entitlement `cbor:"3,keyasint,omitempty"`
	Members      []string      `cbor:"4,keyasint,omitempty"` // fleet addresses of the directory
	// Contended is set if requests within their accounts' shares find no free capacity on some
	// servers, or several accounts demand more than their shares. No account may then exceed
	// its share.
	Contended bool `cbor:"5,keyasint,omitempty"`
	// Incomplete is set while the leader is new and its sums are too incomplete to decide by.
	// Entitlements, Contended and MaxRate are then meaningless.
	Incomplete bool `cbor:"6,keyasint,omitempty"`
	// MaxRate bounds the rate that one account may be given, in tokens per second; 0 means no
	// bound.
	MaxRate float64 `cbor:"7,keyasint,omitempty"`
	// Late has, for accounts in Entitlements, the fractions of the late retries that are
	// covered: what remains of the share after requests that can still be in time. An account
	// without an entry has none covered.
	Late []Entitlement `cbor:"9,keyasint,omitempty"`
}

// Counted is sent before each Fleet. Seq is the last report of the receiving gateway included
// in the sums, or 0 for none. The load from other gateways is the sum minus that report.
type Counted struct {
	Seq uint64 `cbor:"1,keyasint,omitempty"`
}
