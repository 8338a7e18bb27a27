// SPDX-License-Identifier: Apache-2.0

package directory

import (
	"log/slog"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines the directory's part in finding out which version began a stream. Everything
// runs in the hub's goroutine.
//
// The records of a gateway's streams are held by the replica that serves it, in memory: gateways
// report them again when they open a session with another replica. A replica asks the others only
// if it lacks the record, so the records cost no bytes between regions. Whether a single version
// can have begun a stream is decided by the leader alone, because it is the first to list a server.

const (
	// maxStreamRecords bounds the records of one replica. At the size of docs/CAPACITY.md a replica
	// serves gateways at which 450,000 streams begin within the retention time.
	maxStreamRecords = 1 << 19
	// maxSharedStreams bounds the records that a replica sends its gateways in one tick: 250
	// streams a second, which are 2 KB a second for each gateway. Of more streams, the newest are
	// sent.
	maxSharedStreams = 25
	// maxSharedDoubtful bounds those whose version has become unknown, which gateways may know as certain: those of
	// one server at one gateway.
	maxSharedDoubtful = 256
	// maxStreamQueries bounds the queries that wait for other replicas' answers.
	maxStreamQueries = 1 << 14
	// streamQueryTimeout is how long a query waits for other replicas' answers. It exceeds the time
	// for which gateways wait.
	streamQueryTimeout = 2 * time.Second
)

// streamOrigins is what a replica knows of streams' origins.
type streamOrigins struct {
	records  streamversion.Records
	versions map[string]*streamversion.Versions // by pool; at the leader only
	unshared []streamversion.Record             // reported since the last message to the gateways, newest last
	doubtful []streamversion.Record             // the same of streams whose version has become unknown
	queries  map[uint64]*streamQuery            // by the number under which they were passed on
	lastSeq  uint64
}

// streamQuery is a query that was passed on.
type streamQuery struct {
	protocol.StreamQuery
	asker      *session
	receivedAt time.Duration
	unanswered map[*session]bool // relays that have not answered; nil at a relay
}

// beginStreams begins the leader's records of versions. Those in the log may have been listed until
// now.
func (h *hub) beginStreams() {
	h.streams.versions = map[string]*streamversion.Versions{}
	now := h.d.replica.Now()
	for pool, versions := range h.d.state.Versions() {
		for _, version := range versions {
			h.poolVersions(pool).Observe(now, version)
		}
	}
}

// poolVersions returns the versions of a pool.
func (h *hub) poolVersions(pool string) *streamversion.Versions {
	v := h.streams.versions[pool]
	if v == nil {
		v = &streamversion.Versions{}
		h.streams.versions[pool] = v
	}
	return v
}

// observeVersions records the versions of the listed servers.
func (h *hub) observeVersions(now time.Duration) {
	h.registry.ObserveVersions(func(pool, version string) { h.poolVersions(pool).Observe(now, version) })
}

// streamRetention returns how long the origin of a stream is remembered.
func (h *hub) streamRetention() time.Duration {
	held, _ := h.d.state.CurrentDocument()
	return streamversion.Retention(held.Document.LongestTimeout())
}

// addStreams adds the streams that a gateway reports to the records.
func (h *hub) addStreams(list []protocol.StreamsBegun) {
	now, retention := h.d.replica.Now(), h.streamRetention()
	h.streams.records.Max = maxStreamRecords
	for _, rec := range streamversion.FromWire(list) {
		h.streams.records.Add(now, retention, rec)
		if _, known := h.streams.records.Find(rec.ID); known {
			h.streams.unshared = append(h.streams.unshared, rec)
		} else {
			h.streams.doubtful = append(h.streams.doubtful, rec.Doubt()...)
		}
	}
	h.streams.unshared = streamversion.NewestStreams(h.streams.unshared, maxSharedStreams)
	h.streams.doubtful = streamversion.NewestStreams(h.streams.doubtful, maxSharedDoubtful)
	if h.term == 0 {
		return
	}
	for _, m := range list {
		h.poolVersions(m.Pool).Observe(now, m.Version)
	}
}

// shareStreams sends the gateways the newest records, so that they survive the replica together
// with the gateway that reported them, and a gateway without a session knows them.
func (h *hub) shareStreams() {
	records := append(h.streams.unshared, h.streams.doubtful...)
	if len(records) == 0 {
		return
	}
	m, ok := h.encode(protocol.Streams{List: streamversion.ToWire(records)})
	h.streams.unshared, h.streams.doubtful = nil, nil
	if !ok {
		return
	}
	for s := range h.sessions {
		if !s.isRelay {
			s.out.Send(m)
		}
	}
}

// handleStreamQuery answers the query of a gateway or a relay, or passes it on.
func (h *hub) handleStreamQuery(s *session, m protocol.StreamQuery) {
	if origin, known := h.streams.records.Find(streamversion.ID(m.ID)); known {
		s.out.Send(protocol.StreamAnswer{Seq: m.Seq, Known: true, Pool: origin.Pool, Version: origin.Version})
		return
	}
	q := &streamQuery{StreamQuery: m, asker: s, receivedAt: h.d.replica.Now()}
	switch {
	case h.relay != nil && h.relay.out != nil:
		h.passOn(q, nil)
	case h.relay != nil:
		s.out.Send(protocol.StreamAnswer{Seq: m.Seq})
	default:
		h.answerByVersions(q)
	}
}

// otherRelays returns the sessions of all relays but one.
func (h *hub) otherRelays(asker *session) (relays []*session) {
	for s := range h.sessions {
		if s.isRelay && s != asker {
			relays = append(relays, s)
		}
	}
	return relays
}

// passOn sends a query to relays, or from a relay to the leader.
func (h *hub) passOn(q *streamQuery, relays []*session) {
	if len(h.streams.queries) >= maxStreamQueries {
		q.asker.out.Send(protocol.StreamAnswer{Seq: q.Seq})
		return
	}
	if h.streams.queries == nil {
		h.streams.queries = map[uint64]*streamQuery{}
	}
	h.streams.lastSeq++
	m := q.StreamQuery
	m.Seq = h.streams.lastSeq
	h.streams.queries[m.Seq] = q
	if h.relay != nil {
		h.relay.out.Send(m)
		return
	}
	q.unanswered = map[*session]bool{}
	for _, s := range relays {
		q.unanswered[s] = true
		s.out.Send(m)
	}
}

// handleStreamAnswer handles the answer of a relay, or at a relay that of the leader, for which s
// is nil.
func (h *hub) handleStreamAnswer(s *session, m protocol.StreamAnswer) {
	q := h.streams.queries[m.Seq]
	if q == nil {
		return
	}
	delete(q.unanswered, s)
	switch {
	case s == nil || m.Known:
		delete(h.streams.queries, m.Seq)
		m.Seq = q.Seq
		q.asker.out.Send(m)
	case len(q.unanswered) == 0:
		delete(h.streams.queries, m.Seq)
		h.answerUnknown(q)
	}
}

// answerByVersions answers a query about a stream that this replica, the leader, has no record of:
// by the versions that may have begun it if there is only one, otherwise by the records of the
// relays.
func (h *hub) answerByVersions(q *streamQuery) {
	possible := h.possibleVersions(q)
	if len(possible) == 1 {
		q.asker.out.Send(protocol.StreamAnswer{Seq: q.Seq, Known: true, Pool: q.Pool, Version: possible[0], Inferred: true})
		return
	}
	if relays := h.otherRelays(q.asker); len(relays) > 0 {
		h.passOn(q, relays)
		return
	}
	h.answerUnknown(q)
}

// possibleVersions returns the versions that may have begun a stream, or none if that is not certain.
func (h *hub) possibleVersions(q *streamQuery) []string {
	if h.term == 0 || q.Pool == "" {
		return nil
	}
	now := h.d.replica.Now()
	h.observeVersions(now)
	possible := append(h.poolVersions(q.Pool).Possible(now, h.streamRetention()), q.Versions...)
	slices.Sort(possible)
	return slices.Compact(possible)
}

// answerUnknown answers a query about a stream that no replica has a record of.
func (h *hub) answerUnknown(q *streamQuery) {
	h.d.cfg.Log.Failure("stream of unknown version", slog.String("pool", q.Pool), slog.Any("versions", h.possibleVersions(q)))
	q.asker.out.Send(protocol.StreamAnswer{Seq: q.Seq})
}

// answerLeader answers the leader's query from this relay's records.
func (r *relay) answerLeader(m protocol.StreamQuery) {
	origin, known := r.h.streams.records.Find(streamversion.ID(m.ID))
	r.out.Send(protocol.StreamAnswer{Seq: m.Seq, Known: known, Pool: origin.Pool, Version: origin.Version})
}

// dropOldQueries drops the queries that have waited too long. Their gateways have given them up.
func (h *hub) dropOldQueries() {
	now := h.d.replica.Now()
	for seq, q := range h.streams.queries {
		if now-q.receivedAt > streamQueryTimeout {
			delete(h.streams.queries, seq)
		}
	}
}
