package agent

import (
	"time"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/failure"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
	"kingcupplank.example/kingcup/stream"
)

// generation is one request at this backend server. Fields below the line are
// guarded by Agent.mu.
type generation struct {
	id  string
	req engine.Request
	buf *stream.Buffer
	job *sched.Job
	// once marks a request that must not be started again.
	once bool
	// asked is the attempt that the entry asked for; the agent's own attempts
	// after the loss of its engine are above it.
	asked uint32

	// ---
	// dispatched is set before the engine is first called.
	dispatched bool
	left       bool
	idleSince  time.Duration
	idle       bool
	// delivered is set when a reader has seen the end.
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
		buf:   stream.NewBuffer(a.cfg.BufferBytes),
		once:  r.GetNonIdempotent(),
		asked: start.GetAttempt(),
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

// accept registers a Start, or finds the generation that an earlier
// copy of the same Start entered.
func (a *Agent) accept(start *innerv1.Start) (*generation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g := a.gens[start.GetGenerationId()]; g != nil {
		if start.GetAttempt() < g.asked {
			return nil, failure.NotRun(kingcupv1.Reason_REASON_FENCED, 0, "attempt %d is superseded", start.GetAttempt())
		}
		if start.GetAttempt() == g.asked || !g.buf.Failed() {
			return g, nil
		}
	}
	// The platform's list of leaving VMs lags by half a minute. The refusal
	// here, under the lock that starts are made under, is what ends new work.
	if a.leaving.Load() {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_LEAVING, leavingRetry, "backend server is leaving")
	}
	if a.engine == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_UNKNOWN_MODEL, 0, "no model engine here")
	}
	if start.GetAttempt() == 0 || start.GetRequest() == nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_PROTOCOL, 0, "start without attempt or request")
	}
	if len(start.GetPrefix()) > 0 && !a.resumes {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_ENGINE_LOST, 0, "engine does not resume from a prefix")
	}
	team := start.GetRequest().GetTeam()
	if most := a.sync.Replica().State().Team(team).GetMaxStreams(); most > 0 && a.open[team] >= int(most) {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, streamsRetry, "team %s has %d streams open here, its bound", team, most)
	}
	g := a.newGeneration(start)
	decision := a.policy.Offer(a.now(), g.job)
	if decision.Admission == sched.Refused {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, decision.RetryAfter, "queue of team %s is too long", g.job.Team)
	}
	a.enter(g)
	a.decide()
	return g, nil
}

const (
	leavingRetry = 100 * time.Millisecond
	streamsRetry = time.Second
)

// enter registers g; a.mu is held.
func (a *Agent) enter(g *generation) {
	a.gens[g.id] = g
	a.jobs[g.job] = g
	a.open[g.req.Team]++
}

// decide takes the policy's actions; a.mu is held.
func (a *Agent) decide() {
	a.acts = a.policy.Tick(a.now(), a.acts[:0])
	for _, act := range a.acts {
		g := a.jobs[act.Job]
		switch act.Kind {
		case sched.Start:
			a.startJob(g)
		case sched.Pause:
			a.pauseJob(g)
		case sched.Expire:
			a.drop(g)
			g.buf.Fail(failure.NotRun(kingcupv1.Reason_REASON_OVERLOADED, act.RetryAfter, "no room within the longest wait"))
		}
	}
}

// drop ends the part of g in scheduling; a.mu is held.
func (a *Agent) drop(g *generation) {
	g.left = true
	delete(a.jobs, g.job)
	a.open[g.req.Team]--
	if a.open[g.req.Team] == 0 {
		delete(a.open, g.req.Team)
	}
}

// leave ends g's part in the policy once.
func (a *Agent) leave(g *generation, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g.left {
		return
	}
	a.drop(g)
	a.policy.Finish(a.now(), g.job, complete)
	a.decide()
}

// withdraw takes g back if the engine has not been called for it, and reports
// whether it did. After true, g certainly does not run.
func (a *Agent) withdraw(g *generation, reason kingcupv1.Reason, detail string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	// startJob sets dispatched under this lock before the engine is called, so
	// "not run" can't be said of a request whose start is under way.
	if g.dispatched || g.left {
		return false
	}
	a.drop(g)
	a.policy.Finish(a.now(), g.job, false)
	g.buf.Fail(failure.NotRun(reason, leavingRetry, "%s", detail))
	a.decide()
	return true
}

func (a *Agent) find(id, team string) *generation {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gens[id]
	if g == nil || g.req.Team != team {
		return nil
	}
	return g
}

const sweepEvery = 500 * time.Millisecond

// sweep ends generations that nobody reads and forgets finished ones.
func (a *Agent) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.sweepOnce()
		case <-a.ctx.Done():
			return
		}
	}
}

func (a *Agent) sweepOnce() {
	var orphans []*generation
	a.mu.Lock()
	now := a.now()
	for id, g := range a.gens {
		if g.buf.Readers() > 0 {
			g.idle = false
			continue
		}
		if !g.idle {
			g.idle, g.idleSince = true, now
		}
		closed := g.buf.Closed()
		if closed && now-g.idleSince > a.cfg.RetentionPeriod {
			delete(a.gens, id)
		}
		if !closed && now-g.idleSince > a.cfg.OrphanGracePeriod {
			orphans = append(orphans, g)
		}
	}
	a.mu.Unlock()
	for _, g := range orphans {
		a.end(g, kingcupv1.Reason_REASON_CANCELLED, "no reader came back")
	}
}

// end cancels g wherever it is.
func (a *Agent) end(g *generation, reason kingcupv1.Reason, detail string) {
	if a.withdraw(g, reason, detail) {
		return
	}
	g.buf.Fail(failure.Unknown(reason, 0, "%s", detail))
	a.leave(g, false)
	attempt := g.buf.Attempt()
	a.pool.Submit(func() { a.engine.Cancel(a.ctx, g.id, attempt) })
}
