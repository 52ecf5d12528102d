// Command without checks that each safeguard in the code is covered by a test. For each
// safeguard it removes the code in a copy of the tree, runs the test that must detect this and
// reports how the test fails. A safeguard whose test still passes is an error.
//
// Run it from the root of the repository: go run -C tools ./without [PATTERN]. PATTERN is a
// regular expression that selects safeguards by title and package.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// safeguard is a piece of code whose removal a test must detect.
type safeguard struct {
	title string
	file  string
	// code is the text of the safeguard, which occurs exactly once in file. replacement is the
	// text that replaces it.
	code        string
	replacement string
	// test is a regular expression for "go test -run" in the package pkg.
	pkg  string
	test string
}

var safeguards = []safeguard{
	{"attempt number checked when a token is appended", "stream/buffer.go", "if attempt != b.attempt {\n\t\treturn ErrStaleAttempt\n\t}\n\tnext :=", "next :=", "./stream", "TestBufferProperties"},
	{"token index checked when a token is appended", "stream/buffer.go", "if index < next {\n\t\treturn nil\n\t}", "", "./stream", "TestBufferProperties"},
	{"digest checked at the end of a stream", "stream/buffer.go", "if end.Digest != b.digest.Sum() {", "if false {", "./stream", "TestFinishChecksTheEnginesRecord"},
	{"repeated tokens dropped by the entry", "internal/entry/inflight.go", "t.Texts = t.Texts[next-t.GetFirstIndex():]\n\tt.FirstIndex = next\n", "", "./internal/proof", "TestDuplicateTokensAreDropped"},
	{"reattach after a broken link", "internal/entry/inflight.go", "if errors.Is(err, errBroken) {", "if false {", "./internal/proof", "TestStreamSurvives"},
	{"running streams adopted after an agent restart", "internal/agent/run.go", "for _, r := range running {\n\t\ta.adopt(r)\n\t}", "_ = running", "./internal/proof", "TestAgentRestartKeepsEngineStreams"},
	{"stalled link replaced by a second connection", "internal/link/link.go", "l.swap(nil)\n\t\tl.m.log", "l.m.log", "./internal/proof", "TestStalledLinkIsReplacedSoon"},
	{"new requests refused by a leaving agent", "internal/agent/generation.go", "if a.leaving.Load() {", "if false {", "./internal/proof", "TestLeavingServerGetsNoNewWork"},
	{"queued requests returned when an agent leaves", "internal/agent/generation.go", "a.policy.Finish(a.now(), g.job, false)\n\tg.buf.Fail(failure.NotRun(reason", "g.buf.Fail(failure.NotRun(reason", "./internal/proof", "TestQueuedRequestsRunOnceAfterLeave"},
	{"agent drain waits for requests in progress", "internal/agent/control.go", "if n == 0 || !wait.For(ctx, drainPollInterval) {\n\t\t\treturn n", "if n >= 0 || !wait.For(ctx, drainPollInterval) {\n\t\t\treturn 0", "./internal/proof", "TestShutdownCompletesStreams"},
	{"entry drain waits for requests in progress", "internal/entry/entry.go", "if n == 0 || !wait.For(ctx, drainPoll) {\n\t\t\treturn n", "if n >= 0 || !wait.For(ctx, drainPoll) {\n\t\t\treturn 0", "./internal/proof", "TestShutdownCompletesStreams"},
	{"condition on the revision of a claim", "claim/batcher.go", "txn.Conditions = append(txn.Conditions, storage.Condition{Key: w.key, Revision: w.revision})", "", "./internal/proof", "TestAtMostOnceHistory$"},
	{"nonce compared when a claim is read back", "claim/claim.go", "case found.Nonce == rec.Nonce:", "case false:", "./internal/proof", "TestLostClaimResponse"},
	{"claim written before dispatch", "internal/entry/call.go", "if req.GetNonIdempotent() {\n\t\treturn e.callOnce(ctx, req)\n\t}", "", "./internal/proof", "TestLostServiceResponse|TestAtMostOnceHistory$"},
	{"non-idempotent call not dispatched twice", "internal/entry/call.go", "if req.GetNonIdempotent() || ctx.Err()", "if ctx.Err()", "./internal/proof", "TestLostServiceResponse"},
	{"idempotency key kept after an unknown outcome", "internal/entry/callers.go", "case failure.IsNotRun(err):", "default:", "./internal/proof", "TestLostServiceResponse"},
	{"unknown outcome reported once a request was sent", "internal/entry/inflight.go", "return failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, \"%v\", err)\n}\n\n// open", "return failure.NotRun(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, \"%v\", err)\n}\n\n// open", "./internal/proof", "TestSilentAgentMeansUnknownOutcome"},
	{"dispatch recorded before the engine is called", "internal/agent/run.go", "g.dispatched = true\n", "g.dispatched = false\n", "./internal/proof", "TestQueuedRequestsRunOnceAfterLeave|TestLeavingServerGetsNoNewWork|TestShutdownCompletesStreams"},
	{"version checked when a snapshot is applied", "conf/replica.go", "if s.Version() <= r.state.Load().Version() {", "if false {", "./conf", "TestReplicaNeverReverts"},
	{"version checked when a delta is applied", "conf/replica.go", "if d.GetVersion() <= current.Version() {\n\t\treturn nil\n\t}", "", "./conf", "TestReplicaNeverReverts"},
	{"condition on the revision of the head row", "conf/store.go", "Conditions: []storage.Condition{{Key: headKey, Revision: h.revision}},", "", "./internal/proof", "TestConfigurationHistory$"},
	{"change id compared when a delta is read back", "conf/store.go", "stored.GetChangeId() == d.GetChangeId()", "false", "./internal/proof", "TestLostChangeResponse"},
	{"accepted change confirmed in a second failure domain", "internal/entry/operators.go", "const witnessDomains = 2", "const witnessDomains = 1", "./internal/proof", "TestSpreadIsReportedCorrectly"},
	{"configuration reconciled on heartbeats", "internal/link/link.go", "l.reconcile(sess)\n", "", "./internal/proof", "TestRestartInOutageTakesPeersVersion"},
	{"readiness withdrawn when the configuration is stale", "internal/confsync/confsync.go", "return time.Since(time.Unix(0, s.confirmed.Load())) <= s.cfg.StaleAfter", "return true", "./internal/proof", "TestCutOffEntryStopsBeingReady"},
	{"term of a lease loaded after a restart", "lease/fence.go", "if !f.loaded {", "if false {", "./internal/proof", "TestStaleOrderIsRejected"},
	{"orders with an old term rejected by the agent", "lease/fence.go", "if term < f.term {", "if false {", "./internal/proof", "TestStaleOrderIsRejected"},
	{"request withdrawn when its caller disconnects", "internal/entry/inflight.go", "st.Send(&innerv1.Control{Withdraw: true})\n", "", "./internal/proof", "TestDisconnectedCallerLeavesQueue"},
	{"streams in progress exempt from the retry budget", "internal/entry/inflight.go", "f.kept.NextIndex() == 0 && !f.e.retryAllowed", "!f.e.retryAllowed", "./internal/proof", "TestFailureDomainLost"},
	{"engine stream canceled when its consumer ends", "internal/agent/run.go", "defer cancel()\n\tsrc, err := a.generate", "_ = cancel\n\tsrc, err := a.generate", "./internal/proof", "TestSlowReaderIsCutOff"},
	{"stream limit of a team", "internal/agent/generation.go", "limit > 0 && a.openByTeam", "limit > 1000 && a.openByTeam", "./internal/proof", "TestTeamStreamLimit"},
	{"agent links divided among the models", "internal/entry/members.go", "max(leastPerModel, e.cfg.AgentLinks/models)", "6", "./internal/entry", "TestEveryServerIsWatched"},
	{"frame size checked before allocation", "internal/mux/frame.go", "if size > MaxFrameBytes {\n\t\treturn errors.Wrapf(ErrFrameTooLarge, \"%d bytes announced\", size)\n\t}", "", "./internal/mux", "TestOversizedFrame"},
}

