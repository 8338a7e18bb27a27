// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// This file defines Evidence, which records the requests that were running at servers when those
// failed.

const (
	// minFailures is the number of failures from which a request may be condemned. A request should
	// not be sent more than three times once the fleet has recorded its failures.
	minFailures = 3
	// decisiveFailures is the number of failures from which a request is condemned even if another
	// one was running at all of them. Users then see at most three failures after the third.
	decisiveFailures = 6
	// retention is how long a failure counts. A request that is sent too rarely to be condemned
	// makes a server fail at most every five minutes.
	retention = 10 * time.Minute
	// sameFailure is the interval within which reports of a server's failure refer to the same one.
	// Gateways detect it at different times. It is shorter than the start of a server.
	sameFailure = time.Second
	// minGap is the shortest time between two failures for which the run lost at the second counts
	// as begun after the first. It covers the differences between gateways' reports.
	minGap = 25 * time.Millisecond
	// SettleTime is the time from the report of a failure until a request may be condemned for it,
	// in a fleet of one region. It covers two report periods, after which all requests that were
	// running are recorded, and one in which gateways learn of suspects and report answers.
	SettleTime = 250 * time.Millisecond
	// SettleTimeViaRelay replaces SettleTime where reports pass through a relay, which holds them
	// for up to 300 ms and is 30 ms away.
	SettleTimeViaRelay = 700 * time.Millisecond
	// maxSuspects bounds the suspects: the slots of 16 large servers.
	maxSuspects = 1024
	// maxSuspectsPerAccount bounds the suspects of one account: the slots of two large servers.
	maxSuspectsPerAccount = 128
	// maxServers is the number of servers whose failures are kept: those of a data hall of the
	// largest fleet.
	maxServers = 4096
	// maxFailuresPerServer is the number of newest failures kept for a server. It is larger than
	// the number for which a request is condemned.
	maxFailuresPerServer = 16
)

// Loss is a request that was running at a backend server when that failed.
type Loss struct {
	Key     Key
	Hint    Hint
	Account string
	Pool    string
	Server  string // identifier
	Address string
	RunTime time.Duration // from sending the request to the failure
	Retry   bool          // an earlier attempt since the request's arrival was lost before this one began
	// PoolAnswering is whether other servers of the pool gave complete answers recently. While none
	// do, a missing answer is no evidence against a request.
	PoolAnswering bool
	// Parts are the names of the prompt's shared parts, unless the answer had begun, and Model is the model
	// that they were for.
	Parts []string
	Model string
	// Served is whether the request was answered in full lately, and ServedParts are those of Parts of which an
	// answer has begun lately, before the run. What has been served before is a likely cause only of failures that
	// are more than a series of the pool's own.
	Served      bool
	ServedParts []string
	// KnownFailures is the number of consecutive failures that the gateway knew of when the run
	// began. Only [Recent] uses it.
	KnownFailures int
}

// TimedLoss is a loss and the time of the server's failure.
type TimedLoss struct {
	Loss
	At time.Duration
}

// Verdict is the condemnation of a request.
type Verdict struct {
	Key         Key
	Hint        Hint
	Account     string
	Pool        string
	Servers     []string // that failed while running it, oldest first
	Probability float64  // that an innocent request has such a record
}

// Evidence holds the recorded failures and suspects. Use [NewEvidence] to create one.
type Evidence struct {
	settle   time.Duration
	failures map[string][]*failure // by server, oldest first
	suspects map[Key]*suspect
	changed  bool
}

// failure is one failure of a server.
type failure struct {
	server, pool, address string
	at                    time.Duration
	keys                  map[Key]bool // suspects and condemned requests that were running there
	explained             bool         // a condemned request was running there
}

// suspect is a key that no complete answer has cleared since its first loss.
type suspect struct {
	losses       []recordedLoss // consecutive losses, oldest first
	account      string
	hint         Hint
	served       bool          // it had been answered in full before a loss
	lastReported time.Duration // when the last loss was reported
	verdict      *Verdict      // nil unless condemned
}

// recordedLoss is a loss, the failure it belongs to, and the time of the report.
type recordedLoss struct {
	TimedLoss
	failure  *failure
	reported time.Duration
}

// NewEvidence returns empty evidence. A request is not condemned for a failure until settle has
// passed since its report.
func NewEvidence(settle time.Duration) *Evidence {
	return &Evidence{settle: settle, failures: map[string][]*failure{}, suspects: map[Key]*suspect{}}
}

// Add records a loss, whose time must not be after now. A loss that is already recorded changes
// nothing.
func (v *Evidence) Add(now time.Duration, loss TimedLoss) {
	if now-loss.At > retention || (len(v.failures) >= maxServers && v.failures[loss.Server] == nil) {
		return
	}
	f := v.failureOf(loss)
	if f.keys[loss.Key] {
		return
	}
	s := v.suspects[loss.Key]
	if s != nil && s.verdict != nil {
		f.keys[loss.Key], f.explained = true, true
		return
	}
	if !loss.PoolAnswering {
		return
	}
	f.keys[loss.Key] = true
	if s == nil {
		s = &suspect{account: loss.Account, hint: loss.Hint}
		v.evictIfFull(loss.Account)
		v.suspects[loss.Key] = s
	}
	s.add(recordedLoss{TimedLoss: loss, failure: f, reported: now})
	s.served = s.served || loss.Served
	s.lastReported = now
	v.changed = true
}

// failureOf returns the failure to which a loss belongs, and adds it if it is new.
func (v *Evidence) failureOf(loss TimedLoss) *failure {
	for _, f := range v.failures[loss.Server] {
		if (f.at - loss.At).Abs() <= sameFailure {
			return f
		}
	}
	f := &failure{server: loss.Server, pool: loss.Pool, address: loss.Address, at: loss.At, keys: map[Key]bool{}}
	failures := append(v.failures[loss.Server], f)
	v.failures[loss.Server] = failures[max(len(failures)-maxFailuresPerServer, 0):]
	return f
}

