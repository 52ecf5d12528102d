package backends

import "time"

// MaxRateLimit is the highest rate limit, in requests per second, that is accepted from a server.
// A higher value is treated as invalid.
const MaxRateLimit = 1e6

// MaxBackoff bounds the backoff that a server may ask for. After it the server is sent requests
// again and may ask for more.
const MaxBackoff = time.Hour

// Signals are what a server's response headers say about the server.
type Signals struct {
	// HasRateLimit reports that the server sends a rate limit. RateLimit is the number of
	// requests per second that it accepts from all processes together.
	HasRateLimit bool
	RateLimit    float64
	// RateLimitInvalid reports that the server sends a rate limit whose value is invalid.
	RateLimitInvalid bool
	// HasColdFor reports that ColdFor is set: how much longer the server is cold.
	HasColdFor bool
	ColdFor    time.Duration
	// Leaving reports that the server will end soon.
	Leaving bool
	// Backoff is for how long this process must send the server nothing, 0 if the server asks
	// for no backoff.
	Backoff time.Duration
	// InvalidHeaders are the names of the headers whose values are invalid.
	InvalidHeaders []string
}

// SignalChanges are the changes that ApplySignals has made to what is known of a server.
type SignalChanges struct {
	// RateLimitSet reports that the server sends a rate limit and sent none before.
	// RateLimitRemoved reports that it sends none any more. Frequent changes are not reported,
	// see minAnnounceInterval.
	RateLimitSet, RateLimitRemoved bool
	// Leaving reports that this is the first response that says that the server is leaving.
	Leaving bool
	// BackoffStarted reports that the server asked for a backoff and was not backing off before.
	BackoffStarted bool
	// FirstInvalid reports the first invalid header of this incarnation of the server.
	FirstInvalid bool
}

// rateLimit is what is known of the rate limit that a server sends.
type rateLimit struct {
	limited   bool
	perSecond float64
	// asOf is the time to which the above applies, 0 if nothing was ever known.
	asOf time.Duration
	// reportRemovalUntil is until when peers are sent a report that there is no rate limit.
	reportRemovalUntil time.Duration
	// setAnnounced and removedAnnounced are when the start and the removal of a rate limit were
	// last announced.
	setAnnounced, removedAnnounced time.Duration
}

// RateLimitReport is what a process reports to its peers about the rate limit of a server.
type RateLimitReport struct {
	// Known reports that the process knows something. Limited reports that the server sends a
	// rate limit, which is PerSecond.
	Known, Limited bool
	PerSecond      float64
	// Age is how old this information is.
	Age time.Duration
}

const (
	// removalReportTime is how long peers are sent a report that a rate limit was removed. It is
	// counted from when the removal is learned or a peer turns out not to know of it. Peers that
	// get no response from the server, since it accepts few requests, would not learn of it
	// otherwise.
	removalReportTime = 10 * time.Second
	// minAnnounceInterval is the minimum time between two changes of the same kind that are
	// logged and sent to peers at once. Otherwise a server that sends a rate limit in every other
	// response would make all gateways send each other each change. The next periodic state
	// message contains the change anyway.
	minAnnounceInterval = 500 * time.Millisecond
	// minFreshness is how much newer than what is known a report must be if the server is
	// rate-limited in both. A process's own report comes back from its peers slightly younger
	// than it was.
	minFreshness = time.Second
)

// report returns what is reported to peers.
func (l rateLimit) report(now time.Duration) RateLimitReport {
	if !l.limited && now >= l.reportRemovalUntil {
		return RateLimitReport{}
	}
	return RateLimitReport{Known: true, Limited: l.limited, PerSecond: l.perSecond, Age: now - l.asOf}
}

// set records that the server sends a rate limit. It reports whether that must be announced.
func (l *rateLimit) set(perSecond float64, asOf, now time.Duration) (announce bool) {
	if !l.limited {
		announce = mayAnnounce(&l.setAnnounced, now)
	}
	l.limited, l.perSecond, l.asOf = true, perSecond, asOf
	return announce
}

// mayAnnounce reports whether a change may be announced now, and records it if so. last is when
// a change of this kind was last announced.
func mayAnnounce(last *time.Duration, now time.Duration) bool {
	if *last > 0 && now-*last < minAnnounceInterval {
		return false
	}
	*last = now
	return true
}

