// SPDX-License-Identifier: Apache-2.0

package place

import (
	"math"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/entitlement"
)

// This file defines the conditions under which a server has capacity for one more request, and the
// estimates of the pool's behavior on which they depend.

// maxWaitFractions are the fractions of the objective that may pass until an engine begins to read a
// request, or has read it (see [admissionTokens]).
var maxWaitFractions = [...]float64{
	entitlement.Covered: 0.45, entitlement.Entitled: 0.25, entitlement.Extra: 0.12,
	entitlement.Beyond: 0, // only if nothing is waiting to be read
}

// Maximum requests on one server, as multiples of its slots.
const (
	plainPerSlot     = 2.0  // on a plain service, where requests are short
	enginePerSlot    = 1.25 // on an engine that queues requests beyond its slots
	minEnginePerSlot = 0.7  // on an engine that refuses them
	// extraPerSlot applies to requests of class Extra or Beyond on an engine. A stream occupies its slot for
	// seconds, and requests of class Covered or Entitled need a free one in the meantime.
	extraPerSlot = 0.75
)

// Weights of one answer in refusalLevel. One refusal counts as much as 25 answers.
const (
	refusalWeight = 0.05  // of a refusal
	answerWeight  = 0.002 // of an answer
)

// Estimates of how fast servers read prompts and answer. The read rate is corrected by observed
// answers.
const (
	initialReadRate = 100.0 // initial read rate in tokens a millisecond
	readRateWeight  = 0.01  // weight of one answer in the estimated rate
	readRateRange   = 10    // the estimate stays within initialReadRate divided and multiplied by this
	minRateSample   = 4000  // tokens; shorter prompts give unreliable samples of the rate
	engineOverhead  = 25.0  // ms before an idle engine begins to read
	plainLatency    = 50.0  // expected latency of a plain service in ms
)

// Division of a server's connections among the gateways.
const (
	connectionsFraction = 0.9 // fraction that is used; the rest is reserve
	minConnections      = 2   // per gateway, even if that exceeds the total
	// ampleConnectionsPerSlot is the number of connections per slot from which the slots limit a
	// server's load long before its connections do.
	ampleConnectionsPerSlot = 32
)

// Bound is the limit that keeps a server from accepting one more request.
type Bound uint8

// Limits of a server, in the order in which they are checked.
const (
	Free        Bound = iota // none: the server may have the request
	Connections              // this gateway's part of the server's connections
	Slots                    // requests on the server
	Reading                  // prompt tokens that the server has to read first
	RegionLink               // this gateway's part of the link to the server's region
)

// String returns the bound's name as used in log lines.
func (b Bound) String() string { return [...]string{"", "connections", "slots", "reading", "link"}[b] }

// bound returns the limit that keeps a server from accepting one more request now.
func (p *CapacityPlacer) bound(r Request, c candidate) Bound {
	if r.Connections > 0 && c.Own.Requests >= ownConnections(r.Connections, r.Gateways, c.Slots) {
		return Connections
	}
	if c.Slots > 0 && float64(c.load.Requests) >= p.maxRequestsPerSlot(r)*float64(c.Slots) {
		return Slots
	}
	if !r.Engine {
		return Free
	}
	wait := float64(admissionTokens(r, c)) * c.slowness / p.readRate() // ms
	if wait > maxWaitFractions[r.Class]*float64(r.Objective)/float64(time.Millisecond) {
		return Reading
	}
	return Free
}

// maxRequestsPerSlot returns the maximum number of requests per slot of a server.
func (p *CapacityPlacer) maxRequestsPerSlot(r Request) float64 {
	switch {
	case !r.Engine:
		return plainPerSlot
	case r.Class >= entitlement.Extra:
		return min(p.requestsPerSlot(), extraPerSlot)
	}
	return p.requestsPerSlot()
}

// admissionTokens returns the tokens that decide whether an engine has capacity: those ahead of the
// request and, for class Extra, its own as well. Engines read in order of arrival, so a long prompt of
// class Extra would delay later requests of class Covered or Entitled. A request of class Beyond is
// admitted only if nothing is waiting to be read.
func admissionTokens(r Request, c candidate) int {
	if r.Class == entitlement.Extra {
		return c.load.Tokens + r.Prompt.Own
	}
	return c.load.Tokens
}

// Estimates holds the placer's estimates of its servers.
type Estimates struct {
	ReadRate        float64 // tokens that an engine reads in a millisecond; zero means unknown
	RequestsPerSlot float64 // requests sent to an engine for each of its slots
}

// Estimates returns the current estimates, for the log and the metrics.
func (p *CapacityPlacer) Estimates() Estimates {
	return Estimates{ReadRate: p.learnedRate, RequestsPerSlot: p.requestsPerSlot()}
}

// ownConnections returns one gateway's part of the connections that a server accepts. If these are
// ample for its slots, it is at least the number of slots. An even part alone shrinks as the fleet
// grows, to two of 1,900 connections at 985 gateways, and the gateway with the busiest callers would
// then queue requests for servers that are idle.
func ownConnections(accepted, gateways, slots int) int {
	part := int(connectionsFraction * float64(accepted) / float64(max(gateways, 1)))
	if accepted >= ampleConnectionsPerSlot*slots {
		part = max(part, slots)
	}
	return max(part, minConnections)
}

