// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"

	"github.com/badgerspoke/badgerspoke/state/document"
)

// This file defines in which regions a request may be served: the homes of its route and of its
// account, from the newest document. An attempt that has started stays at its server even if the
// homes change. Queued requests and later attempts obey the document in force at that time.

// homes are the regions in which a request may be served. The zero value allows all.
type homes struct {
	restricted bool     // the request is restricted to regions
	regions    []string // if restricted and empty, the request may be served nowhere
}

// allows reports whether a server in a region may take the request. An unknown region is not a home
// of any request.
func (h homes) allows(region string) bool {
	return !h.restricted || (region != "" && slices.Contains(h.regions, region))
}

// homesIndex holds the homes of all routes and accounts in the document in force.
type homesIndex struct {
	hasHomes bool                // some route or account has homes
	routes   map[string][]string // by route name, for all routes of the document
	accounts map[string][]string // by account name, for all accounts of the document
}

// newHomesIndex returns the index of a document.
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

// forRequest returns the homes of a request. If its route or account is no longer in the document in
// force, the homes with which the request was admitted apply.
func (x *homesIndex) forRequest(req *requirements) homes {
	if !x.hasHomes && len(req.route.Homes) == 0 && len(req.accountHomes) == 0 {
		return homes{}
	}
	route, ok := x.routes[req.route.Name]
	if !ok {
		route = req.route.Homes
	}
	account, ok := x.accounts[req.Account]
	if !ok {
		account = req.accountHomes
	}
	regions, restricted := document.CommonHomes(route, account)
	return homes{restricted: restricted, regions: regions}
}

// setHomes applies the homes of a document. It must be called before the document's routes are in
// force, so that a request matched by the new routes never sees older homes.
func (t *table) setHomes(d document.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.homes = newHomesIndex(d)
}

// homesAllow reports whether the request's homes, as of its last selection, include a server's
// region. The caller holds mu.
func (t *table) homesAllow(req *requirements, k *knownServer) bool {
	return req.homes.allows(k.region)
}

// homesRefusal returns why no server can ever serve a request because of its homes, or "" if some
// can. Such a request need not wait. The caller holds mu.
func (t *table) homesRefusal(p *pool, req *requirements) Cause {
	h := t.homes.forRequest(req)
	switch {
	case !h.restricted:
		return ""
	case len(h.regions) == 0:
		return NoCommonHome
	case slices.ContainsFunc(p.servers, func(k *knownServer) bool { return h.allows(k.region) }):
		return ""
	}
	return HomesWithoutServer
}

// countInHomes returns how many servers of the request's pool its homes allow.
func (t *table) countInHomes(req *requirements) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, h := t.pool(req.pool.Name), t.homes.forRequest(req)
	if !h.restricted {
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