// remove records that the server sent no rate limit as of a time. It reports whether that must
// be announced.
func (l *rateLimit) remove(asOf, now time.Duration) (announce bool) {
	if asOf <= l.asOf {
		return false
	}
	if l.limited {
		l.limited, l.perSecond, l.reportRemovalUntil = false, 0, now+removalReportTime
		announce = mayAnnounce(&l.removedAnnounced, now)
	}
	l.asOf = asOf
	return announce
}

// merge applies a peer's report unless something newer is known. It reports whether the start or
// removal of a rate limit must be announced. Whatever the order of the reports, the newest
// information that any process has wins.
func (l *rateLimit) merge(report RateLimitReport, now time.Duration) (announce bool) {
	if !report.Known || report.Age < 0 || report.Limited && !(report.PerSecond >= 0 && report.PerSecond <= MaxRateLimit) {
		return false
	}
	asOf := now - report.Age
	if asOf <= l.asOf {
		if report.Limited && !l.limited {
			l.reportRemovalUntil = now + removalReportTime
		}
		return false
	}
	switch {
	case !report.Limited:
		return l.remove(asOf, now)
	case l.limited && asOf < l.asOf+minFreshness:
		return false
	}
	return l.set(report.PerSecond, asOf, now)
}

// ApplySignals records what a server says about itself in a response. sent is when the request
// of that response was sent, 0 if a missing rate limit in the response means nothing.
//
// Responses may arrive out of order. A missing rate limit means that the limit was removed only
// if the request was sent after the limit was last confirmed.
func (r *Registry) ApplySignals(at Server, signals Signals, sent, now time.Duration) (changes SignalChanges) {
	r.mu.Lock()
	changes, events := r.applySignals(at, signals, sent, now)
	r.mu.Unlock()
	r.notifyLeaving(events)
	return changes
}

// applySignals implements ApplySignals. mu must be held.
func (r *Registry) applySignals(at Server, signals Signals, sent, now time.Duration) (changes SignalChanges, events []leaveEvent) {
	s := r.current(at)
	if s == nil {
		return changes, nil
	}
	switch {
	case signals.HasRateLimit:
		changes.RateLimitSet = s.rateLimit.set(signals.RateLimit, now, now)
	case !signals.RateLimitInvalid:
		changes.RateLimitRemoved = s.rateLimit.remove(sent, now)
	}
	if signals.HasColdFor {
		s.coldUntil = now + signals.ColdFor
	}
	if signals.Leaving {
		changes.Leaving = !s.selfReported
		events = s.markLeaving(nil, LeaveSelfReported)
		r.recordLeaving(events, now)
	}
	if signals.Backoff > 0 {
		changes.BackoffStarted = now >= s.backoffUntil
		s.backoffUntil = max(s.backoffUntil, now+signals.Backoff)
	}
	if len(signals.InvalidHeaders) > 0 && !s.invalidSeen {
		s.invalidSeen, changes.FirstInvalid = true, true
	}
	return changes, events
}

// CountRateLimited counts the servers that send a rate limit.
func (r *Registry) CountRateLimited() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.rateLimit.limited && !s.gone {
			n++
		}
	}
	return n
}

// IsBackingOff reports whether a server has asked this process to send nothing for now.
func (r *Registry) IsBackingOff(at Server, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(at)
	return s != nil && now < s.backoffUntil
}

// minBackoffPeers is how many other processes a server must have asked for a backoff to be ranked
// last here. A server may ask a single process because of what that process sends.
const minBackoffPeers = 2

// backsOffElsewhere reports whether a server has asked enough other processes for a backoff. mu
// must be held.
func (r *Registry) backsOffElsewhere(s *server) bool {
	n := 0
	for _, remoteStatuses := range r.remoteStatuses {
		if status := remoteStatuses[s.ID]; status.BackingOff && status.StartTime == s.StartTime {
			n++
		}
	}
	return n >= minBackoffPeers
}

// CountBackingOff counts the servers that have asked this process for a backoff.
func (r *Registry) CountBackingOff(now time.Duration) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if now < s.backoffUntil && !s.gone {
			n++
		}
	}
	return n
}
