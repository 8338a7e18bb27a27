// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/retry"
	"github.com/badgerspoke/badgerspoke/coordination/streamversion"
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines routes, a configuration document indexed for matching requests.

// routes is immutable except for the history of its callers.
type routes struct {
	document      document.Document
	callers       *callerHistory
	byHost        map[string][]document.Route // routes by host, the longest prefix first
	accountsByKey map[string]document.Account // accounts by API key
	pools         map[string]document.Pool    // pools by name

	streamRetention time.Duration   // how long the origin of a stream is remembered
	splitPools      map[string]bool // pools that do not follow from the route of a resumable stream
}

// newRoutes indexes a document. The callers' history of previous, the routes in force, is carried
// over; previous may be nil.
func newRoutes(d document.Document, previous *routes) *routes {
	rs := &routes{
		document: d, callers: &callerHistory{patience: map[string]*retry.Patience{}}, byHost: map[string][]document.Route{},
		accountsByKey: map[string]document.Account{}, pools: map[string]document.Pool{},
	}
	for _, r := range d.Routes {
		rs.callers.patience[r.Name] = &retry.Patience{}
		if previous != nil {
			previous.callers.copyTo(rs.callers, r.Name)
		}
		host := strings.ToLower(r.Host)
		rs.byHost[host] = append(rs.byHost[host], r)
	}
	for _, list := range rs.byHost {
		slices.SortStableFunc(list, func(a, b document.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, a := range d.Accounts {
		for _, key := range a.Keys {
			rs.accountsByKey[key] = a
		}
	}
	for _, p := range d.Pools {
		rs.pools[p.Name] = p
	}
	rs.streamRetention = streamversion.Retention(d.LongestTimeout())
	rs.splitPools = splitPools(d)
	return rs
}

// splitPools returns the pools of routes for resumable streams that lead to several pools.
func splitPools(d document.Document) map[string]bool {
	pools := map[string]bool{}
	for _, r := range d.Routes {
		if !r.Resumable || len(r.Targets) < 2 {
			continue
		}
		for _, target := range r.Targets {
			pools[target.Pool] = true
		}
	}
	return pools
}

// callerHistory holds what has been learned about the callers of each route of a document.
type callerHistory struct {
	mu       sync.Mutex // leaf lock
	patience map[string]*retry.Patience
}

// copyTo copies the history of a route's callers to the history of the next document.
func (c *callerHistory) copyTo(next *callerHistory, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.patience[route]; p != nil {
		*next.patience[route] = *p
	}
}

// spentBeforeArrival returns a lower bound of the time since the caller's first try, derived from
// left, the time for which it still waits. isFirst says that requests of its account are within its
// share and thus not refused: this request is a first try, and left is an observation of the
// callers' patience.
func (rs *routes) spentBeforeArrival(route string, now, left time.Duration, isFirst bool) time.Duration {
	rs.callers.mu.Lock()
	defer rs.callers.mu.Unlock()
	p := rs.callers.patience[route]
	if isFirst {
		p.ObserveFirst(now, left)
	}
	return p.Spent(left)
}

// match returns the route of a host with the longest prefix of the path.
func (rs *routes) match(host, path string) (document.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range rs.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return document.Route{}, false
}

// account returns the account of an API key. Requests on public routes, and all requests if the
// document has no accounts, may have none.
func (rs *routes) account(r document.Route, key string) (document.Account, bool) {
	if len(rs.document.Accounts) == 0 {
		return document.Account{}, true
	}
	a, ok := rs.accountsByKey[key]
	if !ok && r.Public {
		return document.Account{}, true
	}
	return a, ok
}

// pickPool returns one of a route's pools, chosen by weight. random is in [0, 1).
func pickPool(r document.Route, random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(random * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return r.Targets[0].Pool
}
