package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// lifeSign is the time in which a stream must show that it still comes, once its
	// server is known to have started again. Engines make an event every 30 to 60 ms.
	lifeSign = 400 * time.Millisecond
	// lifeSilence is how long it may have been silent at the end of that time: longer
	// than the longest pause on time, 180 ms.
	lifeSilence = 300 * time.Millisecond
)

// HandleLeaving is told of a server that begins to leave, or that has started again. It
// returns at once.
func (r *Relay) HandleLeaving(s backends.Server, n backends.LeaveReason) {
	if n == backends.LeaveRestarted {
		r.Ended(s)
		return
	}
	r.Evacuate(s)
}

// Ended is told of a life of a server that has ended because the server has started
// again. It returns at once.
//
// The connections to it may be silent rather than reset, when it died behind a cut:
// its streams would then wait for seconds, and a request sent on an idle one would be
// lost. Idle ones are closed, and streams that are silent go on from their copies or
// are given up. A stream that still brings events was sent to the new life before its
// entry was heard of, and stays.
func (r *Relay) Ended(s backends.Server) {
	r.Upstream.CloseIdle(s.Address)
	runs := r.runsOf(s)
	if len(runs) == 0 {
		return
	}
	time.AfterFunc(lifeSign, func() {
		for _, u := range runs {
			if u.cutSilent(s, r.Now()-lifeSilence) {
				u.job.log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime}).Info("stream ended with its server's earlier life")
			}
		}
	})
}

// runsOf lists the runs at one life of a server.
func (r *Relay) runsOf(s backends.Server) (out []*run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for u := range r.runs[s.ID] {
		if u.isAt(s) {
			out = append(out, u)
		}
	}
	return out
}
