package main

// gatewaySafeguards are those of the gateway.
var gatewaySafeguards = []safeguard{
	{"unknown outcomes are not repeated", "internal/relay/place.go", "if !j.mayRepeat() {\n\t\treturn r.refuse(j, ReasonLost)\n\t}", "", "./internal/relay", "TestUnknownOutcomeIsNotRepeated"},
	{"once sent, never \"not run\"", "internal/relay/place.go", "f := &Refusal{Reason: why, Run: j.ran > 0}", "f := &Refusal{Reason: why}", "./internal/relay", "TestRefusalAfterUnknownOutcomeStaysUnknown"},
	{"budget of repeats", "internal/relay/place.go", "if j.sent > 0 && !r.repeat(j.service) {", "if false {", "./internal/relay", "TestRepeatsKeepToTheBudget"},
	{"signature of a success", "internal/relay/plain.go", "return w.Status >= 300 || w.Sealed && !w.Encoded", "return true", "./internal/relay", "TestUnsealedSuccessIsNotPassedOn"},
	{"age of keys", "internal/relay/relay.go", "if r.KeysStale(age) {\n\t\treturn", "if false {\n\t\treturn", "./internal/relay", "TestKeysAreNotTrustedWithoutConfirmation"},
	{"unknown routes on an old view", "internal/relay/relay.go", "if r.cfg.Load().ApplyBound > 0 && age > r.cfg.Load().ApplyBound {\n\t\t\treturn nil, &Refusal{Reason: ReasonStale", "if false {\n\t\t\treturn nil, &Refusal{Reason: ReasonStale", "./internal/relay", "TestUnknownRouteIsNotFinalWithoutConfirmation"},
	{"streams that outlast a stopping VM", "internal/relay/relay.go", "if r.outlasts(j) {", "if false {", "./internal/relay", "TestStoppingVMTakesNoStreamThatOutlastsIt"},
	{"streams that begin after the notice", "internal/relay/move.go", "r.mu.Unlock()\n\tr.evacuateIfLeaving(u.server)", "r.mu.Unlock()", "./internal/relay", "TestStreamThatBeginsAfterTheNoticeIsMoved"},
	{"reports while the store is away", "internal/relay/scout.go", "r.Registry.Reported(s.ID)", "", "./internal/relay", "TestStreamOutlivesAServerThatLeavesDuringAnOutage"},
	{"whole events only", "internal/relay/events.go", "if err != nil {\n\t\t\treturn nil, e.broken(err)\n\t\t}", "if err != nil {\n\t\t\tif len(e.buf) > 0 {\n\t\t\t\treturn e.buf, nil\n\t\t\t}\n\t\t\treturn nil, err\n\t\t}", "./internal/relay", "TestStreamOutlivesItsServer$|TestStreamWithoutACopyBreaksOff"},
	{"gap in a stream", "internal/relay/events.go", "if id != s.last+1 {", "if false {", "./internal/relay", "TestGapInAStreamBreaksItOff"},
	{"gap in the pages", "internal/follow/follow.go", "if !f.synced || s.Since > f.revision {", "if !f.synced {", "./internal/follow", "TestMissedPageIsReadFromTheStore"},
	{"longer tries to read a table", "internal/follow/follow.go", "return snapshotPatience << min(f.failures, snapshotDoublings)", "return snapshotPatience", "./internal/follow", "TestSlowSnapshotIsWaitedFor"},
	{"older pages", "internal/follow/follow.go", "if row.Revision > f.revision {", "if true {", "./internal/follow", "TestOlderPageChangesNothing"},
	{"grace only after an outage", "internal/follow/follow.go", "if f.outage > 0 && now-f.returned < returnGrace {\n\t\treturn f.outage\n\t}\n\treturn 0", "return time.Minute", "./internal/follow", "TestOnlyOutagesExcuseLapsedRows"},
	{"grace of lapsed entries", "backends/registry.go", "if outage > outageFrom && !s.Leaving && s.suspectUntil == 0 {", "if false {", "./backends", "TestLapsedEntryHasAGrace"},
	{"leaving stays leaving", "backends/registry.go", "old.Leaving = s.Leaving || was", "old.Leaving = s.Leaving || was && false", "./backends", "TestLeavingIsToldOnce"},
	{"failures fade", "backends/registry.go", "return s.failures * math.Exp2(", "return s.failures + 0*math.Exp2(", "./backends", "TestFailingServerIsAvoidedForAWhile"},
	{"stray answers", "platform/upstream/upstream.go", "if id == \"\" || id == x.attempt.Request.ID {", "if id != \"none\" {", "./internal/gateway", "TestStrayAnswerIsNotPairedWithTheNextRequest|TestBrokenAnswersAreNeverPassedOff"},
	{"forged headers", "platform/ingress/ingress.go", "if ours[name] || hopByHop[name]", "if hopByHop[name]", "./internal/gateway", "TestForgedHeadersStayOutside"},
	{"the caller's end ends the attempt", "platform/upstream/upstream.go", "x.release = context.AfterFunc(ctx, func() { cn.Close() })", "x.release = context.AfterFunc(context.Background(), func() { cn.Close() })", "./internal/gateway", "TestServerStopsWhenTheCallerLeaves"},
	{"long pages", "internal/gateway/peers.go", "return g.linkMbps > 0 && bits", "return false && bits", "./internal/gateway", "TestLongPagesAreNotPassedOn"},
	{"those that are late go last", "flow/queue.go", "if lateA != lateB {", "if lateA != lateB && false {", "./flow", "TestOverloadFallsOnThoseThatAreLate"},
}
