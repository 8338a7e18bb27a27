// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/badgerspoke/badgerspoke/transport/forward"
)

// A call returns a response, or an error that says whether the call may have run.
func ExampleClient() {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/full" {
			w.Header().Set(forward.RefusedHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, "hello")
	}))
	defer srv.Close()
	c := forward.New(forward.Settings{})
	defer c.Close()
	address := strings.TrimPrefix(srv.URL, "http://")

	answer, err := c.Send(context.Background(), address, forward.Call{Method: http.MethodGet, Path: "/greeting"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	fmt.Println(answer.Status, string(body), err)

	_, err = c.Send(context.Background(), address, forward.Call{Method: http.MethodGet, Path: "/full"})
	var notRun forward.NotRun
	fmt.Println(errors.As(err, &notRun), notRun.Refused, notRun.Status)
	// Output:
	// 200 hello <nil>
	// true true 503
}
