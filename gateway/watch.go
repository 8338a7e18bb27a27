// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines watcher, the gateway's session with the directory's
// leader.

const (
	usagePeriod   = 100 * time.Millisecond
	silenceLimit  = time.Second // the leader says something every 100 ms
	redialPause   = 50 * time.Millisecond
	redialLongest = 300 * time.Millisecond
	redialsAtOnce = 60 // redials before the pause grows: an election or two
	dialTimeout   = 700 * time.Millisecond
)

type watcher struct {
	g       *Gateway
	boot    uint64
	term    uint64
	leader  string   // where the leader was last, or was said to be
	members []string // of the directory, as last heard
	turn    int      // next candidate
	linked  bool
}

func newWatcher(g *Gateway) *watcher { return &watcher{g: g, boot: g.cfg.Random() | 1} }

// run keeps a session with whoever leads, until the gateway stops.
func (w *watcher) run() {
	failures := 0
	for w.g.ctx.Err() == nil {
		if w.session(w.next()) {
			failures = 0
			continue
		}
		failures++
		pause := redialPause
		if failures > redialsAtOnce {
			pause = redialLongest
		}
		select {
		case <-w.g.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// next returns where to ask: the leader if one is known, else the members and
// the seeds in turn.
func (w *watcher) next() string {
	if leader := w.leader; leader != "" {
		w.leader = ""
		return leader
	}
	candidates := slices.Clone(w.members)
	for _, s := range *w.g.seeds.Load() {
		if !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	if w.turn == 0 {
		w.turn = int(w.boot % uint64(len(candidates)))
	}
	w.turn++
	return candidates[w.turn%len(candidates)]
}

// session runs one session and reports whether the replica led.
func (w *watcher) session(address string) bool {
	dialing, cancelDial := context.WithTimeout(w.g.ctx, dialTimeout)
	l, err := link.Dial(dialing, address, w.g.cfg.Identity, w.g.meter)
	cancelDial()
	if err != nil {
		return false
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(w.g.ctx)
	defer cancel()
	hello := protocol.Watch{Gateway: w.g.cfg.Identity.Name, Boot: w.boot, Number: w.g.DocumentNumber(), Term: w.term}
	if _, err := l.Send(ctx, hello); err != nil {
		return false
	}
	led := false
	for {
		m, err := w.receive(ctx, l)
		if err != nil {
			w.lost(address, err)
			return led
		}
		if e, ok := m.(protocol.WatchRedirect); ok {
			w.redirected(address, e)
			return false
		}
		if !led {
			led = true
			w.found(address)
			go w.report(ctx, l)
		}
		w.take(m)
	}
}

// receive waits for a message, but not for a silent leader.
func (w *watcher) receive(ctx context.Context, l *link.Link) (protocol.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return l.Receive(ctx)
}

func (w *watcher) redirected(address string, e protocol.WatchRedirect) {
	if len(e.Members) > 0 {
		w.members = e.Members
	}
	if e.Leader != address {
		w.leader = e.Leader
	}
}

func (w *watcher) found(address string) {
	w.linked = true
	w.g.cfg.Log.StateChange("directory found", slog.String("leader", address))
}

func (w *watcher) lost(address string, err error) {
	if !w.linked {
		return
	}
	w.linked = false
	w.g.cfg.Log.StateChange("directory lost", slog.String("leader", address), slog.String("error", err.Error()),
		slog.Uint64("document", w.g.DocumentNumber()), slog.Int("backends", w.g.table.size()))
}

func (w *watcher) take(m protocol.Message) {
	switch m := m.(type) {
	case protocol.Document:
		var d document.Document
		if err := cbor.Unmarshal(m.Data, &d); err != nil {
			w.g.cfg.Log.StateChange("document unreadable", slog.Uint64("number", m.Number), slog.String("error", err.Error()))
			return
		}
		w.g.apply(d)
	case protocol.Servers:
		w.term = max(w.term, m.Term)
		if changed := w.g.table.update(m); len(changed.joined)+len(changed.left) > 0 {
			w.g.cfg.Log.StateChange("backends changed", slog.Any("joined", changed.joined), slog.Any("left", changed.left),
				slog.Uint64("term", m.Term), slog.Bool("whole", m.Whole), slog.Bool("complete", m.Complete))
		}
		w.g.grantAll()
	case protocol.Fleet:
		w.g.gateways.Store(int64(max(m.Gateways, 1)))
		w.members = m.Members
		w.g.accounts.update(m.Entitlements, m.Short)
		w.g.table.updateLoads(w.g.now(), m.Loads)
		w.g.grantAll()
	}
}

// report tells the leader how this gateway stands, until ctx ends.
func (w *watcher) report(ctx context.Context, l *link.Link) {
	t := time.NewTicker(usagePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		u := protocol.Usage{Loads: w.g.table.running(), Number: w.g.DocumentNumber()}
		u.Demands, u.Started, u.Missed = w.g.accounts.takeReport()
		if _, err := l.Send(ctx, u); err != nil {
			return
		}
	}
}
