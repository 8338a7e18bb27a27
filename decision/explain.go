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

// This file defines Explain, which finds the life of one request in the logs
// of many processes. Operators keep logs: lines of earlier versions stay
// readable, so names of events and fields that a log once had stay here.

// Line is one line of a decision log.
type Line struct {
	Time   time.Time
	Box    string // the last word before the JSON object; empty without one
	Event  string
	Fields map[string]any
}

// stateChangeWindow is how long before a request's first line changes of state are shown.
const stateChangeWindow = 10 * time.Second

// maxScan bounds a line of a log that is read, in bytes. Longer than maxLine, since files may hold
// lines of other programs.
const maxScan = 1 << 20

// causeExplanations explain the cause of a refusal and name what to look at next.
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
	"quarantined":          "backends end under this request, by 'key' and not by its identifier: see 'backend ended', and 'request condemned' at the directory's leader; 'badgerspoke quarantine release' lets it go again",
	"halls-out":            "every backend of the pool is in a hall that an operator took out of service: see 'halls_out' and 'halls out of service'",
	"stopping":             "the gateway was being stopped: see 'stopping' on that node",
}

// ReadLines reads the lines of a log. Lines of other programs are ignored. The
// error is of r, or of a line longer than 1 MiB.
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
	event, _ := fields["msg"].(string) // without either it is another program's line
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

// Explain writes the lines of a request in order, with the changes of state of its
// processes around it, those that tell of the same request under other identifiers, and
// what the cause of its refusal means. It reports whether the request was found.
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
		cause, _ := l.Fields["cause"].(string) // none has no meaning
		if meaning := causeExplanations[cause]; l.Event == "refused" && meaning != "" {
			fmt.Fprintf(w, "%s: %s\n", cause, meaning)
		}
	}
	return true
}

// keysOf returns the keys that lines name, by which a request is known under any identifier.
func keysOf(lines []Line) map[string]bool {
	keys := map[string]bool{}
	for _, l := range lines {
		if key, ok := l.Fields["key"].(string); ok {
			keys[key] = true
		}
	}
	return keys
}

// namesAnyKey reports whether the line tells of a request with one of these keys: that it failed, what
// servers ended under it, or what was decided of it.
func (l Line) namesAnyKey(keys map[string]bool) bool {
	if key, ok := l.Fields["key"].(string); ok {
		return keys[key]
	}
	ran, _ := l.Fields["keys"].([]any) // null when empty
	return slices.ContainsFunc(ran, func(key any) bool { name, ok := key.(string); return ok && keys[name] })
}

// requestLines returns a request's own lines in order, and which boxes and backend
// servers they name.
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

// mayConcern reports whether a change of state may explain a request that was sent
// to these backend servers: one about another backend server does not.
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

// String returns the line for a person: time, box, event, and the fields in the
// order of their names.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Box, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == "keys" {
			continue // of all that ran there, 33 bytes each
		}
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
