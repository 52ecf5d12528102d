package peers

import (
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// leastPeriod is the least time between two states of a link. Loads grow and end
	// in that time by a few per cent; what others act on at once is sent at once.
	leastPeriod = 150 * time.Millisecond
	// statesPerSecond bounds what a gateway spends on states. One costs sender and
	// receiver some 30 us each, which would be half of all processor time of a gateway with
	// one every 150 ms on each of 28 links.
	statesPerSecond = 100
	// missing is how many states in a row may be lost before a peer is not believed
	// any more.
	missing = 4
	// sameState is how long a state is told to further peers before it is made anew.
	sameState = 40 * time.Millisecond
)

// period is the time between two states of each of some links.
func period(links int) time.Duration {
	return max(leastPeriod, time.Duration(links)*time.Second/statesPerSecond)
}

// silence is the age from which a peer's state is not believed any more. Peers have
// about as many links as this process.
func silence(links int) time.Duration { return missing * period(links) }

// stateFrame is the own state, encoded once for several links. It is safe for
// concurrent use; its lock comes before those that making a state takes.
type stateFrame struct {
	mu    sync.Mutex
	frame []byte
	made  time.Time
}

// outdate has the next get make a new one.
func (s *stateFrame) outdate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frame = nil
}

// get returns the frame; it must not be changed.
func (s *stateFrame) get(state func() *peerv1.State) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.frame != nil && time.Since(s.made) < sameState {
		return s.frame, nil
	}
	frame, err := mux.Frame(&peerv1.Frame{Kind: &peerv1.Frame_State{State: state()}})
	if err != nil {
		return nil, err
	}
	s.frame, s.made = frame, time.Now()
	return frame, nil
}
