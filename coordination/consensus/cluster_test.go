// SPDX-License-Identifier: Apache-2.0

package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines cluster, a group of replicas joined by lists of messages,
// with disks that forget what was not synced. Tests drive it step by step.

const (
	testElection  = 100 * time.Millisecond
	testHeartbeat = 20 * time.Millisecond
)

// failer is what tests report to; *testing.T and *rapid.T are.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// disk is what a replica has durable.
type disk struct {
	incarnation uint64
	d           Durable
}

func (d *disk) save(ready Ready, r *Replica) {
	if ready.Snapshot != nil {
		hard, entries := r.Tail()
		d.d = Durable{Hard: hard, Snapshot: *ready.Snapshot, Entries: slices.Clone(entries)}
		return
	}
	if ready.Hard != nil {
		d.d.Hard = *ready.Hard
	}
	for _, e := range ready.Entries {
		keep := min(e.Index-d.d.Snapshot.Index-1, uint64(len(d.d.Entries)))
		d.d.Entries = append(d.d.Entries[:keep:keep], e)
	}
}

// member is one replica of the cluster.
type member struct {
	name      string
	disk      disk
	r         *Replica
	formation *Formation
	running   bool
	gone      bool     // for good
	applied   []string // commands, in order
	restored  int      // entries that came with a snapshot
}

func (m *member) self() protocol.Peer {
	return protocol.Peer{Name: m.name, Incarnation: m.disk.incarnation}
}

// cluster is the whole group.
type cluster struct {
	t       failer
	rng     *rand.Rand
	now     time.Duration
	names   []string
	members map[string]*member
	net     []protocol.Consensus
	cut     map[string]bool // cut off in silence
	// Facts that must never change.
	leaders   map[uint64]protocol.Peer // by term
	committed map[uint64]string        // by index
	acked     []string                 // commands acknowledged to a proposer
	proposed  map[string]placeInLog
	next      int
	// Of an open group: the number of voters, the seeds, and whether it is
	// the first start.
	open  int
	seeds []string
	first bool
}

type placeInLog struct{ index, term uint64 }

func newCluster(t failer, seed uint64, names ...string) *cluster {
	c := emptyCluster(t, seed)
	c.seeds = names
	for _, n := range names {
		c.add(n)
	}
	return c
}

func emptyCluster(t failer, seed uint64) *cluster {
	return &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), members: map[string]*member{},
		cut: map[string]bool{}, leaders: map[uint64]protocol.Peer{}, committed: map[uint64]string{},
		proposed: map[string]placeInLog{},
	}
}

// add starts a replica with an empty disk.
func (c *cluster) add(name string) {
	c.names = append(c.names, name)
	c.members[name] = &member{name: name}
	c.blank(name)
	c.start(name)
}

// blank gives a replica an empty disk.
func (c *cluster) blank(name string) {
	c.members[name].disk = disk{incarnation: c.rng.Uint64() | 1}
}

func (c *cluster) start(name string) {
	m := c.members[name]
	m.running, m.r, m.formation = true, nil, nil
	m.applied, m.restored = nil, 0
	if m.disk.d.Snapshot.Group == 0 {
		m.formation = NewFormation("g", m.self(), c.seeds, c.rng.Uint64()|1, testHeartbeat)
		if c.open > 0 && !(c.first && slices.Contains(c.seeds, name)) {
			m.formation.JoinOnly()
		}
		return
	}
	m.restore(m.disk.d.Snapshot)
	m.begin(c, m.disk.d)
}

func (m *member) begin(c *cluster, d Durable) {
	m.formation = nil
	m.r = New(Config{
		Name: "g", Self: m.self(), Election: testElection, Heartbeat: testHeartbeat,
		Rand: c.rng.Int64N, MaxAppend: 64, MaxChunk: 16, MaxInflight: 4,
		Admit: func(name string) bool { return slices.Contains(c.names, name) }, Voters: c.open,
	}, c.now, d)
}

// restore sets the state machine, a list of commands, to a snapshot.
func (m *member) restore(s protocol.Snapshot) {
	m.applied = nil
	for _, b := range s.Data {
		m.applied = append(m.applied, fmt.Sprint(b))
	}
}

func (m *member) image() []byte {
	var b []byte
	for _, a := range m.applied {
		var n int
		fmt.Sscan(a, &n)
		b = append(b, byte(n))
	}
	return b
}

// kill stops a replica; what was not synced is gone already.
func (c *cluster) kill(name string) { c.members[name].running = false }

// tick lets time pass for everybody.
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
				m.found(c, s)
			}
		})
	}
}

func (m *member) found(c *cluster, s protocol.Snapshot) {
	c.net = append(c.net, m.formation.Messages()...)
	m.disk.d = Durable{Hard: protocol.HardState{Term: s.Term}, Snapshot: s}
	m.begin(c, m.disk.d)
}