// add inserts a loss in order and keeps only consecutive ones: of runs that overlap, for example
// when a whole data hall fails, only the first loss counts.
func (s *suspect) add(loss recordedLoss) {
	at, _ := slices.BinarySearchFunc(s.losses, loss, func(a, b recordedLoss) int { return int(a.At - b.At) })
	s.losses = slices.Insert(s.losses, at, loss)
	consecutive := s.losses[:1]
	for _, next := range s.losses[1:] {
		if next.after(consecutive[len(consecutive)-1]) {
			consecutive = append(consecutive, next)
		}
	}
	s.losses = consecutive[max(len(consecutive)-2*decisiveFailures, 0):]
}

// after reports whether the run of l began after the failure of before.
func (l recordedLoss) after(before recordedLoss) bool {
	return l.Retry || l.At-before.At >= max(l.RunTime/2, minGap)
}

// evictIfFull drops a suspect if the account has too many, or if there are too many in total. In
// the latter case it is one of the account with the most suspects. The suspect with the fewest
// losses is dropped, and among equals the oldest.
func (v *Evidence) evictIfFull(account string) {
	perAccount, total := map[string]int{}, 0
	for _, s := range v.suspects {
		if s.verdict == nil {
			perAccount[s.account]++
			total++
		}
	}
	target := account
	switch {
	case perAccount[account] >= maxSuspectsPerAccount:
	case total < maxSuspects:
		return
	default:
		target = largestAccount(perAccount)
	}
	var weakestKey Key
	var weakest *suspect
	for k, s := range v.suspects {
		if s.account == target && s.verdict == nil && (weakest == nil || s.evictedBefore(weakest)) {
			weakestKey, weakest = k, s
		}
	}
	v.remove(weakestKey)
}

// largestAccount returns the account with the highest count, and among equals the first by name.
func largestAccount(counts map[string]int) (account string) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] > counts[account] {
			account = name
		}
	}
	return account
}

// evictedBefore reports whether a suspect is dropped before another one.
func (s *suspect) evictedBefore(o *suspect) bool {
	if len(s.losses) != len(o.losses) {
		return len(s.losses) < len(o.losses)
	}
	return s.lastReported < o.lastReported
}

// Clear records a complete answer to a request, which is no longer a suspect.
func (v *Evidence) Clear(k Key) { v.remove(k) }

// AddCondemned adds a request that was condemned by other evidence.
func (v *Evidence) AddCondemned(e Entry) {
	v.suspects[e.Key] = &suspect{hint: e.Hint, verdict: &Verdict{Key: e.Key, Hint: e.Hint, Servers: make([]string, e.Failures)}}
}

func (v *Evidence) remove(k Key) {
	if v.suspects[k] == nil {
		return
	}
	delete(v.suspects, k)
	v.changed = true
	for _, failures := range v.failures {
		for _, f := range failures {
			delete(f.keys, k)
		}
	}
}

// expire removes failures and losses that are older than the retention.
func (v *Evidence) expire(now time.Duration) {
	old := func(f *failure) bool { return now-f.at > retention }
	for server, failures := range v.failures {
		if v.failures[server] = slices.DeleteFunc(failures, old); len(v.failures[server]) == 0 {
			delete(v.failures, server)
		}
	}
	for k, s := range v.suspects {
		s.losses = slices.DeleteFunc(s.losses, func(loss recordedLoss) bool { return old(loss.failure) })
		if len(s.losses) == 0 && s.verdict == nil {
			v.remove(k)
		}
	}
}

// Explain records that a crash has another cause than the requests that were running there.
func (v *Evidence) Explain(id CrashID) {
	for _, f := range v.failures[id.Server] {
		if (f.at-id.At).Abs() <= sameFailure && !f.explained {
			f.explained, v.changed = true, true
		}
	}
}

// Empty reports whether there are neither suspects nor condemned requests.
func (v *Evidence) Empty() bool { return len(v.suspects) == 0 }

// Losses returns the losses of all suspects and condemned requests, oldest first. Adding them to
// another Evidence reproduces this one.
func (v *Evidence) Losses() (all []TimedLoss) {
	for _, s := range v.suspects {
		for _, loss := range s.losses {
			all = append(all, loss.TimedLoss)
		}
	}
	slices.SortFunc(all, func(a, b TimedLoss) int { return int(a.At - b.At) })
	return all
}

// Suspects returns the suspects and condemned requests as they are sent to gateways.
func (v *Evidence) Suspects() map[Key]Entry {
	all := make(map[Key]Entry, len(v.suspects))
	for k := range v.suspects {
		all[k], _ = v.Find(k)
	}
	return all
}

// Find returns the entry of a suspect or a condemned request, or false if the key is neither.
func (v *Evidence) Find(k Key) (Entry, bool) {
	s := v.suspects[k]
	switch {
	case s == nil:
		return Entry{}, false
	case s.verdict != nil:
		return Entry{Key: k, Hint: s.hint, Failures: len(s.verdict.Servers), Condemned: true}, true
	}
	return Entry{Key: k, Hint: s.hint, Failures: s.unexplainedFailures()}, true
}

// unexplainedFailures returns the number of consecutive failures at which no condemned request was
// running.
func (s *suspect) unexplainedFailures() (n int) {
	for _, loss := range s.losses {
		if !loss.failure.explained {
			n++
		}
	}
	return n
}

// TakeChanged reports whether the suspects have changed since the last call.
func (v *Evidence) TakeChanged() bool {
	changed := v.changed
	v.changed = false
	return changed
}
