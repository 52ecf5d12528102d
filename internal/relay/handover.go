package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/handover"
	"kingcupplank.example/kingcup/internal/wait"
)

const (
	// stopTimeout bounds how long a server is told to stop a run. One that can't be reached goes on with the
	// run when it is reached again.
	stopTimeout = 4 * time.Second
	// stopConnectTimeout bounds one attempt to reach it, stopRetryInterval is the wait before the next.
	stopConnectTimeout = 300 * time.Millisecond
	stopRetryInterval  = 50 * time.Millisecond
	// streamTailTime is how long the last events of a run are awaited after it has been stopped, endedTailTime
	// those of one that may have ended by itself.
	streamTailTime = 40 * time.Millisecond
	endedTailTime  = 400 * time.Millisecond
)

// unstoppedServers are the servers that may still work on a request although their responses are not read any
// more.
type unstoppedServers struct {
	mu      sync.Mutex
	servers []backends.Server
}

func (u *unstoppedServers) add(s backends.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.servers = append(u.servers, s)
}

// takeOthers removes and returns the servers other than s.
func (u *unstoppedServers) takeOthers(s backends.Server) (others []backends.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	isSame := func(o backends.Server) bool { return o.SameIncarnation(s) }
	others = slices.DeleteFunc(slices.Clone(u.servers), isSame)
	u.servers = slices.DeleteFunc(u.servers, func(o backends.Server) bool { return !isSame(o) })
	return others
}

// canBeStopped reports whether servers can be told to stop the request's run.
func (j *job) canBeStopped() bool {
	return j.engine != nil && j.engine.SupportsMigration && j.Generation != nil
}

// stopElsewhere stops the request at the servers that may still work on it, before an attempt at another server
// is sent. If a server had not stopped, the attempt resumes from the copy that it made as it was stopped.
func (r *Relay) stopElsewhere(ctx context.Context, j *job, to backends.Server, a *Attempt) {
	if !j.canBeStopped() {
		return
	}
	for _, from := range j.unstopped.takeOthers(to) {
		result, call := r.stopRun(ctx, j, from, to)
		if result != handover.Stopped || call.handle == "" {
			continue
		}
		stopped := KVCopy{Source: from.Address, Handle: call.handle}
		if a.ResumeFrom != nil {
			a.ResumeFrom = &stopped
		} else if _, ok := j.stopped.take(&stopped); ok {
			go r.dropHandle(stopped)
		}
	}
}

func (r *Relay) dropHandle(c KVCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	r.Upstream.DropCopy(ctx, c)
}

// stopCall is a call that stops a run, which goes on after it is not awaited any more.
type stopCall struct {
	sent chan struct{}
	// done is closed at its end, after result and handle were set.
	done   chan struct{}
	result handover.Result
	// handle is that of a copy at the other server, empty if there is none.
	handle string
}

// stopRun stops the request's run at a server, and returns once it may be continued at the server to. The call is
// complete if the result is one that IsKnown. If ctx ends first, the result is handover.Pending.
func (r *Relay) stopRun(ctx context.Context, j *job, from, to backends.Server) (result handover.Result, call *stopCall) {
	begin := r.Now()
	stop := handover.Begin(begin)
	call = r.beginStop(j, from, to)
	sent := call.sent
	defer func() {
		r.Observer.RunStopped(string(result), r.Now()-begin)
		j.log.WithFields(logrus.Fields{"server": from.ID, "to": to.ID, "result": string(result), "took_ms": (r.Now() - begin).Milliseconds()}).Info("run stopped before it goes on elsewhere")
	}()
	for {
		select {
		case <-call.done:
			stop.End(call.result)
		default:
		}
		result, remaining := stop.Decide(r.Now())
		if result != handover.Pending {
			return result, call
		}
		t := time.NewTimer(remaining)
		select {
		case <-sent:
			sent = nil
			stop.Sent(r.Now())
		case <-call.done:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return handover.Pending, call
		}
		t.Stop()
	}
}

