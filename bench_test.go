// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/badgerspoke/badgerspoke"
	"github.com/badgerspoke/badgerspoke/cli"
	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
	"github.com/badgerspoke/badgerspoke/router"
	"github.com/badgerspoke/badgerspoke/standin"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file measures the overhead of a router per request, on the loopback.

// startBox starts one box with both roles, an engine and a plain service. It
// returns the callers' address and the address of the engine.
func startBox(b *testing.B, engine standin.EngineSettings) (callers, direct string) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		return l
	}
	el := listen()
	es := &http.Server{Handler: standin.NewEngine(engine)}
	go func() { _ = es.Serve(el) }()
	cl, ol, fl := listen(), listen(), listen()
	limits := router.DefaultLimits
	limits.Waiting, limits.AccountWaiting, limits.QueueTimeout = 100_000, 100_000, time.Hour
	box, err := badgerspoke.Start(context.Background(), badgerspoke.Settings{
		Name: "one", FleetKey: []byte("a key that all boxes share"), Replicas: map[string]string{"one": fl.Addr().String()},
		Router: true, Callers: cl, Control: true, Operators: ol, Fleet: fl, DataDir: b.TempDir(), OperatorToken: operatorToken, Limits: limits,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		es.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		box.Stop(ctx)
	})
	c := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+ol.Addr().String(),
		connect.WithInterceptors(cli.Authorize(operatorToken)))
	h := config.HashKey("hotel")
	retry(b, func(ctx context.Context) error {
		_, err := c.CreateAccount(ctx, connect.NewRequest(&operatorv1.CreateAccountRequest{
			Change: &operatorv1.Change{Id: "a"}, Name: "hotel", Share: 1, KeyHash: hex.EncodeToString(h[:]),
		}))
		return err
	})
	retry(b, func(ctx context.Context) error {
		_, err := c.AddServer(ctx, connect.NewRequest(&operatorv1.AddServerRequest{
			Change: &operatorv1.Change{Id: "s"}, Server: &operatorv1.Server{
				Name: "e", Pool: "llm", Address: el.Addr().String(), Kind: operatorv1.Kind_KIND_ENGINE,
				Mark: operatorv1.Mark_MARK_SERVING, Slots: uint32(engine.Slots), Models: []string{"m"},
			}}))
		return err
	})
	sl := listen()
	ss := &http.Server{Handler: &standin.Service{}}
	go func() { _ = ss.Serve(sl) }()
	b.Cleanup(func() { ss.Close() })
	retry(b, func(ctx context.Context) error {
		_, err := c.AddServer(ctx, connect.NewRequest(&operatorv1.AddServerRequest{
			Change: &operatorv1.Change{Id: "p"}, Server: &operatorv1.Server{
				Name: "p", Pool: "stock", Address: sl.Addr().String(), Kind: operatorv1.Kind_KIND_SERVICE,
				Mark: operatorv1.Mark_MARK_SERVING, Slots: 64,
			}}))
		return err
	})
	retry(b, func(context.Context) error {
		if box.Ready() && box.Router().Revision() == 3 {
			return nil
		}
		return fmt.Errorf("not ready")
	})
	return cl.Addr().String(), el.Addr().String()
}

// retry calls f until it succeeds, up to 200 times.
func retry(b *testing.B, f func(ctx context.Context) error) {
	var err error
	for range 200 {
		if err = f(context.Background()); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal(err)
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// sendCompletion sends a streamed completion and checks that the stream is complete.
func sendCompletion(address string, tokens int) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":true}`, tokens)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer hotel")
	resp, err := benchClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && !strings.HasSuffix(string(body), "[DONE]\n\n") {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// BenchmarkRouterLatency alternates between requests to the engine and requests
// through the router, and reports the latency that the router adds.
func BenchmarkRouterLatency(b *testing.B) {
	callers, direct := startBox(b, standin.EngineSettings{Slots: 64})
	var directTimes, routedTimes []time.Duration
	timed := func(address string) time.Duration {
		began := time.Now()
		if err := sendCompletion(address, 4); err != nil {
			b.Fatal(err)
		}
		return time.Since(began)
	}
	for b.Loop() {
		directTimes = append(directTimes, timed(direct))
		routedTimes = append(routedTimes, timed(callers))
	}
	slices.Sort(directTimes)
	slices.Sort(routedTimes)
	quantile := func(d []time.Duration, q float64) float64 {
		return float64(d[min(int(q*float64(len(d))), len(d)-1)].Microseconds())
	}
	b.ReportMetric(quantile(routedTimes, 0.5)-quantile(directTimes, 0.5), "added-p50-µs")
	b.ReportMetric(quantile(routedTimes, 0.99)-quantile(directTimes, 0.99), "added-p99-µs")
	b.ReportMetric(quantile(routedTimes, 0.5)/quantile(directTimes, 0.5), "p50-ratio")
}

// BenchmarkClaimLatency alternates between orders without and with an
// idempotency key, and reports the latency that the claim adds: a commit to the
// local disk, with one replica.
func BenchmarkClaimLatency(b *testing.B) {
	callers, _ := startBox(b, standin.EngineSettings{Slots: 1})
	var unkeyedTimes, keyedTimes []time.Duration
	timed := func(key string) time.Duration {
		req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/services/stock/orders", strings.NewReader("sheets"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer hotel")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		began := time.Now()
		resp, err := benchClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d", resp.StatusCode)
		}
		return time.Since(began)
	}
	for i := 0; b.Loop(); i++ {
		unkeyedTimes = append(unkeyedTimes, timed(""))
		keyedTimes = append(keyedTimes, timed(fmt.Sprint(i)))
	}
	slices.Sort(unkeyedTimes)
	slices.Sort(keyedTimes)
	quantile := func(d []time.Duration, q float64) float64 { return float64(d[int(q*float64(len(d)-1))].Microseconds()) }
	b.ReportMetric(quantile(keyedTimes, 0.5)-quantile(unkeyedTimes, 0.5), "added-p50-µs")
	b.ReportMetric(quantile(keyedTimes, 0.99)-quantile(unkeyedTimes, 0.99), "added-p99-µs")
}

// BenchmarkRouterThroughput sends requests from many callers concurrently.
// Client, router and engine share the machine's cores.
func BenchmarkRouterThroughput(b *testing.B) {
	callers, direct := startBox(b, standin.EngineSettings{Slots: 64})
	for name, address := range map[string]string{"direct": direct, "router": callers} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := sendCompletion(address, 4); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(runtime.NumCPU()), "requests/s/core")
		})
	}
}

// BenchmarkRouterMemory reports the memory of a waiting request and of a
// running stream. The latter includes the client and the engine.
func BenchmarkRouterMemory(b *testing.B) {
	const n = 1000
	for _, c := range []struct {
		name  string
		slots int
	}{{"waiting", 1}, {"running", n}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				callers, _ := startBox(b, standin.EngineSettings{Slots: c.slots, TokenTime: time.Hour})
				before := heapAndStackBytes()
				ctx, cancel := context.WithCancel(context.Background())
				for range n {
					go func() {
						req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/completions",
							strings.NewReader(`{"model":"m","max_tokens":4,"stream":true}`))
						req.Header.Set("Authorization", "Bearer hotel")
						if resp, err := benchClient.Do(req); err == nil {
							resp.Body.Close()
						}
					}()
				}
				time.Sleep(2 * time.Second)
				b.ReportMetric(float64(heapAndStackBytes()-before)/n, "B/request")
				cancel()
			}
		})
	}
}

// heapAndStackBytes returns the bytes of live heap objects and stacks.
func heapAndStackBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
