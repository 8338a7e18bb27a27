// SPDX-License-Identifier: Apache-2.0

package decision

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// This file defines Explain, which collects the lines about one request from the logs of many
// processes. Operators keep logs, so lines of earlier versions must stay readable: events and
// fields that a log once contained are still handled here.

// Line is one line of a decision log.
type Line struct {
	Time   time.Time
	Box    string // last word before the JSON object; empty without one
	Event  string
	Fields map[string]any
}

// stateChangeWindow is the time before a request's first line from which changes of state are
// shown.
const stateChangeWindow = 10 * time.Second

// maxScan bounds the length of a line that is read, in bytes. It exceeds maxLine, because files may
// contain lines of other programs.
const maxScan = 1 << 20

// causeExplanations explains the cause of a refusal and names what to look at next.
var causeExplanations = map[string]string{
	"no-document":          "the gateway had not heard the first document: see 'directory found' and 'directory lost' on that node",
	"no-route":             "no route of the document in force has that host and path: compare 'document' with what the operator put",
	"unknown-key":          "no tenant of the document in force has that key",
	"beyond-share":         "the tenant asked for more than its share while others' shares found no room, or while the engine was busy: see 'standing', 'part' and 'full_tokens'",
	"overloaded":           "the backend that suits it had no room within the objective: see 'full', 'full_tokens', and suspected backends",
	"no-backend":           "every backend of the pool was unreachable or unknown: see 'attempt failed' and 'backends changed'",
	"refused-by-backend":   "the backends that were asked refused before they started it: see 'attempt failed'",
	"no-retry-budget":      "one more attempt would have gone beyond the fleet's budget of repeats",
	"may-have-run":         "a backend took the request and its answer was lost: see 'attempt failed'; it must not be sent again by itself",
	"timed-out":            "a backend still worked when the caller's or the route's time was over: see 'first_ms' and 'tokens_ahead'",
	"processor-pressure":   "the gateway's processor could not keep up: see 'processor pressure'",
	"too-late":             "the caller's deadline came before any answer could have begun: see 'took_ms', and 'processor pressure' on that node",
	"no-common-home":       "the regions of the route and those of the tenant have none in common: compare 'document' with what the operator put",
	"homes-without-server": "no backend of the pool is known in the regions where it may be served: see 'homes', 'backends changed', and the halls' regions in that node's settings",
	"quarantined":          "backends end under this request, by 'key' and not by its identifier, or under requests with a part of its prompt, by 'part_key': see 'backend ended', and 'request condemned' or 'parts condemned' at the directory's leader; 'badgerspoke quarantine release' lets it go again",
	"halls-out":            "every backend of the pool is in a hall that an operator took out of service: see 'halls_out' and 'halls out of service'",
	"version-gone":         "the stream began at a version of which no backend takes requests: see 'began_version', 'backends changed', and 'backend announced' at the directory's leader",
	"version-unknown":      "several versions may have begun the stream: see 'resumes', and 'stream resumed' or 'answered' of that request; a gateway that was killed may not have reported it",
	"stopping":             "the gateway was being stopped: see 'stopping' on that node",
}

// ReadLines reads the lines of a log and ignores lines of other programs. It returns an error if r
// fails or a line is longer than 1 MiB.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine), maxScan)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLine(text []byte) (Line, bool) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[at:], &fields) != nil {
		return Line{}, false
	}
	event, _ := fields["msg"].(string) // without either field, the line belongs to another program
	when, _ := fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, when)
	if err != nil || event == "" {
		return Line{}, false
	}
	for _, name := range []string{"msg", "time", "level"} {
		delete(fields, name)
	}
	l := Line{Time: parsed, Event: event, Fields: fields}
	if before := strings.Fields(string(text[:at])); len(before) > 0 {
		l.Box = before[len(before)-1]
	}
	return l, true
}

// Explain writes the lines about a request in order, together with surrounding changes of state of
// the processes involved, lines about the same request under other IDs, and an explanation of why
// it was refused. It reports whether the request was found.
func Explain(w io.Writer, lines []Line, request string) bool {
	own, boxes, servers := requestLines(lines, request)
	if len(own) == 0 {
		return false
	}
	first, last := own[0].Time, own[len(own)-1].Time
	keys := keysOf(own)
	for _, l := range lines {
		if l.Time.After(last) || l.Fields["request"] == request {
			continue
		}
		around := !l.Time.Before(first.Add(-stateChangeWindow)) && boxes[l.Box] && l.Fields["request"] == nil && l.mayConcern(servers)
		if around || l.namesAnyKey(keys) {
			own = append(own, l)
		}
	}
	sortByTime(own)
	for _, l := range own {
		fmt.Fprintln(w, l)
	}
	for _, l := range own {
		cause, _ := l.Fields["cause"].(string) // a missing cause has no explanation
		if explanation := causeExplanations[cause]; l.Event == "refused" && explanation != "" {
			fmt.Fprintf(w, "%s: %s\n", cause, explanation)
		}
	}
	return true
}

// keysOf returns the quarantine keys in the lines, of requests and of condemned parts. A key identifies a
// request under any ID.
func keysOf(lines []Line) map[string]bool {
	keys := map[string]bool{}
	for _, l := range lines {
		for _, name := range []string{"key", "part_key"} {
			if key, ok := l.Fields[name].(string); ok {
				keys[key] = true
			}
		}
	}
	return keys
}

// namesAnyKey reports whether the line is about a request with one of the keys: its failure, a
// backend server that ended while running it, or a quarantine decision about it.
func (l Line) namesAnyKey(keys map[string]bool) bool {
	if key, ok := l.Fields["key"].(string); ok {
		return keys[key]
	}
	keysField, _ := l.Fields["keys"].([]any) // null when empty
	return slices.ContainsFunc(keysField, func(key any) bool { name, ok := key.(string); return ok && keys[name] })
}

// requestLines returns a request's own lines in order, and the boxes and backend servers they name.
func requestLines(lines []Line, request string) (own []Line, boxes, servers map[string]bool) {
	boxes, servers = map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		own = append(own, l)
		boxes[l.Box] = true
		if b, ok := l.Fields["backend"].(string); ok {
			servers[b] = true
		}
	}
	sortByTime(own)
	return own, boxes, servers
}

// mayConcern reports whether a change of state may explain a request that was sent to these backend
// servers. Changes that concern only other backend servers do not.
func (l Line) mayConcern(servers map[string]bool) bool {
	if b, ok := l.Fields["backend"].(string); ok {
		return servers[b]
	}
	if l.Event != "backends changed" {
		return l.Event != "log lines dropped"
	}
	for _, list := range []string{"joined", "left"} {
		ids, _ := l.Fields[list].([]any) // null when empty
		for _, id := range ids {
			if name, ok := id.(string); ok && servers[name] {
				return true
			}
		}
	}
	return false
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// String formats the line for reading: time, box, event, and the fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Box, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == "keys" {
			continue // the keys of all requests on a server, 33 bytes each
		}
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
