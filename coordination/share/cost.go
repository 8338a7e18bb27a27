// SPDX-License-Identifier: Apache-2.0

package share

import "maps"

// This file defines how work becomes cost, and how the cost of a request that
// has not ended yet is estimated and corrected.

// Usage is what one request consumed.
type Usage struct {
	Input       int     // prompt tokens that the engine computed
	Cached      int     // prompt tokens that it took from its cache
	Output      int     // tokens generated
	BusySeconds float64 // seconds that a plain service was busy
}

// Weights turn usage into cost. The unit is one output token of an engine, or
// one millisecond of a plain service.
type Weights struct {
	Input   float64 // per uncached prompt token
	Cached  float64 // per cached prompt token
	Output  float64 // per generated token
	Request float64 // per request, whatever it does
	Second  float64 // per second of a plain service
}

// DefaultWeights count a prompt token as a quarter of a generated one, as prompts are computed in
// parallel, and a cached one as a fortieth. Output and Second define the unit.
var DefaultWeights = Weights{Input: 0.25, Cached: 0.025, Output: 1, Request: 1, Second: 1000}

// Cost returns the cost of u.
func (w Weights) Cost(u Usage) float64 {
	return w.Request + w.Input*float64(u.Input) + w.Cached*float64(u.Cached) +
		w.Output*float64(u.Output) + w.Second*u.BusySeconds
}

// Estimator averages what requests of one account and class cost. Memory is
// one number per account and class seen; classes are bounded by configuration.
type Estimator struct {
	initial float64
	means   map[estimateKey]float64
}

type estimateKey struct{ account, class string }

// estimateGain is the weight of the newest request in the running mean, so that it follows about the
// last ten.
const estimateGain = 0.1

// NewEstimator returns an estimator that answers initial, in units of cost,
// until it has seen a request.
func NewEstimator(initial float64) *Estimator {
	return &Estimator{initial: initial, means: map[estimateKey]float64{}}
}

// Estimate returns the expected cost.
func (e *Estimator) Estimate(account, class string) float64 {
	if m, ok := e.means[estimateKey{account, class}]; ok {
		return m
	}
	return e.initial
}

// Observe averages in the cost of a request that ended.
func (e *Estimator) Observe(account, class string, cost float64) {
	k := estimateKey{account, class}
	m, ok := e.means[k]
	if !ok {
		e.means[k] = cost
		return
	}
	e.means[k] = m + estimateGain*(cost-m)
}

// Forget drops the means of an account.
func (e *Estimator) Forget(account string) {
	maps.DeleteFunc(e.means, func(k estimateKey, _ float64) bool { return k.account == account })
}

// Meter follows the charges of one running request: the estimate at the start,
// what goes beyond it while the request runs, the difference at the end. The
// zero value has charged nothing.
type Meter struct{ charged float64 }

// Start charges the estimate and returns it.
func (m *Meter) Start(estimate float64) float64 {
	m.charged = estimate
	return estimate
}

// Progress returns what is to be charged in addition for a request that has
// cost that much so far: nothing until the estimate is used up.
func (m *Meter) Progress(cost float64) float64 {
	extra := max(cost-m.charged, 0)
	m.charged += extra
	return extra
}

// Finish returns the difference between the final cost and what was charged;
// it is negative when the request was cheaper than charged.
func (m *Meter) Finish(cost float64) float64 {
	d := cost - m.charged
	m.charged = cost
	return d
}
