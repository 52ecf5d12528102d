package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// Attempt is a caller's request and its outcome.
type Attempt struct {
	Request fleet.CallerRequest
	Path    string
	SentAt  time.Time
	Status  int
	// Complete says whether the response was received to its end.
	Complete bool
	Body     string
	// Events are the received events of a stream, in order, over all attempts of its caller.
	Events []string
	// resumeAttempts is the number of attempts to resume the stream, resumed that of those
	// that received events.
	resumeAttempts, resumed int
	// expectedEvents is the number of events of a complete stream.
	expectedEvents int
}

// History records what callers sent and received.
type History struct {
	mu       sync.Mutex
	attempts []Attempt
	// revokedAt is when the store accepted a configuration without a key, by key.
	revokedAt map[string]time.Time
}

func newHistory() *History { return &History{revokedAt: make(map[string]time.Time)} }

func (h *History) add(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *History) recordRevocation(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revokedAt[key] = time.Now()
}

// executions has the number of runs of a request and the servers they ran at. A run that continued
// from a copy at another server counts once.
type executions struct {
	started int
	servers []string
}

// Check returns every violation of a guarantee, given what the servers executed.
func (h *History) Check(servers []*fleet.Server, revokeTimeout time.Duration) (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	byRequest := make(map[string]*executions)
	for _, s := range servers {
		for _, execution := range s.Executions() {
			exec := byRequest[execution.ID]
			if exec == nil {
				exec = &executions{}
				byRequest[execution.ID] = exec
			}
			exec.servers = append(exec.servers, s.ID)
			if !execution.FromCopy {
				exec.started++
			}
		}
	}
	for _, a := range h.attempts {
		exec := byRequest[a.Request.ID]
		if exec == nil {
			exec = &executions{}
		}
		for _, f := range a.check(exec) {
			violations = append(violations, fmt.Sprintf("%s %s: %s (status %d, ran at %v)", a.Request.ID, a.Path, f, a.Status, exec.servers))
		}
		if removedAt, ok := h.revokedAt[a.Request.Key]; ok && exec.started > 0 && a.SentAt.Sub(removedAt) > revokeTimeout {
			violations = append(violations, fmt.Sprintf("%s ran with a key removed %v before it was sent", a.Request.ID, a.SentAt.Sub(removedAt)))
		}
	}
	return violations
}

// maxRuns is the number of servers that may run an attempt which is not on a path that may be repeated
// at will. Routes that are added later are idempotent with two attempts, of which the second is sent
// while the first has no response yet.
func (a *Attempt) maxRuns() int {
	if strings.HasPrefix(a.Path, fleet.AddedPrefix) {
		return fleet.AddedMaxAttempts
	}
	return 1
}

func (a *Attempt) check(exec *executions) (violations []string) {
	canRepeat := a.Path == fleet.SafePath || a.Path == fleet.CheckPath
	if exec.started > a.maxRuns() && !canRepeat {
		violations = append(violations, fmt.Sprintf("was executed %d times", exec.started))
	}
	if promises(a.Status) && exec.started > 0 && !canRepeat {
		violations = append(violations, "was reported as not run but was executed")
	}
	if a.Status != 200 || !a.Complete {
		return append(violations, a.checkEvents(false)...)
	}
	if a.isStream() {
		return append(violations, a.checkEvents(true)...)
	}
	server, ok := strings.CutPrefix(a.Body, "answer of ")
	if !ok || !contains(exec.servers, server) {
		violations = append(violations, fmt.Sprintf("got a response that is not its own: %q", a.Body))
	}
	return violations
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (a *Attempt) isStream() bool { return a.Path == fleet.PlanPath || a.Path == fleet.CheckPath }

// checkEvents requires the events to be in order without gaps, and all of them to be there if the
// response is complete.
func (a *Attempt) checkEvents(isComplete bool) (violations []string) {
	version := ""
	if len(a.Events) > 0 {
		version = versionOf(a.Events[0])
	}
	for i, e := range a.Events {
		if want := fleet.EventText(i+1, version); e != want {
			return append(violations, fmt.Sprintf("event %d is %q, want %q", i+1, e, want))
		}
	}
	if isComplete && len(a.Events) != a.expectedEvents {
		violations = append(violations, fmt.Sprintf("ended as complete after %d events", len(a.Events)))
	}
	return violations
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
