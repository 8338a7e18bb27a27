// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines in which regions a request may be served: the homes of its route and of
// its account, by the newest document. What has begun at a server ends there; what waits and
// each further attempt obeys the document that is in force by then.

// homes are the regions in which a request may be served. The zero value is any.
type homes struct {
	bound   bool
	regions []string // none of them if bound: it may be served nowhere
}

// allows reports whether a server of a region allows have the request. A region that no setting
// names is in nobody's homes.
func (h homes) allows(region string) bool {
	return !h.bound || (region != "" && slices.Contains(h.regions, region))
}

// homesIndex is the homes that the document in force names.
type homesIndex struct {
	hasHomes bool                // it names some
	routes   map[string][]string // by name; all routes of the document
	accounts map[string][]string // the same
}

// newHomesIndex returns the homes of a document.
func newHomesIndex(d document.Document) homesIndex {
	x := homesIndex{routes: make(map[string][]string, len(d.Routes)), accounts: make(map[string][]string, len(d.Accounts))}
	for _, r := range d.Routes {
		x.routes[r.Name] = r.Homes
		x.hasHomes = x.hasHomes || len(r.Homes) > 0
	}
	for _, a := range d.Accounts {
		x.accounts[a.Name] = a.Homes
		x.hasHomes = x.hasHomes || len(a.Homes) > 0
	}
	return x
}

// forRequest returns the homes forRequest a request. A route or an account that the document in force has no
// more keeps the homes with which the request was taken.
func (x *homesIndex) forRequest(req *requirements) homes {
	if !x.hasHomes && len(req.route.Homes) == 0 && len(req.accountHomes) == 0 {
		return homes{}
	}
	route, known := x.routes[req.route.Name]
	if !known {
		route = req.route.Homes
	}
	account, known := x.accounts[req.Account]
	if !known {
		account = req.accountHomes
	}
	regions, bound := document.CommonHomes(route, account)
	return homes{bound: bound, regions: regions}
}

// setHomes takes the homes of a document, before its routes are in force: a request that is
// matched by it never meets older ones.
func (t *table) setHomes(d document.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes = newHomesIndex(d)
}

// mayBeServedAt reports whether a request may go to a server by the server's region. The
// caller holds mu.
func (t *table) mayBeServedAt(req *requirements, k *knownServer) bool {
	return req.homes.allows(k.region)
}

// homesRefusal returns why a request's homes let nothing serve it, whatever it waits for, or
// "". The caller holds mu.
func (t *table) homesRefusal(p *pool, req *requirements) Cause {
	h := t.homes.forRequest(req)
	switch {
	case !h.bound:
		return ""
	case len(h.regions) == 0:
		return NoCommonHome
	case slices.ContainsFunc(p.servers, func(k *knownServer) bool { return h.allows(k.region) }):
		return ""
	}
	return HomesWithoutServer
}

// countReachable returns how many servers of a pool the request's homes allow.
func (t *table) countReachable(req *requirements) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, h := t.pool(req.pool.Name), t.homes.forRequest(req)
	if !h.bound {
		return len(p.servers)
	}
	n := 0
	for _, k := range p.servers {
		if h.allows(k.region) {
			n++
		}
	}
	return n
}
