package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// silentPart is the part of the longest pause on time after which a stream with a
	// standing copy is continued there; the rest is for the first event from the copy,
	// some 30 to 50 ms.
	silentPart = 0.65
	// silentPauses is how many times the longest pause so far a stream may be silent, so
	// that an engine that is slow throughout raises no alarm.
	silentPauses = 1.8
	// silentLeast bounds the silence from below, also where the route names no pause:
	// four tokens beside a prompt that is being read take 62 ms.
	silentLeast = 110 * time.Millisecond
	// stallSlack is how late the check may run before this process itself is taken to
	// have stalled. What has arrived meanwhile is then read first.
	stallSlack = 15 * time.Millisecond
)

// hedge continues a silent stream from its standing copy while its own server may still
// come back. It belongs to one answer of a server.
//
// An engine that hangs or is cut off sends no reset; the connection's probes notice after
// 4 s, while its events come every 30 to 60 ms. The old answer is cut only once the copy
// answers, so a false alarm costs neither the stream nor an event: those that both bring
// are passed on once.
type hedge struct {
	session *session
	// unwatch ends the wait for silence, abort the attempt to go on too.
	unwatch, abort context.CancelFunc
	// over is closed when nothing more comes of it; next is the answer from the copy,
	// nil if there is none. next is written before over is closed.
	over chan struct{}
	next *offer
}

// startHedge watches an answer whose run has a standing copy.
func (s *session) startHedge(ctx context.Context) *hedge {
	ctx, abort := context.WithCancel(ctx)
	watching, unwatch := context.WithCancel(ctx)
	h := &hedge{session: s, unwatch: unwatch, abort: abort, over: make(chan struct{})}
	go func() {
		defer close(h.over)
		if h.awaitSilence(watching) {
			h.next = h.goOn(ctx)
		}
	}()
	return h
}

// await ends the watch and returns the answer from the copy, nil if there is none.
func (h *hedge) await() *offer {
	if h == nil {
		return nil
	}
	h.unwatch()
	<-h.over
	return h.next
}

// discard ends the watch, and the answer from the copy if there is one.
func (h *hedge) discard() {
	if h == nil {
		return
	}
	h.abort()
	<-h.over
	if o := h.next; o != nil {
		o.answer.Body.Close()
		o.lease.Release(backends.ResultInconclusive, h.session.Now())
	}
}

// awaitSilence waits until the stream is silent for too long; false if ctx ends first.
func (h *hedge) awaitSilence(ctx context.Context) bool {
	run, now := h.session.run, h.session.Now
	t := time.NewTimer(h.session.job.silenceAfter(0))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		heard, longest, begun := run.progress()
		if !begun {
			// The engine still reads the prompt.
			t.Reset(silentLeast)
			continue
		}
		allowed := h.session.job.silenceAfter(longest)
		left := allowed - (now() - heard)
		switch {
		case left > 0:
			t.Reset(left)
		case left < -stallSlack:
			// The next check finds what was read since, or the same silence.
			run.excuse(now() - allowed + stallSlack)
			t.Reset(stallSlack)
		default:
			return true
		}
	}
}

// silenceAfter is how long a stream may be silent whose longest pause so far is known.
func (j *job) silenceAfter(longest time.Duration) time.Duration {
	return max(silentLeast, time.Duration(silentPart*float64(j.route.MaxPause)), time.Duration(silentPauses*float64(longest)))
}

// goOn asks the server of the standing copy to continue, and cuts the old answer if it
// does.
func (h *hedge) goOn(ctx context.Context) *offer {
	s := h.session
	if _, held := s.convicted(s.job); held {
		return nil
	}
	c := s.run.takeCover()
	if c == nil {
		return nil
	}
	s.spend(s.job.service)
	ctx, giveUp := context.WithCancel(ctx)
	timer := time.AfterFunc(awaitMove, giveUp)
	next, err := s.send(ctx, s.job, c.lease, &Attempt{LastEventID: s.run.after(), ResumeFrom: &c.KVCopy})
	begun := timer.Stop() && err == nil
	if !begun || !next.streams() {
		if err == nil {
			next.answer.Body.Close()
		}
		giveUp()
		c.lease.Release(missed(err), s.Now())
		return nil
	}
	s.job.log.WithFields(logrus.Fields{"server": s.run.host(), "to": c.lease.Server.ID}).Info("silent stream goes on from its standing copy")
	s.Observer.Migrated("hedged")
	s.run.breakOff()
	return next
}

// takeCover takes the standing copy over, nil if there is none.
func (u *run) takeCover() *copied {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.cover
	u.cover = nil
	return c
}

// progress is when the last event came and the longest pause so far; begun is false
// before the first.
func (u *run) progress() (heard, longest time.Duration, begun bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.heard, u.longest, u.made > 0
}

// excuse counts the stream as heard of at a time at the least.
func (u *run) excuse(at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heard = max(u.heard, at)
}

// after is the last event that the caller has, empty for none.
func (u *run) after() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastID
}

// breakOff ends the answer that is being read.
func (u *run) breakOff() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut()
}

// adopt goes on with the answer from a copy in place of another.
func (s *session) adopt(next, old *offer) {
	s.job.ran--
	old.lease.Release(backends.ResultInconclusive, s.Now())
	s.relocate(s.run, next)
}
