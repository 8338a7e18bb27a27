// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/badgerspoke/badgerspoke/internal/golden"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/standin"
)

// This file records transcripts of complete sessions, as observed by callers and
// operators, and compares them with testdata/sessions. Effects of the timing of
// elections are omitted or waited for, so that transcripts are deterministic. Run
// with -update to rewrite them.

// transcript is a fleet whose externally visible events are recorded.
type transcript struct {
	*testFleet
	mu    sync.Mutex
	lines []string
	began time.Time
}

// record records one line with the virtual time, in tenths of a second.
func (s *transcript) record(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.began).Round(100 * time.Millisecond).Seconds()
	s.lines = append(s.lines, fmt.Sprintf("%5.1fs  %-18s %s", at, who, fmt.Sprintf(format, args...)))
}

// align waits until the next multiple of ten seconds. It is called after steps whose
// duration depends on an election or on the order of simultaneous events, so that later
// lines have the same times in every run.
func (s *transcript) align() {
	const step = 10 * time.Second
	time.Sleep(step - time.Since(s.began)%step)
}

// doAndRecord sends a request and records the response.
func (s *transcript) doAndRecord(r request) response {
	a := s.do(r)
	s.record(r.key+" → "+r.router, "%s%s  ←  %s", describeRequest(r), describeKey(r), describeResponse(a))
	return a
}

func describeRequest(r request) string {
	if strings.HasPrefix(r.path, "/v1/") {
		return "completion " + r.body
	}
	return r.path + " " + r.body
}

func describeKey(r request) string {
	if k := r.header["Idempotency-Key"]; k != "" {
		return " (key " + k + ")"
	}
	return ""
}

// describeResponse summarizes a response without the parts that differ between runs.
func describeResponse(a response) string {
	if a.err != nil {
		return "connection broken"
	}
	text := fmt.Sprint(a.status)
	if a.outcome != "" {
		text += ", " + a.outcome
	}
	if a.header.Get("Badgerspoke-Replayed") != "" {
		text += ", replayed"
	}
	switch {
	case strings.Contains(a.body, "event: error"):
		text += fmt.Sprintf(", %d events, then an error event, outcome unknown", strings.Count(a.body, "data: ")-1)
	case strings.HasSuffix(a.body, "[DONE]\n\n"):
		text += fmt.Sprintf(", %d events, whole", strings.Count(a.body, "data: "))
	case strings.HasPrefix(a.body, `{"error":`):
		_, code, _ := strings.Cut(a.body, `"code":"`)
		code, _, _ = strings.Cut(code, `"`)
		text += ", " + code
	default:
		text += fmt.Sprintf(", %d bytes", len(a.body))
	}
	return text
}

// doConcurrentlyAndRecord sends requests concurrently and records their responses in the order
// of the requests.
func (s *transcript) doConcurrentlyAndRecord(rs ...request) {
	for i, a := range s.startAll(rs...)() {
		s.record(rs[i].key+" → "+rs[i].router, "at once: %s%s  ←  %s", describeRequest(rs[i]), describeKey(rs[i]), describeResponse(a))
	}
}

func (s *transcript) recordOperator(format string, args ...any) {
	s.record("operator", format, args...)
}

