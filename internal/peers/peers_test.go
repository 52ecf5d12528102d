package peers

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/standin"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// recordingReceiver is a Receiver that records the live states and all pages.
type recordingReceiver struct {
	mu     sync.Mutex
	states map[string]*peerv1.State
	pages  []*peerv1.Page
}

func (e *recordingReceiver) State(peer string, s *peerv1.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == nil {
		delete(e.states, peer)
		return
	}
	e.states[peer] = s
}

func (e *recordingReceiver) Suspects(string, *peerv1.Suspects) {}

func (e *recordingReceiver) Page(_ string, p *peerv1.Page) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pages = append(e.pages, p)
}

func (e *recordingReceiver) hasState(peer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[peer] != nil
}

func (e *recordingReceiver) pageCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.pages)
}

// startManager runs a manager and returns it, its receiver, and a function that stops it.
func startManager(t *testing.T, name string) (*Manager, *recordingReceiver, context.CancelFunc) {
	return startManagerWith(t, name, func(*Member, *Deps) {})
}

var netDial = (&net.Dialer{}).DialContext

// dialTCP returns the function of Deps that dials with dial.
func dialTCP(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
}

// startManagerWith is startManager with changed dependencies.
func startManagerWith(t *testing.T, name string, change func(*Member, *Deps)) (*Manager, *recordingReceiver, context.CancelFunc) {
	self := Member{Name: name, Address: standin.UniqueAddress(), FailureDomain: "zone-1"}
	l, err := net.Listen("tcp", self.Address)
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &recordingReceiver{states: make(map[string]*peerv1.State)}
	deps := Deps{
		Dial: dialTCP(netDial),
		State: func() *peerv1.State {
			return &peerv1.State{From: &peerv1.Member{Name: self.Name, Address: self.Address, FailureDomain: self.FailureDomain}}
		},
		Receiver: e, Log: log, OnForgotten: func(Member) {}, MaxLinks: DefaultLinks,
	}
	change(&self, &deps)
	m := New(self, deps)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		m.Run(ctx, l)
		close(done)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.ctx != nil
	}, time.Second, time.Millisecond)
	return m, e, stop
}

const soon = 3 * time.Second

// Gateway a knows the address of b. b gets to know a by its first state, and both must be
// linked. When b stops, its state must be removed, because the requests of b
// have ended with it.
func TestPeersLinkAndExpire(t *testing.T) {
	a, receiverA, _ := startManager(t, "a")
	b, receiverB, stopB := startManager(t, "b")
	a.AddMembers([]Member{b.self, a.self})
	require.Eventually(t, func() bool { return receiverA.hasState("b") && receiverB.hasState("a") }, soon, time.Millisecond)
	require.Equal(t, 2, a.KnownCount())
	a.BroadcastPage(&peerv1.Page{Table: "t"})
	require.Eventually(t, func() bool { return receiverB.pageCount() == 1 }, soon, time.Millisecond)
	stopB()
	require.Eventually(t, func() bool { return !receiverA.hasState("b") }, soon, time.Millisecond)
	require.Empty(t, a.LiveStates())
}

// A peer whose process hangs accepts pages until its receive windows are full. Sending to it
// must not block sending to other peers.
func TestHangingPeerDoesNotBlockBroadcast(t *testing.T) {
	a, _, _ := startManager(t, "a")
	hanging, err := net.Listen("tcp", standin.UniqueAddress())
	require.NoError(t, err)
	defer hanging.Close()
	a.AddMembers([]Member{{Name: "z", Address: hanging.Addr().String()}})
	begin := time.Now()
	for range 10 * frameQueueSize {
		a.BroadcastPage(&peerv1.Page{Rows: []*peerv1.Row{{Value: make([]byte, 64<<10)}}})
	}
	require.Less(t, time.Since(begin), time.Second)
}

// The rate of states that a gateway sends must not grow with the number of its links, and a
// peer's state must stay valid while a few states are lost.
func TestStateRateIsBoundedForAllLinks(t *testing.T) {
	require.Equal(t, minStatePeriod, statePeriod(2))
	for _, links := range []int{16, 28, DefaultLinks} {
		require.LessOrEqual(t, float64(links)/statePeriod(links).Seconds(), float64(maxStatesPerSecond))
		require.GreaterOrEqual(t, stateTimeout(links), maxMissedStates*statePeriod(links))
	}
}

// A state must be built once for all links that send it at the same time, but again after
// a change that peers act on.
func TestStateIsBuiltOnceForSeveralLinks(t *testing.T) {
	calls := 0
	build := func() *peerv1.State {
		calls++
		return &peerv1.State{Stopping: calls > 1}
	}
	var own ownState
	first, _, _ := own.get(build)
	second, _, _ := own.get(build)
	require.Same(t, first, second)
	require.Equal(t, 1, calls)
	own.invalidate()
	third, _, _ := own.get(build)
	require.Equal(t, 2, calls)
	require.NotSame(t, first, third)
}

// What a link sends while nothing changes, and while all loads do.
func BenchmarkPartialState(b *testing.B) {
	loads := newChangingLoads()
	self := Member{Name: "vm"}
	for name, changes := range map[string]int{"idle": 0, "crowded": crowdServers} {
		b.Run(name, func(b *testing.B) {
			var own ownState
			l := stateSender{sent: newSentState()}
			l.budget.setRate(controlRate(0), time.Now())
			for b.Loop() {
				for i := range changes {
					loads.change(i)
				}
				l.next(&own, func() *peerv1.State { return loads.state(self) }, true, time.Now())
			}
		})
	}
}
