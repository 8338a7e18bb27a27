// SPDX-License-Identifier: Apache-2.0

package streamversion

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/badgerspoke/badgerspoke/protocol"
)

// This file defines Records, the versions of streams that have begun.

// ID identifies the request that brought the first event of a stream.
type ID uint64

// IDOf returns the ID for a request's identifier.
func IDOf(request string) ID { return ID(xxh3.HashString(request)) }

// idBytes is the size of an ID in messages.
const idBytes = 8

const (
	// minRetention is the shortest time for which the version of a stream is remembered.
	minRetention = 30 * time.Second
	// MaxPoolVersions is the largest number of versions, over all pools, that records may name.
	// Servers choose these names.
	MaxPoolVersions = 1024
)

// Retention returns how long the version of a stream is remembered after the stream began or was
// last taken up. longest is the longest time that a request may take: a stream lasts no longer, and
// its caller takes it up no later than after as much time again.
func Retention(longest time.Duration) time.Duration { return max(2*longest, minRetention) }

// Origin is the version that began a stream.
type Origin struct{ Pool, Version string }

// Record is the origin of one stream.
type Record struct {
	Origin
	ID ID
}

// originIndex is an index into the list of origins.
type originIndex uint16

// ambiguous is the index of a stream that was recorded with several origins.
const ambiguous originIndex = 0

// Records are the origins of streams. They take about 32 bytes each. The zero value holds none.
type Records struct {
	Max int // largest number of records; about half of them are kept when it is reached

	origins      []Origin // by index; that of ambiguous is empty
	indexes      map[Origin]originIndex
	newer, older map[ID]originIndex
	newerSince   time.Duration
}

// Add records the origin of a stream. Records are dropped after one to two retention times, or when
// there are too many. All are dropped when they name too many versions.
func (r *Records) Add(now, retention time.Duration, rec Record) {
	index := r.index(rec.Origin)
	if r.newer == nil || len(r.newer) >= r.Max/2 || now-r.newerSince >= retention {
		r.newer, r.older, r.newerSince = map[ID]originIndex{}, r.newer, now
	}
	if known, found := r.find(rec.ID); found && known != index {
		index = ambiguous
	}
	r.newer[rec.ID] = index
}

// index returns the index of an origin.
func (r *Records) index(o Origin) originIndex {
	if index, ok := r.indexes[o]; ok {
		return index
	}
	if r.indexes == nil || len(r.origins) > MaxPoolVersions {
		r.origins, r.indexes = []Origin{{}}, map[Origin]originIndex{}
		r.newer, r.older = nil, nil
	}
	index := originIndex(len(r.origins))
	r.origins = append(r.origins, o)
	r.indexes[o] = index
	return index
}

func (r *Records) find(id ID) (originIndex, bool) {
	if index, ok := r.newer[id]; ok {
		return index, true
	}
	index, ok := r.older[id]
	return index, ok
}

// Disown marks the origin of a stream as unknown.
func (r *Records) Disown(id ID) {
	if _, found := r.find(id); found {
		r.newer[id] = ambiguous
	}
}

// Find returns the origin of a stream, or false if it is not known.
func (r *Records) Find(id ID) (o Origin, known bool) {
	index, found := r.find(id)
	if !found || index == ambiguous {
		return Origin{}, false
	}
	return r.origins[index], true
}

// All returns all records but ambiguous ones, those of streams that began last at the end.
func (r *Records) All() (all []Record) {
	add := func(id ID, index originIndex) {
		if index != ambiguous {
			all = append(all, Record{Origin: r.origins[index], ID: id})
		}
	}
	for id, index := range r.older {
		if _, later := r.newer[id]; !later {
			add(id, index)
		}
	}
	for id, index := range r.newer {
		add(id, index)
	}
	return all
}

// ToWire returns records as they are sent, by origin in the order in which origins first occur.
func ToWire(records []Record) (list []protocol.StreamsBegun) {
	at := map[Origin]int{}
	for _, rec := range records {
		i, known := at[rec.Origin]
		if !known {
			i = len(list)
			at[rec.Origin] = i
			list = append(list, protocol.StreamsBegun{Pool: rec.Pool, Version: rec.Version})
		}
		list[i].IDs = binary.BigEndian.AppendUint64(list[i].IDs, uint64(rec.ID))
	}
	return list
}

// FromWire returns the records in a message. A rest of less than one ID is ignored.
func FromWire(list []protocol.StreamsBegun) (records []Record) {
	for _, m := range list {
		for ids := m.IDs; len(ids) >= idBytes; ids = ids[idBytes:] {
			records = append(records, Record{Origin: Origin{Pool: m.Pool, Version: m.Version}, ID: ID(binary.BigEndian.Uint64(ids))})
		}
	}
	return records
}

// NewestStreams returns the records of the newest max streams, in their order. A stream that either of two versions may
// have begun has two records, of which neither is returned without the other.
func NewestStreams(records []Record, max int) (newest []Record) {
	ids := map[ID]bool{}
	for i := len(records) - 1; i >= 0 && len(ids) < max; i-- {
		ids[records[i].ID] = true
	}
	for _, rec := range records {
		if ids[rec.ID] {
			newest = append(newest, rec)
		}
	}
	return newest
}

// anyVersion is added to the name of a version to get one that no server has.
const anyVersion = "?"

// Doubt returns records of a stream that make its origin unknown to whoever adds them.
func (rec Record) Doubt() []Record {
	other := rec
	other.Version += anyVersion
	return []Record{rec, other}
}
