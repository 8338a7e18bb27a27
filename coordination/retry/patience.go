// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// This file defines Patience, which estimates how long ago a caller first sent a request.
//
// A caller that retries after a refusal uses a new request ID and only states how long it will still
// wait. Callers differ in their total wait, so the remaining wait is evidence of a retry only if no
// first request states a similar one. The distribution for first requests is learned from accounts
// that demand no more than their shares, since their callers are rarely told to retry. A request with
// a remaining wait in a gap of that distribution is taken for a retry. The time since the caller's
// first request is then at least the distance to the next longer wait of a first request.
//
// Comparing with the longest wait instead would take more than 80% of a flooding account's first
// requests for late retries. With a margin of a sixth it would still be half of them if callers' waits
// differ by half or form two groups. Using the gaps avoids that, at the price of recognizing only some
// of the retries.

const (
	// patienceBins is the number of bins for waits. It resolves 1/128 to 1/64 of the longest wait,
	// which is less than half of the usual objectives.
	patienceBins = 128
	// patienceHalfLife is the time after which earlier samples count half. It is longer than the first
	// seconds of a flood, in which there are few first requests, and short compared to the time between
	// changes of callers' software.
	patienceHalfLife = 10 * time.Second
	// minFirstSamples is the number of first requests needed for an estimate. With 16, a gateway with
	// few callers would have no estimate after 15 s.
	minFirstSamples = 6
	// unseenFactor scales the uncertainty about the range of waits: n samples leave 1/(n+1) of it unseen
	// on average. With a factor of 1.5 and eight samples of waits that differ by half, 4% of first
	// requests would be taken for retries, with 2.5 less than 2%.
	unseenFactor = 2.5
	// nearFraction is the relative distance within which waits count as similar, since few samples leave
	// gaps. It is less than the difference between a first request and its retry, which comes after a
	// quarter of the wait or more.
	nearFraction = 0.05
	// minNearFraction is the fraction of first requests that must state a similar wait for that wait to be
	// one of a first request, because some callers of accounts within their shares retry as well. If one
	// in twenty does, 0.03 would miss a large part of a flooding account's retries. If waits differ by
	// more than half, fewer are similar to each, and no request is taken for a retry.
	minNearFraction = 0.08
)

// Patience is the recent distribution of the waits that callers of one route state in their first
// request. The zero value is empty. Its methods cost O(patienceBins).
type Patience struct {
	width    time.Duration // of one bin
	bins     [patienceBins]float32
	total    float32
	halvedAt time.Duration // when the counts were last halved
}

// ObserveFirst records the wait stated in a first request, zero if it states none.
func (p *Patience) ObserveFirst(now, left time.Duration) {
	if left <= 0 {
		return
	}
	if now-p.halvedAt >= patienceHalfLife {
		p.halve()
		p.halvedAt = now
	}
	if p.width == 0 {
		p.width = time.Millisecond
	}
	for left >= patienceBins*p.width {
		p.widen()
	}
	p.bins[left/p.width]++
	p.total++
}

// halve halves the weight of all samples.
func (p *Patience) halve() {
	for i := range p.bins {
		p.bins[i] /= 2
	}
	p.total /= 2
}

// widen doubles the width of the bins.
func (p *Patience) widen() {
	for i := range patienceBins / 2 {
		p.bins[i] = p.bins[2*i] + p.bins[2*i+1]
	}
	clear(p.bins[patienceBins/2:])
	p.width *= 2
}

// Spent returns the minimum time since a caller's first request, given how long it will still wait.
// It is zero if this may be the first one.
func (p *Patience) Spent(left time.Duration) time.Duration {
	if p.total < minFirstSamples || left <= 0 || left >= patienceBins*p.width {
		return 0
	}
	var cumulative [patienceBins + 1]float32 // cumulative counts
	for i, n := range p.bins {
		cumulative[i+1] = cumulative[i] + n
	}
	own := int(left / p.width)
	for i := own; i < patienceBins; i++ {
		near := max(int(nearFraction*float64(i)), 1)
		if cumulative[min(i+near+1, patienceBins)]-cumulative[max(i-near, 0)] < minNearFraction*p.total {
			continue
		}
		if i == own {
			return 0
		}
		return max(time.Duration(i)*p.width-p.uncertainty()-left, 0)
	}
	return 0 // longer than the wait of any first request
}

// uncertainty returns how far beyond the observed waits those of other first requests may lie.
func (p *Patience) uncertainty() time.Duration {
	lowest, highest := patienceBins, 0
	for i, n := range p.bins {
		if n > 0 {
			lowest, highest = min(lowest, i), i
		}
	}
	return time.Duration(unseenFactor / float64(p.total+1) * float64(highest-lowest) * float64(p.width))
}
