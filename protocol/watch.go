// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// This file defines what a gateway and the leading directory replica send each
// other over the gateway's one session.
//
// A session starts with Watch. The leader answers with the whole list of backend
// servers, the document if the gateway's is older, and from then on with what
// changes; any other replica answers with WatchRedirect and closes. A relay is a replica
// that does the leader's part for the gateways of its region; towards the leader it opens a
// session itself. Numbers that
// are sent several times a second are arrays.

// Watch is the first message of a gateway to a directory replica and opens a session.
type Watch struct {
	Gateway string `cbor:"1,keyasint"`
	Boot    uint64 `cbor:"2,keyasint"`           // drawn at each start of the process
	Number  uint64 `cbor:"3,keyasint,omitempty"` // of the document held
	Term    uint64 `cbor:"4,keyasint,omitempty"` // highest seen; an older leader must refuse
	// KnowsHalls is set by gateways that obey HallsOut. Earlier versions did not have it.
	KnowsHalls bool `cbor:"5,keyasint,omitempty"`
	// KnowsVersions is set by gateways that obey Rollouts. Earlier versions did not have it.
	KnowsVersions bool `cbor:"6,keyasint,omitempty"`
	// Region is the sender's, empty if its settings name none.
	Region string `cbor:"7,keyasint,omitempty"`
	// Relay is set by a directory replica that opens a session for its region's gateways.
	Relay bool `cbor:"8,keyasint,omitempty"`
	// Avoid are the fleet addresses of replicas that the gateway lost, or was named and did not
	// reach, since its last session: the leader names another relay, or serves it itself.
	Avoid []string `cbor:"9,keyasint,omitempty"`
	// Known is how many backend servers the gateway knows from before.
	Known int `cbor:"10,keyasint,omitempty"`
	// KeepsHandles is set by gateways that tell handles by [Servers.Space]: their sessions outlive
	// the leader. Earlier versions did not have it.
	KeepsHandles bool `cbor:"11,keyasint,omitempty"`
	// Hall is the sender's, empty if its settings name none.
	Hall string `cbor:"12,keyasint,omitempty"`
	// Named is set if another replica has named the receiver to the gateway.
	Named bool `cbor:"13,keyasint,omitempty"`
}

// WatchRedirect is the answer of a directory replica that does not lead to a Watch; it
// then closes the link. Unlike a [Redirect] it names the group's members, because a
// gateway has only seeds in its settings.
type WatchRedirect struct {
	Leader  string   `cbor:"1,keyasint,omitempty"` // fleet address; empty when unknown
	Members []string `cbor:"2,keyasint,omitempty"` // fleet addresses of the group
}

// Document is sent by the leader to a gateway that holds an older document: the CBOR
// of document.Document.
type Document struct {
	Number uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Registration is what a backend server registers under. Messages and stored
// records hold it in the same form.
type Registration struct {
	ID      string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"` // IP:PORT
	Hall    string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"` // requests that it runs at a time
	// Version is of the software that it runs, empty if it does not say. Numbers 6 and 7 are
	// those of the fields beside a registration in [Server] and [Announcement].
	Version string `cbor:"8,keyasint,omitempty"`
	// Born is when this life of the server began, in Unix milliseconds; 0: it does not say. Only
	// messages and the log have it, see [Registration.Sent].
	Born uint64 `cbor:"9,keyasint,omitempty"`
}

// Server is one announced backend server.
type Server struct {
	Registration
	// Handle identifies the backend server in Usage and Fleet, within one [Servers.Space].
	Handle uint32 `cbor:"6,keyasint"`
	// Cold is set while the backend server has just started or become cold again.
	Cold *Cold `cbor:"7,keyasint,omitempty"`
}

// Cold is a backend server that bears few requests for a while.
type Cold struct {
	Left   time.Duration `cbor:"1,keyasint"`           // as of sending
	Shares []ColdShare   `cbor:"2,keyasint,omitempty"` // of the gateways that may send to it
}

// ColdShare is what one gateway may send to a cold backend server.
type ColdShare struct {
	_         struct{} `cbor:",toarray"`
	Gateway   string
	PerSecond int // requests
}

// Servers is sent by the leader to every gateway: the whole list when the session opens,
// then what has changed.
type Servers struct {
	Term uint64 `cbor:"1,keyasint"`
	// Whole is set if Set is the whole list that the leader has, or the first part of it.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Complete is set, once at least, if the leader has led for longer than backend servers
	// take to announce themselves: one that was not in the last whole list, or set since,
	// does not announce itself.
	Complete bool     `cbor:"3,keyasint,omitempty"`
	Set      []Server `cbor:"4,keyasint,omitempty"`
	Gone     []string `cbor:"5,keyasint,omitempty"` // leaving, withdrawn or replaced
	// HallsOut are the data halls whose backend servers get nothing, as of HallChanges, which
	// rises with each change; 0 says nothing about halls.
	HallsOut    []string `cbor:"6,keyasint,omitempty"`
	HallChanges uint64   `cbor:"7,keyasint,omitempty"`
	// Relays is set in a whole list of a leader that serves relays. Earlier versions did not
	// have it, and take a relay for a gateway.
	Relays bool `cbor:"8,keyasint,omitempty"`
	// Space tells whose handles the message has; 0, of earlier versions: those of the term's leader.
	Space uint64 `cbor:"9,keyasint,omitempty"`
	// Unlisted are servers that gateways have from an earlier leader and that do not announce
	// themselves to this one: they are used only as long as they answer.
	Unlisted []string `cbor:"10,keyasint,omitempty"`
	// Part is set if Set goes on with the whole list that an earlier message began. Earlier versions take
	// it for a change.
	Part bool `cbor:"11,keyasint,omitempty"`
}

// ServerLoad is what runs on one backend server.
type ServerLoad struct {
	_        struct{} `cbor:",toarray"`
	Handle   uint32
	Requests uint32
	Tokens   uint32 // of prompts not yet read there, by the gateways' count
}

// Demand is what one account requested since the previous report, in tokens.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Tokens  uint64
}

