// Command without shows that each safeguard is needed: for each one it removes
// the safeguard in a copy of the tree, runs the test that proves the promise and
// reports how the test fails. A safeguard whose test still passes is an error.
//
// Run it from the root of the repository: go run -C tools ./without [regexp of
// names and packages]
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

// safeguard is a piece of code and what stands there without it.
type safeguard struct {
	name string
	file string
	old  string
	new  string
	pkg  string
	test string
}

var safeguards = []safeguard{
	{"attempt compared on append", "stream/buffer.go", "if attempt != b.attempt {\n\t\treturn ErrStaleAttempt\n\t}\n\tnext :=", "next :=", "./stream", "TestBufferProperties"},
	{"index compared on append", "stream/buffer.go", "if index < next {\n\t\treturn nil\n\t}", "", "./stream", "TestBufferProperties"},
	{"digest compared at the end", "stream/buffer.go", "if end.Digest != b.digest.Sum() {", "if false {", "./stream", "TestFinishChecksTheEnginesRecord"},
	{"doubled tokens cut off at the entry", "internal/entry/inflight.go", "t.Texts = t.Texts[next-t.GetFirstIndex():]\n\tt.FirstIndex = next\n", "", "./internal/proof", "TestDoubledFramesAreCutOff"},
	{"re-attach after a broken link", "internal/entry/inflight.go", "if errors.Is(err, errBroken) {", "if false {", "./internal/proof", "TestStreamSurvives"},
	{"streams adopted after a restart", "internal/agent/run.go", "for _, r := range running {\n\t\ta.adoptOne(r)\n\t}", "_ = running", "./internal/proof", "TestAgentRestartKeepsEngineStreams"},
	{"second path for a stalled link", "internal/link/link.go", "l.swap(nil)\n\t\tl.m.log", "l.m.log", "./internal/proof", "TestStalledLinkMovesSoon"},
	{"refusal by a leaving agent", "internal/agent/generation.go", "if a.leaving.Load() {", "if false {", "./internal/proof", "TestLeavingServerGetsNoNewWork"},
	{"queue handed back on leave", "internal/agent/generation.go", "a.policy.Finish(a.now(), g.job, false)\n\tg.buf.Fail(failure.NotRun(reason", "g.buf.Fail(failure.NotRun(reason", "./internal/proof", "TestQueuedWorkMovesOnceOnLeave"},
	{"drain of the agent waits", "internal/agent/control.go", "if n == 0 || !wait.For(ctx, drainPoll) {\n\t\t\treturn n", "if n >= 0 || !wait.For(ctx, drainPoll) {\n\t\t\treturn 0", "./internal/proof", "TestShutdownCutsNothingOff"},
	{"drain of the entry waits", "internal/entry/entry.go", "if n == 0 || !wait.For(ctx, drainPoll) {\n\t\t\treturn n", "if n >= 0 || !wait.For(ctx, drainPoll) {\n\t\t\treturn 0", "./internal/proof", "TestShutdownCutsNothingOff"},
	{"condition on a claim", "claim/grouper.go", "txn.Conditions = append(txn.Conditions, storage.Condition{Key: o.key, Revision: o.revision})", "", "./internal/proof", "TestAtMostOnceHistory$"},
	{"nonce read back", "claim/claim.go", "case found.Nonce == rec.Nonce:", "case false:", "./internal/proof", "TestClaimAnswerLost"},
	{"claim before dispatch", "internal/entry/call.go", "if req.GetNonIdempotent() {\n\t\treturn e.callOnce(ctx, req)\n\t}", "", "./internal/proof", "TestServiceAnswerLost|TestAtMostOnceHistory$"},
	{"no second dispatch", "internal/entry/call.go", "if req.GetNonIdempotent() || ctx.Err()", "if ctx.Err()", "./internal/proof", "TestServiceAnswerLost"},
	{"key kept after an unknown outcome", "internal/entry/callers.go", "case failure.IsNotRun(err):", "default:", "./internal/proof", "TestServiceAnswerLost"},
	{"sent means unknown", "internal/entry/inflight.go", "return failure.Unknown(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, \"%v\", err)\n}\n\n// open", "return failure.NotRun(kingcupv1.Reason_REASON_BACKEND_LOST, time.Second, \"%v\", err)\n}\n\n// open", "./internal/proof", "TestSilentAgentIsUnknown"},
	{"start recorded before the engine is called", "internal/agent/run.go", "g.dispatched = true\n", "g.dispatched = false\n", "./internal/proof", "TestQueuedWorkMovesOnceOnLeave|TestLeavingServerGetsNoNewWork|TestShutdownCutsNothingOff"},
	{"snapshot version compared", "conf/replica.go", "if s.Version() <= r.state.Load().Version() {", "if false {", "./conf", "TestReplicaNeverReverts"},
	{"delta version compared", "conf/replica.go", "if d.GetVersion() <= cur.Version() {\n\t\treturn nil\n\t}", "", "./conf", "TestReplicaNeverReverts"},
	{"condition on the head", "conf/store.go", "Conditions: []storage.Condition{{Key: headKey, Revision: h.revision}},", "", "./internal/proof", "TestConfigurationHistory$"},
	{"change id read back", "conf/store.go", "stored.GetChangeId() == d.GetChangeId()", "false", "./internal/proof", "TestChangeAnswerLost"},
	{"witness in a second domain", "internal/entry/operators.go", "const witnessDomains = 2", "const witnessDomains = 1", "./internal/proof", "TestSpreadIsHonest"},
	{"configuration levelled by heartbeats", "internal/link/link.go", "l.reconcile(sess)\n", "", "./internal/proof", "TestRestartInOutageTakesPeersVersion"},
	{"not ready without confirmation", "internal/confsync/confsync.go", "return time.Since(time.Unix(0, s.confirmed.Load())) <= s.cfg.Stale", "return true", "./internal/proof", "TestCutOffEntryStopsBeingReady"},
	{"term read back after a restart", "lease/fence.go", "if !f.loaded {", "if false {", "./internal/proof", "TestStaleOrderIsHarmless"},
	{"old term refused at the agent", "lease/fence.go", "if term < f.term {", "if false {", "./internal/proof", "TestStaleOrderIsHarmless"},
	{"withdrawal when the caller is gone", "internal/entry/inflight.go", "st.Send(&innerv1.Control{Withdraw: true})\n", "", "./internal/proof", "TestCallerGoneLeavesTheQueue"},
	{"moves outside the retry budget", "internal/entry/inflight.go", "f.kept.Next() == 0 && !f.e.retryAllowed", "!f.e.retryAllowed", "./internal/proof", "TestFailureDomainLost"},
	{"engine streams released", "internal/agent/run.go", "defer cancel()\n\tsrc, err := a.generate", "_ = cancel\n\tsrc, err := a.generate", "./internal/proof", "TestSlowReaderIsCutOff"},
	{"bound of a team's streams", "internal/agent/generation.go", "most > 0 && a.open", "most > 1000 && a.open", "./internal/proof", "TestStreamBoundOfATeam"},
	{"links divided over the models", "internal/entry/members.go", "max(leastPerModel, e.cfg.AgentLinks/models)", "6", "./internal/entry", "TestEveryServerIsWatched"},
	{"frame bound before allocation", "internal/mux/frame.go", "if size > MaxFrame {\n\t\treturn errors.Wrapf(ErrFrameTooLarge, \"%d bytes announced\", size)\n\t}", "", "./internal/mux", "TestOversizedFrame"},
}

