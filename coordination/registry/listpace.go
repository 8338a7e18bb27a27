// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"math"
	"time"
)

// This file defines ListPace, which limits the rate at which a box sends whole lists.
//
// The size of a list grows with the number of backend servers, and the number of requests for one
// with the number of gateways. Sending all of them at once would occupy the link for many election
// timeouts. A leader's other messages would wait behind them, so it would lose its leadership, and
// its successor would get the same requests. The pace therefore leaves a part of the link to all
// other messages.

const (
	// maxListLead is how far lists may be sent ahead of their pace. A message behind them on the
	// link waits for half of it, which is an eighth of a heartbeat period of 80 ms and a sixteenth
	// of an election timeout of 400 ms at most.
	maxListLead = 20 * time.Millisecond
	// maxChangeLead is the same for changes of lists, which go to all sessions at once in each
	// period of Fleet messages. A heartbeat waits for half of it at most. Smaller pieces add up to
	// as many bytes in more messages: with one every 10 ms, the event loop of a leader with 985
	// sessions was 109 ms late.
	maxChangeLead = FleetPeriod
)

// Limits of the measured size of an entry.
const (
	minMeasuredEntries = 10 // per message; in smaller ones the other fields distort the size
	maxEntryDeviation  = 4  // factor by which the size may differ from defaultEntryBytes
)

// ListPace limits whole lists to a rate that a box's link can carry. The zero value admits all.
type ListPace struct {
	rate               float64       // bytes per second for lists; 0 means unlimited
	freeAt             time.Duration // when the link has carried all admitted lists at that rate
	measuredEntryBytes float64       // measured size of a server's entry; 0 before the first measurement
}

// NewListPace returns a pace in bytes per second, which is a part of the link's rate. 0 means that
// the rate is not known and lists are not paced.
func NewListPace(rate float64) ListPace { return ListPace{rate: rate} }

// Wait returns how long the next list has to wait, or 0 if it may be sent now.
func (p *ListPace) Wait(now time.Duration) time.Duration { return max(p.freeAt-maxListLead-now, 0) }

// PartSize returns how many entries of a whole list may go out in one message: what the link
// carries in maxListLead.
func (p *ListPace) PartSize() int {
	if p.rate == 0 {
		return math.MaxInt
	}
	return max(int(p.rate*maxListLead.Seconds()/p.entryBytes()), 1)
}

// ListsWithin returns how many lists of the given size are sent in a time, or 0 if the rate is not
// known.
func (p *ListPace) ListsWithin(d time.Duration, servers int) float64 {
	return p.rate * d.Seconds() / max(p.listBytes(servers), 1)
}

// TimeToSend returns how long it takes to send a number of lists of the given size, if nothing else
// is sent before them.
func (p *ListPace) TimeToSend(now time.Duration, lists, servers int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	return p.Wait(now) + time.Duration(float64(lists)*p.listBytes(servers)/p.rate*float64(time.Second))
}

// EntryAllowance returns how many servers' entries may be sent now to each of a number of sessions.
// Once the link is free it is at least one, however slow the link is.
func (p *ListPace) EntryAllowance(now time.Duration, sessions int) int {
	if p.rate == 0 || sessions == 0 {
		return math.MaxInt
	}
	allowance := p.rate * (maxChangeLead - max(p.freeAt-now, 0)).Seconds()
	n := max(int(allowance/(p.entryBytes()*float64(sessions))), 0)
	if n == 0 && now >= p.freeAt {
		return 1
	}
	return n
}

// RecordSent records that lists, or changes of them, of a size in bytes are sent now.
func (p *ListPace) RecordSent(now time.Duration, size int) {
	if p.rate > 0 {
		p.freeAt = max(p.freeAt, now) + time.Duration(float64(size)/p.rate*float64(time.Second))
	}
}

// RecordEntries records that a message with a number of servers' entries is sent now to a number of
// sessions.
func (p *ListPace) RecordEntries(now time.Duration, size, servers, sessions int) {
	if servers >= minMeasuredEntries {
		p.measuredEntryBytes = min(max(float64(size)/float64(servers), defaultEntryBytes/maxEntryDeviation), defaultEntryBytes*maxEntryDeviation)
	}
	p.RecordSent(now, size*sessions)
}

// entryBytes returns the size of a server's entry, which depends on the length of the names in the
// fleet.
func (p *ListPace) entryBytes() float64 {
	if p.measuredEntryBytes == 0 {
		return defaultEntryBytes
	}
	return p.measuredEntryBytes
}

// listBytes returns the size of a list in bytes.
func (p *ListPace) listBytes(servers int) float64 { return p.entryBytes() * float64(servers) }
