// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"iter"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/badgerspoke/badgerspoke/coordination/registry"
	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/internal/sleep"
	"github.com/badgerspoke/badgerspoke/protocol"
	"github.com/badgerspoke/badgerspoke/state/document"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file defines watcher, which keeps the gateway's session with the directory's leader or a
// relay.

// dialTimeout bounds one connection attempt, so that a box that is switched off delays the search
// by no more than this.
const dialTimeout = 700 * time.Millisecond

// watcher keeps the session with the directory. Its fields are used only by the goroutine of run.
type watcher struct {
	g               *Gateway
	startID         uint64   // random; differs after a restart
	term            uint64   // highest term of a leader that has sent servers
	redirectTarget  string   // replica named by the last redirect; it is tried once
	replicas        []string // addresses of the directory's voters, as last reported
	candidatesTried int      // number of candidates tried so far; the first one is chosen at random
	viaRedirect     bool     // the address being tried comes from a redirect
	connected       bool     // a session with a leader or a relay is open
	avoided         []string // replicas that were lost, or unreachable after a redirect, since the last session
	countedReport   uint64   // number of the last report included in the next load totals
}

// run keeps a session with the current leader until the gateway stops.
func (w *watcher) run() {
	failures := 0
	for w.g.ctx.Err() == nil {
		if w.session(w.nextAddress()) {
			failures = 0
			continue
		}
		failures++
		sleep.For(w.g.ctx, registry.RedialPause(failures)) // the loop checks whether ctx has ended
	}
}

// nextAddress returns the address to try: the one from a redirect if there is one, otherwise the
// candidates in turn.
func (w *watcher) nextAddress() string {
	w.viaRedirect = w.redirectTarget != ""
	if target := w.redirectTarget; target != "" {
		w.redirectTarget = ""
		return target
	}
	all := candidates(w.replicas, *w.g.seeds.Load())
	if len(all) == 0 {
		return ""
	}
	if w.candidatesTried == 0 {
		w.candidatesTried = int(w.startID % uint64(len(all)))
	}
	w.candidatesTried++
	return all[w.candidatesTried%len(all)]
}

