package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// rejoiningGateways is the number of gateways, one in each zone, rejoiningServers that of model servers, which all run the
	// same version of their software.
	rejoiningGateways, rejoiningServers = 3, 6
	// rejoiningStreams is the number of streams that are broken off, and of those that begin afterwards.
	rejoiningStreams = 36
	// streamEvents is the number of events of a stream, eventInterval the time between two.
	streamEvents, eventInterval = 233, 36 * time.Millisecond
	// streamTimeout is the deadline of the clients and the route's timeoutMs.
	streamTimeout = 39 * time.Second
	// breakAfter is the time from the begin of the streams to the kill of all processes, downTime the time to their start.
	breakAfter, downTime = 2 * time.Second, 700 * time.Millisecond
	// rejoinDelay is the time from the start of the processes to the clients' return: the machines are in touch by then.
	rejoinDelay = contactWindow + time.Second
	// rejoinTries is how often a client asks to go on with its stream, maxWaitDivisor the part of its time left up to which it
	// waits as it is told.
	rejoinTries, maxWaitDivisor = 4, 3
	longPath                    = "/long/a"
)

// generation is a stream of a client.
type generation struct {
	// first is the id of the attempt that received the first event.
	first    string
	begun    time.Time
	events   int
	gap      bool
	complete bool
	// wentOn says that an event came after the stream was taken up again.
	wentOn bool
	// statuses are those of the tries to go on with it.
	statuses []int
}

// runRejoining breaks streams off that may be resumed, and looks whether their clients can go on with them once all machines are
// in touch. With trouble, all processes of the gateways are killed at once; without, the clients lose their connections.
func runRejoining(r *rig, hasTrouble bool) (broken bool, err error) {
	r.putStreamConfig()
	for n := range rejoiningServers {
		if _, err := r.fleet.Add(fleet.ModelService, zone(n), fleet.Behavior{Events: streamEvents, EventInterval: eventInterval, Slots: 48}); err != nil {
			return false, err
		}
	}
	if err := r.addGateways(rejoiningGateways); err != nil {
		return false, err
	}
	ctx, cut := context.WithCancel(context.Background())
	defer cut()
	streams := r.beginStreams(ctx)
	time.Sleep(breakAfter)
	cut()
	if hasTrouble {
		if err := r.killAll(); err != nil {
			return false, err
		}
	}
	streams.wg.Wait()
	time.Sleep(rejoinDelay)
	r.note("the clients return")
	var wg sync.WaitGroup
	for i, g := range streams.all {
		wg.Go(func() { r.rejoin(g, r.gateways[(i+1)%len(r.gateways)]) })
	}
	fresh := r.beginStreams(context.Background())
	fresh.wg.Wait()
	wg.Wait()
	return r.judgeRejoining(streams.all, fresh.all)
}

// killAll kills the processes of all gateways and starts them again.
func (r *rig) killAll() error {
	r.note("the processes of all gateways are killed")
	for _, g := range r.gateways {
		g.cmd.Process.Kill()
	}
	time.Sleep(downTime)
	for _, g := range r.gateways {
		<-g.exited
		if err := g.start(); err != nil {
			return err
		}
	}
	r.note("they are started again")
	return nil
}

// streamSet are streams that run side by side.
type streamSet struct {
	all []*generation
	wg  sync.WaitGroup
}

// beginStreams begins streams at all gateways. Their clients lose their connections when ctx ends.
func (r *rig) beginStreams(ctx context.Context) *streamSet {
	set := &streamSet{}
	for i := range rejoiningStreams {
		g := &generation{first: fleet.NextID(), begun: time.Now()}
		set.all = append(set.all, g)
		set.wg.Go(func() {
			status, _, err := g.read(ctx, r.gateways[i%len(r.gateways)].callers, g.first)
			r.note("stream %s: status %d, %d events, complete %t, error %v", g.first, status, g.events, g.complete, err)
		})
	}
	return set
}

