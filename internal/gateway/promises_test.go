package gateway

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/internal/standin/fleet"
)

var promisedRequests = flag.Int("promises", 4000, "number of requests to servers that answer at random")

// randomServers answer at random on raw connections.
type randomServers struct {
	mu sync.Mutex
	// ran has the requests that a server has read and not rejected.
	ran map[string]bool
	// sends and rejections count what has reached servers.
	sends, rejections, calls atomic.Int64
	fleet                    *fleet.Fleet
	ids                      atomic.Int64
}

var promiseStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func (s *randomServers) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id] = true
}

func (s *randomServers) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// announce writes the entry of the next incarnation of a server in place of that of the last one.
func (s *randomServers) announce(last, service, address string) (id string) {
	id = fmt.Sprint("i-", s.ids.Add(1))
	if last != "" {
		s.fleet.Store.Remove("servers", last)
	}
	s.fleet.Store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "zone-1", "version": fleet.DefaultSoftwareVersion, "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	return id
}

// incarnationTime is how long a server has the same id: a gateway sends nothing more to one that has answered 421.
const incarnationTime = 300 * time.Millisecond

// add starts a server and announces it.
func (s *randomServers) add(t *testing.T, service string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for id := ""; t.Context().Err() == nil; time.Sleep(incarnationTime) {
			id = s.announce(id, service, l.Addr().String())
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, rand.New(rand.NewPCG(rand.Uint64(), 72)))
		}
	}()
}

func (s *randomServers) serve(c net.Conn, rng *rand.Rand) {
	defer c.Close()
	in, late := bufio.NewReader(c), ""
	for {
		if rng.IntN(30) == 0 {
			// What has been sent meanwhile is read late.
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if late != "" {
			// A further answer to the last request comes where that to this one is expected.
			io.WriteString(c, late)
			late = ""
		}
		answer := s.answer(c, r, rng)
		if answer == "" {
			return
		}
		io.WriteString(c, answer)
		switch rng.IntN(4) {
		case 0:
			time.AfterFunc(time.Duration(rng.IntN(40))*time.Millisecond, func() { io.WriteString(c, answer) })
		case 1, 2:
			late = answer
		}
	}
}

// head returns an answer without a body.
func head(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, fields)
}

// answer returns the answer to a request or a call, empty if the connection is to be closed.
func (s *randomServers) answer(c net.Conn, r *http.Request, rng *rand.Rand) string {
	if strings.HasPrefix(r.URL.Path, "/kingcupplank/") {
		s.calls.Add(1)
		if rng.IntN(2) > 0 {
			return "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"kvHandle\":\"h\"}"
		}
		return head([]int{404, 409, 421, 421, 429, 503}[rng.IntN(6)], "")
	}
	s.sends.Add(1)
	id := r.Header.Get("X-Kingcupplank-Attempt-Id")
	names := "X-Kingcupplank-Attempt-Id: " + id + "\r\n"
	if rng.IntN(20) == 0 {
		names = ""
	}
	status := promiseStatuses[rng.IntN(len(promiseStatuses))]
	if status == http.StatusMisdirectedRequest && rng.IntN(4) > 0 {
		status = http.StatusTooManyRequests
	}
	draw := rng.IntN(100)
	if draw < 35 {
		s.rejections.Add(1)
		if status == http.StatusMisdirectedRequest && rng.IntN(2) == 0 {
			return head(status, names)
		}
		return head(status, names+"X-Kingcupplank-Not-Executed: 1\r\n")
	}
	s.recordRun(id)
	const seal = "X-Kingcupplank-Response-Seal: s\r\n"
	switch {
	case draw < 45:
		return head(status, names+seal)
	case draw < 50:
		c.(*net.TCPConn).SetLinger(0)
		return ""
	case draw < 53:
		return "HTTP/1.1 200 OK\r\n" + names + seal + "Content-Length: 40\r\n\r\ncut"
	case draw < 56:
		return head(http.StatusInternalServerError, names+seal)
	case draw < 60:
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	if r.Header.Get("X-Kingcupplank-Model-Id") == "" {
		return "HTTP/1.1 200 OK\r\n" + names + seal + "Content-Length: 2\r\n\r\nok"
	}
	return s.stream(c, r, names+seal, rng)
}

// stream sends events and returns the end of the answer, empty if it breaks off.
func (s *randomServers) stream(c net.Conn, r *http.Request, fields string, rng *rand.Rand) string {
	io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	last, breaksAt := 0, rng.IntN(60)
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	for n := last + 1; n <= 20; n++ {
		if n == breaksAt {
			return ""
		}
		text := fleet.EventText(n, "")
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return ""
		}
		pause := 3 * time.Millisecond
		if rng.IntN(100) == 0 {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
	return "0\r\n\r\n"
}

// Guards against "not run" being promised for a request that a server runs, or runs later: in random sequences of
// rejections, late and further answers, breaks, pauses, copies, stops of runs, deadlines and callers that leave.
func TestPromisesHoldInRandomSequences(t *testing.T) {
	const systems = 16
	for i := range systems {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			// With few servers, requests are sent to one of them again.
			playRandomSequences(t, *promisedRequests/systems, 1+i%3, 1+i%4)
		})
	}
}