// candidates returns the addresses at which a leader may be: the directory's replicas, then the
// seeds that are not among them.
func candidates(replicas, seeds []string) []string {
	all := slices.Clone(replicas)
	for _, s := range seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// session runs one session with the replica at an address and reports whether the replica served
// it.
func (w *watcher) session(address string) bool {
	dialing, cancelDial := context.WithTimeout(w.g.ctx, dialTimeout)
	l, err := link.Dial(dialing, address, w.g.cfg.Identity, w.g.meter)
	cancelDial()
	if err != nil {
		if w.viaRedirect {
			w.addAvoided(address)
		}
		return false
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(w.g.ctx)
	defer cancel()
	if err := l.Send(ctx, w.hello()); err != nil {
		return false
	}
	served := false
	for {
		m, err := l.ReceiveWithIdleTimeout(ctx, registry.LeaderTimeout)
		if err != nil {
			w.addAvoided(address)
			w.endSession(address, err)
			return served
		}
		if e, ok := m.(protocol.WatchRedirect); ok {
			w.handleRedirect(address, e)
			return false
		}
		if !served {
			served, w.avoided = true, nil
			w.connected = true
			w.g.table.setListening(true)
			w.g.cfg.Log.StateChange("directory found", slog.String("leader", address))
			w.g.origins.beginSession(func(q protocol.StreamQuery) { _ = l.Send(ctx, q) }) // a lost link ends the session
			go w.report(ctx, l)
			go w.reportStreams(ctx, l)
		}
		w.handle(m)
	}
}

// hello returns the message that opens a session.
func (w *watcher) hello() protocol.Watch {
	return protocol.Watch{
		Gateway: w.g.cfg.Identity.Name, BootID: w.startID, DocumentNumber: w.g.DocumentNumber(), Term: w.term, SupportsHalls: true,
		SupportsRollouts: true, Region: w.g.cfg.Region, Avoid: w.avoided,
		KnownServers: w.g.table.size(), KeepsHandles: true, Hall: w.g.cfg.Hall, Redirected: w.viaRedirect,
	}
}

// handleRedirect handles the message of a replica that does not serve this gateway or that ends its
// session. A replica that names itself is tried again at once only if it has just served: it is
// then a relay that has started to pass on another leader's messages.
func (w *watcher) handleRedirect(address string, e protocol.WatchRedirect) {
	served := w.connected
	w.endSession(address, errRedirected)
	if len(e.Members) > 0 {
		w.replicas = e.Members
	}
	if e.Leader != address || served {
		w.redirectTarget = e.Leader
	}
}

// maxAvoided bounds the replicas to avoid that are reported, the newest ones first. It is the
// number of voters in the largest directory.
const maxAvoided = 9

// addAvoided records a replica that was lost or not reached, to be reported to the next replica.
func (w *watcher) addAvoided(address string) {
	w.avoided = slices.DeleteFunc(w.avoided, func(a string) bool { return a == address })
	w.avoided = append(w.avoided, address)
	w.avoided = w.avoided[max(len(w.avoided)-maxAvoided, 0):]
}

// errRedirected ends a session whose replica has redirected the gateway.
var errRedirected = errors.New("the replica does not serve this gateway")

// endSession ends the open session, if there is one, and logs the cause.
func (w *watcher) endSession(address string, err error) {
	if !w.connected {
		return
	}
	w.connected = false
	w.g.table.endShares()
	w.g.table.setListening(false)
	w.g.suspicions.followsLeader.Store(false)
	w.g.origins.endSession()
	w.g.cfg.Log.StateChange("directory lost", slog.String("leader", address), slog.String("error", err.Error()),
		slog.Uint64("document", w.g.DocumentNumber()), slog.Int("backends", w.g.table.size()))
}

// handle applies a message of the leader.
func (w *watcher) handle(m protocol.Message) {
	switch m := m.(type) {
	case protocol.Document:
		var d document.Document
		if err := cbor.Unmarshal(m.Data, &d); err != nil {
			w.g.cfg.Log.StateChange("document unreadable", slog.Uint64("number", m.Number), slog.String("error", err.Error()))
			return
		}
		w.g.apply(d)
	case protocol.Servers:
		w.applyServers(m.FromWire())
	case protocol.Rollouts:
		for _, r := range w.g.table.updateRollouts(m) {
			w.g.cfg.Log.StateChange("rollout share", slog.String("pool", r.Pool), slog.String("target", r.Target),
				slog.Uint64("attempt", r.Attempt), slog.Float64("share", r.Share), slog.Any("barred", r.Barred),
				slog.Any("replaced", r.Replaced), slog.Uint64("term", m.Term), slog.Uint64("seq", m.Seq))
		}
		w.g.grantAll()
	case protocol.Quarantine:
		w.g.suspicions.applyList(m)
	case protocol.Streams:
		w.g.origins.addOthers(w.g.now(), w.g.streamRetention(), streamversion.FromWire(m.List))
	case protocol.StreamAnswer:
		w.g.origins.answer(m)
	case protocol.Counted:
		w.countedReport = m.Seq
	case protocol.Fleet:
		w.g.gatewayCount.Store(int64(max(m.Gateways, 1)))
		w.replicas = m.Members
		if !m.Incomplete {
			w.g.accounts.update(m.Entitlements, m.Late, m.Contended)
			w.g.accounts.setMaxRate(m.MaxRate)
		}
		w.g.table.updateLoads(w.g.now(), w.countedReport, m.Loads)
		w.g.grantAll()
	}
}

// applyServers applies changes of the server list and of the data halls that are out of service.
func (w *watcher) applyServers(m protocol.Servers) {
	if m.Term > w.term {
		w.term = m.Term
		w.g.suspicions.beginSession()
	}
	if m.Whole {
		w.g.origins.setListed(m.AnswersStreams)
	}
	_, oldChanges := w.g.table.listHallsOut()
	if joined, left := w.g.table.update(m); len(joined)+len(left) > 0 {
		w.g.cfg.Log.StateChange("backends changed", slog.Any("joined", joined), slog.Any("left", left),
			slog.Uint64("term", m.Term), slog.Bool("whole", m.Whole), slog.Bool("complete", m.Complete))
	}
	for _, d := range w.g.table.takeDoubtful() {
		w.g.origins.addDoubtful(w.g.now(), w.g.streamRetention(), d)
		w.g.cfg.Log.StateChange("stream versions in doubt", slog.String("pool", d.pool), slog.Any("versions", d.versions),
			slog.Int("streams", len(d.ids)))
	}
	if out, changes := w.g.table.listHallsOut(); changes != oldChanges {
		w.g.cfg.Log.StateChange("halls out of service", slog.Any("halls", out), slog.Uint64("changes", changes))
	}
	w.g.grantAll()
}

// report sends the replica the load, the demand and the rollout outcomes of this gateway until ctx
// ends or the session is lost.
func (w *watcher) report(ctx context.Context, l *link.Link) {
	seq := uint64(0)
	w.g.suspicions.beginSession()
	for range w.reportTimes(ctx) {
		seq++
		u := w.g.accounts.takeReport()
		unaccepted := w.g.acceptBacklog.takeUnaccepted(w.g.now())
		w.g.stats.connectionsUnaccepted.Add(unaccepted)
		u.Unread = estimateUnread(u.Demands, unaccepted, int(w.g.requestsSinceReport.Swap(0)))
		u.Seq, u.Loads, u.DocumentNumber = seq, w.g.table.takeReport(seq), w.g.DocumentNumber()
		u.Term = w.g.table.leaderTerm() // read before AppliedRollouts, which may already belong to the next leader's term
		u.Outcomes, u.AppliedRollouts = w.g.table.takeOutcomes(w.g.now())
		u.Barred = w.g.table.locallyBarred()
		w.g.suspicions.addToReport(w.g.now(), &u)
		if err := l.Send(ctx, u); err != nil {
			return // the session's receive fails as well and logs the cause
		}
	}
}

// streamReportPeriod is the time between two reports of streams that have begun. Streams that a
// gateway has not reported before it is killed cannot go on, so it is short compared with the length
// of a stream.
const streamReportPeriod = 20 * time.Millisecond

// reportStreams sends the replica the streams that have begun here until ctx ends or the session is lost.
func (w *watcher) reportStreams(ctx context.Context, l *link.Link) {
	for range sleep.Every(ctx, streamReportPeriod) {
		list := w.g.takeStreams()
		if len(list) == 0 {
			continue
		}
		if err := l.Send(ctx, protocol.Streams{List: list}); err != nil {
			return // the session's receive fails as well and logs the cause
		}
	}
}

// reportTimes yields whenever a report is due: once per period, and as soon as servers have ended,
// so that the leader learns of the requests that ran there before they are retried.
func (w *watcher) reportTimes(ctx context.Context) iter.Seq[struct{}] {
	return func(yield func(struct{}) bool) {
		tick := time.NewTicker(registry.ReportPeriod)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			case <-w.g.suspicions.unreported:
			}
			if !yield(struct{}{}) {
				return
			}
		}
	}
}