func main() {
	root, err := filepath.Abs("..")
	check(err)
	pattern := ".*"
	if len(os.Args) > 1 {
		pattern = os.Args[1]
	}
	dir, err := os.MkdirTemp("", "without")
	check(err)
	defer os.RemoveAll(dir)
	check(copyTree(root, dir))
	fmt.Println("| without | test | how it fails |\n|---|---|---|")
	undetected := 0
	for _, s := range append(safeguards, gatewaySafeguards...) {
		if regexp.MustCompile(pattern).MatchString(s.title+" "+s.pkg) && !s.isDetected(dir) {
			undetected++
		}
	}
	if undetected > 0 {
		fmt.Printf("\n%d safeguards removed without a failing test\n", undetected)
		os.Exit(1)
	}
}

// isDetected removes the safeguard in the tree copy dir, runs its test and restores the file. It
// reports whether the test failed, and prints a row of the table. A build failure does not count
// as detection.
func (s safeguard) isDetected(dir string) bool {
	path := filepath.Join(dir, s.file)
	content, err := os.ReadFile(path)
	check(err)
	if bytes.Count(content, []byte(s.code)) != 1 {
		fmt.Printf("| %s | %s | NOT TRIED: the safeguard's code does not occur exactly once in the file |\n", s.title, s.test)
		return false
	}
	check(os.WriteFile(path, bytes.Replace(content, []byte(s.code), []byte(s.replacement), 1), 0o644))
	cmd := exec.Command("go", "test", "-vet=off", "-count=1", "-timeout=90s", "-run", s.test, s.pkg)
	cmd.Dir = dir
	out, testErr := cmd.CombinedOutput()
	check(os.WriteFile(path, content, 0o644))
	if testErr == nil {
		fmt.Printf("| %s | %s | **still passes** |\n", s.title, s.test)
		return false
	}
	fmt.Printf("| %s | `%s` | %s |\n", s.title, strings.ReplaceAll(s.test, "|", "`, `"), failureMessage(string(out)))
	return !strings.Contains(string(out), "[build failed]")
}