// rejoin tries to go on with a stream that was broken off, as the pages tell clients to.
func (r *rig) rejoin(g *generation, at *gateway) {
	if g.events == 0 || g.complete {
		return
	}
	for range rejoinTries {
		before := g.events
		status, retryAfter, err := g.read(context.Background(), at.callers, fleet.NextID())
		g.statuses = append(g.statuses, status)
		r.note("stream %s is resumed after event %d: status %d, retry after %v, %d events more, complete %t, error %v", g.first, before, status, retryAfter, g.events-before, g.complete, err)
		g.wentOn = g.wentOn || g.events > before || g.complete
		left := streamTimeout - time.Since(g.begun)
		if g.complete || status != http.StatusServiceUnavailable || left <= 0 {
			return
		}
		wait.For(context.Background(), min(retryAfter, left/maxWaitDivisor))
	}
}

// read sends an attempt and reads events until the answer ends. It resumes the stream if it has events.
func (g *generation) read(ctx context.Context, address, id string) (status int, retryAfter time.Duration, err error) {
	c, err := dial(address)
	if err != nil {
		return 0, 0, err
	}
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	c.conn.SetDeadline(g.begun.Add(streamTimeout))
	if _, err := io.WriteString(c.conn, g.request(id)); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, retryAfter, nil
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			g.gap = g.gap || n != strconv.Itoa(g.events+1)
			g.events++
		}
	}
	g.complete = lines.Err() == nil
	return resp.StatusCode, 0, errors.Wrap(lines.Err(), "read events")
}

// request returns the attempt with an id.
func (g *generation) request(id string) string {
	resumes := ""
	if g.events > 0 {
		resumes = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", g.first, g.events)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Deadline-Ms: %d\r\n"+
		"X-Kingcupplank-Model-Id: m\r\nX-Kingcupplank-Token-Usage: 3000,932\r\nX-Kingcupplank-Prompt-Prefix: 5c1e07a2:79,%x:2921\r\n%sContent-Length: 2\r\n\r\nhi",
		longPath, fleet.Host, fleet.Key, id, (streamTimeout - time.Since(g.begun)).Milliseconds(), g.first, resumes)
}

// judgeRejoining reports whether the share of the streams that went on is under half of the share of new streams that began.
func (r *rig) judgeRejoining(resumed, fresh []*generation) (broken bool, err error) {
	returned, wentOn, began := 0, 0, 0
	for _, g := range resumed {
		if len(g.statuses) > 0 {
			returned++
		}
		if g.wentOn {
			wentOn++
		}
		if g.gap {
			return false, errors.Errorf("stream %s has a gap", g.first)
		}
	}
	for _, g := range fresh {
		if g.events > 0 {
			began++
		}
	}
	r.note("%d of %d streams that clients took up again went on; %d of %d new streams began", wentOn, returned, began, len(fresh))
	if returned < minReturned {
		return false, errors.Errorf("only %d clients returned", returned)
	}
	return 2*wentOn*len(fresh) < began*returned, nil
}

// minReturned is the number of streams from which on the rule applies.
const minReturned = 12

// putStreamConfig writes a configuration with a route for long streams that may be resumed.
func (r *rig) putStreamConfig() {
	r.fleet.Store.Put("op", "config", map[string]any{
		"version": 10,
		"routes": []map[string]any{{
			"name": "long", "host": fleet.Host, "prefix": "/long/", "type": "streaming", "service": fleet.ModelService, "timeoutMs": streamTimeout.Milliseconds(),
			"targetLatencyMs": 1800, "maxAttempts": 2, "priority": 1, "public": false, "sessionAffinity": true, "streamResume": true, "itlTargetMs": 180,
		}},
		"services": []map[string]any{{
			"name": fleet.ModelService, "healthPath": "/healthz", "maxConnections": 382, "protocol": "h1", "tls": false, "inferenceEngine": map[string]any{
				"slots": 48, "kvCapacityTokens": 34368, "kvTokenBytes": 131072, "bandwidthMbps": 19000, "migrations": true, "replicas": true, "increment": 4, "kvTtlS": 5,
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": fleet.Team, "apiKeys": []string{fleet.Key}}},
	})
}
