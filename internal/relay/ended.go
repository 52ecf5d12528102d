package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/quarantine"
)

const (
	// endLook is the time between the two looks at a server whose answer broke. A process
	// that ends closes its connections before its listener, or after it.
	endLook = 100 * time.Millisecond
	// endLookTimeout bounds a look. A server behind a cut does not refuse; whether it has
	// ended cannot be told.
	endLookTimeout = 250 * time.Millisecond
	// gatherTime is how long the other requests at a server that has ended may take to
	// notice: their connections break in the same instant, their goroutines run later.
	gatherTime = 10 * time.Millisecond
	// lateLook is when the directory is asked whether a server that looked alive had
	// started again in the meantime. Its entry is written within a heartbeat.
	lateLook = 2 * time.Second
	// mostNamed bounds the requests that a log line names.
	mostNamed = 16
)

// inquest finds out whether a server has ended under the requests whose answers broke
// there. The Relay's mu guards its fields.
type inquest struct {
	server backends.Server
	// broke are the requests that are not judged yet.
	broke []broken
	// over is closed when the looks that requests may wait for are over; ended is what
	// they found.
	over  chan struct{}
	ended bool
}

// broken is a request whose answer broke off.
type broken struct {
	id      quarantine.ID
	attempt string
	// events is how many the caller had, try the attempt's number within the request.
	events, try int
}

// life names one start of a server.
type life struct {
	id   string
	born int64
}

func lifeOf(s backends.Server) life { return life{s.ID, s.Born} }

// id identifies what a request asks for, whatever its attempt.
func (j *job) id() quarantine.ID {
	return quarantine.Of(j.team, j.Method, j.Host, j.Target, j.Body)
}

// broke notes that the answer of a server to a request broke off. Where the server turns
// out to have ended, and was not about to leave, it ended under the request. A connection
// that was reset, a cut or a dropped request leave the server listening.
func (r *Relay) broke(ctx context.Context, j *job, s backends.Server) {
	if _, leaving := r.Registry.State(s); leaving || ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.inquests[lifeOf(s)]
	if q == nil {
		q = &inquest{server: s, over: make(chan struct{})}
		r.inquests[lifeOf(s)] = q
		go r.conduct(q)
	}
	q.broke = append(q.broke, broken{id: j.id(), attempt: j.ID, events: j.progress.events, try: j.sent})
	if q.ended {
		go r.endedUnder(q)
	}
}

// conduct looks whether the server of an inquest has ended, twice.
func (r *Relay) conduct(q *inquest) {
	if r.hasEnded(q.server) {
		r.conclude(q)
		return
	}
	time.AfterFunc(endLook, func() {
		if r.hasEnded(q.server) {
			r.conclude(q)
			return
		}
		close(q.over)
		time.AfterFunc(lateLook, func() {
			if r.Registry.Ended(q.server) {
				r.endedUnder(q)
			}
			r.forget(q)
		})
	})
}

// conclude judges the requests of a server that has ended, those that notice it later
// too.
func (r *Relay) conclude(q *inquest) {
	time.AfterFunc(gatherTime, func() {
		r.endedUnder(q)
		close(q.over)
		time.AfterFunc(lateLook, func() { r.forget(q) })
	})
}

func (r *Relay) forget(q *inquest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inquests, lifeOf(q.server))
}

// hasEnded reports whether a server certainly has ended.
func (r *Relay) hasEnded(s backends.Server) bool {
	if r.Registry.Ended(s) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), endLookTimeout)
	defer cancel()
	return r.Upstream.Gone(ctx, s)
}

// endedUnder judges the requests of an inquest whose server has ended.
func (r *Relay) endedUnder(q *inquest) {
	r.mu.Lock()
	ran, first := q.broke, !q.ended
	q.broke, q.ended = nil, true
	r.mu.Unlock()
	if len(ran) == 0 {
		return
	}
	if first {
		r.Observer.Ended(q.server.Service)
	}
	r.Log.WithFields(logrus.Fields{
		"server": q.server.ID, "born": q.server.Born, "service": q.server.Service, "requests": len(ran), "ran": named(ran),
	}).Warn("server has ended under requests")
}

// named says which requests ran on a server.
func named(ran []broken) (out []map[string]any) {
	for _, b := range ran[:min(len(ran), mostNamed)] {
		out = append(out, map[string]any{"request": b.attempt, "content": b.id.String(), "events": b.events, "try": b.try})
	}
	return out
}
