package agent

import (
	"time"

	"kingcupplank.example/kingcup/dispatch"
	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
	"kingcupplank.example/kingcup/stream"
)

// generation is one generation request at this backend server. The first group
// of fields does not change; the second is guarded by Agent.mu.
type generation struct {
	id  string
	req engine.Request
	buf *stream.Buffer
	job *sched.Job
	// nonIdempotent marks a request that must not be started a second time.
	nonIdempotent bool
	// entryAttempt is the attempt that the entry requested. The agent uses
	// higher attempts when it restarts the generation itself.
	entryAttempt uint32
	// sends are the attempts at the engine.
	sends dispatch.Record

	// ---
	// dispatched is set before the first call to the engine.
	dispatched bool
	// unscheduled is set when the policy no longer has the job.
	unscheduled bool
	// unread is set while there is no reader; unreadSince is when it was set.
	unreadSince time.Duration
	unread      bool
	// delivered is set when a reader has received the end of the stream.
	delivered bool
}

func (a *Agent) newGeneration(start *innerv1.Start) *generation {
	r := start.GetRequest()
	state := a.sync.Replica().State()
	team := state.Team(r.GetTeam())
	level := state.PriorityLevel(team)
	g := &generation{
		id: start.GetGenerationId(),
		req: engine.Request{
			ID: start.GetGenerationId(), Team: r.GetTeam(), RequestID: r.GetRequestId(),
			Model: r.GetModel(), Adapter: r.GetAdapter(), Prompt: r.GetPrompt(),
			MaxTokens: r.GetMaxTokens(), Priority: level,
		},
		buf:           stream.NewBuffer(a.cfg.BufferBytes),
		nonIdempotent: r.GetNonIdempotent(),
		entryAttempt:  start.GetAttempt(),
	}
	g.buf.Preload(start.GetPrefix())
	g.buf.BeginAttempt(start.GetAttempt())
	g.job = &sched.Job{
		ID: g.id, Team: r.GetTeam(), Model: r.GetModel(),
		Weight: team.GetWeight(), Level: level,
		PromptTokens:  len(r.GetPrompt())/a.cfg.BytesPerToken + 1,
		MaxTokens:     int(r.GetMaxTokens()),
		EmittedBefore: len(start.GetPrefix()),
		Urgent:        len(start.GetPrefix()) > 0,
	}
	return g
}

// accept registers a new generation, or returns the one that an earlier copy of
// the same Start has registered.
func (a *Agent) accept(start *innerv1.Start) (*generation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.generations[start.GetGenerationId()]; g != nil {
		if start.GetAttempt() < g.entryAttempt {
			return nil, failure.NotRun(kingcupv1.Reason_REASON_FENCED, 0, "attempt %d is superseded", start.GetAttempt())
		}
		if start.GetAttempt() == g.entryAttempt || !g.buf.Failed() {
			return g, nil
		}
	}
	// Requests still arrive after Leave, because the platform's list of leaving
	// VMs lags by half a minute. Leave sets the flag under the same lock, so no
	// request is accepted after it.
	if a.leaving.Load() {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_LEAVING, shortRetryAfter, "backend server is leaving")
	}
	if a.engine == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "no model engine here")
	}
	if start.GetAttempt() == 0 || start.GetRequest() == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "start without attempt or request")
	}
	if len(start.GetPrefix()) > 0 && !a.engineResumes {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_ENGINE_LOST, 0, "engine does not resume from a prefix")
	}
	team := start.GetRequest().GetTeam()
	if limit := a.sync.Replica().State().Team(team).GetMaxStreams(); limit > 0 && a.openByTeam[team] >= int(limit) {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, streamLimitRetryAfter, "team %s has %d streams open here, its bound", team, limit)
	}
	g := a.newGeneration(start)
	decision := a.policy.Offer(a.now(), g.job)
	if decision.Admission == sched.Refused {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, decision.RetryAfter, "queue of team %s is too long", g.job.Team)
	}
	a.register(g)
	a.schedule()
	return g, nil
}

