package prefill

// Costs of an engine for a request, in seconds of waiting for prompts. A prompt on a sensitive engine
// that runs streams makes one stream in four late, so it goes there only if it would wait for longer
// elsewhere.
const (
	// streamCost is the cost of a prompt on a sensitive engine that runs streams.
	streamCost = 1.0
	// longPrefillCost is the cost of a long generation's prompt on a sensitive engine: the run has
	// to be moved, and a dip before that makes it late.
	longPrefillCost = 0.8
	// shortTolerantCost is the cost of a short generation's prompt on a tolerant engine, which is
	// better kept for the prompts of long ones.
	shortTolerantCost = 0.1
	// copyCost is the cost of a stream on a sensitive engine that reads prompts.
	copyCost = 1.0
)

// Cost returns the cost of an engine for a request of a kind, in seconds of waiting for prompts.
func Cost(kind Kind, role Role) float64 {
	switch {
	case kind == KindOther || role == RoleNone:
	case kind == KindCopy && role == RolePrefill:
		return copyCost
	case kind == KindCopy:
	case role == RoleStream:
		return streamCost
	case kind == KindLong && (role == RolePrefill || role == RoleUnknown):
		return longPrefillCost
	case kind == KindShort && role == RoleTolerant:
		return shortTolerantCost
	}
	return 0
}

// dipSlowness is how many times longer an engine in a dip is expected to take to read a prompt: dips are
// shorter than most prompts take there.
const dipSlowness = 2

// ExtraWait returns how much longer than at an engine of mean speed a request waits for its prompt at an
// engine, in seconds. wait is the wait at an engine of mean speed.
func ExtraWait(wait, slowness float64, inDip bool) float64 {
	if inDip {
		slowness *= dipSlowness
	}
	return wait * (slowness - 1)
}
