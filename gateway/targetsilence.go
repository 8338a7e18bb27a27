// SPDX-License-Identifier: Apache-2.0

package gateway

import "time"

// This file defines targetSilences, which keep the silence of a single server from being counted as bad answers of its
// version. A sound server may send nothing for a while, and then all requests under way there end badly or late at once.
//
// The time that is left out is bounded, so that a version whose answers hang is still seen: it must have more than one
// server, only one of them may be silent, and not for long or often. While the server sends something to another request, or
// if no other one waits there, a bad answer counts at once.

const (
	// minTargetSilence is the shortest silence that is left out.
	minTargetSilence = 250 * time.Millisecond
	// maxTargetSilence is the longest silence that is left out, longer than a sound server is silent.
	maxTargetSilence = 2 * time.Second
	// targetSilencePeriod is the shortest time between the beginnings of two silences of a server that are left out.
	targetSilencePeriod = 12 * time.Second
)

// targetSilences holds the silences of the servers of a rollout's target, by identifier. It is guarded by table.mu.
type targetSilences struct {
	servers map[string]*targetSilence
	silent  map[string]*targetSilence // those that are silent, or have an outcome while no other request waited
	changed bool                      // servers have become silent or gone on since the trial's servers were chosen
}

func newTargetSilences() *targetSilences {
	return &targetSilences{servers: map[string]*targetSilence{}, silent: map[string]*targetSilence{}}
}

// targetSilence is the last silence of a server that may be left out.
type targetSilence struct {
	lastSent time.Duration // when the server last began or completed an answer
	began    time.Duration // zero if there was no silence
	ended    time.Duration // zero until the server sends something
	counts   bool          // it is not left out
	withheld []versionOutcome

	// alone is an outcome while no other request waited, since which nothing was sent.
	alone   *versionOutcome
	aloneAt time.Duration
}

// versionOutcome is one outcome to be counted in a tally.
type versionOutcome struct {
	tally      *tally
	failed     bool
	paceBucket int // if it has not failed
}

// count counts the outcome.
func (o versionOutcome) count() {
	o.tally.changed = true
	if o.failed {
		o.tally.failed++
		return
	}
	o.tally.latencyRatioCounts[o.paceBucket]++
}

// of returns the state of a server.
func (s *targetSilences) of(server string) *targetSilence {
	t := s.servers[server]
	if t == nil {
		t = &targetSilence{}
		s.servers[server] = t
	}
	return t
}

// speaking returns the servers that are not silent, or all if there are none: a trial goes on with other servers.
func (s *targetSilences) speaking(servers []*knownServer) []*knownServer {
	var speaking []*knownServer
	for _, k := range servers {
		if t := s.silent[k.ID]; t == nil || !t.isOpen() {
			speaking = append(speaking, k)
		}
	}
	if len(speaking) == 0 {
		return servers
	}
	return speaking
}

// recordSent records that a server has sent something. What was withheld is left out.
func (s *targetSilences) recordSent(now time.Duration, server string) {
	t := s.of(server)
	t.lastSent = now
	t.countAlone()
	if t.isOpen() {
		t.ended, t.withheld, s.changed = now, nil, true
	}
	delete(s.silent, server)
}

// waitingAttempt is an attempt that ends, or whose answer begins.
type waitingAttempt struct {
	server        string
	startedAt     time.Duration
	expectedFirst time.Duration // expected time to the first part of the answer
	others        int           // other attempts at the server
}

// withhold reports whether the outcome of an attempt is not to be counted, because the server is or was silent.
func (s *targetSilences) withhold(now time.Duration, a waitingAttempt, o versionOutcome) bool {
	t := s.of(a.server)
	quietSince := max(a.startedAt, t.lastSent)
	if now-quietSince > maxTargetSilence {
		t.countAlone()
		t.countWithheld()
		return false
	}
	if !t.covers(now, a) {
		if now-quietSince < minTargetSilence || t.hasSentSince(a) || t.began > 0 && quietSince-t.began < targetSilencePeriod {
			return false
		}
		if a.others == 0 && t.alone == nil {
			if s.countIfShared(now, a.server) {
				return false
			}
			t.alone, t.aloneAt = &o, now
			s.silent[a.server] = t
			return true
		}
		t.begin(quietSince)
		s.silent[a.server], s.changed = t, true
	}
	if s.countIfShared(now, a.server) || t.isOpen() && now-t.began > maxTargetSilence {
		t.countWithheld()
	}
	if t.counts {
		return false
	}
	if t.isOpen() {
		t.withheld = append(t.withheld, o)
	}
	return true
}

// begin begins a silence. An outcome while no other request waited belongs to it.
func (t *targetSilence) begin(at time.Duration) {
	next := targetSilence{lastSent: t.lastSent, began: at}
	if t.alone != nil {
		next.withheld = append(next.withheld, *t.alone)
	}
	*t = next
}

// countOverdue counts the outcomes after which neither the server has sent anything nor another request has waited there
// in vain. A silence may seem long because the server gets no requests.
func (s *targetSilences) countOverdue(now time.Duration) {
	for _, t := range s.silent {
		if now-t.aloneAt > maxTargetSilence {
			t.countAlone()
		}
	}
}

// countIfShared counts the outcomes of all servers that are silent if there is another one than the given.
func (s *targetSilences) countIfShared(now time.Duration, server string) (shared bool) {
	for id, t := range s.silent {
		if id != server && (t.alone != nil || t.isOpen() && now-t.began <= targetSilencePeriod) {
			t.countAlone()
			t.countWithheld()
			shared = true
		}
	}
	return shared
}

// isOpen reports whether the server has been silent until now.
func (t *targetSilence) isOpen() bool { return t.began > 0 && t.ended == 0 }

// covers reports whether the silence explains an outcome.
func (t *targetSilence) covers(now time.Duration, a waitingAttempt) bool {
	switch {
	case t.began == 0 || now-t.began > targetSilencePeriod:
		return false
	case t.isOpen():
		return now-a.startedAt >= minTargetSilence && !t.hasSentSince(a)
	}
	return a.startedAt < t.ended && now-t.ended <= maxTargetSilence
}

// hasSentSince reports whether the server has sent something while an attempt waited there for too long.
func (t *targetSilence) hasSentSince(a waitingAttempt) bool {
	return t.lastSent > a.startedAt+2*a.expectedFirst
}

// countWithheld counts the withheld outcomes, and those that follow in this silence.
func (t *targetSilence) countWithheld() {
	t.counts = true
	for _, o := range t.withheld {
		o.count()
	}
	t.withheld = nil
}

// countAlone counts the outcome while no other request waited.
func (t *targetSilence) countAlone() {
	if t.alone != nil {
		t.alone.count()
		t.alone = nil
	}
}