// beginStop begins to tell a server to stop the request's run.
func (r *Relay) beginStop(j *job, from, to backends.Server) *stopCall {
	c := &stopCall{sent: make(chan struct{}), done: make(chan struct{})}
	markSent := sync.OnceFunc(func() { close(c.sent) })
	go func() {
		defer close(c.done)
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		for {
			handle, err := r.tryStop(ctx, j.ID, from, to, markSent)
			c.result = r.stopResult(from, err)
			if err == nil {
				c.handle = handle
			}
			if c.result == handover.Stopped && handle != "" {
				r.keepMemory(j, from, handle)
			}
			if c.result != handover.Pending || !wait.For(ctx, stopRetryInterval) {
				return
			}
		}
	}()
	return c
}

// tryStop calls a server once. The call is given up if it can't be sent in time.
func (r *Relay) tryStop(ctx context.Context, id string, from, to backends.Server, sent func()) (handle string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := time.AfterFunc(stopConnectTimeout, cancel)
	defer t.Stop()
	return r.Upstream.StopRun(ctx, from, id, to.Address, func() {
		t.Stop()
		sent()
	})
}

// stopResult returns the result of a call, Pending if the server has to be called again.
func (r *Relay) stopResult(from backends.Server, err error) handover.Result {
	var notSent *NotRunError
	switch {
	case err == nil, errors.Is(err, ErrNoCapacity):
		return handover.Stopped
	case errors.Is(err, ErrNoRun):
		return handover.NotThere
	case errors.As(err, &notSent) && (notSent.Reason == NotRunDown || notSent.Reason == NotRunReplaced), r.Registry.HasRestarted(from):
		return handover.Ended
	}
	return handover.Pending
}

// stopSilent stops the run of a silent stream before it goes on at the server of its standby copy. It returns false
// if that is not known to have stopped it; the stream's own response must then be kept. Otherwise the response
// ends, and the stream resumes from its copies.
func (h *hedge) stopSilent(watching context.Context, to backends.Server) bool {
	s := h.session
	from := s.run.currentServer()
	s.run.requestStop()
	result, call := s.stopRun(watching, s.job, from, to)
	if !result.IsKnown() {
		s.run.adoptAtEnd(call, func() { s.adoptStop(call, from, to) })
		return false
	}
	s.run.setStopKnown(from)
	if call.handle != "" {
		s.run.replaceStandby(KVCopy{Source: from.Address, Handle: call.handle})
	}
	switch result {
	case handover.Stopped:
		s.run.stopAt(from)
		wait.For(watching, streamTailTime)
	case handover.NotThere:
		s.run.stopAt(from)
		wait.For(watching, endedTailTime)
	}
	s.Observer.Migrated("hedged")
	s.run.cancelResponse()
	return true
}

// adoptAtEnd calls adopt at the end of a call that stops the run. The run awaits that before it is given up.
func (u *run) adoptAtEnd(call *stopCall, adopt func()) {
	adopted := make(chan struct{})
	u.mu.Lock()
	u.stopping = adopted
	u.mu.Unlock()
	go func() {
		defer close(adopted)
		<-call.done
		adopt()
	}()
}

// requestStop records that the run's server is told to stop it.
func (u *run) requestStop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopRequested = true
}

// isStopRequested reports whether the run's server has been told to stop it.
func (u *run) isStopRequested() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopRequested
}

// setStopKnown records that the run is known to have stopped at a server.
func (u *run) setStopKnown(s backends.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopKnown = u.stopKnown || u.server.SameIncarnation(s)
}

// isStopKnown reports whether the run is known to have stopped at its server.
func (u *run) isStopKnown() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopKnown
}

// replaceStandby makes the run resume from another copy at the server of its standby copy.
func (u *run) replaceStandby(c KVCopy) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.standby != nil {
		standby := *u.standby
		standby.KVCopy = c
		u.standby = &standby
	}
}

// peekStandby returns the standby copy, nil if there is none.
func (u *run) peekStandby() *reservedCopy {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.standby
}
