// Package rollout tells which software versions of a service are being replaced, from the servers that join
// and leave: there is no order between versions, and nobody announces a release. A long stream that begins at
// a version whose last servers are about to leave is lost with them, as it can be resumed at no other version.
//
// The package does no I/O; times are points on one monotonic clock and are passed in.
package rollout

import "time"

// Window is the time for which a server that joined or left counts.
const Window = 10 * time.Second

// minLeaves is the number of servers of a version that must have left within the Window. A single server
// leaves for many reasons.
const minLeaves = 2

// maxEvents bounds the events that are kept.
const maxEvents = 1 << 12

type event struct {
	version string
	at      time.Duration
}

// Tracker records the servers of one service that join and leave. It is not safe for concurrent use.
type Tracker struct {
	leaves []event
	// joinedAt is when the last server of a version joined.
	joinedAt map[string]time.Duration
}

// Joined records a server that has joined.
func (t *Tracker) Joined(version string, now time.Duration) {
	if t.joinedAt == nil {
		t.joinedAt = make(map[string]time.Duration)
	}
	for other, at := range t.joinedAt {
		if now-at >= Window {
			delete(t.joinedAt, other)
		}
	}
	t.joinedAt[version] = now
}

// Left records a server that has begun to leave.
func (t *Tracker) Left(version string, now time.Duration) {
	if t.leaves = append(t.expired(now), event{version, now}); len(t.leaves) > maxEvents {
		t.leaves = t.leaves[len(t.leaves)-maxEvents:]
	}
}

// expired returns the servers that have left within the Window.
func (t *Tracker) expired(now time.Duration) []event {
	i := 0
	for i < len(t.leaves) && now-t.leaves[i].at >= Window {
		i++
	}
	return t.leaves[i:]
}

// IsRetiring reports whether a version of which some servers are ready is being replaced: at least as many of
// its servers have left as are ready, and servers of another version have joined.
func (t *Tracker) IsRetiring(version string, ready int, now time.Duration) bool {
	left := 0
	for _, e := range t.expired(now) {
		if e.version == version {
			left++
		}
	}
	if left < minLeaves || left < ready {
		return false
	}
	for other, at := range t.joinedAt {
		if other != version && now-at < Window {
			return true
		}
	}
	return false
}
