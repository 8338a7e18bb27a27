// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// This file defines Probes, which ends the condemnation of what makes no server fail.
//
// Servers that fail for a common cause fail in series, and what is requested all the time runs at each of these
// failures. No record of a series tells it from a request that causes one. One more run does, once the series is over:
// an answer releases it, and another failure confirms the verdict. Runs that fail become rare, so that what does make
// servers fail costs only a few of them.

const (
	// firstSetDelay is the time from a verdict on a set of parts to the first probe. It covers the runs that began
	// before gateways learned of the verdict.
	firstSetDelay = time.Second
	// laterSetDelay is the time from the first failed probe of a set to the next one, and from the beginning of a
	// leader's term to the first probe of what an earlier leader condemned.
	laterSetDelay = 10 * time.Second
	// requestDelay is the time from the verdict on a request to the first probe, and from that to the next one. A
	// request concerns only those who send it, so its probes may be later than those of a part.
	requestDelay = time.Minute
	// probeBackoff is the factor by which each further failed probe increases the delay.
	probeBackoff = 8
	// maxProbeDelay bounds the delay: after it, the evidence has expired as well.
	maxProbeDelay = retention
	// setProbeTimeout is the time from a probe of a set without outcome to the next one. For a request, of which only
	// a whole answer is an outcome, it is requestDelay.
	setProbeTimeout = 2 * time.Second
	// calmTime is how long a pool must have been without unexplained failures for a probe to be evidence.
	calmTime = time.Second
	// maxCalmWait bounds the wait for calm. Servers may fail all the time.
	maxCalmWait = 5 * time.Second
)

// Probes decides when a condemned request, or one with a condemned set of parts, may be sent to a server once more. Use
// [NewProbes] to create one.
type Probes struct{ entries map[Key]*probe }

// Exclusion is something condemned.
type Exclusion struct {
	Pool  string
	IsSet bool // a set of parts, not a request
}

// delay returns the delay after the first failed probe.
func (e Exclusion) delay() time.Duration {
	if e.IsSet {
		return laterSetDelay
	}
	return requestDelay
}

// timeout returns the delay after a probe without outcome.
func (e Exclusion) timeout() time.Duration {
	if e.IsSet {
		return setProbeTimeout
	}
	return requestDelay
}

// probe is the state of one condemned key.
type probe struct {
	Exclusion
	due       time.Duration // of the next probe
	grantedAt time.Duration // of the probe without outcome, if granted
	granted   bool
	calm      bool // when it was granted
	failed    int  // probes at which a server failed
	confirmed bool // one of them was granted in calm
}

// NewProbes returns Probes without condemned keys.
func NewProbes() *Probes { return &Probes{entries: map[Key]*probe{}} }

// CondemnSet begins the probes of a set of parts that has just been condemned.
func (p *Probes) CondemnSet(now time.Duration, k Key, pool string) {
	p.entries[k] = &probe{Exclusion: Exclusion{Pool: pool, IsSet: true}, due: now + firstSetDelay}
}

// Add begins the probes of something condemned, unless it is known.
func (p *Probes) Add(now time.Duration, k Key, e Exclusion) {
	if p.entries[k] == nil {
		p.entries[k] = &probe{Exclusion: e, due: now + e.delay()}
	}
}

// Sync begins the probes of what is condemned and not known, and ends those of what is no longer condemned.
func (p *Probes) Sync(now time.Duration, condemned map[Key]Exclusion) {
	for k, e := range condemned {
		p.Add(now, k, e)
	}
	for k := range p.entries {
		if _, remains := condemned[k]; !remains {
			delete(p.entries, k)
		}
	}
}

// Release ends the probes of a key.
func (p *Probes) Release(k Key) { delete(p.entries, k) }

// Grant reports whether a request with the key may be sent now, and counts it as sent if so. isCalm reports whether the
// servers of a pool have not failed lately for another reason.
func (p *Probes) Grant(now time.Duration, k Key, isCalm func(pool string) bool) bool {
	e := p.entries[k]
	if e == nil || now < e.due {
		return false
	}
	calm := isCalm(e.Pool)
	if !calm && now < e.due+maxCalmWait {
		return false
	}
	e.granted, e.grantedAt, e.calm, e.due = true, now, calm, now+e.timeout()
	return true
}

// RecordLoss records that a server failed while running a request with the key, from the given beginning, and reports
// whether that confirms the verdict. It has no effect unless the run was a probe.
func (p *Probes) RecordLoss(now time.Duration, k Key, began time.Duration) (confirmed bool) {
	e := p.entries[k]
	if e == nil || !e.granted || began < e.grantedAt {
		return false
	}
	e.granted = false
	e.due = now + e.backoff()
	e.failed++
	confirmed = e.calm && !e.confirmed
	e.confirmed = e.confirmed || e.calm
	return confirmed
}

// backoff returns the delay after a failed probe.
func (e *probe) backoff() time.Duration {
	d := e.delay()
	for range e.failed {
		d = min(d*probeBackoff, maxProbeDelay)
	}
	return d
}

// IsProvisional reports whether a key is condemned and no probe has confirmed that yet.
func (p *Probes) IsProvisional(k Key) bool {
	e := p.entries[k]
	return e != nil && !e.confirmed
}

// IsCalm reports whether no server of a pool has failed within calmTime, except under condemned keys.
func (v *Evidence) IsCalm(now time.Duration, pool string) bool {
	for _, failures := range v.failures {
		for _, f := range failures {
			if f.pool == pool && !f.explained && now-f.at <= calmTime {
				return false
			}
		}
	}
	return true
}
