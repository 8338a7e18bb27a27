// SPDX-License-Identifier: Apache-2.0

package streamversion

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/protocol"
)

var (
	v1 = Origin{Pool: "p", Version: "v1"}
	v2 = Origin{Pool: "p", Version: "v2"}
)

func TestRecordsAreFoundUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	r := Records{Max: 100}
	found := func(id ID) string {
		o, known := r.Find(id)
		is.Equal(known, o != Origin{})
		return o.Version
	}
	is.Equal(found(1), "")
	r.Add(0, time.Minute, Record{v1, 1})
	r.Add(0, time.Minute, Record{v2, 2})
	is.Equal([]string{found(1), found(2), found(3)}, []string{"v1", "v2", ""})
	r.Add(time.Minute, time.Minute, Record{v2, 3})
	is.Equal([]string{found(1), found(2), found(3)}, []string{"v1", "v2", "v2"}) // kept for the retention time at least
	r.Add(time.Minute, time.Minute, Record{v1, 1})                               // taken up again
	r.Add(2*time.Minute, time.Minute, Record{v2, 4})
	is.Equal([]string{found(1), found(2), found(3)}, []string{"v1", "", "v2"})
}

// TestStreamOfTwoOriginsIsUnknown checks that a request that is recorded with two versions has
// none, whichever record comes last.
func TestStreamOfTwoOriginsIsUnknown(t *testing.T) {
	is := is.New(t)
	r := Records{Max: 100}
	for _, o := range []Origin{v1, v2, v2} {
		r.Add(0, time.Minute, Record{o, 1})
	}
	_, known := r.Find(1)
	is.True(!known)
	r.Add(0, time.Minute, Record{v1, 2})
	r.Add(time.Minute, time.Minute, Record{v2, 2}) // the first record is in the older half
	r.Add(time.Minute, time.Minute, Record{v1, 3})
	r.Disown(3)
	r.Disown(4) // not recorded
	for _, id := range []ID{2, 3, 4} {
		_, known = r.Find(id)
		is.True(!known)
	}
	is.Equal(len(r.All()), 0)
}

// TestRecordsAreBounded checks the bounds on records and on versions, which servers choose.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	r := Records{Max: 100}
	for i := range 1000 {
		r.Add(0, time.Minute, Record{v1, ID(i)})
		is.True(len(r.newer)+len(r.older) <= r.Max)
	}
	_, known := r.Find(999)
	is.True(known) // the newest are kept
	_, known = r.Find(949)
	is.True(known)
	for i := range 2 * MaxPoolVersions {
		r.Add(0, time.Minute, Record{Origin{Pool: "p", Version: fmt.Sprint("x", i)}, ID(2000 + i)})
	}
	is.True(len(r.origins) <= MaxPoolVersions+1)
	_, known = r.Find(2000 + 2*MaxPoolVersions - 1)
	is.True(known) // the newest versions are recorded
}

func TestRecordsInMessages(t *testing.T) {
	is := is.New(t)
	all := []Record{{v1, 1}, {v2, 2}, {v1, 1 << 63}}
	list := ToWire(all)
	is.Equal(len(list), 2)
	is.Equal(list[0], protocol.StreamsBegun{Pool: "p", Version: "v1", IDs: []byte{0, 0, 0, 0, 0, 0, 0, 1, 0x80, 0, 0, 0, 0, 0, 0, 0}})
	is.Equal(FromWire(list), []Record{{v1, 1}, {v1, 1 << 63}, {v2, 2}})
	list[1].IDs = list[1].IDs[:7]
	is.Equal(FromWire(list), []Record{{v1, 1}, {v1, 1 << 63}}) // a part of an ID is ignored
	is.True(IDOf("a") != IDOf("b"))
}

func TestVersionsStayPossibleForTheRetentionTime(t *testing.T) {
	is := is.New(t)
	var v Versions
	is.Equal(len(v.Possible(0, time.Minute)), 0)
	v.Observe(0, "v1")
	v.Observe(0, "")
	is.Equal(v.Possible(time.Second, time.Minute), []string{"", "v1"}) // servers without a version count as one version
	v.Observe(30*time.Second, "v2")
	is.Equal(v.Possible(60*time.Second, time.Minute), []string{"", "v1", "v2"})
	is.Equal(v.Possible(61*time.Second, time.Minute), []string{"v2"})
}

func TestRetentionCoversTheLongestRequest(t *testing.T) {
	is := is.New(t)
	is.Equal(Retention(0), minRetention)
	is.Equal(Retention(time.Minute), 2*time.Minute)
}

// TestNewestStreamsKeepTheirDoubt guards against one of the two records of a stream of unknown version without the other,
// which makes it look certain.
func TestNewestStreamsKeepTheirDoubt(t *testing.T) {
	is := is.New(t)
	all := append([]Record{{v1, 1}, {v1, 2}, {v1, 3}}, []Record{{v2, 1}, {v2, 2}, {v2, 3}, {v1, 4}}...)
	is.Equal(NewestStreams(all, 3), []Record{{v1, 2}, {v1, 3}, {v2, 2}, {v2, 3}, {v1, 4}})
	is.Equal(len(NewestStreams(all, 100)), len(all))
	r := Records{Max: 100}
	for _, rec := range (Record{v1, 5}).Doubt() {
		r.Add(0, time.Minute, rec)
	}
	_, known := r.Find(5)
	is.True(!known)
}
