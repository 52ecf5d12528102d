package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// crowdLinkMbps is the bandwidth of the crowded gateway.
	crowdLinkMbps = 2
	// crowdEvents is the length of a stream in the crowd, crowdEventInterval the time between its events. 31
	// such streams at once take crowdLinkMbps.
	crowdEvents, crowdEventInterval = 100, 10 * time.Millisecond
	// maxPlainTime and maxStreamTime are how long plain requests and streams may take to count as served.
	maxPlainTime, maxStreamTime = time.Second, 2500 * time.Millisecond
	// minServedOfRead is the part of the requests that a crowded gateway reads that is served at the first
	// attempt, compared with before.
	minServedOfRead = 0.9
)

// crowd sends requests of callers on new connections and counts what becomes of the first attempt that a
// gateway has read.
type crowd struct {
	pick    func(i int) *testGateway
	retryAt func(i int) *testGateway

	mu                     sync.Mutex
	plainRead, plainServed int
	read, served, unread   int
	plainTimes             []time.Duration
}

// run sends plain requests and streams for duration. The first skip of it does not count.
func (c *crowd) run(streamsPerSecond, plainPerSecond int, skip, duration time.Duration) {
	begun := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		every(time.Second/time.Duration(plainPerSecond), duration, func(i int) {
			at := time.Now()
			read, served := c.attempt(i, maxPlainTime, func(ctx context.Context, n *testGateway) error {
				status, _, err := fleet.Call(ctx, n.callers, fleet.SafePath)
				return statusError(status, err)
			})
			c.count(time.Since(begun) > skip && read, func() {
				c.plainRead++
				if served {
					c.plainServed++
				}
				c.plainTimes = append(c.plainTimes, time.Since(at))
			})
		})
	})
	wg.Go(func() {
		every(time.Second/time.Duration(streamsPerSecond), duration, func(i int) {
			read, served := c.attempt(i, maxStreamTime, func(ctx context.Context, n *testGateway) error {
				return fleet.Stream(ctx, n.callers, fleet.PlanPath, func(string) {})
			})
			c.count(time.Since(begun) > skip && read, func() {
				c.read++
				if served {
					c.served++
				}
			})
		})
	})
	wg.Wait()
}

func (c *crowd) count(counts bool, add func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counts {
		add()
	}
}

func statusError(status int, err error) error {
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// attempt makes one attempt, and a second one at another gateway if the first was closed unread.
func (c *crowd) attempt(i int, timeout time.Duration, send func(context.Context, *testGateway) error) (read, served bool) {
	for _, n := range []*testGateway{c.pick(i), c.retryAt(i)} {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		err := send(ctx, n)
		cancel()
		if !isClosedUnread(err) {
			return true, err == nil
		}
		c.mu.Lock()
		c.unread++
		c.mu.Unlock()
	}
	return false, false
}

// isClosedUnread reports whether a gateway closed the connection without a response.
func isClosedUnread(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.As(err, &op) && op.Op == "dial"
}

func (c *crowd) servedShares() (plain, streams float64) {
	return float64(c.plainServed) / float64(max(1, c.plainRead)), float64(c.served) / float64(max(1, c.read))
}

// Guards against a gateway with most new connections taking on more than its link carries, so that what it
// reads is not served.
func TestCrowdedGatewayServesWhatItReads(t *testing.T) {
	s := newSystem(t)
	for range 10 {
		s.server(fleet.ModelService, fleet.Behavior{Events: crowdEvents, EventInterval: crowdEventInterval, Delay: 50 * time.Millisecond})
	}
	for range 3 {
		s.server(fleet.DeskService, fleet.Behavior{Delay: 30 * time.Millisecond})
	}
	link := newSimulatedLink(crowdLinkMbps)
	hot := s.gatewayWith("vm-1", func(o *Options) { o.WrapConn = link.wrap }, crowdLinkMbps)
	others := []*testGateway{s.gateway("vm-2"), s.gateway("vm-3"), s.gateway("vm-4")}
	all := append(slices.Clone(others), hot)
	other := func(int) *testGateway { return others[rand.IntN(len(others))] }
	before := &crowd{pick: func(i int) *testGateway { return all[i%len(all)] }, retryAt: other}
	before.run(45, 60, time.Second, 3*time.Second)
	during := &crowd{retryAt: other, pick: func(i int) *testGateway {
		if i%10 == 0 {
			return others[i/10%len(others)]
		}
		return hot
	}}
	during.run(45, 60, 2*time.Second, 7*time.Second)
	plainBefore, streamsBefore := before.servedShares()
	plainDuring, streamsDuring := during.servedShares()
	slices.Sort(during.plainTimes)
	t.Logf("served at the first attempt that was read: plain %.3f, then %.3f; streams %.3f, then %.3f; %d of %d closed unread, median of plain requests %v",
		plainBefore, plainDuring, streamsBefore, streamsDuring, during.unread, during.unread+during.read+during.plainRead, during.plainTimes[len(during.plainTimes)/2])
	require.GreaterOrEqual(t, plainDuring, minServedOfRead*plainBefore)
	require.GreaterOrEqual(t, streamsDuring, minServedOfRead*streamsBefore)
	require.Less(t, during.plainTimes[len(during.plainTimes)/2], 100*time.Millisecond)
}

// lateReader delays the first read of a connection.
type lateReader struct {
	net.Conn
	once  sync.Once
	delay time.Duration
}

func (c *lateReader) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}

func (c *lateReader) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Guards against requests being sent to servers whose callers have left before the requests are read.
func TestRequestsOfCallersThatHaveLeftReachNoServer(t *testing.T) {
	s := newSystem(t)
	desk := s.server(fleet.DeskService, fleet.Behavior{Delay: 20 * time.Millisecond})
	engine := s.server(fleet.ModelService, fleet.Behavior{Events: 50, EventInterval: 10 * time.Millisecond})
	late := func(c net.Conn, with netmeter.Counterpart) net.Conn {
		if with != netmeter.Callers {
			return c
		}
		return &lateReader{Conn: c, delay: 300 * time.Millisecond}
	}
	n := s.gatewayWith("vm-1", func(o *Options) { o.WrapConn = late }, 0)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			r := plain(fleet.SafePath)
			if i%2 == 0 {
				r = generation(fleet.PlanPath)
			}
			c := n.dial()
			c.send(r)
			time.Sleep(100 * time.Millisecond)
			c.Close()
		})
	}
	wg.Wait()
	time.Sleep(700 * time.Millisecond)
	require.Empty(t, desk.Arrivals())
	require.Empty(t, engine.Arrivals())
}
