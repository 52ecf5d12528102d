package backends

import "time"

// MaxRateLimit bounds the requests a second that a server may name as its limit. A higher number
// says nothing.
const MaxRateLimit = 1e6

// MaxBackoff bounds the time for which a server that asks for rest gets none. It is asked again
// then, and may ask for more.
const MaxBackoff = time.Hour

// Signals is what a server says of itself in the head of an answer.
type Signals struct {
	// HasRateLimit reports that it names a limit: the requests a second that it takes from all
	// processes together.
	HasRateLimit bool
	RateLimit    float64
	// RateLimitInvalid reports that it names one that means nothing.
	RateLimitInvalid bool
	// HasColdFor reports that it says how much longer it is cold.
	HasColdFor bool
	ColdFor    time.Duration
	// Leaving reports that it will end soon.
	Leaving bool
	// Backoff is for how long it wants nothing of this process, 0 if it does not say.
	Backoff time.Duration
	// InvalidHeaders names the headers whose values mean nothing.
	InvalidHeaders []string
}

// News is what Advised has learnt.
type News struct {
	// RateLimitSet reports that the server names a limit that it did not name before, RateLimitRemoved that
	// it names none any more.
	RateLimitSet, RateLimitRemoved bool
	// Leaving reports the first answer that says that the server is leaving.
	Leaving bool
	// BackoffStarted reports that the server rests from now on.
	BackoffStarted bool
	// FirstInvalid reports the first advice of the server's life that means nothing.
	FirstInvalid bool
}

// limit is what is known of the limit that a server names.
type limit struct {
	named     bool
	perSecond float64
	// asOf is the time that this is known of, 0 if nothing ever was.
	asOf time.Duration
	// tellUntil is until when others are told that there is none.
	tellUntil time.Duration
	// namedNews and liftedNews are when it was last news that there is one, or none.
	namedNews, liftedNews time.Duration
}

// RateLimitReport is what a process knows of the limit that a server names.
type RateLimitReport struct {
	// Known reports that it knows something, Limited that the server names a limit.
	Known, Limited bool
	PerSecond      float64
	// Age is how long ago it was so.
	Age time.Duration
}

const (
	// liftedFor is how long others are told that a limit has ended, from when that is learnt or
	// somebody does not know: those that get no answer of the server, as it takes little, do not
	// learn of it otherwise.
	liftedFor = 10 * time.Second
	// newsEvery is the least time between two changes that are logged and told at once. A
	// server that names a limit in every other answer would have all gateways tell each other
	// of each; the next state tells them anyway.
	newsEvery = 500 * time.Millisecond
	// fresher is how much newer than what is known something must be that changes nothing.
	// What one process tells another comes back a little younger than it was.
	fresher = time.Second
)

// told is what others are told.
func (l limit) told(now time.Duration) RateLimitReport {
	if !l.named && now >= l.tellUntil {
		return RateLimitReport{}
	}
	return RateLimitReport{Known: true, Limited: l.named, PerSecond: l.perSecond, Age: now - l.asOf}
}

// name notes that the server names a limit, and reports whether that is news.
func (l *limit) name(perSecond float64, asOf, now time.Duration) (news bool) {
	if !l.named {
		news = isNews(&l.namedNews, now)
	}
	l.named, l.perSecond, l.asOf = true, perSecond, asOf
	return news
}

// isNews reports whether a change is told at once; last is when one was.
func isNews(last *time.Duration, now time.Duration) bool {
	if *last > 0 && now-*last < newsEvery {
		return false
	}
	*last = now
	return true
}

// lift notes that the server named none at a time, and reports whether that is news.
func (l *limit) lift(asOf, now time.Duration) (news bool) {
	if asOf <= l.asOf {
		return false
	}
	if l.named {
		l.named, l.perSecond, l.tellUntil = false, 0, now+liftedFor
		news = isNews(&l.liftedNews, now)
	}
	l.asOf = asOf
	return news
}

// hear takes what another process tells, unless something newer is known, and reports whether
// it is news that the server names a limit, or none. What is kept is the newest that anybody
// knows, in whatever order it is told.
func (l *limit) hear(t RateLimitReport, now time.Duration) (news bool) {
	if !t.Known || t.Age < 0 || t.Limited && !(t.PerSecond >= 0 && t.PerSecond <= MaxRateLimit) {
		return false
	}
	asOf := now - t.Age
	if asOf <= l.asOf {
		if t.Limited && !l.named {
			l.tellUntil = now + liftedFor
		}
		return false
	}
	switch {
	case !t.Limited:
		return l.lift(asOf, now)
	case l.named && asOf < l.asOf+fresher:
		return false
	}
	return l.name(t.PerSecond, asOf, now)
}

// ApplySignals notes what a server says of itself in an answer. sent is when the request was sent
// that it answers, 0 if what it leaves out says nothing.
//
// Answers overtake each other. That a limit is missing says that it has ended only in an answer
// to a request that was sent after the limit was last heard of.
func (r *Registry) ApplySignals(at Server, a Signals, sent, now time.Duration) (n News) {
	r.mu.Lock()
	n, left := r.advised(at, a, sent, now)
	r.mu.Unlock()
	r.tell(left)
	return n
}

// advised is Advised with mu held.
func (r *Registry) advised(at Server, a Signals, sent, now time.Duration) (n News, left []leave) {
	s := r.current(at)
	if s == nil {
		return n, nil
	}
	switch {
	case a.HasRateLimit:
		n.RateLimitSet = s.limit.name(a.RateLimit, now, now)
	case !a.RateLimitInvalid:
		n.RateLimitRemoved = s.limit.lift(sent, now)
	}
	if a.HasColdFor {
		s.coldUntil = now + a.ColdFor
	}
	if a.Leaving {
		n.Leaving = !s.reported
		left = s.report(nil, NoticeReported)
	}
	if a.Backoff > 0 {
		n.BackoffStarted = now >= s.restUntil
		s.restUntil = max(s.restUntil, now+a.Backoff)
	}
	if len(a.InvalidHeaders) > 0 && !s.unreadableAdvice {
		s.unreadableAdvice, n.FirstInvalid = true, true
	}
	return n, left
}

// CountRateLimited counts the servers that name a limit.
func (r *Registry) CountRateLimited() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.limit.named && !s.gone {
			n++
		}
	}
	return n
}

// IsBackingOff reports whether a server wants nothing of this process for now.
func (r *Registry) IsBackingOff(at Server, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(at)
	return s != nil && now < s.restUntil
}

// restingElsewhere are the other processes that a server must have asked for rest to be asked
// last here. It may have asked one alone for what that one sends.
const restingElsewhere = 2

// restsElsewhere reports whether a server has asked others for rest; mu is held.
func (r *Registry) restsElsewhere(s *server) bool {
	n := 0
	for _, losses := range r.losses {
		if l := losses[s.ID]; l.BackingOff && l.StartTime == s.StartTime {
			n++
		}
	}
	return n >= restingElsewhere
}

// CountBackingOff counts the servers that have asked this process for rest.
func (r *Registry) CountBackingOff(now time.Duration) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if now < s.restUntil && !s.gone {
			n++
		}
	}
	return n
}
