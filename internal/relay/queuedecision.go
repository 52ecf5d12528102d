package relay

import (
	"time"

	"kingcupplank.example/kingcup/admission"
)

// QueueDecision is how the wait of a generation for an engine ended.
type QueueDecision string

// Queue decisions.
const (
	QueueStarted QueueDecision = "started"
	// QueueRefusedAtOnce is a refusal on arrival. QueueLeft is the end of a wait without an engine: by a
	// refusal, or because the caller left.
	QueueRefusedAtOnce QueueDecision = "refused at once"
	QueueLeft          QueueDecision = "left"
)

func queueResult(reserved bool) QueueDecision {
	if reserved {
		return QueueStarted
	}
	return QueueLeft
}

// queueWait describes how a generation was queued, for metrics and its final log line.
type queueWait struct {
	light             bool
	estimated, waited time.Duration
}

// recordQueueDecision records how the wait of a generation ended.
func (r *Relay) recordQueueDecision(j *job, w *admission.Waiter, d QueueDecision) {
	j.queued = queueWait{light: w.Light, estimated: w.EstimatedWait, waited: r.Now() - j.arrived}
	r.Observer.QueueDecided(j.service, w.Light, d, j.queued.estimated, j.queued.waited)
}
