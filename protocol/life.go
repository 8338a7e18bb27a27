// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"strconv"
	"strings"
)

// This file defines the identifiers of a backend server's lives. A life is the time from a start
// of the server to its end: a server that restarts under the same name begins a new life.
//
// Inside a process each life has its own identifier, made of name and start time, so that all
// state stored under an identifier belongs to one life. In messages and in the log a
// [Registration] holds the name and the start time separately, because versions that do not
// support lives use the name as the identifier.

// lifeSeparator separates a server's name from its start time. Names that contain it are
// refused on input.
const lifeSeparator = "~"

// LifeID returns the identifier of a server's life that began at born, in Unix milliseconds. If
// born is 0, the server does not report its start time, and the identifier is its name.
func LifeID(name string, born uint64) string {
	if born == 0 {
		return name
	}
	return name + lifeSeparator + strconv.FormatUint(born, 10)
}

// SplitLife returns a server's name and the start of its life, or 0 if the identifier has none.
func SplitLife(id string) (name string, born uint64) {
	name, start, found := strings.Cut(id, lifeSeparator)
	if !found {
		return id, 0
	}
	born, err := strconv.ParseUint(start, 10, 64)
	if err != nil {
		return id, 0
	}
	return name, born
}

// ToWire converts a registration to its form in messages and the log.
func (r Registration) ToWire() Registration {
	r.ID, r.Born = SplitLife(r.ID)
	return r
}

// FromWire converts a registration from the form of [Registration.ToWire] to the process's own.
func (r Registration) FromWire() Registration {
	r.ID, r.Born = LifeID(r.ID, r.Born), 0
	return r
}

// mapRegistrations returns the message with f applied to each registration.
func (m Servers) mapRegistrations(f func(Registration) Registration) Servers {
	set := make([]Server, len(m.Set))
	for i, s := range m.Set {
		s.Registration = f(s.Registration)
		set[i] = s
	}
	if len(set) > 0 { // otherwise Set stays nil
		m.Set = set
	}
	return m
}

// ToWire converts the message to the form that is sent. For each removed life, Removed also gets
// the server's name if no life of that name is listed, because relays and versions without
// lives recognize only the name.
func (m Servers) ToWire(listed func(name string) bool) Servers {
	m = m.mapRegistrations(Registration.ToWire)
	for _, id := range m.Removed {
		if name, born := SplitLife(id); born != 0 && !listed(name) {
			m.Removed = append(m.Removed[:len(m.Removed):len(m.Removed)], name)
		}
	}
	return m
}

// FromWire converts a message from the form of [Servers.ToWire] to the process's own.
func (m Servers) FromWire() Servers { return m.mapRegistrations(Registration.FromWire) }
