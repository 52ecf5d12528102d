package relay

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/quarantine"
)

const (
	// crashCheckInterval is the time between the two checks of a server whose response broke off.
	// A process that crashes may close its connections before or after its listener.
	crashCheckInterval = 100 * time.Millisecond
	// crashCheckTimeout bounds one check. A server behind a network partition does not refuse
	// connections, so whether it has crashed cannot be determined.
	crashCheckTimeout = 250 * time.Millisecond
	// maxCrashCheckWait bounds how long a request waits for the checks. Callers accept a pause of
	// 180 ms in a stream.
	maxCrashCheckWait = 120 * time.Millisecond
	// crashGatherTime is how long the other requests at a crashed server may take to detect the
	// crash: their connections break at the same time, but their goroutines run later.
	crashGatherTime = 10 * time.Millisecond
	// lateCrashCheckDelay is the time after which the directory is checked for a restart of a
	// server that seemed to be up. A new entry is written within a heartbeat.
	lateCrashCheckDelay = 2 * time.Second
	// maxLoggedRequests bounds the requests listed in a log line.
	maxLoggedRequests = 16
	// maxLoggedParts bounds the prompt parts that a log line names of a request.
	maxLoggedParts = 8
)

// crashCheck determines whether a server has crashed under the requests whose responses broke off
// there. Its fields are guarded by the Relay's mu.
type crashCheck struct {
	server backends.Server
	// requests are those that have not been reported to the quarantine yet.
	requests []brokenRequest
	// done is closed when the checks that requests may wait for are over. crashed is set once the
	// server is known to have crashed.
	done    chan struct{}
	crashed bool
}

// brokenRequest is a request whose response broke off.
type brokenRequest struct {
	suspects  []quarantine.ID
	requestID string
	// parts are the shared parts of the request's prompt.
	parts []uint64
	// events is the number of events that the caller had received, attempt the number of the
	// attempt within the request.
	events, attempt int
}

// incarnation identifies one incarnation of a server.
type incarnation struct {
	id        string
	startTime int64
}

func incarnationOf(s backends.Server) incarnation { return incarnation{s.ID, s.StartTime} }

// suspects returns what may be to blame if servers crash under the request: its whole content, first,
// and the parts of its prompt. They are the same for all its attempts.
func (j *job) suspects() []quarantine.ID {
	j.suspectsOnce.Do(func() {
		content := quarantine.NewID(j.team, j.Method, j.Host, j.Target, j.Body)
		j.suspectIDs = append(append(make([]quarantine.ID, 0, 1+len(j.PromptParts)), content), j.promptParts()...)
	})
	return j.suspectIDs
}

// content identifies the whole content of a request.
func (j *job) content() quarantine.ID { return j.suspects()[0] }

// promptParts returns the suspects that are parts of the request's prompt.
func (j *job) promptParts() []quarantine.ID {
	ids := make([]quarantine.ID, 0, len(j.PromptParts))
	for _, part := range j.PromptParts {
		ids = append(ids, quarantine.NewPartID(j.team, part))
	}
	return ids
}

// handleBrokenResponse starts a check of a server whose response to a request broke off. If the
// server has crashed, and was not leaving, the crash counts against the request. A reset connection,
// a network partition or a dropped request is no crash: the server still listens.
//
// A request that one more crash would quarantine waits for the result, as it would otherwise be
// sent to the next server.
func (r *Relay) handleBrokenResponse(ctx context.Context, j *job, s backends.Server) {
	if _, leaving := r.Registry.State(s); leaving || ctx.Err() != nil {
		return
	}
	j.hadBrokenResponse, j.isTrial = true, false
	suspects := j.suspects()
	if j.progress.events > 0 && r.Now()-j.arrived-j.progress.firstDelay >= minAnsweringTime {
		// Servers have been answering it for some time, so the parts of its prompt are harmless.
		suspects = suspects[:1]
	}
	checked := r.startCrashCheck(s, brokenRequest{suspects: suspects, requestID: j.ID, parts: j.PromptParts, events: j.progress.events, attempt: j.attempts})
	if !r.Quarantine.NearThreshold(suspects) {
		return
	}
	t := time.NewTimer(maxCrashCheckWait)
	defer t.Stop()
	select {
	case <-checked:
	case <-t.C:
	case <-ctx.Done():
	}
}

