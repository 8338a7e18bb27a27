// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
	"github.com/badgerspoke/badgerspoke/standin"
	"github.com/badgerspoke/badgerspoke/transport/socket"
)

// This file tests calls to a backend server that accepts no connection, for a moment or for good.

// TestServerSilentForAMomentFailsNoCall guards against a call that fails as unreachable because its server accepts no
// connection for a moment and the retry budget is empty: nothing was sent, and nothing replaces the attempt.
func TestServerSilentForAMomentFailsNoCall(t *testing.T) {
	neverRepeated := order("r1", "hotel", "sheets", "")
	neverRepeated.header = map[string]string{"Badgerspoke-Repeat": "never"}
	for _, tt := range []struct {
		name string
		r    request
		warm int // requests that earn budget for retries
	}{
		{"plain", order("r1", "hotel", "sheets", ""), 0},
		{"never repeated", neverRepeated, 0},
		{"with an idempotency key", order("r1", "hotel", "sheets", "k1"), 0},
		{"retries allowed", order("r1", "hotel", "sheets", ""), 40},
		{"retries allowed, with an idempotency key", order("r1", "hotel", "sheets", "k1"), 40},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				s := &silentService{}
				f := startSilentService(t, s)
				for range tt.warm {
					f.do(order("r1", "hotel", "warm", ""))
				}
				f.dialTimeout.Store(int64(socket.DialTimeout))
				f.client.CloseIdleConnections()
				time.Sleep(time.Minute) // the router closes its idle connections
				f.fallSilent(silentServiceIP, silenceOfServer)
				got := f.do(tt.r)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.True(got.took < 2*silenceOfServer)
				is.Equal(s.runs.Load(), int64(tt.warm+1))
				time.Sleep(time.Minute)
				is.Equal(f.slotsHeld("r1"), 0) // none is lost
			})
		})
	}
}

// TestDeadServerFailsCall guards against a caller that waits without end for a server whose box is gone.
func TestDeadServerFailsCall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := startSilentService(t, &silentService{})
		f.dialTimeout.Store(int64(socket.DialTimeout))
		f.net.Cut(silentServiceIP)
		got := f.do(order("r1", "hotel", "sheets", "k1"))
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.outcome, "not-run")
		is.True(got.took < 3*socket.DialTimeout+100*time.Millisecond)
		f.net.Restore(silentServiceIP)
		is.Equal(f.do(order("r1", "hotel", "sheets", "k1")).status, http.StatusOK) // the claim was released
	})
}

// TestDeadServerIsLeftForAnother guards against calls that go on being sent to a server whose box is gone, and against
// one that stays there while a retry gets a slot of another server.
func TestDeadServerIsLeftForAnother(t *testing.T) {
	for _, tt := range []struct {
		name    string
		warm    int // requests that earn budget for retries
		status  int // of the first call
		longest time.Duration
	}{
		{"retries allowed", 40, http.StatusOK, socket.DialTimeout},
		{"no retry allowed", 0, http.StatusBadGateway, 3 * socket.DialTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := standardFleet(t, 1)
				f.dialTimeout.Store(int64(socket.DialTimeout))
				for range tt.warm {
					f.do(request{router: "r1", method: "GET", path: "/services/stock/warm", key: "hotel"})
				}
				f.net.Cut("10.0.3.1") // engine e1
				const served = 100 * time.Millisecond
				var lost time.Duration
				for i := range 21 {
					got := f.do(completion("r1", "hotel", 1, false))
					is.True(got.status == http.StatusOK || i == 0 && got.status == tt.status)
					is.True(got.took < tt.longest+served)
					if got.took > served {
						lost += got.took
					}
				}
				is.True(lost < 3*(socket.DialTimeout+served)) // three failures eject the server
				f.net.Restore("10.0.3.1")
			})
		})
	}
}

// addSilentPair starts a fleet of one control box and one router in front of two services of one slot each, the
// silent one and another, and earns budget for retries.
func addSilentPair(t *testing.T, silent, other http.Handler) *testFleet {
	f := newFleet(t, 1, 1)
	f.createAccount("hotel", 1)
	f.addService("w1", 3, 1, 0) // in pool stock; leaves below
	for range 40 {
		f.do(request{router: "r1", method: "GET", path: "/services/stock/warm", key: "hotel"})
	}
	f.markServer("w1", operatorv1.Mark_MARK_LEAVING)
	f.addSlot("s1", silentServiceIP, silent)
	if other != nil {
		f.addSlot("s2", "10.0.4.4", other)
	}
	f.settle()
	f.dialTimeout.Store(int64(socket.DialTimeout))
	return f
}

// addSlot starts a service with one slot.
func (f *testFleet) addSlot(name, ip string, h http.Handler) {
	f.serveStandIn(ip+":9000", h)
	f.addServer(&operatorv1.Server{
		Name: name, Pool: "stock", Address: ip + ":9000", Kind: operatorv1.Kind_KIND_SERVICE, Slots: 1, Mark: operatorv1.Mark_MARK_SERVING,
	})
}