var sessions = []struct {
	name    string
	routers int
	run     func(s *transcript)
}{
	{"plain-and-streamed", 1, func(s *transcript) {
		s.doAndRecord(completion("r1", "hotel", 3, false))
		s.doAndRecord(completion("r1", "hotel", 3, true))
		s.doAndRecord(request{router: "r1", method: "GET", path: "/v1/models", key: "hotel"})
		s.doAndRecord(order("r1", "hotel", "30 sheets", ""))
		s.doAndRecord(order("r1", "stranger", "30 sheets", ""))
	}},
	{"late-and-crossed", 2, func(s *transcript) {
		// Four responses that end in the reverse order of their requests.
		s.doConcurrentlyAndRecord(completion("r1", "hotel", 40, true), completion("r2", "notary", 30, true),
			completion("r1", "notary", 20, true), completion("r2", "hotel", 10, true))
	}},
	{"engine-dies-mid-stream", 1, func(s *transcript) {
		s.engines["e1"].FailNext(standin.AbortMidResponse)
		s.engines["e2"].FailNext(standin.AbortMidResponse)
		s.doAndRecord(completion("r1", "hotel", 8, true))
		s.doAndRecord(completion("r1", "hotel", 8, true))
		s.doAndRecord(completion("r1", "hotel", 8, true))
	}},
	{"flood", 2, func(s *transcript) {
		var flood []request
		for range 300 {
			flood = append(flood, completion("r1", "hotel", 20, true))
		}
		wait := s.startAll(flood...)
		time.Sleep(2 * time.Second)
		s.record("hotel → r1", "300 completions at once, 2 s ago")
		a := s.do(completion("r2", "notary", 20, true))
		s.record("notary → r2", "one completion  ←  %s, in under 2 s: %t", describeResponse(a), a.took < 2*time.Second)
		whole := 0
		for _, a := range wait() {
			if strings.HasSuffix(a.body, "[DONE]\n\n") {
				whole++
			}
		}
		s.align()
		s.record("hotel → r1", "%d answers whole", whole)
	}},
	{"server-leaving-under-load", 2, func(s *transcript) {
		wait := s.startAll(completion("r1", "hotel", 250, true), completion("r1", "hotel", 250, true),
			completion("r2", "notary", 250, true), completion("r2", "notary", 250, true))
		time.Sleep(time.Second)
		s.markServer("e1", operatorv1.Mark_MARK_LEAVING)
		s.recordOperator("server mark e1 leaving")
		time.Sleep(3 * time.Second)
		before := s.engines["e1"].Runs()
		for range 6 {
			s.doAndRecord(completion("r1", "hotel", 2, true))
		}
		s.record("e1", "%d new requests since 3 s after it was marked", s.engines["e1"].Runs()-before)
		for _, a := range wait() {
			s.record("long streams", "%s", describeResponse(a))
		}
	}},
	{"router-partitioned-and-rejoined", 2, func(s *transcript) {
		for name := range s.replicas {
			s.net.Isolate("10.0.2.1", s.boxes[name].ip) // r1 can't reach any control box
		}
		s.net.Isolate("10.0.1.1", "10.0.1.2", "10.0.1.3")
		s.record("network", "r1 and the control boxes are cut off from each other")
		time.Sleep(4 * time.Second)
		s.doAndRecord(completion("r1", "hotel", 2, true))
		s.net.HealPartitions()
		s.record("network", "whole again")
		s.settle()
		s.align()
		s.doAndRecord(completion("r1", "hotel", 2, true))
		s.doAndRecord(completion("r2", "notary", 2, true))
	}},
	{"router-restarted", 2, func(s *transcript) {
		wait := s.startAll(completion("r1", "hotel", 100, true))
		time.Sleep(time.Second)
		s.crash("r1")
		s.record("r1", "killed while it streams")
		s.record("hotel → r1", "completion  ←  %s", describeResponse(wait()[0]))
		s.start("r1")
		s.settle()
		s.align()
		s.record("r1", "ready again, with no memory")
		s.doAndRecord(completion("r1", "hotel", 2, true))
	}},
	{"operators-racing", 1, func(s *transcript) {
		leader := s.leader()
		base := s.status(leader).GetRevision()
		try := func(id string, mark operatorv1.Mark) {
			revision, err := s.markE1At(leader, id, base, mark)
			answer := fmt.Sprintf("revision base+%d", revision-base)
			if err != nil {
				answer = strings.ReplaceAll(err.Error(), fmt.Sprint(base+1), "base+1")
				answer = strings.ReplaceAll(answer, fmt.Sprint(base), "base")
			}
			s.recordOperator("change %s: mark e1 %s on base  ←  %s", id, mark, answer)
		}
		try("ada-1", operatorv1.Mark_MARK_LEAVING)
		try("bob-1", operatorv1.Mark_MARK_JOINING)
		try("ada-1", operatorv1.Mark_MARK_LEAVING)
		try("eve-1", operatorv1.Mark_MARK_LEAVING)
		s.crash(leader)
		s.record(leaderName, "killed")
		leader = s.leader()
		s.align()
		try("ada-1", operatorv1.Mark_MARK_LEAVING)
		try("bob-1", operatorv1.Mark_MARK_JOINING)
	}},
	{"leader-cut-off-in-silence", 2, func(s *transcript) {
		old := s.leader()
		s.net.Cut(s.boxes[old].ip)
		s.record(leaderName, "cut off in silence")
		time.Sleep(10 * time.Second)
		s.doAndRecord(completion("r1", "hotel", 2, true))
		s.createAccount("late", 1)
		s.align()
		s.recordOperator("account create late  ←  accepted by another leader")
		s.net.Restore(s.boxes[old].ip)
		time.Sleep(5 * time.Second)
		back := s.leader() == old
		s.settle()
		s.align()
		s.record("the old leader", "is back; leads: %t", back)
		s.doAndRecord(completion("r2", "late", 2, true))
	}},
	{"second-box-lost-after-a-repair", 1, func(s *transcript) {
		s.doAndRecord(order("r1", "hotel", "12 towels", "k1"))
		for _, lost := range []string{"c1", "c2"} {
			s.loseDisk(lost)
			time.Sleep(2 * time.Second)
			s.align()
			s.record(lost, "lost its disk, was repaired and votes again")
		}
		s.settle()
		s.align()
		s.doAndRecord(order("r1", "hotel", "12 towels", "k1"))
		s.record("s1", "ran it %d time", s.services["s1"].Runs("12 towels"))
	}},
	{"keyed-request-at-two-routers", 2, func(s *transcript) {
		rs := []request{order("r1", "hotel", "5 robes", "k2"), order("r2", "hotel", "5 robes", "k2")}
		bodies := map[string]bool{}
		for _, a := range s.startAll(rs...)() {
			bodies[a.body] = a.status == 200
		}
		s.record("hotel → r1 and r2", "at once: /services/stock/orders 5 robes (key k2)  ←  both 200, %d answer", len(bodies))
		s.record("s1", "ran it %d time", s.services["s1"].Runs("5 robes"))
		s.doAndRecord(rs[1])
		s.doAndRecord(order("r1", "hotel", "6 robes", "k2"))
		s.services["s1"].FailNext(standin.AbortBeforeResponse)
		s.doAndRecord(order("r1", "hotel", "7 robes", "k3"))
		s.doAndRecord(order("r2", "hotel", "7 robes", "k3"))
		s.record("s1", "ran it %d time", s.services["s1"].Runs("7 robes"))
	}},
}

const leaderName = "the leader"

// TestSessionTranscripts compares the transcript of each session with its golden file.
func TestSessionTranscripts(t *testing.T) {
	for _, session := range sessions {
		t.Run(session.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := standardFleet(t, session.routers)
				time.Sleep(10 * time.Second) // the leaders of both groups are on the same box by now
				s := &transcript{testFleet: f, began: time.Now()}
				session.run(s)
				s.compare(session.name)
			})
		})
	}
}

func (s *transcript) compare(name string) {
	s.t.Helper()
	got := strings.Join(s.lines, "\n") + "\n"
	path := filepath.Join("testdata", "sessions", name+".txt")
	if golden.Update() {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			s.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	wantLines := strings.Split(string(want), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(wantLines) || line != wantLines[i] {
			s.t.Errorf("line %d is\n%s\nwant\n%s", i+1, line, slices.Concat(wantLines, make([]string, i+1))[i])
		}
	}
}
