// SPDX-License-Identifier: Apache-2.0

package share

import (
	"math"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines what a queue exchanges with the allocator: fleet-wide
// virtual times one way, what happened here the other way.

// sentPart is the virtual time that one report carried.
type sentPart struct {
	seq  uint64
	time float64
}

// SetVirtualTime takes the fleet-wide virtual time of an account, which includes
// this router's reports up to number seq, and adds what came after.
func (q *Queue) SetVirtualTime(name string, time float64, seq uint64) {
	a := q.accounts[name]
	if a == nil {
		return
	}
	for len(a.sent) > 0 && a.sent[0].seq <= seq {
		a.sent = a.sent[1:]
	}
	a.time = time + a.unsent/a.share
	for _, p := range a.sent {
		a.time += p.time
	}
	q.reorder(a)
}

// SetLift takes the virtual time to which an account is raised that becomes
// backlogged. It never goes back.
func (q *Queue) SetLift(lift float64) { q.lift = max(q.lift, lift) }

// Lift returns the highest value that SetLift took.
func (q *Queue) Lift() float64 { return q.lift }

// VirtualTimes returns how far the virtual times are above the lift, without what was
// not reported yet, of all accounts that have any, in the order of names.
func (q *Queue) VirtualTimes() []protocol.AccountView {
	var out []protocol.AccountView
	for _, name := range sortedNames(q.accounts) {
		a := q.accounts[name]
		if time := a.time - a.unsent/a.share; time != 0 {
			out = append(out, protocol.AccountView{Account: name, Ahead: time - q.lift})
		}
	}
	return out
}

// ResetReports starts the numbering of reports again, for a new session. An
// allocator that remembers the previous session has taken its first arrived
// reports into account; what later ones carried is reported again. A new
// allocator took everything from Times.
func (q *Queue) ResetReports(remembered bool, arrived uint64) {
	for _, a := range q.accounts {
		for _, p := range a.sent {
			if remembered && p.seq > arrived {
				a.unsent += p.time * a.share
				q.touch(a)
			}
		}
		a.sent = nil
		a.reported = 0
		if a.waiting > 0 {
			q.touch(a)
		}
	}
}

// serviceStep is how many steps of reported service make a unit of cost: coarse values encode in five
// bytes instead of nine. What the rounding leaves goes with the next report.
const serviceStep = 8

// TakeChanges returns what happened since the previous call, in the order of
// names, as report number seq.
func (q *Queue) TakeChanges(seq uint64) []protocol.AccountReport {
	var out []protocol.AccountReport
	for _, name := range sortedNames(q.changed) {
		a := q.changed[name]
		service := math.Round(a.unsent*serviceStep) / serviceStep
		out = append(out, protocol.AccountReport{
			Account: name, Waiting: a.waiting, Service: service, Started: a.started, Running: a.running,
		})
		if service != 0 {
			a.sent = append(a.sent, sentPart{seq: seq, time: service / a.share})
		}
		a.unsent -= service
		a.started, a.reported = 0, a.waiting
	}
	clear(q.changed)
	return out
}

// HasChanges reports whether TakeChanges would return anything.
func (q *Queue) HasChanges() bool { return len(q.changed) > 0 }

// HasUnreportedWork reports whether some account has waiting work that the allocator
// lacks, so that no slot will come for it: at least twice as much waits as was
// reported. Reporting every request would cost a message each while much waits;
// reporting only when the allocator counts none would let the second of two
// requests wait for the next full report.
func (q *Queue) HasUnreportedWork() bool {
	for _, a := range q.changed {
		if a.waiting > 0 && a.waiting >= 2*a.reported {
			return true
		}
	}
	return false
}
