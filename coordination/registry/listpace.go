// SPDX-License-Identifier: Apache-2.0

package registry

import (
	"math"
	"time"
)

// This file defines ListPace, how many whole lists a box sends at once.
//
// A whole list grows with the fleet's backend servers, and those who ask for one with its gateways.
// All of them at once are what a link carries in many election timeouts. Whatever keeps a leader
// waits behind them, so it ends; and the next one is asked for the same lists. So lists go out at a
// pace that leaves a part of the link to all else, whoever asks for them and whenever.

const (
	// listAhead is the time for which lists may be ahead of their pace: what comes behind them on the
	// link waits for half of it, an eighth of a heartbeat's period and a sixteenth of an election
	// timeout at 80 and 400 ms.
	listAhead = 20 * time.Millisecond
	// changesAhead is the same for changes of lists, which go to all sessions at once, each period of
	// Fleet messages: in smaller pieces they are as many bytes and more messages, and the loop of a
	// leader of 985 sessions that sent some each 10 ms was 109 ms late. A heartbeat waits for half of
	// it at the most.
	changesAhead = FleetPeriod
)

// Measuring the size of an entry.
const (
	entriesMeasured = 10 // servers in a message at the least: in a smaller one the rest of it counts too much
	entrySpread     = 4  // it counts as between serverBytes divided and multiplied by this
)

// ListPace admits whole lists at the pace that a box's link bears. The zero value admits all.
type ListPace struct {
	rate  float64       // bytes a second that lists may take; 0 is not bounded
	free  time.Duration // when the link has carried what was admitted, at that rate
	entry float64       // bytes of a server's entry, as last sent; 0: none was
}

// NewListPace returns the pace of some bytes a second, which are a part of a link's; 0 is not known, and not paced.
func NewListPace(rate float64) ListPace { return ListPace{rate: rate} }

// Wait returns how long the next list has to wait; 0 if it may go now.
func (p *ListPace) Wait(now time.Duration) time.Duration { return max(p.free-listAhead-now, 0) }

// PartSize returns how many servers' entries of a whole list may go out in one message: what listAhead carries.
func (p *ListPace) PartSize() int {
	if p.rate == 0 {
		return math.MaxInt
	}
	return max(int(p.rate*listAhead.Seconds()/p.entryBytes()), 1)
}

// ListsWithin returns how many lists of some servers go out in a time; 0 if the pace is not known.
func (p *ListPace) ListsWithin(d time.Duration, servers int) float64 {
	return p.rate * d.Seconds() / max(p.listBytes(servers), 1)
}

// TimeToSend returns after which time some lists of servers have gone out, if nothing else goes before them.
func (p *ListPace) TimeToSend(now time.Duration, lists, servers int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	return p.Wait(now) + time.Duration(float64(lists)*p.listBytes(servers)/p.rate*float64(time.Second))
}

// EntryAllowance returns how many servers' entries may go now to each of some sessions: one at least once
// the link is free, however slow it is.
func (p *ListPace) EntryAllowance(now time.Duration, sessions int) int {
	if p.rate == 0 || sessions == 0 {
		return math.MaxInt
	}
	room := p.rate * (changesAhead - max(p.free-now, 0)).Seconds()
	n := max(int(room/(p.entryBytes()*float64(sessions))), 0)
	if n == 0 && now >= p.free {
		return 1
	}
	return n
}

// RecordSent counts bytes of lists, or of changes of them, that are sent now.
func (p *ListPace) RecordSent(now time.Duration, size int) {
	if p.rate > 0 {
		p.free = max(p.free, now) + time.Duration(float64(size)/p.rate*float64(time.Second))
	}
}

// RecordEntries counts a message with some servers' entries, which is sent to some sessions now.
func (p *ListPace) RecordEntries(now time.Duration, size, servers, sessions int) {
	if servers >= entriesMeasured {
		p.entry = min(max(float64(size)/float64(servers), serverBytes/entrySpread), serverBytes*entrySpread)
	}
	p.RecordSent(now, size*sessions)
}

// entryBytes is the size of a server's entry: names are longer in one fleet than in another.
func (p *ListPace) entryBytes() float64 {
	if p.entry == 0 {
		return serverBytes
	}
	return p.entry
}

// listBytes is the size of a list of some servers, in bytes.
func (p *ListPace) listBytes(servers int) float64 { return p.entryBytes() * float64(servers) }