// deliver hands over the i-th message on the net.
func (c *cluster) deliver(i int) {
	m := c.net[i]
	c.net = slices.Delete(c.net, i, i+1)
	if c.cut[m.From.Name] || c.cut[m.To.Name] {
		return
	}
	c.step(m.To.Name, func(to *member) { to.take(c, m) })
}

func (m *member) take(c *cluster, msg protocol.Consensus) {
	if m.r != nil {
		if !m.r.AnswerBlankQuery(c.now, msg) {
			m.r.Step(c.now, msg)
		}
		return
	}
	if msg.To == m.self() && (msg.Kind == protocol.MsgAppend || msg.Kind == protocol.MsgSnapshot) {
		m.begin(c, Durable{})
		m.r.Step(c.now, msg)
		return
	}
	if s, ok := m.formation.Step(msg); ok {
		m.found(c, s)
	}
}

// step runs f on a running replica and carries out what follows.
func (c *cluster) step(name string, f func(*member)) {
	m := c.members[name]
	if m == nil || !m.running {
		return
	}
	f(m)
	if m.formation != nil {
		c.net = append(c.net, m.formation.Messages()...)
		return
	}
	c.carryOut(m)
}

func (c *cluster) carryOut(m *member) {
	for {
		r := m.r.Ready()
		if r.Empty() {
			break
		}
		m.disk.save(r, m.r)
		c.net = append(c.net, r.Messages...)
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
		was, known := c.committed[e.Index]
		text := fmt.Sprintf("%d/%d/%s", e.Term, e.Kind, e.Data)
		if known && was != text {
			c.t.Fatalf("index %d: %s applied %q, others %q", e.Index, m.name, text, was)
		}
		c.committed[e.Index] = text
		if e.Kind == protocol.EntryCommand && len(e.Data) > 0 {
			m.applied = append(m.applied, string(e.Data))
			c.acknowledge(m, e)
		}
	}
}

// acknowledge notes a command whose proposer learns that it is committed.
func (c *cluster) acknowledge(m *member, e protocol.Entry) {
	if m.r.role == Leader && c.proposed[string(e.Data)] == (placeInLog{e.Index, e.Term}) {
		c.acked = append(c.acked, string(e.Data))
	}
}

func (c *cluster) checkLeader(m *member) {
	if m.r.role != Leader {
		return
	}
	term := m.r.hard.Term
	if other, ok := c.leaders[term]; ok && other != m.self() {
		c.t.Fatalf("term %d has two leaders, %v and %v", term, other, m.self())
	}
	c.leaders[term] = m.self()
}

// propose proposes the next command at a replica, if it leads.
func (c *cluster) propose(name string) bool {
	ok := false
	c.step(name, func(m *member) {
		if m.r == nil || c.next > 250 {
			return
		}
		data := fmt.Sprint(c.next)
		index, term, err := m.r.Propose([]byte(data))
		if err == nil {
			c.proposed[data] = placeInLog{index, term}
			c.next++
			ok = true
		}
	})
	return ok
}

// compact makes a replica replace its log by a snapshot.
func (c *cluster) compact(name string) {
	m := c.members[name]
	if !m.running || m.r == nil || m.r.applied <= m.r.log.snapshot.Index {
		return
	}
	s := m.r.Compact(m.image())
	hard, entries := m.r.Tail()
	m.disk.d = Durable{Hard: hard, Snapshot: s, Entries: slices.Clone(entries)}
}

// settle runs the cluster without faults for a while.
func (c *cluster) settle(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.tick(5 * time.Millisecond)
		c.drain()
	}
}

// drain delivers everything that is on the net, in order.
func (c *cluster) drain() {
	for range 1000 {
		if len(c.net) == 0 {
			return
		}
		c.deliver(0)
	}
}

// leader returns the running replica that may act as leader, or "".
func (c *cluster) leader() string {
	leading := ""
	for _, n := range c.names {
		m := c.members[n]
		if !m.running || m.r == nil || c.cut[n] || !m.r.Leads(c.now) {
			continue
		}
		if leading != "" {
			c.t.Fatalf("%s and %s both have a lease at %v", leading, n, c.now)
		}
		leading = n
	}
	return leading
}

// mustLead settles until somebody leads.
func (c *cluster) mustLead() string {
	for range 200 {
		c.settle(10 * time.Millisecond)
		if l := c.leader(); l != "" {
			return l
		}
	}
	c.t.Fatalf("nobody leads after 2 s without faults")
	return ""
}

// checkSame checks that all replicas applied the same and hold everything
// that was acknowledged.
func (c *cluster) checkSame() {
	want := c.members[c.leader()].applied
	for _, n := range c.names {
		if m := c.members[n]; m.running && !slices.Equal(m.applied, want) {
			c.t.Fatalf("%s applied %v, the leader %v", n, m.applied, want)
		}
	}
	for _, a := range c.acked {
		if !slices.Contains(want, a) {
			c.t.Fatalf("acknowledged command %s is lost; applied %v", a, want)
		}
	}
}
