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
	// maxStateAge is how long a state is sent to further peers before it is built again.
	maxStateAge = 40 * time.Millisecond
)

// statePeriod returns the time between two states on each link, for a number of links.
func statePeriod(links int) time.Duration {
	return max(minStatePeriod, time.Duration(links)*time.Second/maxStatesPerSecond)
}

// stateTimeout returns the age from which a peer's state is too old to be used. It assumes
// that peers have about as many links as this process.
func stateTimeout(links int) time.Duration { return maxMissedStates * statePeriod(links) }

// ownState is the state of this gateway, built once for several links. It is safe for concurrent use. Its
// lock is acquired before the locks that building a state needs.
type ownState struct {
	mu      sync.Mutex
	state   *peerv1.State
	builtAt time.Time
	// isInvalid makes the next state be built anew. urgentReaders are the readers in the last state that was
	// built after that, if it had any, and urgentNumber counts these lists: each link gets each of them.
	isInvalid     bool
	urgentReaders []*peerv1.Reader
	urgentNumber  int
}

// invalidate makes the next get build a new state.
func (s *ownState) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isInvalid = true
}

// get returns the state, which must not be changed. It calls build if there is none or it is older than
// maxStateAge. readers is the last list of readers that each link gets, and its number.
func (s *ownState) get(build func() *peerv1.State) (state *peerv1.State, readers []*peerv1.Reader, number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || s.isInvalid || time.Since(s.builtAt) >= maxStateAge {
		s.state, s.builtAt = build(), time.Now()
		s.state.AcceptsPartial = true
		if s.isInvalid && len(s.state.GetReaders()) > 0 {
			s.urgentReaders = s.state.GetReaders()
			s.urgentNumber++
		}
		s.isInvalid = false
	}
	return s.state, s.urgentReaders, s.urgentNumber
}

// stateSender makes the states of one link and keeps them within a budget of bytes. It is not safe for
// concurrent use.
type stateSender struct {
	sent   *sentState
	budget byteBudget
	// isBegun is set once a state has been sent.
	isBegun bool
	// urgentNumber is the number of the last list of readers that was sent.
	urgentNumber int
}

// frameOverhead is what a frame takes on the link besides its bytes: the headers of yamux, IPv4 and TCP.
const frameOverhead = 64

const (
	// urgentDebtBytes is the number of bytes that urgent states may exceed the budget by.
	urgentDebtBytes = 400
	// loadsBytes is the number of bytes that are saved up for a state with loads, so that its header is a small part
	// of it.
	loadsBytes = 350
)

// delay returns how long a state has to wait that is not a regular one. Urgent states may exceed the budget.
func (l *stateSender) delay(cause Cause, now time.Time) time.Duration {
	switch cause {
	case CauseUrgentState:
		return l.budget.wait(-urgentDebtBytes, now)
	case CauseLoads:
		return l.budget.wait(loadsBytes, now)
	}
	return 0
}

// next returns the frame to send now, whole or partial. hasMore reports whether changes were left out.
func (l *stateSender) next(own *ownState, build func() *peerv1.State, partial bool, now time.Time) (frame []byte, hasMore bool, err error) {
	state, readers, number := own.get(build)
	if partial {
		if !l.isBegun {
			l.sent = newSentState()
		}
		var out *peerv1.State
		out, hasMore = l.sent.next(state, l.budget.left(now)-frameOverhead, now)
		if !l.isBegun {
			// The peer takes the first state as whole. What the budget leaves out follows.
			out.Partial, out.From, out.LinkMbps = false, state.GetFrom(), state.GetLinkMbps()
		}
		if number != l.urgentNumber {
			out.Readers = readers
		}
		state = out
	} else {
		l.sent.whole(state, now)
	}
	l.isBegun, l.urgentNumber = true, number
	frame, err = mux.EncodeFrame(&peerv1.Frame{Kind: &peerv1.Frame_State{State: state}})
	return frame, hasMore, err
}
