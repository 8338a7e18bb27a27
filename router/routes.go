// SPDX-License-Identifier: Apache-2.0

package router

import (
	"slices"

	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines routes, the lookup tables of a configuration: from an API key to an account,
// and from a model or service to a pool.

// routes holds the lookup tables of one configuration. It is immutable.
type routes struct {
	cfg      config.Config
	accounts map[config.KeyHash]config.Account
	models   map[string]string // model or adapter → pool
	services map[string]bool   // names of pools that are plain services
	pools    map[string][]config.Server
	servers  map[string]config.Server // by identifier
}

func newRoutes(cfg config.Config) *routes {
	t := &routes{
		cfg: cfg, accounts: map[config.KeyHash]config.Account{}, models: map[string]string{},
		services: map[string]bool{}, pools: map[string][]config.Server{}, servers: map[string]config.Server{},
	}
	for _, a := range cfg.Accounts() {
		for _, k := range a.Keys {
			t.accounts[k] = a
		}
	}
	for _, s := range cfg.Servers() {
		t.addServer(s)
	}
	return t
}

func (t *routes) addServer(s config.Server) {
	t.pools[s.Pool] = append(t.pools[s.Pool], s)
	t.servers[s.ID] = s
	if s.Kind == config.Service {
		t.services[s.Pool] = true
		return
	}
	for _, name := range slices.Concat(s.Models, s.Adapters) {
		if _, taken := t.models[name]; !taken {
			t.models[name] = s.Pool
		}
	}
}

// account returns the account of an API key. The table is indexed by the key's hash, so the
// duration of the lookup reveals nothing about the key.
func (t *routes) account(key string) (config.Account, bool) {
	a, ok := t.accounts[config.HashKey(key)]
	return a, ok
}

// neverRepeats reports whether the configuration of a service forbids repeating a call.
func (t *routes) neverRepeats(pool, method, path string) bool {
	return slices.ContainsFunc(t.pools[pool], func(s config.Server) bool { return s.MayNotRepeat(method, path) })
}
