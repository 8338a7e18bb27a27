// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/badgerspoke/badgerspoke"
	"github.com/badgerspoke/badgerspoke/dev"
)

// Example assembles one box with both roles, configures stand-ins as its backend
// servers, waits until it is ready, and sends a request.
func Example() {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		return l
	}
	folder, err := os.MkdirTemp("", "badgerspoke")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	callers, operators, fleet := listen(), listen(), listen()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	box, err := badgerspoke.Start(ctx, badgerspoke.Settings{
		Name: "box1", FleetKey: []byte(dev.FleetKey), Replicas: map[string]string{"box1": fleet.Addr().String()},
		Router: true, Callers: callers,
		Control: true, Operators: operators, Fleet: fleet, DataDir: folder, OperatorToken: dev.Token,
	})
	if err != nil {
		panic(err)
	}
	defer box.Stop(ctx)

	servers, err := dev.StartServers()
	if err != nil {
		panic(err)
	}
	defer servers.Close()
	if err := servers.Configure(ctx, operators.Addr().String()); err != nil {
		panic(err)
	}
	for !box.Ready() || box.Router().Revision() < 4 {
		time.Sleep(10 * time.Millisecond)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+callers.Addr().String()+"/v1/models", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+dev.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(err)
	}
	defer resp.Body.Close()
	fmt.Println(resp.StatusCode)
	// Output: 200
}
