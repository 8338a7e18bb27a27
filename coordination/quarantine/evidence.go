// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// This file defines Evidence, which requests ran at servers when those ended.

const (
	// fewestEnds is the least number of ends before a request is condemned. Of the same request
	// no more than three are to be sent once the fleet knows.
	fewestEnds = 3
	// mostEnds is the number of ends from which a request is condemned though another one was at
	// all of them as well: three later than the third is what the fleet's users bear.
	mostEnds = 6
	// memory is how long an end counts. A request that comes so rarely ends a server in five minutes.
	memory = 10 * time.Minute
	// sameEnd is how far apart the ends of one server are that count as one: different gateways see it
	// at different times. Below the time in which a server starts.
	sameEnd = time.Second
	// apart is the least time between two ends of which the second one's run counts as begun after the
	// first. What reports of gateways differ by.
	apart = 25 * time.Millisecond
	// SettleTime is how long after an end no request is condemned for it, in a fleet of one region:
	// two periods of reports, in which all that ran there is known, and one in which gateways
	// learn of suspects and report answers.
	SettleTime = 250 * time.Millisecond
	// SettleViaRelay is Settle where reports pass a relay, which holds them for up to 300 ms and is
	// 30 ms away.
	SettleViaRelay = 700 * time.Millisecond
	// mostSuspects bounds the suspects. The places of 16 large engines.
	mostSuspects = 1024
	// mostOfAccount bounds those of one account. The places of two.
	mostOfAccount = 128
	// mostEnded is the number of servers whose ends are kept. A data hall's of the largest fleet.
	mostEnded = 4096
	// mostOfServer is how many ends of one of them are kept, the newest. More than a request is
	// condemned for.
	mostOfServer = 16
)

// Loss is a request that ran at a backend server when that ended.
type Loss struct {
	Key     Key
	Hint    Hint
	Account string
	Pool    string
	Server  string // its identifier
	Address string
	RunTime time.Duration // from its sending to the end
	Retry   bool          // another attempt of the same arrival was lost before this one began
	// PoolAnswering is whether other servers of the pool gave whole answers lately. While none do, that a
	// request had none says nothing.
	PoolAnswering bool
}

// TimedLoss is a loss and when the server ended.
type TimedLoss struct {
	Loss
	At time.Duration
}

// Verdict is a request that is condemned.
type Verdict struct {
	Key         Key
	Hint        Hint
	Account     string
	Pool        string
	Servers     []string // that ended under it, oldest first
	Probability float64  // that a request that ends nothing has such a record
}

// Evidence is what is known of ends. The zero value is not ready; see [NewEvidence].
type Evidence struct {
	settle   time.Duration
	ends     map[string][]*end // by server, oldest first
	suspects map[Key]*suspect
	changed  bool
}

// end is one end of a server.
type end struct {
	server, pool, address string
	at                    time.Duration
	keys                  map[Key]bool // suspects and condemned requests that ran there
	explained             bool         // a condemned request ran there
}

// suspect is a key that no whole answer has cleared since the first of its ends.
type suspect struct {
	losses  []keptLoss // in a row, oldest first
	account string
	hint    Hint
	newest  time.Duration // when the last loss came
	verdict *Verdict      // nil: it is not condemned
}

// keptLoss is a loss, the end that it is of, and when it came.
type keptLoss struct {
	TimedLoss
	end  *end
	came time.Duration
}

// NewEvidence returns evidence that knows of nothing, and condemns nothing for an end before
// settle is over.
func NewEvidence(settle time.Duration) *Evidence {
	return &Evidence{settle: settle, ends: map[string][]*end{}, suspects: map[Key]*suspect{}}
}

// Add takes a loss, whose server ended at a time that is not after now. One that is known changes
// nothing.
func (v *Evidence) Add(now time.Duration, h TimedLoss) {
	if now-h.At > memory || (len(v.ends) >= mostEnded && v.ends[h.Server] == nil) {
		return
	}
	e := v.endOf(h)
	if e.keys[h.Key] {
		return
	}
	s := v.suspects[h.Key]
	if s != nil && s.verdict != nil {
		e.keys[h.Key], e.explained = true, true
		return
	}
	if !h.PoolAnswering {
		return
	}
	e.keys[h.Key] = true
	if s == nil {
		s = &suspect{account: h.Account, hint: h.Hint}
		v.makeRoom(h.Account)
		v.suspects[h.Key] = s
	}
	s.add(keptLoss{TimedLoss: h, end: e, came: now})
	s.newest = now
	v.changed = true
}