// TestRetryInTheQueueCostsNoSlot guards against a call that loses its slot at a server which is silent for a moment, and
// waits behind all others because a retry was allowed.
func TestRetryInTheQueueCostsNoSlot(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := addSilentPair(t, &standin.Service{ResponseTime: 5 * time.Second}, nil)
		f.fallSilent(silentServiceIP, silenceOfServer)
		first := f.startAll(order("r1", "hotel", "first", ""))
		time.Sleep(100 * time.Millisecond)
		others := f.startAll(order("r1", "hotel", "second", ""), order("r1", "hotel", "third", ""), order("r1", "hotel", "fourth", ""))
		got := first()[0]
		is.Equal(got.status, http.StatusOK)
		is.True(got.took < silenceOfServer+6*time.Second)
		for _, o := range others() {
			is.Equal(o.status, http.StatusOK)
		}
		time.Sleep(time.Minute)
		is.Equal(f.slotsHeld("r1"), 0) // the retry got none
	})
}

// TestFullQueueEndsNoCallAtSilentServer guards against a call that is refused after it had a slot, because its retry
// finds no place in the queue.
func TestFullQueueEndsNoCallAtSilentServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := addSilentPair(t, &standin.Service{ResponseTime: 5 * time.Second}, nil)
		f.mustChange(func(ctx context.Context, c operatorv1connect.OperatorServiceClient, ch *operatorv1.Change) error {
			_, err := c.UpdateAccount(ctx, connect.NewRequest(&operatorv1.UpdateAccountRequest{
				Change: ch, Name: "hotel", Limits: &operatorv1.Limits{Waiting: 1},
			}))
			return err
		})
		f.settle()
		f.fallSilent(silentServiceIP, silenceOfServer)
		first := f.startAll(order("r1", "hotel", "first", ""))
		time.Sleep(100 * time.Millisecond)
		second := f.startAll(order("r1", "hotel", "second", ""))
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.do(order("r1", "hotel", "third", "")).status, http.StatusTooManyRequests) // the queue is full
		got := first()[0]
		is.Equal(got.status, http.StatusOK)
		is.True(got.took < silenceOfServer+6*time.Second)
		is.Equal(second()[0].status, http.StatusOK)
	})
}

// TestCallerLeavingSilentServerReleasesSlots guards against a slot for the queued retry of a call whose caller has left.
func TestCallerLeavingSilentServerReleasesSlots(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := &standin.Service{}
		f := addSilentPair(t, s, nil)
		f.fallSilent(silentServiceIP, silenceOfServer)
		r := order("r1", "hotel", "left", "k1")
		ctx, cancel := context.WithTimeout(context.Background(), socket.DialTimeout+100*time.Millisecond)
		defer cancel()
		r.ctx = ctx
		is.True(f.do(r).err != nil)
		time.Sleep(time.Minute)
		is.Equal(f.slotsHeld("r1"), 0)
		is.Equal(s.Runs("left"), 0)
		is.Equal(f.do(order("r1", "hotel", "left", "k1")).status, http.StatusOK) // the claim was released
	})
}

// TestCallRunsOnceAtSilentServerOrAtAnother guards against a call that runs at both servers, or at neither, when its
// retry gets a slot just as the silent server accepts the connection, and against a slot that is never released.
func TestCallRunsOnceAtSilentServerOrAtAnother(t *testing.T) {
	const schedules = 20
	ran := map[string]int{}
	for i := range schedules {
		inBubble(t, func(t *testing.T) {
			is := is.New(t)
			// The other server has a free slot within a few milliseconds of the end of the silence.
			free := silenceOfServer - 14*time.Millisecond + time.Duration(i)*300*time.Microsecond
			silent, other := &standin.Service{ResponseTime: 20 * time.Millisecond}, &standin.Service{ResponseTime: free}
			f := addSilentPair(t, silent, other)
			f.fallSilent(silentServiceIP, silenceOfServer)
			answers := f.startAll(order("r1", "hotel", "a", ""), order("r1", "hotel", "b", ""))
			for _, got := range answers() {
				is.Equal(got.status, http.StatusOK)
			}
			time.Sleep(time.Minute)
			for _, body := range []string{"a", "b"} {
				is.Equal(silent.Runs(body)+other.Runs(body), 1)
			}
			is.Equal(f.slotsHeld("r1"), 0) // none is lost
			ran["silent"] += silent.Runs("a") + silent.Runs("b")
			ran["other"] += other.Runs("a") + other.Runs("b")
		})
	}
	is := is.New(t)
	is.True(ran["silent"] > 0)         // the call stayed in some schedules
	is.True(ran["silent"] < schedules) // and left in others
	is.Equal(ran["silent"]+ran["other"], 2*schedules)
}

// TestSilentServerThatIsLeavingGetsNoCall guards against a call that reaches a server after a configuration without it
// is in force, because the server was dialled again.
func TestSilentServerThatIsLeavingGetsNoCall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentService{}
		f := startSilentService(t, s)
		f.dialTimeout.Store(int64(socket.DialTimeout))
		f.fallSilent(silentServiceIP, silenceOfServer)
		answer := f.startAll(order("r1", "hotel", "sheets", ""))
		time.Sleep(500 * time.Millisecond)
		f.markServer("s1", operatorv1.Mark_MARK_LEAVING)
		got := answer()[0]
		is.Equal(got.status, http.StatusBadGateway)
		is.Equal(got.outcome, "not-run")
		time.Sleep(time.Minute)
		is.Equal(s.runs.Load(), int64(0))
	})
}
