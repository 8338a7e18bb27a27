// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines origins, which records the versions that began this gateway's streams, reports
// them to the directory, and asks it about other streams.

const (
	// maxOwnStreams bounds the records of a gateway. At the size of docs/CAPACITY.md 2,800 streams
	// begin there within the retention time.
	maxOwnStreams = 1 << 13
	// maxOtherStreams bounds the records of other gateways' streams: those that the directory
	// shares within the shortest retention time.
	maxOtherStreams = 1 << 14
	// maxStreamsPerReport bounds the records in one report, at eight bytes each, so that the
	// reports of all gateways to a new leader leave its link room for everything else.
	maxStreamsPerReport = 64
	// originTimeout is how long a request waits for the directory's answer: two round trips between
	// regions and a message's wait in a busy replica.
	originTimeout = 400 * time.Millisecond
	// maxWaitingQueries bounds the queries whose answers are awaited. Older ones have timed out.
	maxWaitingQueries = 1 << 10
)

// origins records and finds the versions that began streams. mu is a leaf lock.
type origins struct {
	mu         sync.Mutex
	records    streamversion.Records // of streams that this gateway has begun or taken up
	others     streamversion.Records // of streams of other gateways, as the directory shares them
	reporting  map[string]bool       // pools whose streams are reported, because their servers have several versions
	unreported []beganStream         // of these pools and in this session, oldest first
	send       func(protocol.StreamQuery)
	listed     chan struct{} // closed once the session's replica has sent its list
	answers    bool          // the replica answers queries, by its list
	waiting    map[uint64]chan protocol.StreamAnswer
	lastSeq    uint64
}

// beganStream is a stream that was not reported.
type beganStream struct {
	streamversion.Record
	began *assignment // attempt that brought the first event; nil if its server's version is confirmed
}

func newOrigins() *origins {
	return &origins{
		records: streamversion.Records{Max: maxOwnStreams}, others: streamversion.Records{Max: maxOtherStreams},
		listed: make(chan struct{}), waiting: map[uint64]chan protocol.StreamAnswer{},
	}
}

// beginSession begins a session with a replica, which may lack the streams reported to others.
func (o *origins) beginSession(send func(protocol.StreamQuery)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.send, o.reporting, o.unreported = send, nil, nil
}

// setListed records that the session's replica has sent its list, and whether it answers queries.
func (o *origins) setListed(answers bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = answers
	select {
	case <-o.listed:
	default:
		close(o.listed)
	}
}

// endSession ends the session. Requests that wait for an answer wait for the next session.
func (o *origins) endSession() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.send, o.listed = nil, make(chan struct{})
	for _, answer := range o.waiting {
		close(answer)
	}
	clear(o.waiting)
}

// add records a stream that this gateway has begun or taken up.
func (o *origins) add(now, retention time.Duration, s beganStream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Add(now, retention, s.Record)
	if o.reporting[s.Pool] {
		o.unreported = append(o.unreported, s)
		o.unreported = o.unreported[max(len(o.unreported)-maxOwnStreams, 0):]
	}
}

// addDoubtful records streams with both versions that may have begun them, here and in the next
// reports: a stream with two origins is of unknown version.
func (o *origins) addDoubtful(now, retention time.Duration, d doubtfulStreams) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range d.ids {
		for _, version := range d.versions {
			rec := streamversion.Record{Origin: streamversion.Origin{Pool: d.pool, Version: version}, ID: id}
			o.records.Add(now, retention, rec)
			o.unreported = append(o.unreported, beganStream{Record: rec})
		}
	}
}

// addOthers records streams that the directory shares.
func (o *origins) addOthers(now, retention time.Duration, records []streamversion.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, rec := range records {
		o.others.Add(now, retention, rec)
	}
}

// find returns the origin of a stream without asking the directory, and how it is known.
func (o *origins) find(id streamversion.ID) (streamversion.Origin, originSource) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own, isOwn := o.records.Find(id)
	shared, isShared := o.others.Find(id)
	switch {
	case isOwn && isShared && own != shared:
		return streamversion.Origin{}, versionUnknown
	case isOwn:
		return own, knownFromRecord
	case isShared:
		return shared, knownFromDirectory
	}
	return streamversion.Origin{}, versionUnknown
}