func playRandomSequences(t *testing.T, count, engines, desks int) {
	s := newSystem(t)
	servers := &randomServers{ran: make(map[string]bool), fleet: s.fleet}
	for range engines {
		servers.add(t, fleet.ModelService)
	}
	for range desks {
		servers.add(t, fleet.DeskService)
	}
	platform, endpoint := s.settings("vm-1")
	platform.Bounds.RetryExtra = 1 << 20
	platform.FaultTolerance.FailureDomains = 1
	n := s.start(platform, endpoint)
	n.eventually(func() bool {
		return n.registry.CountReady(fleet.ModelService) == engines && n.registry.CountReady(fleet.DeskService) == desks
	}, "servers are known")
	var mu sync.Mutex
	statuses, promised := make(map[int]int), []string(nil)
	requests := make(chan int)
	var wg sync.WaitGroup
	for range 2 + 2*engines {
		wg.Go(func() {
			for i := range requests {
				id := fmt.Sprint("r", i)
				status := n.askAtRandom(t, id)
				mu.Lock()
				if statuses[status]++; relay.PromisesNotRun(status) {
					promised = append(promised, id)
				}
				mu.Unlock()
			}
		})
	}
	for i := range count {
		requests <- i
	}
	close(requests)
	wg.Wait()
	time.Sleep(time.Second)
	for _, id := range promised {
		require.False(t, servers.hasRun(id), "%s was promised not to run", id)
	}
	require.Positive(t, len(promised))
	t.Logf("%d sends, %d rejected, %d calls, statuses %v", servers.sends.Load(), servers.rejections.Load(), servers.calls.Load(), statuses)
}

// askAtRandom sends a request of a random kind and returns the status, 0 without one.
func (n *testGateway) askAtRandom(t *testing.T, id string) int {
	c, err := net.Dial("tcp", n.callers)
	require.NoError(t, err)
	defer c.Close()
	paths := []string{fleet.PlanPath, fleet.PlanPath, fleet.CheckPath, fleet.OncePath, fleet.OncePath, fleet.SafePath}
	r := plain(paths[rand.IntN(len(paths))])
	if r.path == fleet.PlanPath || r.path == fleet.CheckPath {
		r = generation(r.path)
	}
	if rand.IntN(10) == 0 {
		r.body = strings.Repeat("b", 20_000)
	}
	timeout := 2000
	if rand.IntN(4) == 0 {
		timeout = 1 + rand.IntN(300)
	}
	conn := &conn{Conn: c, t: t, in: bufio.NewReader(c)}
	conn.send(r.with("X-Kingcupplank-Attempt-Id", id).with("X-Kingcupplank-Deadline-Ms", fmt.Sprint(timeout)))
	if rand.IntN(20) == 0 {
		c.SetReadDeadline(time.Now().Add(time.Duration(rand.IntN(100)) * time.Millisecond))
	} else {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
