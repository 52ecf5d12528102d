package prefill

import "time"

// Cause is why a run stays on the engine that has read its prompt.
type Cause string

// The causes. CauseNone means that the run is moved.
const (
	CauseNone Cause = ""
	// CauseStays: the engine is one that runs streams, or a tolerant one with room.
	CauseStays Cause = "engine runs streams"
	// CauseShort: the expected rest is too short.
	CauseShort Cause = "short rest"
	// CauseLate: the run is already late by a pause.
	CauseLate Cause = "late already"
	// CauseLink: the copy would take too long.
	CauseLink Cause = "slow link"
	// CausePause: the pause of the move would exceed the bound.
	CausePause Cause = "pause of the move"
	// CauseNoTarget: no engine that runs streams has room.
	CauseNoTarget Cause = "no target"
	// CauseCopy: a call that copies the run has failed.
	CauseCopy Cause = "copy failed"
	// CauseRetries: the budget of repeated requests is nearly used up.
	CauseRetries Cause = "retry budget"
)

const (
	// minRest is the expected rest of a run from which on it is moved. A move takes 0.2 to 0.4 s.
	minRest = time.Second
	// tolerantStayUse is the part of a tolerant engine's memory up to which its runs stay. The rest
	// is for the prompts to come: the next two take a fifth of an engine of eight long runs.
	tolerantStayUse = 0.8
	// TolerantTargetUse is the part of a tolerant engine's memory up to which runs are moved to it,
	// StreamTargetUse that of any other.
	TolerantTargetUse, StreamTargetUse = 0.65, 0.9
	// MaxMoveTime is how long a move may take until the run is stopped for it.
	MaxMoveTime = time.Second
	// moveOverhead is the time of a move's pause besides the last copy and the first event: two
	// calls between the gateway and the engines.
	moveOverhead = 20 * time.Millisecond
	// firstEventPauses is how many usual pauses the first event after a move takes, and
	// maxMovePauseShare the part of the bound that the pause of a move may take.
	firstEventPauses  = 1.5
	maxMovePauseShare = 0.85
)

// Numbers of retries that moves leave to repeated requests. A run on a sensitive engine loses more by
// staying than one on a tolerant engine that is nearly full.
const prefillRetryReserve, tolerantRetryReserve = 0, 1

// RetryReserve returns the number of retries that must be left for a run to be moved off an engine with a
// role.
func RetryReserve(role Role) float64 {
	if role == RolePrefill {
		return prefillRetryReserve
	}
	return tolerantRetryReserve
}

// Run is a run after its first event.
type Run struct {
	// Role and MemoryUse describe its engine; MemoryUse is a part of the engine's memory.
	Role      Role
	MemoryUse float64
	// Rest is the expected time until the run ends.
	Rest time.Duration
	// LongestPause is the longest pause so far, MaxPause the bound.
	LongestPause, MaxPause time.Duration
	// CopyTime is the time that a free link takes for the run's memory, 0 if unknown.
	CopyTime time.Duration
}

// Decide returns whether the run is moved to an engine that runs streams, or why not.
func (r Run) Decide() Cause {
	switch {
	case r.Role != RolePrefill && !(r.Role == RoleTolerant && r.MemoryUse > tolerantStayUse):
		return CauseStays
	case r.LongestPause > r.MaxPause:
		return CauseLate
	case r.Rest < minRest:
		return CauseShort
	case r.CopyTime <= 0 || r.CopyTime > MaxCopyTime:
		return CauseLink
	}
	return CauseNone
}

// PauseFits reports whether the pause of a move stays within a bound. lastCopy is the time of the last
// copy while the run went on, usual the usual pause of the engine that the run goes to.
func PauseFits(lastCopy, usual, bound time.Duration) bool {
	expected := lastCopy + moveOverhead + time.Duration(firstEventPauses*float64(usual))
	return float64(expected) <= maxMovePauseShare*float64(bound)
}

// Target is an engine that a run may be moved to.
type Target struct {
	Role  Role
	InDip bool
	// MemoryUse is the part of its memory in use with the run.
	MemoryUse float64
	// CopyTime is the time until the run's memory is there, behind other copies to the engine.
	CopyTime time.Duration
}

// Takes reports whether a run may be moved to the engine.
func (t Target) Takes() bool {
	switch {
	case t.InDip || t.CopyTime > MaxCopyTime:
		return false
	case t.Role == RoleTolerant:
		return t.MemoryUse <= TolerantTargetUse
	case t.Role == RoleStream:
		return t.MemoryUse <= StreamTargetUse
	}
	return false
}
