// SPDX-License-Identifier: Apache-2.0

package share

import (
	"math"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the queue's exchange with the allocator: it applies fleet-wide virtual
// times and reports the changes on this router.

// sentCharge is the virtual time that one report carried.
type sentCharge struct {
	seq         uint64
	virtualTime float64
}

// SetVirtualTime sets an account's virtual time to the fleet-wide one, which includes this
// router's reports up to number seq, plus what was charged here since.
func (q *Queue) SetVirtualTime(name string, fleetTime float64, seq uint64) {
	a := q.accounts[name]
	if a == nil {
		return
	}
	for len(a.sentCharges) > 0 && a.sentCharges[0].seq <= seq {
		a.sentCharges = a.sentCharges[1:]
	}
	a.virtualTime = fleetTime + a.unreportedCost/a.share
	for _, c := range a.sentCharges {
		a.virtualTime += c.virtualTime
	}
	q.reorder(a)
}

// SetLift sets the lift, the virtual time to which accounts that become backlogged are
// raised. It never lowers it.
func (q *Queue) SetLift(lift float64) { q.lift = max(q.lift, lift) }

// Lift returns the highest value passed to SetLift.
func (q *Queue) Lift() float64 { return q.lift }

// VirtualTimes returns how far the accounts' virtual times, without unreported charges, are
// above the lift. Accounts at zero are omitted. The result is sorted by name.
func (q *Queue) VirtualTimes() []protocol.AccountView {
	var out []protocol.AccountView
	for _, name := range sortedNames(q.accounts) {
		a := q.accounts[name]
		if reported := a.virtualTime - a.unreportedCost/a.share; reported != 0 {
			out = append(out, protocol.AccountView{Account: name, Ahead: reported - q.lift})
		}
	}
	return out
}

// ResetReports restarts the numbering of reports for a new session. If remembered, the
// allocator still has the previous session and has applied its reports up to number applied;
// charges in later ones are reported again. Otherwise the allocator is new and takes
// everything from VirtualTimes.
func (q *Queue) ResetReports(remembered bool, applied uint64) {
	for _, a := range q.accounts {
		for _, c := range a.sentCharges {
			if remembered && c.seq > applied {
				a.unreportedCost += c.virtualTime * a.share
				q.markChanged(a)
			}
		}
		a.sentCharges = nil
		a.reportedWaiting = 0
		if a.waiting > 0 {
			q.markChanged(a)
		}
	}
}

// serviceStepsPerUnit is the number of steps per unit of cost to which reported service is
// rounded. Rounded values take five bytes instead of nine. The remainder is included in the
// next report.
const serviceStepsPerUnit = 8

// TakeChanges returns the changes since the previous call, sorted by name, as report number
// seq.
func (q *Queue) TakeChanges(seq uint64) []protocol.AccountReport {
	var out []protocol.AccountReport
	for _, name := range sortedNames(q.changed) {
		a := q.changed[name]
		service := math.Round(a.unreportedCost*serviceStepsPerUnit) / serviceStepsPerUnit
		out = append(out, protocol.AccountReport{
			Account: name, Waiting: a.waiting, Service: service, Started: a.startedSinceReport, Running: a.running,
		})
		if service != 0 {
			a.sentCharges = append(a.sentCharges, sentCharge{seq: seq, virtualTime: service / a.share})
		}
		a.unreportedCost -= service
		a.startedSinceReport, a.reportedWaiting = 0, a.waiting
	}
	clear(q.changed)
	return out
}

// HasChanges reports whether TakeChanges would return anything.
func (q *Queue) HasChanges() bool { return len(q.changed) > 0 }

// HasUnreportedWork reports whether some account has waiting requests that the allocator must
// receive now, because it will not grant slots for them otherwise: at least twice as many
// wait as were reported. Reporting every request would cost a message each while many wait.
// Reporting only when the allocator counts none would let the second of two requests wait for
// the next full report.
func (q *Queue) HasUnreportedWork() bool {
	for _, a := range q.changed {
		if a.waiting > 0 && a.waiting >= 2*a.reportedWaiting {
			return true
		}
	}
	return false
}
