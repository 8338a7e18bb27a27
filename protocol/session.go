// SPDX-License-Identifier: Apache-2.0

package protocol

// This file defines what a router and a control replica send each other over
// the router's one session.
//
// Counters in a report are increments since the previous report of the same
// session, and messages of one session arrive in order, so nothing is counted
// twice; a new session starts from [Hello.Held], what the router really holds.
//
// Accounts and backend servers are named by the short identifiers that the
// configuration gives them. The three types that make up most of the traffic
// are encoded as arrays: they can't grow a field, a new message would.

// Hello is the first message of a router to a control replica and opens a session. The
// router has closed its previous one before.
type Hello struct {
	Router   string `cbor:"1,keyasint"`
	Hall     string `cbor:"2,keyasint,omitempty"`
	Boot     uint64 `cbor:"3,keyasint"` // drawn at each start of the process
	Revision uint64 `cbor:"4,keyasint"` // configuration held
	Epoch    uint64 `cbor:"5,keyasint"` // highest epoch seen; an older leader must refuse
	Held     []Held `cbor:"6,keyasint,omitempty"`
	// Pools are the fleet-wide times as the router has them, without what it
	// has not reported yet. An allocator that has just taken over rebuilds
	// its counters from them.
	Pools []PoolView `cbor:"7,keyasint,omitempty"`
}

// Welcome is the leading control replica's answer to a Hello and accepts the session. A
// router never follows an epoch lower than one it has seen.
type Welcome struct {
	Epoch       uint64 `cbor:"1,keyasint"` // term of the leader that allocates
	LeaseMillis uint32 `cbor:"2,keyasint"`
	Leader      string `cbor:"3,keyasint"`
	// Known is set if the allocator remembers the router's previous session,
	// of which it has taken Reports reports into account.
	Known   bool   `cbor:"4,keyasint,omitempty"`
	Reports uint64 `cbor:"5,keyasint,omitempty"`
	// Void is set if the router's lease had run out at the allocator: slots
	// that it holds and does not use must be given back unused.
	Void bool `cbor:"6,keyasint,omitempty"`
}

// Redirect is the answer of a control replica that does not lead to a Hello; it then
// closes the link. Unlike a [WatchRedirect] it names no members, because routers have
// all replicas in their settings, and gives the state of the replica's log: a router to
// which a majority answers that there is no leader and no newer configuration extends
// its lease itself.
type Redirect struct {
	Leader  string `cbor:"1,keyasint,omitempty"` // empty without one
	Follows bool   `cbor:"2,keyasint,omitempty"` // the replica has a leader at present
	Group   uint64 `cbor:"3,keyasint,omitempty"` // identity of the configuration group
	// Revision is the newest configuration that the replica has applied, and
	// Pending that its log holds entries that it has not applied.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	Pending  bool   `cbor:"5,keyasint,omitempty"`
}

// Renew is sent by a router several times in a lease, to have it extended from the
// time of sending.
type Renew struct {
	Seq      uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // configuration in force at the router
}

// Renewed is the leader's answer to the Renew of the same number.
type Renewed struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// Held is a number of slots of one backend server.
type Held struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Slots  int
}

// Report is sent by a router to the leader when its work has changed: what happened
// there since its previous report.
type Report struct {
	ViewSeq  uint64       `cbor:"1,keyasint"` // newest View taken into account
	Pools    []PoolReport `cbor:"2,keyasint,omitempty"`
	Returned []Held       `cbor:"3,keyasint,omitempty"` // slots given back
	Suspects []string     `cbor:"4,keyasint,omitempty"` // backend servers that fail this router's calls
	Goodbye  bool         `cbor:"5,keyasint,omitempty"` // planned stop: nothing is held any more
}

// PoolReport is the part of a report about one pool.
type PoolReport struct {
	Pool     string          `cbor:"1,keyasint"`
	Idle     int             `cbor:"2,keyasint,omitempty"` // slots held and not in use
	Accounts []AccountReport `cbor:"3,keyasint,omitempty"` // those that changed
}

// AccountReport is one account at one router.
type AccountReport struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Waiting int     // requests waiting now
	Running int     // requests running now
	Started int     // requests dispatched since the previous report
	Service float64 // service charged since the previous report
}

// View is sent by the leader to one router when its allocator has slots for it or the
// state of the fleet has changed.
type View struct {
	Seq     uint64     `cbor:"1,keyasint"`
	Granted []Held     `cbor:"2,keyasint,omitempty"`
	Pools   []PoolView `cbor:"3,keyasint,omitempty"`
	// ReportSeq is the number of the router's newest report (counted from 1
	// in each session) that the view takes into account.
	ReportSeq uint64 `cbor:"4,keyasint"`
}

// PoolView is the state of the fleet in one pool.
type PoolView struct {
	Pool  string  `cbor:"1,keyasint"`
	Short bool    `cbor:"2,keyasint,omitempty"` // more work waits than slots are free
	Floor float64 `cbor:"3,keyasint,omitempty"` // lowest virtual time of an account whose work waits
	// Lift is what an account is raised to that begins to wait, below Floor.
	Lift     float64       `cbor:"8,keyasint,omitempty"`
	Slack    float64       `cbor:"4,keyasint,omitempty"` // how far above the floor a slot may be reused
	Accounts []AccountView `cbor:"5,keyasint,omitempty"`
	// Recall is a number of slots to give back: free ones at once, else the
	// next ones to become free.
	Recall int `cbor:"6,keyasint,omitempty"`
	// Rate is how fast the floor rises, a second.
	Rate float64 `cbor:"7,keyasint,omitempty"`
}

// AccountView is the fleet-wide virtual time of one account, every report of
// the receiving router up to View.ReportSeq included.
type AccountView struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Ahead   float64 // above PoolView.Floor, in 32-bit precision
}

// Configure is sent by the leader to a router that holds an older configuration. One
// field is set; both hold the encoding of the configuration package.
type Configure struct {
	Delta    []byte `cbor:"1,keyasint,omitempty"`
	Snapshot []byte `cbor:"2,keyasint,omitempty"`
}
