package peers

import (
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// minStatePeriod is the shortest time between two regular states on a link. Loads change
	// by a few percent in that time. Changes that peers act on are sent at once.
	minStatePeriod = 150 * time.Millisecond
	// maxStatesPerSecond bounds the states that a gateway sends to all peers together. A
	// state costs sender and receiver some 30 us each. With one every 150 ms on each of 28
	// links, states would be half of all CPU time that a gateway uses.
	maxStatesPerSecond = 100
	// maxMissedStates is the number of consecutive states that may be missing before the last
	// state of a peer is too old.
	maxMissedStates = 4
	// maxFrameAge is how long an encoded state is sent to further peers before the state is
	// encoded again.
	maxFrameAge = 40 * time.Millisecond
)

// statePeriod returns the time between two states on each link, for a number of links.
func statePeriod(links int) time.Duration {
	return max(minStatePeriod, time.Duration(links)*time.Second/maxStatesPerSecond)
}

// stateTimeout returns the age from which a peer's state is too old to be used. It assumes
// that peers have about as many links as this process.
func stateTimeout(links int) time.Duration { return maxMissedStates * statePeriod(links) }

// stateFrame is the state of this gateway, encoded once for several links. It is safe for
// concurrent use. Its lock is acquired before the locks that building a state needs.
type stateFrame struct {
	mu        sync.Mutex
	frame     []byte
	encodedAt time.Time
}

// invalidate makes the next get encode a new frame.
func (s *stateFrame) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frame = nil
}

// get returns the frame, which must not be changed. It calls state to encode a new frame if
// there is none or it is older than maxFrameAge.
func (s *stateFrame) get(state func() *peerv1.State) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frame != nil && time.Since(s.encodedAt) < maxFrameAge {
		return s.frame, nil
	}
	frame, err := mux.EncodeFrame(&peerv1.Frame{Kind: &peerv1.Frame_State{State: state()}})
	if err != nil {
		return nil, err
	}
	s.frame, s.encodedAt = frame, time.Now()
	return frame, nil
}
