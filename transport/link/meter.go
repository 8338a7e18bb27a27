// SPDX-License-Identifier: Apache-2.0

package link

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Meter, which counts control traffic.

// Meter counts the bytes and messages of control traffic by direction and kind, and the
// refused links. A nil Meter counts no traffic.
type Meter struct {
	set      *metrics.Set
	regionOf func(peer string) string // nil if traffic is not counted by region
}

// NewMeter returns a meter whose counters are in set.
func NewMeter(set *metrics.Set) *Meter { return &Meter{set: set} }

// WithRegions returns a meter that also counts bytes by the peer's region. The results of
// regionOf become metric labels, so there must be few of them. regionOf is called from many
// goroutines.
func (m *Meter) WithRegions(regionOf func(peer string) string) *Meter {
	return &Meter{set: m.set, regionOf: regionOf}
}

// CountRefused counts a link that could not be accepted.
func (m *Meter) CountRefused() {
	m.set.GetOrCreateCounter("badgerspoke_links_refused_total").Inc()
}

// count records one message. direction is "in" or "out".
func (m *Meter) count(direction, peer string, k protocol.Kind, bytes int) {
	if m == nil {
		return
	}
	labels := fmt.Sprintf(`{direction=%q,kind=%q}`, direction, k)
	m.set.GetOrCreateCounter("badgerspoke_control_bytes_total" + labels).Add(bytes)
	m.set.GetOrCreateCounter("badgerspoke_control_messages_total" + labels).Inc()
	if m.regionOf != nil {
		labels := fmt.Sprintf(`{direction=%q,kind=%q,region=%q}`, direction, k, m.regionOf(peer))
		m.set.GetOrCreateCounter("badgerspoke_directory_region_bytes_total" + labels).Add(bytes)
	}
}
