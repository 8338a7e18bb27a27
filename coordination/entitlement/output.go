// SPDX-License-Identifier: Apache-2.0

package entitlement

// This file computes the target for the engines' output. Engines do not report their
// capacity, so it is estimated from the requests that they were given recently.

// missedWeight is the number of tokens by which the output beyond the configured rate is
// reduced per token missed within shares. A miss means that some gateway cannot serve the
// shares of its callers, and other gateways must not serve much beyond the shares meanwhile.
const missedWeight = 3

// probeFactor is how much more than their recent output the engines are given. Their capacity
// is not reported, and while several accounts wait it is discovered only this way.
const probeFactor = 1.25

// idleUtilization is the fraction of an idle engine's time that is counted as usable; some
// idle engines may be switched off.
const idleUtilization = 0.5

// SetBusyFraction sets the fraction of engines that run something, in the busiest group of
// engines; 0 means unknown.
func (d *DemandEstimator) SetBusyFraction(fraction float64) { d.busyFraction = fraction }

// mostlyIdle reports whether most engines run nothing.
func (d *DemandEstimator) mostlyIdle() bool {
	return d.busyFraction > 0 && idleUtilization/d.busyFraction > probeFactor
}

// targetOutput returns the output to request from the engines, in tokens per second. While
// requests within shares are missed or an account is served less than it is due, it is below
// the recent output; otherwise it is somewhat above it. Where most engines run nothing, it
// includes the output that the idle ones could add, because no request is then missed for
// lack of engines. If it grew by probeFactor alone, part of an increased demand would be
// refused for seconds while engines are idle.
func (d *DemandEstimator) targetOutput() float64 {
	shortage := d.missed.average + d.totalShortfall()
	if shortage > toleratedMissFraction*d.started.average {
		return d.started.average - missedWeight*shortage
	}
	if d.mostlyIdle() {
		return idleUtilization / d.busyFraction * d.started.average
	}
	return probeFactor * d.started.average
}
