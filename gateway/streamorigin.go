// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"log/slog"
	"slices"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines streamOrigin, which says what is known of the version of the servers that began
// a stream.

// streamOrigin is the origin of the stream that a request continues: one that broke within this
// answer, or one that its caller takes up. The zero value is that of a request that continues none.
type streamOrigin struct {
	continues bool
	resumes   string       // ID of the request that brought the first event; empty if the caller names none
	version   string       // of the server's software; meaningless with versionUnknown
	source    originSource // how the version is known
	began     *assignment  // attempt of this answer that brought the first event; nil if another request did
}

// originSource says how the version that began a stream is known. It is a value of a log attribute.
type originSource string

// Sources of the version that began a stream.
const (
	versionUnknown     originSource = "unknown"
	knownFromAnswer    originSource = "answer"       // the stream broke within this answer
	knownFromRecord    originSource = "own record"   // the stream began at this gateway
	knownFromDirectory originSource = "directory"    // it began at another gateway
	onlyVersion        originSource = "only version" // no other version can have begun it
)

// limit returns the version to which the stream limits the request's servers.
func (o streamOrigin) limit() versionLimit {
	return versionLimit{limited: o.continues && o.source != versionUnknown, version: o.version}
}

// logAttrs returns the attributes of log lines about a request that continues a stream.
func (o streamOrigin) logAttrs() []slog.Attr {
	if !o.continues {
		return nil
	}
	return []slog.Attr{slog.String("resumes", o.resumes), slog.String("began_version", o.version), slog.String("known_by", string(o.source))}
}

// resumesStream reports whether the caller takes up a stream with this request.
func (c *call) resumesStream() bool {
	return c.route.Kind == document.Stream && c.route.Resumable && (c.head.Resumes != "" || c.head.LastEventID != "")
}

// findOrigin finds the version that began the stream that the caller takes up. The error is a
// [Refusal]: a stream of an unknown version must not go on.
func (c *call) findOrigin() error {
	if !c.resumesStream() {
		return nil
	}
	c.stream = streamOrigin{continues: true, resumes: c.head.Resumes, source: versionUnknown}
	origin, source := c.lookUpOrigin()
	if source == versionUnknown {
		return Refusal{Cause: VersionUnknown, RetryAfter: retry.LongDelay}
	}
	if !slices.ContainsFunc(c.route.Targets, func(t document.Target) bool { return t.Pool == origin.Pool }) {
		return Refusal{Cause: VersionGone, RetryAfter: retry.LongDelay} // the route was moved
	}
	c.pool, c.stream.version, c.stream.source = c.routes.pools[origin.Pool], origin.Version, source
	c.cachedPartKeys = nil // they depend on the pool
	return nil
}

// lookUpOrigin returns the origin of the stream that the caller takes up, and how it is known.
func (c *call) lookUpOrigin() (streamversion.Origin, originSource) {
	id := streamversion.IDOf(c.head.Resumes)
	if origin, source := c.g.origins.find(id); source != versionUnknown {
		return origin, source
	}
	q := protocol.StreamQuery{ID: uint64(id)}
	if len(c.route.Targets) == 1 {
		q.Pool, q.Versions = c.pool.Name, c.g.table.possibleVersions(c.pool.Name, c.g.streamRetention())
	}
	answer, supported := c.g.origins.ask(c.r.Context(), q)
	origin := streamversion.Origin{Pool: answer.Pool, Version: answer.Version}
	switch {
	case answer.Known && answer.Inferred:
		return origin, onlyVersion
	case answer.Known:
		return origin, knownFromDirectory
	case !supported && len(q.Versions) == 1: // the replica runs an earlier version of this program
		return streamversion.Origin{Pool: q.Pool, Version: q.Versions[0]}, onlyVersion
	}
	return streamversion.Origin{}, versionUnknown
}

// recordOrigin records the server whose answer begins a stream, or the stream that its answer takes up.
func (c *call) recordOrigin(a *assignment) {
	if !c.route.Resumable {
		return
	}
	if !c.stream.continues {
		c.stream = streamOrigin{continues: true, resumes: c.head.ID, version: a.version, source: knownFromAnswer, began: a}
		c.confirmOrigin()
	}
	if c.stream.source == versionUnknown || c.stream.resumes == "" {
		return
	}
	id := streamversion.IDOf(c.stream.resumes)
	if c.stream.began != nil {
		c.g.table.recordBegun(a, id)
	}
	rec := streamversion.Record{Origin: streamversion.Origin{Pool: c.pool.Name, Version: c.stream.version}, ID: id}
	c.g.origins.add(c.g.now(), c.g.streamRetention(), beganStream{Record: rec, began: c.stream.began})
}

// confirmOrigin marks the origin as unknown if the server that began the stream has meanwhile been
// listed with another version: it may have begun the stream with either.
func (c *call) confirmOrigin() {
	if c.stream.began != nil && !c.g.table.keepsVersion(c.stream.began) {
		c.stream.source = versionUnknown
	}
}

// logResumption counts a stream that goes on, and logs where.
func (c *call) logResumption(a *assignment) {
	if !c.stream.continues {
		return
	}
	c.g.stats.count("streams_resumed", "known_by", string(c.stream.source))
	c.g.cfg.Log.FailureFunc("stream resumed", func() []slog.Attr {
		attrs := []slog.Attr{slog.String("request", c.head.ID), slog.String("backend", a.serverID), slog.String("last_event", c.relay.position.id)}
		attrs = append(attrs, a.versionAttrs()...)
		return append(attrs, c.stream.logAttrs()...)
	})
}

// versionAttrs returns the attribute for the version of an attempt's server, if it stated one.
func (a *assignment) versionAttrs() []slog.Attr {
	if a.version == "" {
		return nil
	}
	return []slog.Attr{slog.String("version", a.version)}
}
