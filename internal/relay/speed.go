package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// initialPromptSpeed is the number of prompt tokens per second that an engine is assumed to
	// read beside its running streams, until it has been observed: chunks of some 110 tokens
	// between steps of 15 ms.
	initialPromptSpeed = 7000
	// promptSpeedWeight is the weight of the newest prompt in the moving average.
	promptSpeedWeight = 0.05
	// maxPromptWait bounds how long the pending prompts of an engine may delay a new one: the
	// first token then comes within the 1.5 to 1.9 s that callers ask for, and the engine never
	// runs out of prompts.
	maxPromptWait = 500 * time.Millisecond
	// overdueFactor and overdueSlack give how much longer than usual an engine may take to begin
	// before it gets no more prompts. Nine in ten begin within twice the usual time, and the
	// slack covers urgent prompts that are read first.
	overdueFactor = 2
	overdueSlack  = 300 * time.Millisecond
	// unresponsiveFactor is the multiple of its target latency for which a plain request may go
	// without response before its server counts as failing. Otherwise a server that hangs would
	// never count as failing, as its requests end at their callers' deadlines.
	unresponsiveFactor = 3
)

// watchResponseStart marks the reservation if the server does not begin to respond in time; stop
// cancels that.
func (r *Relay) watchResponseStart(j *job, reservation *backends.Reservation, a *Attempt) (stop func()) {
	if a.ResumeFrom != nil {
		return func() {}
	}
	timeout, mark := r.overdueAfter(j, reservation), reservation.MarkPromptOverdue
	if j.promptTokens() == 0 {
		timeout, mark = unresponsiveFactor*j.route.TargetLatency, func() { reservation.MarkUnresponsive(r.Now()) }
	}
	if timeout <= 0 {
		return func() {}
	}
	t := time.AfterFunc(timeout, func() {
		if r.Link.IsCongested() {
			return
		}
		mark()
		j.log.WithFields(logrus.Fields{"server": reservation.Server.ID, "after_ms": timeout.Milliseconds(), "prompt": reservation.PromptTokens}).Info("server has not begun to respond in time")
		r.Peers.Notify()
	})
	return func() { t.Stop() }
}

// overdueAfter returns the time after which an engine should have begun to respond. Engines are
// not asked what runs on them, so one may be fuller than the gateways know. After a power failure of
// all gateways, their runs continued for up to 20 s, and new requests to the same engines waited 3 to
// 7 s for memory, one after the other, while other engines had free memory.
func (r *Relay) overdueAfter(j *job, reservation *backends.Reservation) time.Duration {
	expected := time.Duration(float64(reservation.PromptTokens+j.promptTokens()) / r.currentPromptSpeed() * float64(time.Second))
	return overdueFactor*expected + overdueSlack
}

// recordPromptTime adds to the moving average the time that an engine took to read a prompt and
// those pending before it. The speed of engines differs by a factor of ten; with a fixed speed,
// slow engines would be sent more prompts than they can read in time.
func (r *Relay) recordPromptTime(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promptSpeed += promptSpeedWeight * (float64(tokens)/took.Seconds() - r.promptSpeed)
}

// currentPromptSpeed returns the moving average of the prompt tokens per second that an engine
// reads.
func (r *Relay) currentPromptSpeed() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promptSpeed
}

// promptReadTime returns the expected time to read a prompt.
func (r *Relay) promptReadTime(j *job) time.Duration {
	return time.Duration(float64(j.promptTokens()) / r.currentPromptSpeed() * float64(time.Second))
}
