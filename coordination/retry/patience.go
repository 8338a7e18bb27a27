// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// This file defines Patience, which tells how long ago a caller asked for the first time.
//
// A caller that comes back sends another identifier, and says only how long it will still
// wait. Callers differ in how long they wait at all, so that says something only where
// nobody asks first who waits as long. What those say that ask first is learned from the
// accounts that demand no more than their shares: their callers are told to come back
// rarely. Between the waits that are seen there, a request counts as one that came back,
// since as long as would be certain: the nearest longer wait less its own.
//
// Ways weighed, by the part of a flooding account's first requests that count as come back
// after their objective (TestPatienceOfMixedCallers: callers told to come back after a
// quarter to a third of their time, objective 250 ms, waits up to 10 s):
//   - what the longest wait is, all say that ask first: 0.83 where waits differ by a sixth,
//     0.94 by a half, 0.87 in two groups;
//   - who says up to a sixth less than the longest asks first: 0.00, 0.65 and 0.49;
//   - the waits that are seen, with the gaps between them (kept): 0.00 in all. It recognizes
//     0.96, 0.37 and 1.00 of those that come back, the others all of them.

const (
	// patienceBins is the number of waits that are told apart: to 1 part in 64 to 128 of the
	// longest, under a half of the objectives seen.
	patienceBins = 128
	// patienceSpan is the time after which what was seen counts half. Longer than a flood's first
	// seconds, in which few ask first, and short against the time in which callers' software changes.
	patienceSpan = 10 * time.Second
	// fewestFirst is how many must have asked first before anything is told from them. Of 16 a gateway
	// that few callers reach learned nothing in 15 s.
	fewestFirst = 6
	// unseenRanges is how many times the part of the range that n waits leave unseen on
	// average, 1/(n+1), is not certain. Chosen: with 1.5 a
	// twenty-fifth of first requests count as come back where eight of a half were seen, with
	// this under a fiftieth (TestFewCallersTellLittle).
	unseenRanges = 2.5
	// nearPart is how far around a wait, as a part of it, others count as like it: few samples leave
	// holes. What a quarter of the time told leaves is further.
	nearPart = 0.05
	// heldPart is the part of those that ask first that a wait must have near it to be one
	// with which callers ask first: some of accounts within their shares come back as well.
	// Chosen: where one in twenty does, 0.03 leaves 0.18 to 0.63 of a flooding account's
	// returns unrecognized that this recognizes (TestPatienceOfMixedCallers). Waits that
	// differ by more than half have less near each, and then nothing counts as come back.
	heldPart = 0.08
)

// Patience is how long the callers of one route said lately that they will wait when they
// ask first. The zero value knows of none. Its methods cost O(patienceBins).
type Patience struct {
	width time.Duration // of one bin
	bins  [patienceBins]float32
	total float32
	aged  time.Duration // when the counts were halved
}

// ObserveFirst takes how long a caller will wait that asks first, 0 if it does not say.
func (p *Patience) ObserveFirst(now, left time.Duration) {
	if left <= 0 {
		return
	}
	if now-p.aged >= patienceSpan {
		p.halve()
		p.aged = now
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

// halve makes what was seen count half.
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

// Spent returns how long ago a caller certainly asked first that will still wait for left:
// 0 if it may ask first now.
func (p *Patience) Spent(left time.Duration) time.Duration {
	if p.total < fewestFirst || left <= 0 || left >= patienceBins*p.width {
		return 0
	}
	var upTo [patienceBins + 1]float32 // sums of the bins before each
	for i, n := range p.bins {
		upTo[i+1] = upTo[i] + n
	}
	own := int(left / p.width)
	for i := own; i < patienceBins; i++ {
		near := max(int(nearPart*float64(i)), 1)
		if upTo[min(i+near+1, patienceBins)]-upTo[max(i-near, 0)] < heldPart*p.total {
			continue
		}
		if i == own {
			return 0
		}
		return max(time.Duration(i)*p.width-p.unseen()-left, 0)
	}
	return 0 // it waits for longer than any that asks first
}

// unseen is how far beyond the waits that were seen others may be with which callers ask
// first.
func (p *Patience) unseen() time.Duration {
	lowest, highest := patienceBins, 0
	for i, n := range p.bins {
		if n > 0 {
			lowest, highest = min(lowest, i), i
		}
	}
	return time.Duration(unseenRanges / float64(p.total+1) * float64(highest-lowest) * float64(p.width))
}
