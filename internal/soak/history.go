package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// Attempt is a caller's request and what came of it.
type Attempt struct {
	As     fleet.CallerRequest
	Path   string
	Sent   time.Time
	Status int
	// Whole says that the answer came to its end.
	Whole bool
	Body  string
	// Events are those of a stream, in order.
	Events []string
}

// History is what callers and servers saw.
type History struct {
	mu       sync.Mutex
	attempts []Attempt
	// revoked is when the store accepted a version without a key.
	revoked map[string]time.Time
}

func newHistory() *History { return &History{revoked: make(map[string]time.Time)} }

func (h *History) add(a Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *History) revoke(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoked[key] = time.Now()
}

// runs are a request's runs, by server; one that went on from a copy is the same.
type runs struct {
	begun   int
	servers []string
}

// Check returns every broken promise.
func (h *History) Check(servers []*fleet.Server, revokeBound time.Duration) (faults []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ran := make(map[string]*runs)
	for _, s := range servers {
		for _, seen := range s.Executions() {
			r := ran[seen.ID]
			if r == nil {
				r = &runs{}
				ran[seen.ID] = r
			}
			r.servers = append(r.servers, s.ID)
			if !seen.FromCopy {
				r.begun++
			}
		}
	}
	for _, a := range h.attempts {
		r := ran[a.As.ID]
		if r == nil {
			r = &runs{}
		}
		for _, f := range a.check(r) {
			faults = append(faults, fmt.Sprintf("%s %s: %s (status %d, ran at %v)", a.As.ID, a.Path, f, a.Status, r.servers))
		}
		if at, ok := h.revoked[a.As.Key]; ok && r.begun > 0 && a.Sent.Sub(at) > revokeBound {
			faults = append(faults, fmt.Sprintf("%s ran with a key removed %v before it was sent", a.As.ID, a.Sent.Sub(at)))
		}
	}
	return faults
}

func (a *Attempt) check(r *runs) (faults []string) {
	repeatable := a.Path == fleet.SafePath || a.Path == fleet.CheckPath
	if r.begun > 1 && !repeatable {
		faults = append(faults, fmt.Sprintf("ran %d times", r.begun))
	}
	if a.Status == 503 && r.begun > 0 && !repeatable {
		faults = append(faults, "was called not run")
	}
	if a.Status != 200 || !a.Whole {
		return append(faults, a.checkOrder(false)...)
	}
	if a.stream() {
		return append(faults, a.checkOrder(true)...)
	}
	server, ok := strings.CutPrefix(a.Body, "answer of ")
	if !ok || !contains(r.servers, server) {
		faults = append(faults, fmt.Sprintf("got an answer that is not its own: %q", a.Body))
	}
	return faults
}

func (a *Attempt) stream() bool { return a.Path == fleet.PlanPath || a.Path == fleet.CheckPath }

// checkOrder requires events to follow one another, and all of them at a whole
// answer.
func (a *Attempt) checkOrder(whole bool) (faults []string) {
	for i, e := range a.Events {
		if want := fmt.Sprintf("id: %d\ndata: tok%d\n\n", i+1, i+1); e != want {
			return append(faults, fmt.Sprintf("event %d is %q", i+1, e))
		}
	}
	if whole && len(a.Events) != streamEvents {
		faults = append(faults, fmt.Sprintf("ended as whole after %d events", len(a.Events)))
	}
	return faults
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
