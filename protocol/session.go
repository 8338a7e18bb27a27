// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines the messages of a router's session with a control replica.
//
// Counters in a report are increments since the previous report of the same session, and
// messages of one session arrive in order, so that nothing is counted twice. A new session
// starts from [Hello.Held], the slots that the router actually holds.
//
// Accounts and backend servers are named by the short identifiers that the configuration
// assigns. The three types that make up most of the traffic are encoded as arrays. No field can
// be added to these, so an addition needs a new message.

// Hello is the first message of a router to a control replica and opens a session. The router
// has closed its previous session before.
type Hello struct {
	Router   string        `cbor:"1,keyasint"`
	Hall     string        `cbor:"2,keyasint,omitempty"`
	BootID   uint64        `cbor:"3,keyasint"` // random, drawn at each start of the process
	Revision uint64        `cbor:"4,keyasint"` // revision of the configuration held
	Epoch    uint64        `cbor:"5,keyasint"` // highest epoch seen; an older leader must refuse
	Held     []ServerSlots `cbor:"6,keyasint,omitempty"`
	// Pools are the fleet-wide virtual times known to the router, without the service that it has
	// not reported yet. A new leader's allocator rebuilds its counters from them.
	Pools []PoolView `cbor:"7,keyasint,omitempty"`
}

// Welcome is the leading control replica's answer that accepts the session of a Hello. A router
// never follows an epoch lower than one it has seen.
type Welcome struct {
	Epoch       uint64 `cbor:"1,keyasint"` // term of the allocating leader
	LeaseMillis uint32 `cbor:"2,keyasint"`
	Leader      string `cbor:"3,keyasint"`
	// StateKept is set if the allocator still has the state of the router's previous session, up
	// to and including its first Reports reports.
	StateKept bool   `cbor:"4,keyasint,omitempty"`
	Reports   uint64 `cbor:"5,keyasint,omitempty"`
	// LeaseExpired is set if the router's lease had expired at the allocator. The router must
	// return the slots that it holds and does not use, without using them again.
	LeaseExpired bool `cbor:"6,keyasint,omitempty"`
}

// Redirect is the answer of a control replica that does not lead to a Hello; the replica then
// closes the link. Unlike a [WatchRedirect] it names no members, because routers have all
// replicas in their settings. It reports the state of the replica's log: a router extends its
// own lease if a majority answers that there is no leader and no newer configuration.
type Redirect struct {
	Leader        string `cbor:"1,keyasint,omitempty"` // empty if there is no leader
	FollowsLeader bool   `cbor:"2,keyasint,omitempty"` // the replica currently follows a leader
	Group         uint64 `cbor:"3,keyasint,omitempty"` // identity of the configuration group
	// Revision is the newest configuration that the replica has applied. Pending is set if its
	// log holds entries that it has not applied.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	Pending  bool   `cbor:"5,keyasint,omitempty"`
}

// Renew is sent by a router several times per lease. The lease is extended from the time of
// sending.
type Renew struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // configuration in force at the router
}

// Renewed is the leader's answer to the Renew with the same number.
type Renewed struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// ServerSlots is a number of slots on one backend server.
type ServerSlots struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Slots  int
}

// Report is sent by a router to the leader when its load has changed. It covers the time since
// the previous report.
type Report struct {
	ViewSeq  uint64        `cbor:"1,keyasint"` // newest View taken into account
	Pools    []PoolReport  `cbor:"2,keyasint,omitempty"`
	Returned []ServerSlots `cbor:"3,keyasint,omitempty"` // slots returned
	Suspects []string      `cbor:"4,keyasint,omitempty"` // backend servers that fail this router's calls
	Goodbye  bool          `cbor:"5,keyasint,omitempty"` // planned stop: the router holds no slots any more
}

// PoolReport is the part of a report about one pool.
type PoolReport struct {
	Pool     string          `cbor:"1,keyasint"`
	Idle     int             `cbor:"2,keyasint,omitempty"` // slots held and not in use
	Accounts []AccountReport `cbor:"3,keyasint,omitempty"` // accounts that changed
}

// AccountReport is the activity of one account at one router.
type AccountReport struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Waiting int     // requests waiting now
	Running int     // requests running now
	Started int     // requests dispatched since the previous report
	Service float64 // service charged since the previous report
}

// View is sent by the leader to one router when its allocator grants slots to the router or the
// state of the fleet has changed.
type View struct {
	Seq     uint64        `cbor:"1,keyasint"`
	Granted []ServerSlots `cbor:"2,keyasint,omitempty"`
	Pools   []PoolView    `cbor:"3,keyasint,omitempty"`
	// ReportSeq is the number of the router's newest report, counted from 1 in each session,
	// that the view takes into account.
	ReportSeq uint64 `cbor:"4,keyasint"`
}

// PoolView is the state of the fleet in one pool.
type PoolView struct {
	Pool  string  `cbor:"1,keyasint"`
	Short bool    `cbor:"2,keyasint,omitempty"` // more requests wait than slots are free
	Floor float64 `cbor:"3,keyasint,omitempty"` // lowest virtual time of an account with waiting requests
	// Lift is the virtual time, below Floor, to which an account is raised when it begins to
	// wait.
	Lift     float64       `cbor:"8,keyasint,omitempty"`
	Slack    float64       `cbor:"4,keyasint,omitempty"` // how far above the floor a slot may be reused
	Accounts []AccountView `cbor:"5,keyasint,omitempty"`
	// Recall is the number of slots to return: free ones at once, then the next ones to become
	// free.
	Recall int `cbor:"6,keyasint,omitempty"`
	// Rate is the increase of the floor per second.
	Rate float64 `cbor:"7,keyasint,omitempty"`
}

// AccountView is the fleet-wide virtual time of one account, including every report of the
// receiving router up to View.ReportSeq.
type AccountView struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Ahead   float64 // above PoolView.Floor, in 32-bit precision
}

// Configure is sent by the leader to a router that holds an older configuration. Exactly one
// field is set; both use the encoding of package state/config.
type Configure struct {
	Delta    []byte `cbor:"1,keyasint,omitempty"`
	Snapshot []byte `cbor:"2,keyasint,omitempty"`
}
