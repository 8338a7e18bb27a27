// SPDX-License-Identifier: Apache-2.0

package directory_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/coordination/place"
	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/rollout"
	"github.com/badgerspoke/badgerspoke/decision"
	"github.com/badgerspoke/badgerspoke/directory"
	"github.com/badgerspoke/badgerspoke/gateway"
	"github.com/badgerspoke/badgerspoke/internal/fakedisk"
	"github.com/badgerspoke/badgerspoke/internal/fakenet"
	"github.com/badgerspoke/badgerspoke/internal/golden"
	"github.com/badgerspoke/badgerspoke/transport/forward"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file records the names and labels of metrics, and the attributes of log lines by event, of a
// gateway and a directory replica in a run with answered, refused and failed requests. It compares
// them with testdata/golden, which pins these external names. Run with -update to rewrite the
// golden files.

// testHeaders reads a request's identifier and the shared parts of its prompt.
type testHeaders struct{}

func (testHeaders) DecodeRequest(r *http.Request) gateway.RequestHead {
	head := gateway.RequestHead{ID: r.Header.Get("Id"), Timeout: 300 * time.Millisecond}
	for _, name := range strings.Fields(r.Header.Get("Parts")) {
		head.Prompt.Shared = append(head.Prompt.Shared, place.Part{Name: name, Tokens: 100})
	}
	return head
}
func (testHeaders) ForwardHeader(from http.Header, _ gateway.Forwarding) http.Header {
	return from.Clone()
}
func (testHeaders) AnswerHeader(from http.Header) http.Header { return from.Clone() }
func (testHeaders) DecodeAnswer(_ int, h http.Header) gateway.AnswerHead {
	return gateway.AnswerHead{ID: h.Get("Id"), Signed: true}
}

// scriptedServer answers or fails each request as its identifier says.
type scriptedServer struct{}

func (scriptedServer) DropIdle(string) {}

func (scriptedServer) DropAllIdle() {}

func (scriptedServer) RefusesConnections(context.Context, string) bool { return false }

func (scriptedServer) Send(ctx context.Context, address string, call forward.Call) (*forward.Response, error) {
	answer := &forward.Response{Status: 200, Header: http.Header{"Id": call.Header["Id"]}, Length: 4, Body: io.NopCloser(strings.NewReader("done"))}
	switch call.Header.Get("Id") {
	case "hangs":
		<-ctx.Done()
		return nil, forward.MayHaveRun{Server: address, Err: ctx.Err()}
	case "lost":
		return nil, forward.MayHaveRun{Server: address, Err: io.ErrUnexpectedEOF}
	case "refused":
		return nil, forward.NotRun{Server: address, Refused: true, Status: 503, Header: answer.Header, Err: io.EOF}
	case "unreachable":
		return nil, forward.NotRun{Server: address, Err: io.ErrClosedPipe}
	}
	return answer, nil
}

// runOutput holds the logs and metrics of both processes.
type runOutput struct{ gatewayLog, directoryLog, gatewayMetrics, directoryMetrics string }