// requestsPerSlot returns how many requests an engine is sent for each of its slots. Engines do not
// report the length of their queue, so refusals lower the number and answers raise it.
func (p *CapacityPlacer) requestsPerSlot() float64 {
	return enginePerSlot - p.refusalLevel*(enginePerSlot-minEnginePerSlot)
}

// ObserveAnswer records whether a server answered a request or refused it because it was full.
func (p *CapacityPlacer) ObserveAnswer(refused bool) {
	if refused {
		p.refusalLevel += refusalWeight * (1 - p.refusalLevel)
		return
	}
	p.refusalLevel -= answerWeight * p.refusalLevel
}

// readRate returns the estimated tokens that an engine reads in a millisecond.
func (p *CapacityPlacer) readRate() float64 {
	if p.learnedRate == 0 {
		return initialReadRate
	}
	return p.learnedRate
}

// ExpectedTimeToFirst returns how long an otherwise idle server is expected to take until the first
// part of its answer, given the number of tokens it has to read.
func (p *CapacityPlacer) ExpectedTimeToFirst(engine bool, tokens int) time.Duration {
	ms := plainLatency
	if engine {
		ms = engineOverhead + float64(tokens)/p.readRate()
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// ObserveTimeToFirst records how long an answer took to begin, and the number of tokens that an
// engine had to read before. It returns the ratio to the expected time.
func (p *CapacityPlacer) ObserveTimeToFirst(engine bool, tokens int, took time.Duration) (ratio float64) {
	ms := milliseconds(took)
	if !engine {
		return ms / plainLatency
	}
	expected := engineOverhead + float64(tokens)/p.readRate()
	if tokens >= minRateSample && ms > engineOverhead {
		p.learnedRate = p.readRate() + readRateWeight*(float64(tokens)/(ms-engineOverhead)-p.readRate())
		p.learnedRate = min(max(p.learnedRate, initialReadRate/readRateRange), initialReadRate*readRateRange)
	}
	return ms / expected
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Parameters of a server's latency ratio.
const (
	latencyRatioWeight = 0.1 // weight of one answer
	minLatencySamples  = 4   // answers before a ratio is reliable
	slowThreshold      = 1.6 // multiple of the typical ratio; smaller differences are ignored
	maxSlowness        = 16  // upper bound of the slowness
	maxLateness        = 4   // multiple of the present ratio up to which a late answer counts
)

// LatencyRatio is the moving average of the time until a server's answers begin, relative to the expected
// time. The zero value is unknown.
type LatencyRatio struct {
	ratio   float64
	answers int
	lateAt  time.Duration // when the last late answer that counted began to arrive; zero if none did
}

// ObserveAnswer records the ratio of an answer that begins now, to a request that was sent at sentAt. Of several late
// answers that were waited for at the same time only the first one counts, and not fully: a sound server may send
// nothing for a while, and one that is slow goes on to be late.
func (l *LatencyRatio) ObserveAnswer(now, sentAt time.Duration, ratio float64) {
	if l.answers > 0 && ratio > slowThreshold*l.ratio {
		if l.lateAt > 0 && sentAt < l.lateAt {
			return
		}
		l.lateAt, ratio = now, min(ratio, maxLateness*l.ratio)
	}
	l.Observe(ratio)
	if l.answers <= minLatencySamples {
		l.ratio = min(l.ratio, ratio) // until it is reliable, the average is mostly the first answer
	}
}

// Observe records the ratio of one answer.
func (l *LatencyRatio) Observe(ratio float64) {
	l.answers++
	if l.answers == 1 {
		l.ratio = ratio
		return
	}
	l.ratio += latencyRatioWeight * (ratio - l.ratio)
}

// slowness returns how many times slower than a typical server this one is, at least 1. typical is the
// TypicalLatencyRatio of the pool.
func (l LatencyRatio) slowness(typical float64) float64 {
	if l.answers < minLatencySamples || typical <= 0 || l.ratio < slowThreshold*typical {
		return 1
	}
	return math.Min(l.ratio/typical, maxSlowness)
}

// Reliable reports whether enough answers were observed for the ratio to be used.
func (l LatencyRatio) Reliable() bool { return l.answers >= minLatencySamples }

// TypicalLatencyRatio returns the median of the reliable ratios, or 0 if there are fewer than two.
func TypicalLatencyRatio(all []LatencyRatio) float64 {
	ratios := make([]float64, 0, len(all))
	for _, l := range all {
		if l.Reliable() {
			ratios = append(ratios, l.ratio)
		}
	}
	if len(ratios) < 2 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

// typicalLatencyRatio returns the TypicalLatencyRatio of the given servers.
func typicalLatencyRatio(servers []Server) float64 {
	ratios := make([]LatencyRatio, 0, len(servers))
	for i := range servers {
		if servers[i].LatencyRatio.Reliable() {
			ratios = append(ratios, servers[i].LatencyRatio)
		}
	}
	return TypicalLatencyRatio(ratios)
}