// startCrashCheck adds a request whose response broke off to the check of its server, which it
// starts if there is none. The returned channel is closed when the check is over.
func (r *Relay) startCrashCheck(s backends.Server, b brokenRequest) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	check := r.crashChecks[incarnationOf(s)]
	if check == nil {
		check = &crashCheck{server: s, done: make(chan struct{})}
		r.crashChecks[incarnationOf(s)] = check
		go r.runCrashCheck(check)
	}
	check.requests = append(check.requests, b)
	if check.crashed {
		go r.reportCrash(check)
	}
	return check.done
}

// runCrashCheck checks twice whether the server has crashed.
func (r *Relay) runCrashCheck(check *crashCheck) {
	if r.hasCrashed(check.server) {
		r.concludeCrashed(check)
		return
	}
	time.AfterFunc(crashCheckInterval, func() {
		if r.hasCrashed(check.server) {
			r.concludeCrashed(check)
			return
		}
		// Responses that break off from now on start a new check: the server may crash next.
		r.removeCrashCheck(check)
		close(check.done)
		time.AfterFunc(lateCrashCheckDelay, func() {
			if r.Registry.HasRestarted(check.server) {
				r.reportCrash(check)
			}
		})
	})
}

// concludeCrashed reports the requests of a crashed server, including those that detect the crash
// later.
func (r *Relay) concludeCrashed(check *crashCheck) {
	if r.Registry.MarkDown(check.server, r.Now()) {
		r.Peers.Notify()
	}
	time.AfterFunc(crashGatherTime, func() {
		r.reportCrash(check)
		close(check.done)
		time.AfterFunc(lateCrashCheckDelay, func() { r.removeCrashCheck(check) })
	})
}

func (r *Relay) removeCrashCheck(check *crashCheck) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashChecks[incarnationOf(check.server)] == check {
		delete(r.crashChecks, incarnationOf(check.server))
	}
}

// hasCrashed reports whether it is certain that a server has crashed.
func (r *Relay) hasCrashed(s backends.Server) bool {
	if r.Registry.HasRestarted(s) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return r.Upstream.IsDown(ctx, s)
}

// reportCrash reports the requests of a check whose server has crashed.
func (r *Relay) reportCrash(check *crashCheck) {
	r.mu.Lock()
	requests, first := check.requests, !check.crashed
	check.requests, check.crashed = nil, true
	r.mu.Unlock()
	if len(requests) == 0 {
		return
	}
	if first {
		r.Observer.ServerCrashed(check.server.Service)
	}
	r.Log.WithFields(logrus.Fields{
		"server": check.server.ID, "born": check.server.StartTime, "service": check.server.Service, "requests": len(requests), "ran": requestLogFields(requests),
	}).Warn("server crashed under requests")
	answering := r.answeringParts(&check.server)
	var suspects []quarantine.ID
	for _, b := range requests {
		for _, id := range b.suspects {
			if !answering[id] {
				suspects = append(suspects, id)
			}
		}
	}
	r.Quarantine.Crashed(check.server, suspects)
}

// requestLogFields returns log fields that describe the requests that ran on a server.
func requestLogFields(requests []brokenRequest) (out []map[string]any) {
	for _, b := range requests[:min(len(requests), maxLoggedRequests)] {
		out = append(out, map[string]any{"request": b.requestID, "content": b.suspects[0].String(), "parts": partLogField(b.parts), "events": b.events, "try": b.attempt})
	}
	return out
}

// partLogField names parts of prompts as callers do, in hexadecimal.
func partLogField(parts []uint64) string {
	var out strings.Builder
	for i, p := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteString(strconv.FormatUint(p, 16))
	}
	return out.String()
}

// errQuarantined is the cause for canceling a request in flight that has been quarantined.
var errQuarantined = errors.New("request is quarantined")

// minAnsweringTime is how long a server must have been answering a request with a prompt part for the
// part to be harmless. A crashing part crashes servers as they begin to answer.
const minAnsweringTime = time.Second

// answeringParts returns the prompt parts of the streams that servers have been sending for
// minAnsweringTime. Streams of the server crashed, if not nil, don't count.
func (r *Relay) answeringParts(crashed *backends.Server) map[quarantine.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := make(map[quarantine.ID]bool)
	for _, runs := range r.runs {
		for u := range runs {
			if len(u.job.PromptParts) == 0 || crashed != nil && u.isAt(*crashed) || !u.hasAnsweredFor(minAnsweringTime) {
				continue
			}
			for _, id := range u.job.promptParts() {
				parts[id] = true
			}
		}
	}
	return parts
}