// Usage is a gateway's report to the leader, ten times a second.
type Usage struct {
	Loads   []ServerLoad `cbor:"1,keyasint,omitempty"`
	Demands []Demand     `cbor:"2,keyasint,omitempty"`
	Number  uint64       `cbor:"3,keyasint,omitempty"` // of the document in force there
	// Started counts the tokens of requests given to engines since the previous
	// report, Missed those of requests within a share that found no room.
	Started uint64 `cbor:"4,keyasint,omitempty"`
	Missed  uint64 `cbor:"5,keyasint,omitempty"`
	// Served is Started by account: what each was given, beside what it demanded.
	Served []Demand `cbor:"6,keyasint,omitempty"`
	// Seq numbers the reports of a session from 1.
	Seq uint64 `cbor:"7,keyasint,omitempty"`
	// Late is the part of Demands that came back after its objective: served now, it is
	// late in any case.
	Late []Demand `cbor:"8,keyasint,omitempty"`
	// Outcomes are those that have changed since the last report, of pools with a rollout
	// under way; the first report of a session has all.
	Outcomes []Outcomes `cbor:"9,keyasint,omitempty"`
	// Obeyed is the Seq of the newest [Rollouts] that the gateway obeys, of the session's term.
	Obeyed uint64 `cbor:"10,keyasint,omitempty"`
	// Changes is set in a relay's reports: Loads are the sums that have changed since its
	// previous report, with zeros for what runs nothing any more.
	Changes bool `cbor:"11,keyasint,omitempty"`
	// Barred are targets that a leader has barred here and the newest [Rollouts] has not: the log
	// may lack the verdict.
	Barred []Barred `cbor:"12,keyasint,omitempty"`
	// Losses are requests that ran at servers that have ended since the last report. The first
	// report of a session has all that no whole answer has cleared.
	Losses []Loss `cbor:"13,keyasint,omitempty"`
	// Cleared are the keys of listed requests that got a whole answer here.
	Cleared [][]byte `cbor:"14,keyasint,omitempty"`
	// Unread estimates by account what is asked on connections that the gateway has not taken. It is no
	// part of Demands.
	Unread []Demand `cbor:"16,keyasint,omitempty"`
	// Term is of the leader of whom the sender last heard: Obeyed is of that one's lists. 0 of
	// earlier versions, whose sessions end with the term.
	Term uint64 `cbor:"15,keyasint,omitempty"`
}

// Entitlement is the part of an account's demand that its fair share covers: of
// the rate that the operator names (Part), and of what the engines really make
// if that is more (Extra, never below Part). Accounts that are not listed are
// covered whole.
type Entitlement struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Part    float32
	Extra   float32
}

// Fleet is sent by the leader to every gateway, ten times a second or less often if it
// is large (registry.FleetBudget): the state of all gateways together. It is the same for
// all, so that it is made and encoded once.
type Fleet struct {
	Gateways int `cbor:"1,keyasint,omitempty"`
	// Loads are the sums over all gateways that differ from those sent before, as far as
	// the budget of a link allows (registry.Feed). Number 2 was another form of it.
	Loads        []ServerLoad  `cbor:"8,keyasint,omitempty"`
	Entitlements []Entitlement `cbor:"3,keyasint,omitempty"`
	Members      []string      `cbor:"4,keyasint,omitempty"` // fleet addresses of the directory
	// Short is set if requests within their accounts' shares find no room somewhere, or
	// several accounts demand more than their shares: no account may exceed its share.
	Short bool `cbor:"5,keyasint,omitempty"`
	// Unknown is set while the leader is new: its sums hold too little to decide by, and
	// Entitlements, Short and Most say nothing.
	Unknown bool `cbor:"6,keyasint,omitempty"`
	// Most bounds what one account may be given, in tokens a second; 0 does not.
	Most float64 `cbor:"7,keyasint,omitempty"`
	// Late has, for accounts in Entitlements, the parts of what comes back late: what their
	// requests that can be in time leave of the share. None is no part.
	Late []Entitlement `cbor:"9,keyasint,omitempty"`
}

// Counted goes before each Fleet: the last report of the receiving gateway that is in its
// sums, 0 for none. What runs from other gateways is the sum less that report.
type Counted struct {
	Seq uint64 `cbor:"1,keyasint,omitempty"`
}
