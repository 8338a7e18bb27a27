// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines cluster, a group of replicas with an in-memory network, and
// disks that lose unsynced data in a crash. Tests drive it step by step.

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// testingT is the part of *testing.T and *rapid.T that the cluster uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// disk holds the durable state of a replica.
type disk struct {
	incarnation uint64
	firstStart  bool // the replica's first start was that of the group
	durable     DurableState
}

func (d *disk) save(ready Ready, r *Replica) {
	if ready.Snapshot != nil {
		hard, entries := r.Tail()
		d.durable = DurableState{Hard: hard, Snapshot: *ready.Snapshot, Entries: slices.Clone(entries)}
		return
	}
	if ready.Hard != nil {
		d.durable.Hard = *ready.Hard
	}
	for _, e := range ready.Entries {
		keep := min(e.Index-d.durable.Snapshot.Index-1, uint64(len(d.durable.Entries)))
		d.durable.Entries = append(d.durable.Entries[:keep:keep], e)
	}
}

// member is one replica of the cluster.
type member struct {
	name      string
	disk      disk
	r         *Replica
	formation *Formation
	running   bool
	removed   bool     // permanently
	applied   []string // committed commands, in order
	restored  int      // entries that came with a snapshot
}

func (m *member) self() protocol.Peer {
	return protocol.Peer{Name: m.name, Incarnation: m.disk.incarnation}
}

// cluster is a group of replicas and the network between them.
type cluster struct {
	t        testingT
	rng      *rand.Rand
	now      time.Duration
	names    []string
	members  map[string]*member
	inFlight []protocol.Consensus
	isolated map[string]bool // partitioned: messages are dropped silently
	// What the replicas reported so far; no later report may contradict it.
	leaders     map[uint64]protocol.Peer // by term
	committed   map[uint64]string        // by index
	acked       []string                 // commands acknowledged to their proposer
	proposed    map[string]logPosition
	nextCommand int
	// For an open group: the number of voters (zero for a closed group), the seeds,
	// and whether this is the first start.
	voterCount int
	seeds      []string
	bootstrap  bool
	group      uint64 // the group that has elected a leader; zero before
}

type logPosition struct{ index, term uint64 }

func newCluster(t testingT, seed uint64, names ...string) *cluster {
	c := emptyCluster(t, seed)
	c.seeds = names
	for _, n := range names {
		c.add(n)
	}
	return c
}

func emptyCluster(t testingT, seed uint64) *cluster {
	return &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), members: map[string]*member{},
		isolated: map[string]bool{}, leaders: map[uint64]protocol.Peer{}, committed: map[uint64]string{},
		proposed: map[string]logPosition{},
	}
}

// add starts a replica with an empty disk.
func (c *cluster) add(name string) {
	c.names = append(c.names, name)
	c.members[name] = &member{name: name}
	c.replaceDisk(name)
	c.start(name)
}

// replaceDisk replaces a replica's disk with an empty one.
func (c *cluster) replaceDisk(name string) {
	c.members[name].disk = disk{incarnation: c.rng.Uint64() | 1}
}

func (c *cluster) start(name string) {
	m := c.members[name]
	m.running, m.r, m.formation = true, nil, nil
	m.applied, m.restored = nil, 0
	if m.disk.durable.Snapshot.Group == 0 {
		m.formation = NewFormation("g", m.self(), c.seeds, c.rng.Uint64()|1, testHeartbeat)
		m.disk.firstStart = m.disk.firstStart || c.bootstrap
		switch {
		case c.voterCount == 0:
		case !slices.Contains(c.seeds, name):
			m.formation.JoinOnly()
		case m.disk.firstStart:
			m.formation.WithStart(protocol.FirstStart)
		default:
			m.formation.WithStart(protocol.LaterStart)
		}
		return
	}
	m.restore(m.disk.durable.Snapshot)
	m.startReplica(c, m.disk.durable)
}

func (m *member) startReplica(c *cluster, d DurableState) {
	m.formation = nil
	m.r = New(Config{
		Name: "g", Self: m.self(), ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat,
		Rand: c.rng.Int64N, MaxAppend: 64, MaxChunk: 16, MaxInflight: 4,
		Admit: func(name string) bool { return slices.Contains(c.names, name) }, Voters: c.voterCount,
	}, c.now, d)
}

// restore replaces the state machine, a list of commands, with a snapshot.
func (m *member) restore(s protocol.Snapshot) {
	m.applied = nil
	for _, b := range s.Data {
		m.applied = append(m.applied, fmt.Sprint(b))
	}
}

func (m *member) snapshotData() []byte {
	var b []byte
	for _, a := range m.applied {
		var n int
		fmt.Sscan(a, &n)
		b = append(b, byte(n))
	}
	return b
}

// kill stops a replica. Its disk holds only synced data.
func (c *cluster) kill(name string) { c.members[name].running = false }

// tick advances the time for all replicas.
func (c *cluster) tick(d time.Duration) {
	c.now += d
	for _, n := range c.names {
		c.step(n, func(m *member) {
			if m.r != nil {
				m.r.Tick(c.now)
				if m.r.RepairStopped() {
					m.r, m.formation = nil, NewFormation("g", m.self(), c.seeds, c.rng.Uint64()|1, testHeartbeat).JoinOnly()
				}
				return
			}
			if s, ok := m.formation.Tick(c.now); ok {
				m.joinFormedGroup(c, s)
			}
		})
	}
}

func (m *member) joinFormedGroup(c *cluster, s protocol.Snapshot) {
	c.inFlight = append(c.inFlight, m.formation.Messages()...)
	m.disk.durable = DurableState{Hard: protocol.HardState{Term: s.Term}, Snapshot: s}
	m.startReplica(c, m.disk.durable)
}