// HandleQuarantined handles a suspect that has been quarantined. If a server has been answering a request
// with this prompt part for some time, the part is harmless, which other gateways may not know.
// Otherwise the attempts to which no server has begun to respond are canceled: they would crash their
// servers. An attempt with a response continues, as its outcome shows whether the quarantine is right.
func (r *Relay) HandleQuarantined(id quarantine.ID) {
	if id.Kind == quarantine.PromptPart && r.answeringParts(nil)[id] {
		r.Quarantine.Answered([]quarantine.ID{id})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for j := range r.jobs {
		if !j.responseBegun.Load() && j.hasSuspect(id) {
			j.cancel(errQuarantined)
		}
	}
}

func (j *job) hasSuspect(id quarantine.ID) bool {
	switch id.Kind {
	case quarantine.SharedPromptPart:
		return slices.Contains(j.PromptParts, id.Content)
	case quarantine.PromptPart:
		return j.team == id.Team && slices.Contains(j.PromptParts, id.Content)
	}
	return j.team == id.Team && j.content() == id
}

// quarantined reports whether a request is quarantined. Without any records its content is not
// hashed.
func (r *Relay) quarantined(j *job) (v quarantine.Verdict, quarantined bool) {
	if !r.Quarantine.HasRecords() {
		return v, false
	}
	return r.Quarantine.Quarantined(j.suspects())
}

// refusedByQuarantine reports whether a request is quarantined and no trial of it is due. The trial
// itself starts only when a server is available: otherwise it would count as a trial without a
// result.
func (r *Relay) refusedByQuarantine(j *job) (v quarantine.Verdict, refuse bool) {
	v, quarantined := r.quarantined(j)
	return v, quarantined && !(j.attempts == 0 && r.Quarantine.TrialDue(j.suspects()))
}

// mustNotSend reports whether a request must not be sent to a server now because it is
// quarantined. It may start a trial of the request, and must be called only by the request's own
// goroutine.
func (r *Relay) mustNotSend(j *job) (v quarantine.Verdict, quarantined bool) {
	if j.isTrial {
		return v, false
	}
	v, quarantined = r.quarantined(j)
	if quarantined && j.attempts == 0 && r.Quarantine.StartTrial(j.suspects()) {
		j.isTrial = true
		return v, false
	}
	return v, quarantined
}

// recordAnswered records that a server has answered a request completely, which shows that the
// request does not crash servers. A response put together from several servers does not show
// that, as all but the last of them may have crashed, nor does one whose end may be that of the server.
// Parts of prompts are harmless if the server has written an answer. Without any records only generations
// are hashed: they run for so long that servers may crash under one several times before the next answer.
func (r *Relay) recordAnswered(j *job, response *Response) {
	if j.hadBrokenResponse || j.LastEventID != "" || response.EndsWithConnection {
		return
	}
	isAnswer, hasRecords := response.Status < 300, r.Quarantine.HasRecords()
	switch {
	case isAnswer && (hasRecords || j.Generation != nil):
		r.Quarantine.Answered(j.suspects())
	case hasRecords:
		r.Quarantine.Answered(j.suspects()[:1])
	}
}

// quarantineRefusal returns the refusal of a quarantined request. If it has not run, its caller
// may retry after the verdict's time, not earlier.
func (j *job) quarantineRefusal(v quarantine.Verdict) *Refusal {
	f := &Refusal{Reason: ReasonQuarantined, MayHaveRun: j.Sends.MayHaveRun(), Content: v.ID.String()}
	if !f.MayHaveRun {
		f.RetryAfter = v.RetryAfter
	}
	return f
}

// noQuarantine never quarantines a request.
type noQuarantine struct{}

func (noQuarantine) HasRecords() bool { return false }
func (noQuarantine) Quarantined([]quarantine.ID) (quarantine.Verdict, bool) {
	return quarantine.Verdict{}, false
}
func (noQuarantine) TrialDue([]quarantine.ID) bool            { return false }
func (noQuarantine) StartTrial([]quarantine.ID) bool          { return false }
func (noQuarantine) NearThreshold([]quarantine.ID) bool       { return false }
func (noQuarantine) Crashed(backends.Server, []quarantine.ID) {}
func (noQuarantine) Answered([]quarantine.ID)                 {}