// endOf returns the end that a loss is of, a new one if need be.
func (v *Evidence) endOf(h TimedLoss) *end {
	for _, e := range v.ends[h.Server] {
		if (e.at - h.At).Abs() <= sameEnd {
			return e
		}
	}
	e := &end{server: h.Server, pool: h.Pool, address: h.Address, at: h.At, keys: map[Key]bool{}}
	of := append(v.ends[h.Server], e)
	v.ends[h.Server] = of[max(len(of)-mostOfServer, 0):]
	return e
}

// add keeps a loss in its place, and of all only those in a row: of runs that went on side by
// side, as when a whole data hall ends, the first to end counts.
func (s *suspect) add(h keptLoss) {
	at, _ := slices.BinarySearchFunc(s.losses, h, func(a, b keptLoss) int { return int(a.At - b.At) })
	s.losses = slices.Insert(s.losses, at, h)
	inRow := s.losses[:1]
	for _, next := range s.losses[1:] {
		if next.after(inRow[len(inRow)-1]) {
			inRow = append(inRow, next)
		}
	}
	s.losses = inRow[max(len(inRow)-2*mostEnds, 0):]
}

// after reports whether the run of a loss began after the end of another one.
func (h keptLoss) after(before keptLoss) bool {
	return h.Retry || h.At-before.At >= max(h.RunTime/2, apart)
}

// makeRoom drops a suspect if there are too many, of the account or in all: the one with the
// fewest ends and of these the oldest, of the account with the most suspects.
func (v *Evidence) makeRoom(account string) {
	of, all := map[string]int{}, 0
	for _, s := range v.suspects {
		if s.verdict == nil {
			of[s.account]++
			all++
		}
	}
	from := account
	switch {
	case of[account] >= mostOfAccount:
	case all < mostSuspects:
		return
	default:
		from = most(of)
	}
	var weakest Key
	var found *suspect
	for k, s := range v.suspects {
		if s.account == from && s.verdict == nil && (found == nil || s.weaker(found)) {
			weakest, found = k, s
		}
	}
	v.forget(weakest)
}

// most returns the account that has the most, of several the first by name.
func most(of map[string]int) (account string) {
	for _, a := range slices.Sorted(maps.Keys(of)) {
		if of[a] > of[account] {
			account = a
		}
	}
	return account
}

// weaker reports whether a suspect goes before another one when there is no room.
func (s *suspect) weaker(o *suspect) bool {
	if len(s.losses) != len(o.losses) {
		return len(s.losses) < len(o.losses)
	}
	return s.newest < o.newest
}

// Clear takes a whole answer to a request: it has ended nothing.
func (v *Evidence) Clear(k Key) { v.forget(k) }

// AddCondemned takes a request that was condemned before, by evidence that is not here.
func (v *Evidence) AddCondemned(e Entry) {
	v.suspects[e.Key] = &suspect{hint: e.Hint, verdict: &Verdict{Key: e.Key, Hint: e.Hint, Servers: make([]string, e.Ends)}}
}

func (v *Evidence) forget(k Key) {
	if v.suspects[k] == nil {
		return
	}
	delete(v.suspects, k)
	v.changed = true
	for _, of := range v.ends {
		for _, e := range of {
			delete(e.keys, k)
		}
	}
}

// expire forgets what is older than memory.
func (v *Evidence) expire(now time.Duration) {
	old := func(e *end) bool { return now-e.at > memory }
	for server, of := range v.ends {
		if v.ends[server] = slices.DeleteFunc(of, old); len(v.ends[server]) == 0 {
			delete(v.ends, server)
		}
	}
	for k, s := range v.suspects {
		s.losses = slices.DeleteFunc(s.losses, func(h keptLoss) bool { return old(h.end) })
		if len(s.losses) == 0 && s.verdict == nil {
			v.forget(k)
		}
	}
}

// Empty reports whether nothing is known against any request.
func (v *Evidence) Empty() bool { return len(v.suspects) == 0 }

// Losses returns the losses of all suspects and condemned requests, oldest first: what another
// Evidence needs to know as much.
func (v *Evidence) Losses() (all []TimedLoss) {
	for _, s := range v.suspects {
		for _, h := range s.losses {
			all = append(all, h.TimedLoss)
		}
	}
	slices.SortFunc(all, func(a, b TimedLoss) int { return int(a.At - b.At) })
	return all
}

// Suspects returns the suspects as gateways are sent them, and what is condemned here.
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
		return Entry{Key: k, Hint: s.hint, Ends: len(s.verdict.Servers), Condemned: true}, true
	}
	return Entry{Key: k, Hint: s.hint, Ends: s.unexplained()}, true
}

// unexplained returns at how many ends in a row the suspect was that nothing else explains.
func (s *suspect) unexplained() (n int) {
	for _, h := range s.losses {
		if !h.end.explained {
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
