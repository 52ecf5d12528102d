package prefill

// Costs of an engine for a request, in seconds of waiting for prompts. A prompt on a sensitive engine
// that runs streams makes one stream in four late, so it goes there only if it would wait for longer
// elsewhere.
const (
	// streamCost is the cost of a prompt on a sensitive engine that runs streams.
	streamCost = 1.0
	// longPrefillCost is the cost of a long generation's prompt on a sensitive engine: the run has
	// to be moved, and a dip before that makes it late.
	longPrefillCost = 0.5
	// shortTolerantCost is the cost of a short generation's prompt on a tolerant engine, which is
	// better kept for the prompts of long ones.
	shortTolerantCost = 0.25
	// copyCost is the cost of a stream on a sensitive engine that reads prompts.
	copyCost = 1.0
	// dipCost is the cost of an engine in a dip, which reads a prompt of 0.3 to 0.5 s in 0.8 to
	// 1.2 s if the dip lasts.
	dipCost = 0.4
)

// Cost returns the cost of an engine for a request of a kind, in seconds of waiting for prompts.
func Cost(kind Kind, role Role, inDip bool) float64 {
	cost := 0.0
	switch {
	case kind == KindOther || role == RoleNone:
		return 0
	case kind == KindCopy && role == RolePrefill:
		cost = copyCost
	case kind == KindCopy:
	case role == RoleStream:
		cost = streamCost
	case kind == KindLong && (role == RolePrefill || role == RoleUnknown):
		cost = longPrefillCost
	case kind == KindShort && role == RoleTolerant:
		cost = shortTolerantCost
	}
	if inDip {
		cost += dipCost
	}
	return cost
}
