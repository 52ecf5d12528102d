package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
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
	// endPatience is how long a request waits for the looks. Callers bear a pause of 180 ms
	// in a stream.
	endPatience = 120 * time.Millisecond
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

func lifeOf(s backends.Server) life { return life{s.ID, s.StartTime} }

// id identifies what a request asks for, whatever its attempt.
func (j *job) id() quarantine.ID {
	return quarantine.NewID(j.team, j.Method, j.Host, j.Target, j.Body)
}

// broke notes that the answer of a server to a request broke off. Where the server turns
// out to have ended, and was not about to leave, it ended under the request. A connection
// that was reset, a cut or a dropped request leave the server listening.
//
// A request that one more end would convict waits for what is found: it would go to the
// next server otherwise.
func (r *Relay) broke(ctx context.Context, j *job, s backends.Server) {
	if _, leaving := r.Registry.State(s); leaving || ctx.Err() != nil {
		return
	}
	j.broken, j.trial = true, false
	id := j.id()
	over := r.inquire(s, broken{id: id, attempt: j.ID, events: j.progress.events, try: j.sent})
	if !r.Quarantine.NearThreshold(id) {
		return
	}
	t := time.NewTimer(endPatience)
	defer t.Stop()
	select {
	case <-over:
	case <-t.C:
	case <-ctx.Done():
	}
}

// inquire has an inquest take up a request whose answer broke off. What it returns is
// closed when the looks at the server are over.
func (r *Relay) inquire(s backends.Server, b broken) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.inquests[lifeOf(s)]
	if q == nil {
		q = &inquest{server: s, over: make(chan struct{})}
		r.inquests[lifeOf(s)] = q
		go r.conduct(q)
	}
	q.broke = append(q.broke, b)
	if q.ended {
		go r.endedUnder(q)
	}
	return q.over
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
		// What breaks from now on is looked at anew: the server may end next.
		r.forget(q)
		close(q.over)
		time.AfterFunc(lateLook, func() {
			if r.Registry.HasRestarted(q.server) {
				r.endedUnder(q)
			}
		})
	})
}

// conclude judges the requests of a server that has ended, those that notice it later
// too.
func (r *Relay) conclude(q *inquest) {
	if r.Registry.MarkDown(q.server, r.Now()) {
		r.Peers.Notify()
	}
	time.AfterFunc(gatherTime, func() {
		r.endedUnder(q)
		close(q.over)
		time.AfterFunc(lateLook, func() { r.forget(q) })
	})
}

func (r *Relay) forget(q *inquest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inquests[lifeOf(q.server)] == q {
		delete(r.inquests, lifeOf(q.server))
	}
}

// hasEnded reports whether a server certainly has ended.
func (r *Relay) hasEnded(s backends.Server) bool {
	if r.Registry.HasRestarted(s) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), endLookTimeout)
	defer cancel()
	return r.Upstream.IsDown(ctx, s)
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
		r.Observer.ServerCrashed(q.server.Service)
	}
	r.Log.WithFields(logrus.Fields{
		"server": q.server.ID, "born": q.server.StartTime, "service": q.server.Service, "requests": len(ran), "ran": named(ran),
	}).Warn("server has ended under requests")
	ids := make([]quarantine.ID, 0, len(ran))
	for _, b := range ran {
		ids = append(ids, b.id)
	}
	r.Quarantine.Crashed(q.server, ids)
}

// named says which requests ran on a server.
func named(ran []broken) (out []map[string]any) {
	for _, b := range ran[:min(len(ran), mostNamed)] {
		out = append(out, map[string]any{"request": b.attempt, "content": b.id.String(), "events": b.events, "try": b.try})
	}
	return out
}

// errHeld is why a request on its way is cut that must not be sent to servers any more.
var errHeld = errors.New("servers end under the request")

// CancelQuarantined is told of a request that must not be sent to servers from now on. Attempts
// that no server has begun to answer are given up at once: they would end the servers that
// they are at. One that is being answered shows by its end whether the verdict is right.
func (r *Relay) CancelQuarantined(id quarantine.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for j := range r.jobs {
		if !j.answering.Load() && j.id() == id {
			j.cut(errHeld)
		}
	}
}

// convicted reports whether a request is held. Where nothing is known of any, its content
// is not looked at.
func (r *Relay) convicted(j *job) (left time.Duration, held bool) {
	if !r.Quarantine.HasRecords() {
		return 0, false
	}
	return r.Quarantine.Quarantined(j.id())
}

// barred reports whether a request is held and is not to be tried either. A trial begins
// only once there is a server for it: one that waited in vain would count as a trial that
// has shown nothing.
func (r *Relay) barred(j *job) (left time.Duration, barred bool) {
	left, held := r.convicted(j)
	return left, held && !(j.sent == 0 && r.Quarantine.TrialDue(j.id()))
}

// held reports whether a request must not be sent to a server next; only its own goroutine
// may ask. One that is held in doubt may be tried at one.
func (r *Relay) held(j *job) (left time.Duration, held bool) {
	if j.trial {
		return 0, false
	}
	left, held = r.convicted(j)
	if held && j.sent == 0 && r.Quarantine.StartTrial(j.id()) {
		j.trial = true
		return 0, false
	}
	return left, held
}

// answered notes that a server has answered a request from its beginning to its end:
// servers do not end under it. An answer that was put together from several servers says
// nothing of the kind, as those before the last may have ended.
func (r *Relay) answered(j *job) {
	if r.Quarantine.HasRecords() && !j.broken && j.LastEventID == "" {
		r.Quarantine.Answered(j.id())
	}
}

// refuseHeld is the refusal of a request under which servers end. One that has not run is
// told to come back when its verdict ends, and so not before.
func (j *job) refuseHeld(left time.Duration) *Refusal {
	f := &Refusal{Reason: ReasonHarmful, MayHaveRun: j.ran > 0, Content: j.id().String()}
	if !f.MayHaveRun {
		f.RetryAfter = left
	}
	return f
}

// noSuspects knows of none.
type noSuspects struct{}

func (noSuspects) HasRecords() bool                                { return false }
func (noSuspects) Quarantined(quarantine.ID) (time.Duration, bool) { return 0, false }
func (noSuspects) TrialDue(quarantine.ID) bool                     { return false }
func (noSuspects) StartTrial(quarantine.ID) bool                   { return false }
func (noSuspects) NearThreshold(quarantine.ID) bool                { return false }
func (noSuspects) Crashed(backends.Server, []quarantine.ID)        {}
func (noSuspects) Answered(quarantine.ID)                          {}
