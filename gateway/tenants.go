// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/badgerspoke/badgerspoke/coordination/share"
	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines tenants: what each asks for here, and which part of it the
// fleet says is within its fair share.

// servedMemory is the time constant with which a tenant's service is
// forgotten.
const servedMemory = 4 * time.Second

// staleAfter is the age at which the fleet's word is not used any more.
const staleAfter = 10 * time.Second

type tenants struct {
	now func() time.Duration

	mu      sync.Mutex // a leaf
	parts   map[string]float64
	heard   time.Duration
	markers map[string]*share.Marker
	asked   map[string]uint64
	service map[string]*service
}

// service is a decaying sum of tokens.
type service struct {
	tokens float64
	at     time.Duration
}

func newTenants(now func() time.Duration) *tenants {
	return &tenants{
		now: now, parts: map[string]float64{}, markers: map[string]*share.Marker{},
		asked: map[string]uint64{}, service: map[string]*service{},
	}
}

// asks counts a request of that cost and reports whether it is within the
// tenant's fair share.
func (t *tenants) asks(tenant string, cost float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[tenant] += uint64(cost)
	part, limited := t.parts[tenant]
	if !limited || t.now()-t.heard > staleAfter {
		part = 1
	}
	m := t.markers[tenant]
	if m == nil {
		m = &share.Marker{}
		t.markers[tenant] = m
	}
	return m.Entitled(part, cost)
}

// starts counts the service that a request begins to get.
func (t *tenants) starts(tenant string, cost float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service[tenant]
	if s == nil {
		s = &service{}
		t.service[tenant] = s
	}
	s.tokens = s.decayed(t.now()) + cost
	s.at = t.now()
}

func (s *service) decayed(now time.Duration) float64 {
	return s.tokens * math.Exp(-float64(now-s.at)/float64(servedMemory))
}

// served returns the tokens that a tenant was served lately.
func (t *tenants) served(tenant string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service[tenant]; s != nil {
		return s.decayed(t.now())
	}
	return 0
}

// hear takes the fleet's word.
func (t *tenants) hear(list []protocol.Entitlement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = t.now()
	clear(t.parts)
	for _, e := range list {
		t.parts[e.Tenant] = float64(e.Part)
	}
}

// demands returns and clears what was asked for since the last call.
func (t *tenants) demands() []protocol.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]protocol.Demand, 0, len(t.asked))
	for tenant, tokens := range t.asked {
		out = append(out, protocol.Demand{Tenant: tenant, Tokens: tokens})
	}
	clear(t.asked)
	slices.SortFunc(out, func(a, b protocol.Demand) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return out
}

// part returns the entitled part of a tenant's demand, for the log.
func (t *tenants) part(tenant string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, limited := t.parts[tenant]; limited {
		return p
	}
	return 1
}
