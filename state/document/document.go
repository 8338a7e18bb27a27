// SPDX-License-Identifier: Apache-2.0

package document

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// This file defines Document and its parts, and the validation of documents.

// Kind states whether the requests of a route may be repeated. Its numbers are stored.
type Kind uint8

// The kinds of request.
const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request whose response is a stream of events. It may run again only
	// on a route that is Resumable.
	Stream
)

// Document is a complete configuration. It is immutable.
type Document struct {
	Number   uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Pools    []Pool    `cbor:"3,keyasint,omitempty"`
	Accounts []Account `cbor:"4,keyasint,omitempty"`
	Limits   Limits    `cbor:"5,keyasint"`
}

// LongestTimeout returns the longest time that a request of any route may take.
func (d Document) LongestTimeout() (longest time.Duration) {
	for _, r := range d.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}

// Route directs the requests for one host and path prefix to pools.
type Route struct {
	Name    string        `cbor:"1,keyasint"`
	Host    string        `cbor:"2,keyasint"`
	Prefix  string        `cbor:"3,keyasint"` // path prefix
	Kind    Kind          `cbor:"4,keyasint,omitempty"`
	Timeout time.Duration `cbor:"5,keyasint"` // longest time that the gateway may hold a request
	// Objective is the target time to the response, or to the first event of a stream.
	Objective   time.Duration `cbor:"6,keyasint,omitempty"`
	Priority    int           `cbor:"7,keyasint,omitempty"` // 0 is highest
	Targets     []Target      `cbor:"8,keyasint"`
	MaxAttempts int           `cbor:"9,keyasint,omitempty"` // largest number of backend servers that one request may run on
	Public      bool          `cbor:"10,keyasint,omitempty"`
	Resumable   bool          `cbor:"12,keyasint,omitempty"` // 11 is reserved: older records hold an unused bool there
	// EventGap is the longest pause between two events with which a stream meets its
	// objective.
	EventGap time.Duration `cbor:"13,keyasint,omitempty"`
	// Homes are the regions that may serve and store requests of the route; empty means any region.
	Homes []string `cbor:"14,keyasint,omitempty"`
}

// MayRepeat reports whether a request of the route may run more than once.
func (r Route) MayRepeat() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Target is a pool that receives a weighted share of a route's requests.
type Target struct {
	Pool   string `cbor:"1,keyasint"`
	Weight int    `cbor:"2,keyasint"`
}

// Pool is a set of backend servers that announce themselves under one name.
type Pool struct {
	Name        string `cbor:"1,keyasint"`
	Connections int    `cbor:"2,keyasint,omitempty"` // connections that one backend server accepts from all callers together
	Engine      bool   `cbor:"3,keyasint,omitempty"` // servers are model engines, whose work is counted in tokens
	// 4 is reserved: older records hold an unused int there.
	// ColdRate is the request rate that a cold backend server sustains, per second; zero means unlimited.
	ColdRate float64 `cbor:"5,keyasint,omitempty"`
}

// Account is a client account that shares the pools with others. Its keys identify it.
type Account struct {
	Name     string   `cbor:"1,keyasint"`
	Keys     []string `cbor:"2,keyasint,omitempty"`
	Priority int      `cbor:"3,keyasint,omitempty"`
	// Homes are the regions that may serve and store requests of the account; empty means any region.
	Homes []string `cbor:"4,keyasint,omitempty"`
}

// CommonHomes returns the regions that both the homes of a route and those of an account allow, and
// whether there is a restriction at all. If only one of them has homes, those apply. If both have
// homes, only their intersection is allowed, which may be empty.
func CommonHomes(route, account []string) (regions []string, bound bool) {
	switch {
	case len(route) == 0:
		return account, len(account) > 0
	case len(account) == 0:
		return route, true
	}
	for _, region := range route {
		if slices.Contains(account, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	HeaderBytes     int           `cbor:"1,keyasint,omitempty"`
	BodyBytes       int64         `cbor:"2,keyasint,omitempty"`
	HeaderTimeout   time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout     time.Duration `cbor:"4,keyasint,omitempty"`
	TokensPerSecond float64       `cbor:"5,keyasint,omitempty"` // output of all engines together; zero means unknown
}

// Mistake is one error in a document.
type Mistake struct {
	Subject string // location, such as `route "a"`
	Reason  string
}

// Invalid rejects a document and lists all of its mistakes. It implies that nothing changed.
type Invalid struct{ Mistakes []Mistake }

// Error lists the mistakes.
func (e Invalid) Error() string {
	parts := make([]string, 0, len(e.Mistakes))
	for _, m := range e.Mistakes {
		parts = append(parts, m.Subject+": "+m.Reason)
	}
	return "invalid document: " + strings.Join(parts, "; ")
}

type mistakes []Mistake

func (m *mistakes) add(where, format string, args ...any) {
	*m = append(*m, Mistake{Subject: where, Reason: fmt.Sprintf(format, args...)})
}

// Check returns [Invalid] with all mistakes in the document, or nil.
func (d Document) Check() error {
	var found mistakes
	pools := d.checkPools(&found)
	d.checkRoutes(&found, pools)
	d.checkAccounts(&found)
	if len(found) > 0 {
		return Invalid{Mistakes: found}
	}
	return nil
}

func (d Document) checkPools(found *mistakes) map[string]bool {
	pools := map[string]bool{}
	for _, p := range d.Pools {
		where := fmt.Sprintf("pool %q", p.Name)
		if p.Name == "" {
			found.add(where, "has no name")
		}
		if pools[p.Name] {
			found.add(where, "is defined twice")
		}
		if p.ColdRate < 0 {
			found.add(where, "has the negative cold rate %v", p.ColdRate)
		}
		pools[p.Name] = true
	}
	return pools
}

func (d Document) checkRoutes(found *mistakes, pools map[string]bool) {
	routeByKey := map[[2]string]string{}
	for _, r := range d.Routes {
		where := fmt.Sprintf("route %q", r.Name)
		if r.Timeout <= 0 {
			found.add(where, "has no timeout")
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			found.add(where, "prefix %q does not begin with a slash", r.Prefix)
		}
		key := [2]string{r.Host, r.Prefix}
		if other, taken := routeByKey[key]; taken {
			found.add(where, "shares host and prefix with route %q", other)
		}
		routeByKey[key] = r.Name
		checkHomes(found, where, r.Homes)
		r.checkTargets(found, where, pools)
	}
}

func (r Route) checkTargets(found *mistakes, where string, pools map[string]bool) {
	sum := 0
	for _, t := range r.Targets {
		if !pools[t.Pool] {
			found.add(where, "names the unknown pool %q", t.Pool)
		}
		if t.Weight < 0 {
			found.add(where, "has the negative weight %d", t.Weight)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		found.add(where, "weights add up to %d", sum)
	}
}

// checkHomes checks only that the regions have names. An unknown region is not a mistake: another
// box may be in that region, and a mistake would reject the whole document.
func checkHomes(found *mistakes, where string, homes []string) {
	if slices.Contains(homes, "") {
		found.add(where, "has a home without a name")
	}
}

func (d Document) checkAccounts(found *mistakes) {
	owners := map[string]string{}
	for _, a := range d.Accounts {
		where := fmt.Sprintf("tenant %q", a.Name) // the name of an account in operators' configurations
		checkHomes(found, where, a.Homes)
		for _, key := range a.Keys {
			if other, taken := owners[key]; taken && other != a.Name {
				found.add(where, "shares a key with tenant %q", other)
			}
			owners[key] = a.Name
		}
	}
}
