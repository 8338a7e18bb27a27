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
	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines routes, a document made ready for matching.

// routes is immutable, but for what it learns of callers.
type routes struct {
	document      document.Document
	callers       *callerHistory
	byHost        map[string][]document.Route // longest prefix first
	accountsByKey map[string]document.Account // by key
	pools         map[string]document.Pool
}

// newRoutes makes a document ready; before is the one in force, or nil.
func newRoutes(d document.Document, before *routes) *routes {
	rs := &routes{
		document: d, callers: &callerHistory{patience: map[string]*retry.Patience{}}, byHost: map[string][]document.Route{},
		accountsByKey: map[string]document.Account{}, pools: map[string]document.Pool{},
	}
	for _, r := range d.Routes {
		rs.callers.patience[r.Name] = &retry.Patience{}
		if before != nil {
			before.callers.copyTo(rs.callers, r.Name)
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
	return rs
}

// callerHistory is what is learned of the callerHistory of each route of a document.
type callerHistory struct {
	mu       sync.Mutex // a leaf
	patience map[string]*retry.Patience
}

// copyTo gives another one what is known of a route's callers.
func (c *callerHistory) copyTo(next *callerHistory, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.patience[route]; p != nil {
		*next.patience[route] = *p
	}
}

// spent returns how long ago a caller certainly asked first that will still wait for left;
// asksFirst is whether callers of its account are not told to come back.
func (rs *routes) spent(route string, now, left time.Duration, asksFirst bool) time.Duration {
	rs.callers.mu.Lock()
	defer rs.callers.mu.Unlock()
	p := rs.callers.patience[route]
	if asksFirst {
		p.ObserveFirst(now, left)
	}
	return p.Spent(left)
}

// match returns the route with the longest prefix that begins the path.
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

// account returns the account of a key. A request on a public route, or without
// any accounts configured, may have none.
func (rs *routes) account(r document.Route, key string) (document.Account, bool) {
	if len(rs.document.Accounts) == 0 {
		return document.Account{}, true
	}
	a, known := rs.accountsByKey[key]
	if !known && r.Public {
		return document.Account{}, true
	}
	return a, known
}

// pickPool returns one of a route's pools by weight; random is from 0 to 1.
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
