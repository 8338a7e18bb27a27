// SPDX-License-Identifier: Apache-2.0

package share

// This file defines how work becomes cost, and how the cost of a request that
// has not ended yet is guessed and corrected.

// Usage is what one request consumed.
type Usage struct {
	Input  int     // prompt tokens that the engine computed
	Cached int     // prompt tokens that it took from its cache
	Output int     // tokens generated
	Time   float64 // seconds that a plain service was busy
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

// DefaultWeights count a prompt token as a quarter of a generated one, as
// prompts are computed in parallel, and a cached one as a fortieth.
var DefaultWeights = Weights{Input: 0.25, Cached: 0.025, Output: 1, Request: 1, Second: 1000}

// Cost returns the cost of u.
func (w Weights) Cost(u Usage) float64 {
	return w.Request + w.Input*float64(u.Input) + w.Cached*float64(u.Cached) +
		w.Output*float64(u.Output) + w.Second*u.Time
}

// Estimator learns what requests of one account and class cost. Memory is one
// number per account and class seen; classes are bounded by configuration.
type Estimator struct {
	initial float64
	means   map[estimateKey]float64
}

type estimateKey struct{ account, class string }

// estimateGain is the weight of the newest request in the running mean.
const estimateGain = 0.1

// NewEstimator returns an estimator that guesses initial until it has seen a
// request.
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

// Observe learns the cost of a request that ended.
func (e *Estimator) Observe(account, class string, cost float64) {
	k := estimateKey{account, class}
	m, ok := e.means[k]
	if !ok {
		e.means[k] = cost
		return
	}
	e.means[k] = m + estimateGain*(cost-m)
}

// Forget drops what is known of an account.
func (e *Estimator) Forget(account string) {
	for k := range e.means {
		if k.account == account {
			delete(e.means, k)
		}
	}
}

// Meter follows the charges of one running request. The zero value has
// charged nothing.
type Meter struct{ charged float64 }

// Start charges the estimate and returns it.
func (m *Meter) Start(estimate float64) float64 {
	m.charged = estimate
	return estimate
}

// Progress tells the cost reached so far and returns what is to be charged in
// addition: nothing until the estimate is used up.
func (m *Meter) Progress(cost float64) float64 {
	extra := max(cost-m.charged, 0)
	m.charged += extra
	return extra
}

// Finish tells the final cost and returns the difference to be charged, which
// is negative when the request was cheaper than charged.
func (m *Meter) Finish(cost float64) float64 {
	d := cost - m.charged
	m.charged = cost
	return d
}
