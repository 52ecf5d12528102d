package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// startSpeed is the prompt tokens a second that an engine is assumed to read
	// beside its running streams until it has been seen: chunks of some 110 tokens
	// between steps of 15 ms.
	startSpeed = 7000
	// speedGain is the weight of the newest prompt in the measured speed.
	speedGain = 0.05
	// promptWait is how long the prompts that an engine has to read may keep a new
	// one waiting: the first token then comes within the 1.5 to 1.9 s that users ask
	// for, and the engine never runs out of prompts.
	promptWait = 500 * time.Millisecond
	// overdueTimes and overdueSlack are how much longer than usual an engine may take
	// to begin before it gets no more prompts. Nine in ten begin within twice the usual
	// time, and the slack covers urgent prompts that go before.
	overdueTimes = 2
	overdueSlack = 300 * time.Millisecond
	// silentTimes is how many times its target a plain request may go unanswered before
	// its server counts as failing. A server that hangs would otherwise be judged by
	// nothing: its requests end with their callers' time.
	silentTimes = 3
)

// watchStart notes if a server does not begin to answer in time; stop ends that.
func (r *Relay) watchStart(j *job, lease *backends.Reservation, a *Attempt) (stop func()) {
	if a.ResumeFrom != nil {
		return func() {}
	}
	wait, late := r.overdueAfter(j, lease), lease.MarkPromptOverdue
	if j.prompt() == 0 {
		wait, late = silentTimes*j.route.TargetLatency, func() { lease.MarkUnresponsive(r.Now()) }
	}
	if wait <= 0 {
		return func() {}
	}
	t := time.AfterFunc(wait, func() {
		late()
		j.log.WithFields(logrus.Fields{"server": lease.Server.ID, "after_ms": wait.Milliseconds(), "prompt": lease.PromptTokens}).Info("server does not begin to answer")
		r.Peers.Notify()
	})
	return func() { t.Stop() }
}

// overdueAfter is when an engine should have begun. Engines are not asked what runs on
// them. After all gateways had lost power, runs of theirs went on for up to 20 s, and
// requests sent beside them waited 3 to 7 s for room, one after the other, while other
// engines had some.
func (r *Relay) overdueAfter(j *job, lease *backends.Reservation) time.Duration {
	usual := time.Duration(float64(lease.PromptTokens+j.prompt()) / r.readSpeed() * float64(time.Second))
	return overdueTimes*usual + overdueSlack
}

// prompted notes the time that an engine took to read a prompt, and those that it
// had to read before. Engines differ by a factor of ten; a fixed speed would send
// slow ones more than they can begin in time.
func (r *Relay) prompted(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed += speedGain * (float64(tokens)/took.Seconds() - r.speed)
}

// readSpeed is the prompt tokens a second that an engine reads.
func (r *Relay) readSpeed() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.speed
}

// readTime is the usual time of reading a prompt.
func (r *Relay) readTime(j *job) time.Duration {
	return time.Duration(float64(j.prompt()) / r.readSpeed() * float64(time.Second))
}
