package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/handover"
	"kingcupplank.example/kingcup/retry"
)

// keptMemory is the memory of a run that its server keeps after it has stopped the run for this gateway.
type keptMemory struct {
	server backends.Server
	handle string
}

func (k keptMemory) copy() KVCopy { return KVCopy{Source: k.server.Address, Handle: k.handle} }

// stoppedRun is what a request needs to go on after its run was stopped: the memory that servers keep of it, and a
// retry that was taken before the run was stopped.
type stoppedRun struct {
	mu   sync.Mutex
	kept []keptMemory
	// isOver is set once the request has its final answer.
	isOver bool
	// retries are when retries of retryKind were taken that have not been used.
	retries   []time.Duration
	retryKind retry.Kind
}

// add records that a server keeps the memory of the run. It returns false if the request is over.
func (u *stoppedRun) add(k keptMemory) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isOver {
		return false
	}
	if !slices.ContainsFunc(u.kept, func(o keptMemory) bool { return o.copy() == k.copy() }) {
		u.kept = append(u.kept, k)
	}
	return true
}

// end makes add return false from now on.
func (u *stoppedRun) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isOver = true
}

// take removes and returns the newest memory, or that of a copy if c is not nil.
func (u *stoppedRun) take(c *KVCopy) (k keptMemory, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, k := range slices.Backward(u.kept) {
		if c == nil || k.copy() == *c {
			u.kept = slices.Delete(u.kept, i, i+1)
			return k, true
		}
	}
	return keptMemory{}, false
}

// takeAll removes and returns all memory.
func (u *stoppedRun) takeAll() []keptMemory {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.kept
	u.kept = nil
	return out
}

// takeRetry returns the retry that was taken before the run was stopped, if there is one.
func (u *stoppedRun) takeRetry() (kind retry.Kind, at time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.retries) == 0 {
		return "", 0, false
	}
	at, u.retries = u.retries[0], u.retries[1:]
	return u.retryKind, at, true
}

// hasRetry reports whether a retry has been taken that was not used.
func (u *stoppedRun) hasRetry() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.retries) > 0
}

// continuationRetries is the number of retries with which a run goes on: its target may refuse it, and then it goes
// back.
const continuationRetries = 2

// reserveContinuation takes the retries with which a run goes on, before the run is stopped. It returns false if
// there are too few: the run must then not be stopped.
func (r *Relay) reserveContinuation(j *job, kind retry.Kind) bool {
	u := &j.stopped
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isOver {
		return false
	}
	u.retryKind = kind
	for len(u.retries) < continuationRetries {
		if !r.takeRetry(j.service, kind) {
			for _, at := range u.retries {
				r.returnRetry(j.service, kind, at)
			}
			u.retries = nil
			return false
		}
		u.retries = append(u.retries, r.Now())
	}
	return true
}

// returnContinuation gives back the retries of reserveContinuation that were not used.
func (r *Relay) returnContinuation(j *job) {
	for {
		kind, at, ok := j.stopped.takeRetry()
		if !ok {
			return
		}
		r.returnRetry(j.service, kind, at)
	}
}

// canContinueAt reports whether a run at a server could go on at another one now.
func (r *Relay) canContinueAt(j *job, from backends.Server, to *backends.Reservation) bool {
	return r.recheck(j, to, &Attempt{ResumeFrom: &KVCopy{}, RequiredSoftware: &from.SoftwareVersion}) == nil
}

// goBackMargin is how long before the end of a leaving server's drain time the last requests are sent there.
const goBackMargin = 500 * time.Millisecond

// canGoBack reports whether a run that was stopped at a server may be sent there again.
func (r *Relay) canGoBack(j *job, s backends.Server) bool {
	return r.isWithinDrainTime(s) && !r.Registry.IsIneligible(s, j.regions) && !r.Registry.IsBackingOff(s, r.Now())
}

// isWithinDrainTime reports whether a server may receive what continues a run.
func (r *Relay) isWithinDrainTime(s backends.Server) bool {
	_, leaving := r.Registry.State(s)
	bound := r.cfg.Load().DrainTime
	if !leaving || bound == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	since, ok := r.leavingSince[incarnationOf(s)]
	return ok && r.Now()-since < bound-goBackMargin
}

// leavingMemory is how long it is remembered when a server began to leave.
const leavingMemory = time.Minute

// recordLeaving records when a server began to leave.
func (r *Relay) recordLeaving(s backends.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, at := r.Now(), incarnationOf(s)
	maps.DeleteFunc(r.leavingSince, func(_ incarnation, since time.Duration) bool { return now-since > leavingMemory })
	if _, ok := r.leavingSince[at]; !ok {
		r.leavingSince[at] = now
	}
}

// reserveKept reserves the server that keeps memory of the stopped run: that of a copy, or the newest if c is nil.
// It returns nil if there is none, or if the run may not go back.
func (s *session) reserveKept(c *KVCopy, mayGoBack bool) *reservedCopy {
	for mayGoBack {
		k, ok := s.job.stopped.take(c)
		if !ok {
			return nil
		}
		if reservation := s.Registry.ReserveAt(k.server, s.run.expectedMemory()); reservation != nil {
			return &reservedCopy{KVCopy: k.copy(), reservation: reservation, isOwn: true}
		}
	}
	return nil
}

// keepMemory records that a server keeps the memory of a request's run, or frees it if the request is over.
func (r *Relay) keepMemory(j *job, s backends.Server, handle string) {
	if k := (keptMemory{s, handle}); !j.stopped.add(k) {
		go r.dropHandle(k.copy())
	}
}

// dropKept frees the memory that servers keep of a run which goes on elsewhere or is over, but that of a copy.
func (r *Relay) dropKept(j *job, used KVCopy) {
	for _, k := range j.stopped.takeAll() {
		if k.copy() != used {
			go r.dropHandle(k.copy())
		}
	}
}

// endStopped frees what servers keep of a request that is over, and gives back its retry.
func (r *Relay) endStopped(j *job) {
	j.stopped.end()
	r.dropKept(j, KVCopy{})
	r.returnContinuation(j)
}

// adoptStop takes what a call that stops the run has left at its end: its memory, and the copy at the server to.
func (s *session) adoptStop(call *stopCall, from, to backends.Server) {
	if call.result != handover.Stopped {
		return
	}
	s.run.setStopKnown(from)
	if call.handle == "" || !s.run.isAt(from) {
		return
	}
	reservation := s.Registry.ReserveAt(to, s.run.expectedMemory())
	if reservation == nil {
		return
	}
	c := reservedCopy{KVCopy: KVCopy{Source: from.Address, Handle: call.handle}, reservation: reservation}
	if !s.run.addCopy(c) {
		go s.dropCopy(c)
	}
}

// awaitStop waits for the end of a call that stops the run and returns whether there was one.
func (u *run) awaitStop(ctx context.Context) bool {
	u.mu.Lock()
	stopping := u.stopping
	u.stopping = nil
	u.mu.Unlock()
	if stopping == nil {
		return false
	}
	awaitClosed(ctx, stopping, maxMigrationWait)
	return true
}
