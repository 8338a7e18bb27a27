// SPDX-License-Identifier: Apache-2.0

package share

import "maps"

// This file converts usage into cost, and estimates and corrects the cost of a request that
// has not ended yet.

// Usage is what one request consumed.
type Usage struct {
	Input       int     // prompt tokens that the engine computed
	Cached      int     // prompt tokens that the engine read from its cache
	Output      int     // generated tokens
	BusySeconds float64 // seconds that a plain service was busy
}

// Weights converts usage into cost. The unit is one output token of an engine, or one
// millisecond of a plain service.
type Weights struct {
	Input   float64 // per uncached prompt token
	Cached  float64 // per cached prompt token
	Output  float64 // per generated token
	Request float64 // per request, in addition to its usage
	Second  float64 // per second of a plain service
}

// DefaultWeights count a prompt token as a quarter of a generated one, because prompts are
// computed in parallel, and a cached prompt token as a fortieth. Output and Second define the
// unit.
var DefaultWeights = Weights{Input: 0.25, Cached: 0.025, Output: 1, Request: 1, Second: 1000}

// Cost returns the cost of u.
func (w Weights) Cost(u Usage) float64 {
	return w.Request + w.Input*float64(u.Input) + w.Cached*float64(u.Cached) +
		w.Output*float64(u.Output) + w.Second*u.BusySeconds
}

// Estimator averages the cost of requests by account and class. It holds one number per
// account and class observed; the number of classes is limited by configuration.
type Estimator struct {
	initial float64
	means   map[estimateKey]float64
}

type estimateKey struct{ account, class string }

// estimateGain is the weight of the newest request in the moving average, which then covers
// about the last ten.
const estimateGain = 0.1

// NewEstimator returns an estimator that returns initial, in units of cost, until it has
// observed a request.
func NewEstimator(initial float64) *Estimator {
	return &Estimator{initial: initial, means: map[estimateKey]float64{}}
}

// Estimate returns the expected cost of a request.
func (e *Estimator) Estimate(account, class string) float64 {
	if m, ok := e.means[estimateKey{account, class}]; ok {
		return m
	}
	return e.initial
}

// Observe adds the cost of a request that ended to the average.
func (e *Estimator) Observe(account, class string, cost float64) {
	k := estimateKey{account, class}
	m, ok := e.means[k]
	if !ok {
		e.means[k] = cost
		return
	}
	e.means[k] = m + estimateGain*(cost-m)
}

// Forget drops an account's averages.
func (e *Estimator) Forget(account string) {
	maps.DeleteFunc(e.means, func(k estimateKey, _ float64) bool { return k.account == account })
}

// Meter tracks the charges of one running request: the estimate at the start, any excess over
// it while the request runs, and the difference at the end. The zero value has charged
// nothing.
type Meter struct{ charged float64 }

// Start charges the estimate and returns it.
func (m *Meter) Start(estimate float64) float64 {
	m.charged = estimate
	return estimate
}

// Progress returns the additional charge for a request that has cost this much so far: zero
// until the estimate is used up.
func (m *Meter) Progress(cost float64) float64 {
	extra := max(cost-m.charged, 0)
	m.charged += extra
	return extra
}

// Finish returns the difference between the final cost and the charges so far. It is negative
// if the request cost less than charged.
func (m *Meter) Finish(cost float64) float64 {
	d := cost - m.charged
	m.charged = cost
	return d
}
