// Package coldstart bounds what many processes together send to a backend server that has
// just started, or has lost its caches, and ends under more than a certain rate. It is pure.
//
// The rate is cut into tickets of one request each, numbered on a clock that all processes
// share. Rendezvous hashing gives each ticket to one process, so the sum is bounded without
// a message, whatever their number. Processes that disagree on who is there disagree on the
// tickets of those only.
package coldstart

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is this process's part of the tickets of every server.
type Share struct {
	self   uint64
	others []uint64
}

// NewShare returns the part of a process among others that send to the same servers.
func NewShare(self string, others []string) *Share {
	s := &Share{self: xxhash.Sum64String(self), others: make([]uint64, 0, len(others))}
	for _, name := range others {
		s.others = append(s.others, xxhash.Sum64String(name))
	}
	return s
}

// Alone reports whether no other process sends to the servers.
func (s *Share) Alone() bool { return s == nil || len(s.others) == 0 }

// Ticket numbers the ticket that is valid at a time of the shared clock, at a rate in
// requests a second.
func Ticket(rate float64, now time.Duration) int64 { return int64(now.Seconds() * rate) }

// Mine reports whether a ticket of a server, by the hash of its name, is this process's.
func (s *Share) Mine(server uint64, ticket int64) bool {
	if s.Alone() {
		return true
	}
	place := mix(server ^ mix(uint64(ticket)))
	own := mix(s.self ^ place)
	for _, o := range s.others {
		if score := mix(o ^ place); score > own || score == own && o < s.self {
			return false
		}
	}
	return true
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