// failureMessage returns the most specific message in the output of a failed test.
func failureMessage(out string) string {
	if m := regexp.MustCompile(`Error:\s+(?:Received unexpected error|Not equal):\s*\n\s+(.+)\n\s+(.+)`).FindStringSubmatch(out); m != nil {
		line, _, _ := strings.Cut(strings.Join(strings.Fields(m[1]+" "+m[2]), " "), " Test:")
		return line
	}
	if m := regexp.MustCompile(`should have \d+ item\(s\), but has \d+`).FindString(out); m != "" {
		return "the engine's log " + m
	}
	patterns := []string{`\[build failed\]`, `Error:\s+(.+)`, `(token \d+ .+)`, `: (\S+: (?:ran|reported as not run|non-idempotent).+)`, `(panic: .+)`, `(fatal error: .+)`, `(--- FAIL: .+)`}
	for _, pattern := range patterns {
		if m := regexp.MustCompile(pattern).FindStringSubmatch(out); m != nil {
			return strings.TrimSpace(m[len(m)-1])
		}
	}
	return "fails"
}

// copyTree copies the tracked and the new files of a work tree, but not the ignored ones.
func copyTree(from, to string) error {
	out, err := exec.Command("git", "-C", from, "ls-files", "-co", "--exclude-standard").Output()
	if err != nil {
		return err
	}
	for _, name := range strings.Fields(string(out)) {
		data, err := os.ReadFile(filepath.Join(from, name))
		if err != nil {
			continue
		}
		target := filepath.Join(to, name)
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(target, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "without:", err)
		os.Exit(1)
	}
}
