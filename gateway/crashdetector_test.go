// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// This file tests how the gateway distinguishes the crash of a server from a broken connection.

// breaksConnection is a server that breaks each connection after the request has been sent.
var breaksConnection = fails(forward.MayHaveRun{Err: io.EOF})

// TestServerCrashIsDetected checks that a server counts as crashed if it breaks a connection and
// then refuses new ones, but not if it accepts new ones.
func TestServerCrashIsDetected(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		withGateway(t, func(x *fixture) {
			is := is.New(t)
			is.Equal(x.request("/once/").status, 502)
			if crashed {
				x.servers.stop("10.0.5.0:80")
			}
			time.Sleep(time.Second)
			is.Equal(x.counter(`badgerspoke_gateway_backends_ended_total{pool="plain"}`) > 0, crashed)
		}, breaksConnection)
	}
}

// stop makes the server at an address refuse connections.
func (f *fakeServers) stop(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.behaviours, address)
}

func (x *fixture) counter(name string) uint64 {
	return x.g.cfg.Metrics.GetOrCreateCounter(name).Get()
}
