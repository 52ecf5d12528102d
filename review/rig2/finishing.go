package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// finishingGateways is the number of gateways, finishingServers that of servers, of which finishingLeavers leave in
	// each of finishingRounds rounds.
	finishingGateways, finishingServers, finishingLeavers, finishingRounds = 3, 8, 1, 6
	// signaledGateways is the number of gateways that get SIGHUP.
	signaledGateways = 2
	// finishingEvents is the number of events of a stream, finishingInterval the time between the begins of two.
	finishingEvents, finishingInterval = 200, 20 * time.Millisecond
	// unframedTime is the time before a leave in which one of unframedPer answers of the servers that will leave has no
	// length, the third first.
	unframedTime, unframedPer, firstUnframed = 5 * time.Second, 20, 3
	// drainSlack is how much longer than drainTimeout a server takes new connections.
	drainSlack = 300 * time.Millisecond
	oncePath   = "/once/a"
)

// closingServer is a server behind a listener that can be closed while its connections go on.
type closingServer struct {
	*fleet.Server
	listener net.Listener
	// isUnframed says that some answers have no length, answers counts the answers in that time.
	isUnframed atomic.Bool
	answers    atomic.Int64
}

// onceStream is a stream that can't be resumed, as its client saw it.
type onceStream struct {
	id string
	// isSignaled says that its gateway gets SIGHUP.
	isSignaled bool
	sent, end  time.Time
	status     int
	events     int
	err        error
}

// runFinishing has servers leave after they have finished their streams, as gateways get a SIGHUP. Without trouble no
// server leaves.
func runFinishing(r *rig, hasTrouble bool) (broken bool, err error) {
	r.putOnceConfig()
	var servers []*closingServer
	for n := range finishingServers {
		s, err := r.addClosing(n)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := r.addGateways(finishingGateways); err != nil {
		return false, err
	}
	all := servers
	for round := range finishingRounds {
		for n := range finishingLeavers {
			s, err := r.addClosing(round*finishingLeavers + n)
			if err != nil {
				return false, err
			}
			all = append(all, s)
		}
		leavers := all[round*finishingLeavers:][:finishingLeavers]
		streams, err := r.playLeave(leavers, hasTrouble)
		if err != nil {
			return false, err
		}
		broken = r.judgeFinishing(leavers, streams) || broken
	}
	return broken, nil
}

// streamLog collects streams.
type streamLog struct {
	mu  sync.Mutex
	all []*onceStream
	wg  sync.WaitGroup
}

// playLeave lets streams run at all gateways, signals some of them, and has servers leave. It returns the streams at the
// signaled gateways that the rule is about.
func (r *rig) playLeave(leavers []*closingServer, hasTrouble bool) (streams []*onceStream, err error) {
	log := &streamLog{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log.wg.Go(func() { r.beginOnce(ctx, log) })
	time.Sleep(time.Second)
	for _, s := range leavers {
		s.isUnframed.Store(true)
	}
	time.Sleep(unframedTime)
	for _, g := range r.gateways[:signaledGateways] {
		if err := g.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, err
		}
	}
	hup := time.Now()
	r.note("SIGHUP to %d gateways", signaledGateways)
	for _, s := range leavers {
		s.isUnframed.Store(false)
		if hasTrouble {
			s.StartDraining(true)
			r.note("server %s is draining", s.ID)
		}
	}
	time.Sleep(drainTimeout + drainSlack)
	stop()
	if hasTrouble {
		var wg sync.WaitGroup
		for _, s := range leavers {
			wg.Go(func() { r.finish(s) })
		}
		wg.Wait()
	}
	log.wg.Wait()
	for _, s := range log.all {
		if s.isSignaled && s.sent.Before(hup.Add(configApplyTime)) && s.end.After(hup) {
			streams = append(streams, s)
		}
	}
	return streams, nil
}

// finish has a server take no new connection, and exit once it has answered the requests that it has.
func (r *rig) finish(s *closingServer) {
	s.listener.Close()
	r.note("server %s takes no new connection, %d requests are in progress", s.ID, s.InProgress())
	for s.InProgress() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.RemoveEntry()
	s.Kill()
	r.note("server %s has left", s.ID)
}

// addClosing adds a server behind a listener of its own.
func (r *rig) addClosing(n int) (*closingServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &closingServer{listener: l}
	r.fleet.AddProxy = func(address string) (string, error) {
		go acceptFor(l, address)
		return l.Addr().String(), nil
	}
	s.Server, err = r.fleet.Add(fleet.ModelService, zone(n), fleet.Behavior{
		Events: finishingEvents, EventInterval: eventInterval, Slots: 64, ForRequest: func(b fleet.Behavior, _ *http.Request) fleet.Behavior {
			b.Unframed = s.isUnframed.Load() && s.answers.Add(1)%unframedPer == firstUnframed
			return b
		},
	})
	return s, err
}

// acceptFor passes connections on to an address until the listener is closed.
func acceptFor(l net.Listener, address string) {
	for {
		front, err := l.Accept()
		if err != nil {
			return
		}
		back, err := net.Dial("tcp", address)
		if err != nil {
			front.Close()
			continue
		}
		go pass(front, back)
		go pass(back, front)
	}
}

// pass copies bytes until their end, and passes the end on.
func pass(from, to net.Conn) {
	io.Copy(to, from)
	to.(*net.TCPConn).CloseWrite()
}

// beginOnce begins streams until ctx ends.
func (r *rig) beginOnce(ctx context.Context, log *streamLog) {
	for i := 0; ctx.Err() == nil; i++ {
		n := i % len(r.gateways)
		s := &onceStream{id: fleet.NextID(), isSignaled: n < signaledGateways}
		log.mu.Lock()
		log.all = append(log.all, s)
		log.mu.Unlock()
		log.wg.Go(func() { s.read(r.gateways[n].callers) })
		time.Sleep(finishingInterval)
	}
}

// read sends the request and reads its answer to the end.
func (s *onceStream) read(address string) {
	defer func() { s.end = time.Now() }()
	s.sent = time.Now()
	c, err := dial(address)
	if err != nil {
		s.err = err
		return
	}
	defer c.close()
	c.conn.SetDeadline(time.Now().Add(streamTimeout))
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi",
		oncePath, fleet.Host, fleet.Key, s.id, streamTimeout.Milliseconds())
	if _, s.err = io.WriteString(c.conn, request); s.err != nil {
		return
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		s.err = err
		return
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			s.events++
		}
	}
	s.err = errors.Wrap(lines.Err(), "read events")
}