// deliver delivers the i-th message in flight.
func (c *cluster) deliver(i int) {
	m := c.inFlight[i]
	c.inFlight = slices.Delete(c.inFlight, i, i+1)
	if c.isolated[m.From.Name] || c.isolated[m.To.Name] {
		return
	}
	c.step(m.To.Name, func(to *member) { to.receive(c, m) })
}

func (m *member) receive(c *cluster, msg protocol.Consensus) {
	if m.r != nil {
		if !m.r.AnswerBlankQuery(c.now, msg) {
			m.r.Step(c.now, msg)
		}
		return
	}
	if msg.To == m.self() && (msg.Kind == protocol.MsgAppend || msg.Kind == protocol.MsgSnapshot) {
		m.startReplica(c, DurableState{})
		m.r.Step(c.now, msg)
		return
	}
	if s, ok := m.formation.Step(msg); ok {
		m.joinFormedGroup(c, s)
	}
}

// step runs f on a running replica and processes the resulting work.
func (c *cluster) step(name string, f func(*member)) {
	m := c.members[name]
	if m == nil || !m.running {
		return
	}
	f(m)
	if m.formation != nil {
		c.inFlight = append(c.inFlight, m.formation.Messages()...)
		return
	}
	c.processReady(m)
}

func (c *cluster) processReady(m *member) {
	for {
		r := m.r.Ready()
		if r.Empty() {
			break
		}
		m.disk.save(r, m.r)
		c.inFlight = append(c.inFlight, r.Messages...)
		if r.Restore != nil {
			m.restore(*r.Restore)
		}
		c.apply(m, r.Committed)
		m.r.Advance()
	}
	c.checkLeader(m)
}

func (c *cluster) apply(m *member, entries []protocol.Entry) {
	for _, e := range entries {
		earlier, applied := c.committed[e.Index]
		text := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
		if applied && earlier != text {
			c.t.Fatalf("index %d: %s applied %q, another replica applied %q", e.Index, m.name, text, earlier)
		}
		c.committed[e.Index] = text
		if e.Kind == protocol.EntryCommand && len(e.Data) > 0 {
			m.applied = append(m.applied, string(e.Data))
			c.acknowledge(m, e)
		}
	}
}

// acknowledge records a command whose commitment is reported to its proposer.
func (c *cluster) acknowledge(m *member, e protocol.Entry) {
	if m.r.role == Leader && c.proposed[string(e.Data)] == (logPosition{e.Index, e.Term}) {
		c.acked = append(c.acked, string(e.Data))
	}
}

func (c *cluster) checkLeader(m *member) {
	if m.r.role != Leader {
		return
	}
	term := m.r.hard.Term
	if other, ok := c.leaders[term]; ok && other != m.self() {
		c.t.Fatalf("term %d has two leaders: %v and %v", term, other, m.self())
	}
	c.leaders[term] = m.self()
}

// propose proposes the next command at a replica and reports whether the replica
// accepted it as the leader.
func (c *cluster) propose(name string) bool {
	ok := false
	c.step(name, func(m *member) {
		if m.r == nil || c.nextCommand > 250 {
			return
		}
		data := fmt.Sprint(c.nextCommand)
		index, term, err := m.r.Propose([]byte(data))
		if err == nil {
			c.proposed[data] = logPosition{index, term}
			c.nextCommand++
			ok = true
		}
	})
	return ok
}

// compact replaces the applied part of a replica's log with a snapshot.
func (c *cluster) compact(name string) {
	m := c.members[name]
	if !m.running || m.r == nil || m.r.applied <= m.r.log.snapshot.Index {
		return
	}
	s := m.r.Compact(m.snapshotData())
	hard, entries := m.r.Tail()
	m.disk.durable = DurableState{Hard: hard, Snapshot: s, Entries: slices.Clone(entries)}
}

// run runs the cluster for d without new faults.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.tick(5 * time.Millisecond)
		c.drain()
	}
}

// drain delivers all messages in flight, in order, up to a limit.
func (c *cluster) drain() {
	for range 1000 {
		if len(c.inFlight) == 0 {
			return
		}
		c.deliver(0)
	}
}

// leader returns the running replica that may act as leader, or "". It fails the
// test if two replicas hold a lease.
func (c *cluster) leader() string {
	leading := ""
	for _, n := range c.names {
		m := c.members[n]
		if !m.running || m.r == nil || c.isolated[n] || !m.r.Leads(c.now) {
			continue
		}
		if leading != "" {
			c.t.Fatalf("%s and %s both hold a lease at %v", leading, n, c.now)
		}
		leading = n
	}
	return leading
}

// awaitLeader runs the cluster until it has a leader.
func (c *cluster) awaitLeader() string {
	for range 200 {
		c.run(10 * time.Millisecond)
		if l := c.leader(); l != "" {
			return l
		}
	}
	c.t.Fatalf("no leader after 2 s without faults")
	return ""
}

// checkConverged checks that all running replicas applied the same commands, including
// every acknowledged one.
func (c *cluster) checkConverged() {
	want := c.members[c.leader()].applied
	for _, n := range c.names {
		if m := c.members[n]; m.running && !slices.Equal(m.applied, want) {
			c.t.Fatalf("%s applied %v, the leader applied %v", n, m.applied, want)
		}
	}
	for _, a := range c.acked {
		if !slices.Contains(want, a) {
			c.t.Fatalf("acknowledged command %s is lost; applied %v", a, want)
		}
	}
}
