// SPDX-License-Identifier: Apache-2.0

// Command badgerspoke-standin is a simulated backend server, for trying out a fleet without a model
// engine.
package main

import (
	"flag"
	"log"
	"net/http"
	"time"

	"github.com/badgerspoke/badgerspoke/standin"
)

// readHeaderTimeout is the time limit for receiving the headers of a request.
const readHeaderTimeout = 5 * time.Second

func main() {
	listen := flag.String("listen", "127.0.0.1:9001", "address to serve on")
	kind := flag.String("kind", "engine", "engine or service")
	flag.String("models", "badger-small", "ignored: an engine answers requests for any model")
	slots := flag.Int("slots", 8, "number of requests that an engine runs concurrently")
	tokenTime := flag.Duration("token-time", 20*time.Millisecond, "time to generate one token")
	promptTime := flag.Duration("prompt-time", 50*time.Millisecond, "time before the first token, or of a service's call")
	flag.Parse()

	var h http.Handler = standin.NewEngine(standin.EngineSettings{Slots: *slots, TokenTime: *tokenTime, PromptTime: *promptTime})
	if *kind == "service" {
		h = &standin.Service{ResponseTime: *promptTime}
	}
	srv := &http.Server{Addr: *listen, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	log.Fatal(srv.ListenAndServe())
}
