// SPDX-License-Identifier: Apache-2.0

package gateway

import "log/slog"

// This file defines streamOrigin, which says what is known of the version of the servers that began
// a stream.

// streamOrigin is the origin of the stream that a request continues: one that broke within this
// answer, or one that its caller takes up. The zero value is that of a request that continues none.
type streamOrigin struct {
	resumes string       // ID of the request that brought the first event; empty before it
	version string       // of the server's software; meaningless with versionUnknown
	source  originSource // how the version is known
	began   *assignment  // attempt of this answer that brought the first event; nil if another request did
}

// originSource says how the version that began a stream is known. It is a value of a log attribute.
type originSource string

// Sources of the version that began a stream.
const (
	versionUnknown  originSource = "unknown"
	knownFromAnswer originSource = "answer" // the stream broke within this answer
)

// continues reports whether the request continues a stream.
func (o streamOrigin) continues() bool { return o.resumes != "" }

// limit returns the version to which the stream limits the request's servers.
func (o streamOrigin) limit() versionLimit {
	return versionLimit{limited: o.continues() && o.source != versionUnknown, version: o.version}
}

// logAttrs returns the attributes of log lines about a request that continues a stream.
func (o streamOrigin) logAttrs() []slog.Attr {
	if !o.continues() {
		return nil
	}
	return []slog.Attr{slog.String("resumes", o.resumes), slog.String("began_version", o.version), slog.String("known_by", string(o.source))}
}

// initialOrigin returns the origin of the stream that a caller takes up with this request.
func (c *call) initialOrigin() streamOrigin {
	if c.head.Resumes == "" {
		return streamOrigin{}
	}
	return streamOrigin{resumes: c.head.Resumes, source: versionUnknown}
}

// recordOrigin records the server whose answer begins a stream, or the first one that is known to
// continue it.
func (c *call) recordOrigin(a *assignment) {
	if c.stream.limit().limited {
		return
	}
	if !c.stream.continues() {
		c.stream.resumes = c.head.ID
	}
	c.stream.version, c.stream.source, c.stream.began = a.version, knownFromAnswer, a
	c.confirmOrigin()
}

// confirmOrigin marks the origin as unknown if the server that began the stream has meanwhile been listed
// with another version: it may have begun the stream with either.
func (c *call) confirmOrigin() {
	if c.stream.began != nil && !c.g.table.keepsVersion(c.stream.began) {
		c.stream.source = versionUnknown
	}
}

// logResumption logs where a stream goes on.
func (c *call) logResumption(a *assignment) {
	if !c.stream.continues() {
		return
	}
	c.g.cfg.Log.FailureFunc("stream resumed", func() []slog.Attr {
		attrs := []slog.Attr{slog.String("request", c.head.ID), slog.String("backend", a.serverID), slog.String("last_event", c.lastEventID())}
		attrs = append(attrs, a.versionAttrs()...)
		return append(attrs, c.stream.logAttrs()...)
	})
}

// lastEventID returns the last event that the caller has received.
func (c *call) lastEventID() string {
	if c.relay.lastEventID != "" {
		return c.relay.lastEventID
	}
	return c.head.LastEventID
}

// versionAttrs returns the attribute for the version of an attempt's server, if it stated one.
func (a *assignment) versionAttrs() []slog.Attr {
	if a.version == "" {
		return nil
	}
	return []slog.Attr{slog.String("version", a.version)}
}
