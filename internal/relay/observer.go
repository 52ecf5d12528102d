package relay

import (
	"time"

	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/routing"
)

// Observer receives events for metrics. Its methods must not block.
type Observer interface {
	// Finished is called once per request. team, service and kind are empty if the request was
	// refused at admission.
	Finished(team, service string, kind routing.Kind, outcome string)
	// ResponseCut is called for each response that had begun and is cut off at its caller, see CutCause.
	ResponseCut(cause string)
	// FirstByte is called with the time from a request's arrival to the first byte of its response.
	FirstByte(team, service string, kind routing.Kind, d time.Duration)
	// EventPause is called with the time between two events of a stream.
	EventPause(team string, d time.Duration)
	// AttemptFailed is called for each attempt without a usable response.
	AttemptFailed(service, result string)
	// Retry is called for each attempt beyond the first of a request that is taken from the retry budget
	// of its service, or that the budget does not allow.
	Retry(service string, kind retry.Kind, result string)
	// Migrated is called for each copy of a run, and for each stream that resumed from a copy, was
	// hedged or was lost.
	Migrated(result string)
	// QueueDecided is called for each generation that was queued for an engine, with the wait that was
	// estimated on its arrival and the real one.
	QueueDecided(service string, light bool, d QueueDecision, estimated, waited time.Duration)
	// PromptPlaced is called for each prompt of a service whose engines read prompts apart from
	// streams, with the role of its engine. RunPlaced is called for each of their long runs after its
	// first event: it was moved, or stays for a cause.
	PromptPlaced(role string)
	RunPlaced(result string)
	// ServerCrashed is called for each server that crashed while running requests.
	ServerCrashed(service string)
	// RunStopped is called for each run that a server was told to stop before it goes on elsewhere, with the
	// result (see package handover) and the time that it was awaited.
	RunStopped(result string, d time.Duration)
	// StandbyCopy is called for what happens to a standby copy, see the constants of
	// StandbyEvent.
	StandbyCopy(event StandbyEvent)
	// StreamResumed is called for each stream that is resumed at another server after its first event,
	// or that its caller resumes.
	StreamResumed(result Resumption)
}