// recordRun runs one directory replica and one gateway, with a backend server that joins and later
// leaves.
func recordRun(t *testing.T) (out runOutput) {
	synctest.Test(t, func(t *testing.T) {
		x := &fleet{t: t, net: fakenet.New(networkLatency), rng: rand.New(rand.NewPCG(1, 1)), nodes: map[string]*directoryNode{}, announceSeqs: map[string]uint64{}}
		start := func() (*decision.Log, *metrics.Set, *bytes.Buffer) {
			var to bytes.Buffer
			set := metrics.NewSet()
			return decision.New(&to, slog.LevelInfo, decision.DefaultBudget, set), set, &to
		}
		seeds := []string{"10.0.1.1:7400"}
		ctx, cancel := context.WithCancel(context.Background())
		directoryLog, directorySet, directoryText := start()
		disk := fakedisk.New(1)
		d, err := directory.Start(ctx, directory.Settings{
			Identity: link.Identity{Name: seeds[0], Key: fleetKey, Dial: x.net.DialerFrom("10.0.1.1").DialContext},
			Seeds:    seeds, Bootstrap: true, Voters: 1, Dir: disk, AnnounceInterval: announceInterval, Random: x.random, Log: directoryLog, Metrics: directorySet,
		})
		is.New(t).NoErr(err)
		stop := x.serve(seeds[0], d)
		x.nodes["10.0.1.1"], x.ips = &directoryNode{ip: "10.0.1.1", d: d}, []string{"10.0.1.1"}
		x.awaitLeader()
		gatewayLog, gatewaySet, gatewayText := start()
		running, end := context.WithCancel(context.Background())
		g := gateway.Start(running, gateway.Settings{
			Identity: link.Identity{Name: "10.0.2.1:7400", Key: fleetKey, Dial: x.net.DialerFrom("10.0.2.1").DialContext},
			Seeds:    seeds, Headers: testHeaders{}, Transport: scriptedServer{}, Retries: retry.Limits{Ratio: 0.2, Extra: 1000, Window: time.Second},
			Grace: time.Second, MaxTotalBodyBytes: 1 << 20, Random: func() uint64 { return 1 }, Log: gatewayLog, Metrics: gatewaySet,
		})
		x.sendRequest(g, "early")
		x.putDocument(7)
		for range 3 {
			is.New(t).NoErr(x.announce("b1", false))
			time.Sleep(announceInterval)
		}
		for _, id := range []string{"done", "lost", "refused", "hangs", "unreachable"} {
			x.sendRequest(g, id)
			time.Sleep(announceInterval / 2)
			synctest.Wait()
		}
		is.New(t).NoErr(d.StartRollout(t.Context(), rollout.Order{Pool: "p", Target: "v2", Duration: time.Hour}))
		time.Sleep(announceInterval) // until the leader has begun the rollout
		is.New(t).NoErr(d.AbortRollout(t.Context(), "p", 1))
		is.New(t).NoErr(x.announce("b1", true))
		time.Sleep(5 * announceInterval)
		stop()
		x.net.Kill("10.0.1.1")
		time.Sleep(5 * time.Second)
		end()
		cancel()
		<-d.Done()
		synctest.Wait()
		gatewayLog.Close()
		directoryLog.Close()
		text := func(set *metrics.Set) string {
			var b bytes.Buffer
			set.WritePrometheus(&b)
			return b.String()
		}
		out = runOutput{gatewayText.String(), directoryText.String(), text(gatewaySet), text(directorySet)}
	})
	return out
}

// sendRequest sends a request with an identifier.
func (x *fleet) sendRequest(g *gateway.Gateway, id string) {
	r := httptest.NewRequestWithContext(x.t.Context(), http.MethodPost, "/", strings.NewReader("a body"))
	r.Host = "h"
	r.Header.Set("Id", id)
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	g.ServeHTTP(httptest.NewRecorder(), r)
}

func TestGoldenMetricsAndLogKeys(t *testing.T) {
	out := recordRun(t)
	golden.Text(t, "gateway-metrics.txt", metricNames(out.gatewayMetrics))
	golden.Text(t, "directory-metrics.txt", metricNames(out.directoryMetrics))
	golden.Text(t, "gateway-log-keys.txt", logKeys(t, out.gatewayLog))
	golden.Text(t, "directory-log-keys.txt", logKeys(t, out.directoryLog))
}

var (
	ownMetric    = regexp.MustCompile(`(?m)^(badgerspoke_[^ ]+) `)
	metricBucket = regexp.MustCompile(`vmrange="[^"]*"`)
)

// metricNames lists metric names with labels, without values.
func metricNames(text string) string {
	found := map[string]bool{}
	for _, m := range ownMetric.FindAllStringSubmatch(text, -1) {
		found[metricBucket.ReplaceAllString(m[1], "vmrange")] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(found)), "\n") + "\n"
}

// logKeys lists the attributes of each event.
func logKeys(t *testing.T, log string) string {
	found := map[string]bool{}
	for line := range strings.Lines(log) {
		var fields map[string]any
		is.New(t).NoErr(json.Unmarshal([]byte(line), &fields))
		cause := ""
		if c, ok := fields["cause"]; ok {
			cause = fmt.Sprintf(" (%v)", c)
		}
		found[fmt.Sprintf("%v%s: %s", fields["msg"], cause, strings.Join(slices.Sorted(maps.Keys(fields)), " "))] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(found)), "\n") + "\n"
}