const (
	// shortRetryAfter is the retry delay that a leaving agent sends, and that of a
	// withdrawn request.
	shortRetryAfter       = 100 * time.Millisecond
	streamLimitRetryAfter = time.Second
)

// register adds g to the agent's generations. The caller holds a.mu.
func (a *Agent) register(g *generation) {
	a.generations[g.id] = g
	a.scheduled[g.job] = g
	a.openByTeam[g.req.Team]++
}

// schedule carries out the actions that the policy returns now. The caller holds
// a.mu.
func (a *Agent) schedule() {
	a.acts = a.policy.Tick(a.now(), a.acts[:0])
	for _, act := range a.acts {
		g := a.scheduled[act.Job]
		switch act.Kind {
		case sched.Start:
			a.startJob(g)
		case sched.Pause:
			a.pauseJob(g)
		case sched.Expire:
			a.unschedule(g)
			g.buf.Fail(failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, act.RetryAfter, "no room within the longest wait"))
		}
	}
}

// unschedule removes g from the scheduled generations; it remains readable. The
// caller holds a.mu.
func (a *Agent) unschedule(g *generation) {
	g.unscheduled = true
	delete(a.scheduled, g.job)
	a.openByTeam[g.req.Team]--
	if a.openByTeam[g.req.Team] == 0 {
		delete(a.openByTeam, g.req.Team)
	}
}

// finish unschedules g and reports its end to the policy. It does nothing if g
// is already unscheduled.
func (a *Agent) finish(g *generation, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g.unscheduled {
		return
	}
	a.unschedule(g)
	a.policy.Finish(a.now(), g.job, complete)
	a.schedule()
}

// withdraw cancels g if it has not been sent to the engine, and reports whether
// it did. If it returns true, g has not run and never will.
func (a *Agent) withdraw(g *generation, reason kingcupv1.Reason, detail string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// startJob sets dispatched under this lock before it calls the engine, so a
	// request whose start is in flight is never reported as not run.
	if g.dispatched || g.unscheduled || !g.sends.Promise() {
		return false
	}
	a.unschedule(g)
	a.policy.Finish(a.now(), g.job, false)
	g.buf.Fail(failure.NotRun(reason, shortRetryAfter, "%s", detail))
	a.schedule()
	return true
}

// find returns the generation with an id if it belongs to team, or nil.
func (a *Agent) find(id, team string) *generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.generations[id]
	if g == nil || g.req.Team != team {
		return nil
	}
	return g
}

const sweepInterval = 500 * time.Millisecond

func (a *Agent) sweepLoop() {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.sweep()
		case <-a.ctx.Done():
			return
		}
	}
}

// sweep cancels generations without a reader after the orphan grace period and
// deletes finished ones after the retention period.
func (a *Agent) sweep() {
	var orphans []*generation
	a.mu.Lock()
	now := a.now()
	for id, g := range a.generations {
		if g.buf.ReaderCount() > 0 {
			g.unread = false
			continue
		}
		if !g.unread {
			g.unread, g.unreadSince = true, now
		}
		closed := g.buf.Closed()
		if closed && now-g.unreadSince > a.cfg.RetentionPeriod {
			delete(a.generations, id)
		}
		if !closed && now-g.unreadSince > a.cfg.OrphanGracePeriod {
			orphans = append(orphans, g)
		}
	}
	a.mu.Unlock()
	for _, g := range orphans {
		a.cancelGeneration(g, kingcupv1.Reason_REASON_CANCELLED, "no reader came back")
	}
}

// cancelGeneration cancels g in the queue, or at the engine if it was
// dispatched.
func (a *Agent) cancelGeneration(g *generation, reason kingcupv1.Reason, detail string) {
	if a.withdraw(g, reason, detail) {
		return
	}
	g.buf.Fail(failure.Unknown(reason, 0, "%s", detail))
	a.finish(g, false)
	attempt := g.buf.Attempt()
	a.pool.Submit(func() { a.engine.Cancel(a.ctx, g.id, attempt) })
}
