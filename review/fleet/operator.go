// SPDX-License-Identifier: Apache-2.0

//go:build review

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// This file defines the operator: the configuration and its order.

// Config is a configuration as the operator sends it.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   map[string]any
	Tenants  []Tenant
}

// Route is a route of a configuration.
type Route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, SloMs, GapSloMs   int
	Priority                     int
	Service                      string
	MaxAttempts                  int
	Public, Sticky, Resumable    bool
}

// Service is a service of a configuration.
type Service struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	Tls              bool
	Engine           map[string]any `json:",omitempty"`
}

// Tenant is a tenant of a configuration.
type Tenant struct {
	Name     string
	ApiKeys  []string
	Priority int
}

// Names of the deployment in every case.
const (
	Host   = "ficu95.example"
	Key    = "asnmgkcuyj8pjbvk9m68"
	App    = "wuno96b" // the application service
	Models = "huvo11a" // the model workers
)

// BaseConfig returns the configuration of the deployment: one route of each kind.
func BaseConfig(version uint64) Config {
	engine := map[string]any{"Slots": 64, "KvCapacity": 511815, "KvTokenBytes": 18432, "LinkMbps": 550000.0, "Moves": true, "Backups": true,
		"Stride": 5, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []map[string]any{{"Name": "m"}}}
	return Config{
		Version: version,
		Routes: []Route{
			{Name: "r-history", Host: Host, PathPrefix: "/lohu930/", Kind: "streaming", TimeoutMs: 15000, SloMs: 800, GapSloMs: 300, Priority: 1, Service: Models, MaxAttempts: 2, Sticky: true, Resumable: true},
			{Name: "r-tile", Host: Host, PathPrefix: "/puxa403/", Kind: "non_idempotent", TimeoutMs: 1000, SloMs: 100, Priority: 2, Service: App, MaxAttempts: 1},
			{Name: "r-lookup", Host: Host, PathPrefix: "/pufi791/", Kind: "idempotent", TimeoutMs: 1000, SloMs: 100, Priority: 2, Service: App, MaxAttempts: 2},
		},
		Services: []Service{
			{Name: Models, HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Engine: engine},
			{Name: App, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"},
		},
		Limits:  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 280000},
		Tenants: []Tenant{{Name: "hule930", ApiKeys: []string{Key}, Priority: 1}},
	}
}

// Put sends a configuration until it is acknowledged, as an operator does, for a limited time.
func (f *Fleet) Put(c Config, limit time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for began, at := time.Now(), 0; time.Since(began) < limit; at++ {
		_, status, err := Call(context.Background(), http.MethodPut, f.Control(f.Cores[at%len(f.Cores)]), "/config", body)
		if err == nil && status == http.StatusOK {
			f.opts.Record.Add("operator", "configuration %d acknowledged", c.Version)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged in %v", c.Version, limit)
}

// AwaitReady waits until all fronts say that they are ready.
func (f *Fleet) AwaitReady() error {
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range f.Fronts {
			if IsReady(n) {
				ready++
			}
		}
		if ready == len(f.Fronts) {
			f.opts.Record.Add("platform", "all fronts are ready")
			return nil
		}
	}
	return fmt.Errorf("the fronts were not ready in time")
}

// IsReady asks a front whether it is ready, as the platform does.
func IsReady(n *Node) bool {
	_, status, err := Call(context.Background(), http.MethodGet, n.Ready(), "/readyz", nil)
	return err == nil && status == http.StatusOK
}