func main() {
	root, err := filepath.Abs("..")
	check(err)
	only := ".*"
	if len(os.Args) > 1 {
		only = os.Args[1]
	}
	dir, err := os.MkdirTemp("", "without")
	check(err)
	defer os.RemoveAll(dir)
	check(copyTree(root, dir))
	fmt.Println("| without | test | how it fails |\n|---|---|---|")
	survived := 0
	for _, s := range append(safeguards, gatewaySafeguards...) {
		if regexp.MustCompile(only).MatchString(s.name+" "+s.pkg) && !s.caught(dir) {
			survived++
		}
	}
	if survived > 0 {
		fmt.Printf("\n%d safeguards removed without a failing test\n", survived)
		os.Exit(1)
	}
}

// caught removes the safeguard, runs its test and puts the file back.
func (s safeguard) caught(dir string) bool {
	path := filepath.Join(dir, s.file)
	whole, err := os.ReadFile(path)
	check(err)
	if bytes.Count(whole, []byte(s.old)) != 1 {
		fmt.Printf("| %s | %s | NOT TRIED: the safeguard's text was not found once |\n", s.name, s.test)
		return false
	}
	check(os.WriteFile(path, bytes.Replace(whole, []byte(s.old), []byte(s.new), 1), 0o644))
	cmd := exec.Command("go", "test", "-vet=off", "-count=1", "-timeout=90s", "-run", s.test, s.pkg)
	cmd.Dir = dir
	out, failed := cmd.CombinedOutput()
	check(os.WriteFile(path, whole, 0o644))
	if failed == nil {
		fmt.Printf("| %s | %s | **still passes** |\n", s.name, s.test)
		return false
	}
	fmt.Printf("| %s | `%s` | %s |\n", s.name, strings.ReplaceAll(s.test, "|", "`, `"), symptom(string(out)))
	return !strings.Contains(string(out), "[build failed]")
}

// symptom is the line of a test's output that says most.
func symptom(out string) string {
	if m := regexp.MustCompile(`Error:\s+(?:Received unexpected error|Not equal):\s*\n\s+(.+)\n\s+(.+)`).FindStringSubmatch(out); m != nil {
		line, _, _ := strings.Cut(strings.Join(strings.Fields(m[1]+" "+m[2]), " "), " Test:")
		return line
	}
	if m := regexp.MustCompile(`should have \d+ item\(s\), but has \d+`).FindString(out); m != "" {
		return "the engine's log " + m
	}
	patterns := []string{`\[build failed\]`, `Error:\s+(.+)`, `(token \d+ .+)`, `: (\S+: (?:ran|told|non-idempotent).+)`, `(panic: .+)`, `(fatal error: .+)`, `(--- FAIL: .+)`}
	for _, p := range patterns {
		if m := regexp.MustCompile(p).FindStringSubmatch(out); m != nil {
			return strings.TrimSpace(m[len(m)-1])
		}
	}
	return "fails"
}

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