// judgeFinishing records the streams beside the signal that servers answered completely and whose clients got no complete
// answer, and reports whether there were any.
func (r *rig) judgeFinishing(leavers []*closingServer, streams []*onceStream) (broken bool) {
	completed := make(map[string]string)
	for _, s := range leavers {
		for _, w := range s.Workings() {
			if w.Ending == fleet.EndComplete {
				completed[w.ID] = s.ID
			}
		}
	}
	whole, lost := 0, 0
	for _, s := range streams {
		server, isCompleted := completed[s.id]
		switch {
		case s.err == nil:
			whole++
		case isCompleted:
			lost++
			r.note("stream %s, which server %s answered completely: status %d, %d of %d events, %.3f s, error %v", s.id, server, s.status, s.events, finishingEvents, s.end.Sub(s.sent).Seconds(), s.err)
		default:
			r.note("stream %s: status %d, %d events, error %v", s.id, s.status, s.events, s.err)
		}
	}
	r.note("of %d requests beside the SIGHUP, %d answered completely, %d cut off that servers had answered completely", len(streams), whole, lost)
	return lost > 0
}

// putOnceConfig writes a configuration with a route for streams that can't be resumed, of a service that moves no runs.
func (r *rig) putOnceConfig() {
	r.fleet.Store.Put("op", "config", map[string]any{
		"version": 10,
		"routes": []map[string]any{{
			"name": "once", "host": fleet.Host, "prefix": "/once/", "type": "streaming", "service": fleet.ModelService, "timeoutMs": streamTimeout.Milliseconds(),
			"targetLatencyMs": 1800, "maxAttempts": 2, "priority": 1, "public": false, "itlTargetMs": 180,
		}},
		"services": []map[string]any{{"name": fleet.ModelService, "healthPath": "/healthz", "maxConnections": 382, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": fleet.Team, "apiKeys": []string{fleet.Key}}},
	})
}
