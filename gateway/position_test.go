// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// This file tests the IDs and the order of a stream's events.

func TestEventIDs(t *testing.T) {
	for _, tt := range []struct {
		events string
		want   []string
	}{
		{"id: 4\ndata: x\n\n", []string{"4"}},
		{"data: x\nid: 7\n\n", []string{"7"}},
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}},
		{"id:9\n\n", []string{"9"}},
		{"id: 9\r\ndata: x\r\n\r\n", []string{"9"}},
		{"data: id: 3\n\n", []string{""}},
		{"data: x\n\n", []string{""}},
		{"id: 5\n\ndata: x\n\n", []string{"5", ""}},
		{": id: 5\n\n", nil},
		{"\n\n", nil},
	} {
		var got []string
		for id := range eventIDs([]byte(tt.events)) {
			got = append(got, string(id))
		}
		is.New(t).Equal(got, tt.want)
	}
}

// TestPositions checks which event may follow a series of events.
func TestPositions(t *testing.T) {
	for _, tt := range []struct {
		name    string
		passed  []string
		follows map[string]bool
	}{
		{"beginning", nil, map[string]bool{"1": true, "7": true, "x": true, "": true}},
		{"one event", []string{"3"}, map[string]bool{"4": true, "9": true, "3": false, "2": false, "": false, "x": false}},
		{"counting", []string{"8", "9"}, map[string]bool{"10": true, "11": false, "9": false, "1": false}},
		{"in steps", []string{"7", "14"}, map[string]bool{"15": true, "21": true, "14": false, "7": false}},
		{"counting, then not", []string{"1", "2", "5"}, map[string]bool{"6": true, "7": true, "5": false}},
		{"no numbers", []string{"a", "b"}, map[string]bool{"c": true, "b": false, "1": false}},
		{"no number that fits", []string{"99999999999999999999"}, map[string]bool{"99999999999999999999": false, "1": false}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var p position
			for _, id := range tt.passed {
				p = p.withEvent([]byte(id))
			}
			for id, want := range tt.follows {
				is.New(t).Equal(p.isFollowedBy([]byte(id)), want) // id
			}
		})
	}
}
