// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file defines what the engines may be asked to make, which nobody reports.

// missedWeight is how much of what is made beyond the named rate is held back
// for what is missed within shares: some gateway cannot serve its part, and
// what others get more than their share must not run away from that.
const missedWeight = 3

// probe is how much more than they made last the engines are asked to make: what they could
// make is not reported, and while several accounts wait it is found this way alone.
const probe = 1.25

// idleUsed is how much of the time of engines that run nothing is counted on: some of them may be off.
const idleUsed = 0.5

// SetBusyFraction takes which part of the engines run something, of those that are the busiest; 0 is not known.
func (d *Demand) SetBusyFraction(part float64) { d.busy = part }

// idle reports whether most engines run nothing.
func (d *Demand) idle() bool { return d.busy > 0 && idleUsed/d.busy > probe }

// makes is what the engines may be asked to make, in tokens a second: less than they made last
// while any account is missed or owed something, else a little more, and where most of them run nothing what these
// would make as well: nobody is missed for want of engines there. What is found a quarter at a time alone refuses accounts
// a part of what they demand, for seconds after their demand has begun, beside engines that run nothing.
func (d *Demand) makes() float64 {
	lacking := d.missed.average + d.owed()
	if lacking > shortPart*d.started.average {
		return d.started.average - missedWeight*lacking
	}
	if d.idle() {
		return idleUsed / d.busy * d.started.average
	}
	return probe * d.started.average
}
