package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
)

const (
	// restartCheckDelay is the time in which a stream must get an event once its server is known
	// to have restarted. Engines send an event every 30 to 60 ms.
	restartCheckDelay = 400 * time.Millisecond
	// maxRestartSilence is how long the stream may have been silent at the end of that time:
	// longer than the maximum pause of 180 ms.
	maxRestartSilence = 300 * time.Millisecond
)

// HandleLeaving handles a server that has begun to leave or has restarted. It does not block.
func (r *Relay) HandleLeaving(s backends.Server, reason backends.LeaveReason) {
	if reason == backends.LeaveRestarted {
		r.HandleRestart(s)
		return
	}
	r.recordLeaving(s)
	r.Evacuate(s)
}

// HandleRestart processes the end of an incarnation of a server that has restarted. It does not
// block.
//
// If the server crashed behind a network partition, connections to it may be silent rather than
// reset: its streams would then wait for seconds, and a request sent on an idle connection would
// be lost. Idle connections are closed, and silent streams resume from their copies or fail. A
// stream that still gets events was sent to the new incarnation before its directory entry
// arrived here, and continues.
func (r *Relay) HandleRestart(s backends.Server) {
	r.Upstream.CloseIdle(s.Address)
	runs := r.runsAt(s)
	if len(runs) == 0 {
		return
	}
	if !r.Registry.RunsSoftware(backends.Server{ID: s.ID}, s.SoftwareVersion) {
		for _, u := range runs {
			r.forgetSoftware(u.job)
		}
	}
	time.AfterFunc(restartCheckDelay, func() {
		for _, u := range runs {
			if u.cancelIfSilent(s, r.Now()-maxRestartSilence) {
				u.job.log.WithFields(logrus.Fields{"server": s.ID, "born": s.StartTime}).Info("canceled a silent stream of an earlier incarnation of its server")
			}
		}
	})
}

// runsAt returns the runs at one incarnation of a server.
func (r *Relay) runsAt(s backends.Server) (out []*run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for u := range r.runs[s.ID] {
		if u.isAt(s) {
			out = append(out, u)
		}
	}
	return out
}