// take returns the newest unreported streams of the pools whose servers have several versions. If a
// pool had one version until now, all its streams are unreported.
func (o *origins) take(pools map[string]bool) []beganStream {
	o.mu.Lock()
	defer o.mu.Unlock()
	added := maps.Clone(pools)
	maps.DeleteFunc(added, func(pool string, _ bool) bool { return o.reporting[pool] })
	if len(added) > 0 {
		o.unreported = append(o.recordsOf(added), o.unreported...)
	}
	o.reporting = pools
	o.unreported = slices.DeleteFunc(o.unreported, func(s beganStream) bool { return !pools[s.Pool] })
	first := max(len(o.unreported)-maxStreamsPerReport, 0)
	for first > 0 && o.unreported[first-1].ID == o.unreported[first].ID {
		first-- // either record of a stream in doubt would look certain alone
	}
	taken := slices.Clone(o.unreported[first:])
	o.unreported = o.unreported[:first]
	return taken
}

// recordsOf returns the recorded streams of some pools. The caller holds mu.
func (o *origins) recordsOf(pools map[string]bool) (all []beganStream) {
	for _, rec := range o.records.All() {
		if pools[rec.Pool] {
			all = append(all, beganStream{Record: rec})
		}
	}
	return all
}

// disown marks the version of a stream as unknown.
func (o *origins) disown(id streamversion.ID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Disown(id)
}

// takeStreams returns the streams to report. A stream is left out if its server is meanwhile listed
// with another version, so that either may have begun it.
func (g *Gateway) takeStreams() []protocol.StreamsBegun {
	var records []streamversion.Record
	for _, s := range g.origins.take(g.reportedPools()) {
		if s.began != nil && !g.table.keepsVersion(s.began) {
			g.origins.disown(s.ID)
			continue
		}
		records = append(records, s.Record)
	}
	return streamversion.ToWire(records)
}

// reportedPools returns the pools whose streams have to be reported, because their origin does not
// follow from the route: pools with several versions, and those of routes that lead to several
// pools.
func (g *Gateway) reportedPools() map[string]bool {
	pools := g.table.poolsWithVersions(g.streamRetention())
	if rs := g.routes.Load(); rs != nil {
		maps.Copy(pools, rs.splitPools)
	}
	return pools
}

// streamRetention returns how long the origin of a stream is remembered.
func (g *Gateway) streamRetention() time.Duration {
	if rs := g.routes.Load(); rs != nil {
		return rs.streamRetention
	}
	return streamversion.Retention(0)
}

// ask asks the directory which version began a stream, and waits for a session if there is none.
// supported is false if the session's replica cannot answer. Without an answer in time, the version
// is unknown.
func (o *origins) ask(ctx context.Context, q protocol.StreamQuery) (answer protocol.StreamAnswer, supported bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	for ctx.Err() == nil {
		o.mu.Lock()
		listed := o.listed
		o.mu.Unlock()
		select {
		case <-listed:
		case <-ctx.Done():
			continue
		}
		answers, ok := o.sendQuery(q)
		if !ok {
			return answer, false
		}
		select {
		case answer, ok = <-answers: // closed if the session ends
			if ok {
				return answer, true
			}
		case <-ctx.Done():
		}
	}
	return answer, true
}

// sendQuery sends a query and returns the channel for its answer, or false if the session's replica
// answers none. If the session has ended, the channel is closed.
func (o *origins) sendQuery(q protocol.StreamQuery) (answers chan protocol.StreamAnswer, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	answers = make(chan protocol.StreamAnswer, 1)
	switch {
	case o.send == nil:
		close(answers)
		return answers, true
	case !o.answers:
		return nil, false
	}
	maps.DeleteFunc(o.waiting, func(seq uint64, _ chan protocol.StreamAnswer) bool { return seq+maxWaitingQueries < o.lastSeq })
	o.lastSeq++
	q.Seq = o.lastSeq
	o.waiting[q.Seq] = answers
	go o.send(q)
	return answers, true
}

// answer hands an answer to the request that waits for it.
func (o *origins) answer(m protocol.StreamAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answers := o.waiting[m.Seq]; answers != nil {
		answers <- m // buffered
		delete(o.waiting, m.Seq)
	}
}
