package backends

import "time"

// Advice is what a server says of itself in the head of an answer.
type Advice struct {
	// Limited reports that it names a limit: the requests a second that it takes from all
	// processes together.
	Limited bool
	Limit   float64
	// Unreadable names the headers whose values mean nothing.
	Unreadable []string
}

// News is what Advised has learnt.
type News struct {
	// Limited reports that the server names a limit that it did not name before, Lifted that
	// it names none any more.
	Limited, Lifted bool
	// Unreadable reports the first advice of the server's life that means nothing.
	Unreadable bool
}

// limit is what is known of the limit that a server names.
type limit struct {
	named     bool
	perSecond float64
	// asOf is the time that this is known of.
	asOf time.Duration
}

// Advised notes what a server says of itself in an answer. sent is when the request was sent
// that it answers, 0 if that is not known.
//
// Answers overtake each other. That a limit is missing says that it has ended only in an answer
// to a request that was sent after the limit was last heard of.
func (r *Registry) Advised(at Server, a Advice, sent, now time.Duration) (n News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(at)
	if s == nil {
		return n
	}
	switch {
	case a.Limited:
		n.Limited = !s.limit.named
		s.limit = limit{named: true, perSecond: a.Limit, asOf: now}
	case s.limit.named && len(a.Unreadable) == 0 && sent > s.limit.asOf:
		n.Lifted = true
		s.limit = limit{asOf: sent}
	}
	if len(a.Unreadable) > 0 && !s.unreadableAdvice {
		s.unreadableAdvice, n.Unreadable = true, true
	}
	return n
}

// Limited counts the servers that name a limit.
func (r *Registry) Limited() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.limit.named && !s.gone {
			n++
		}
	}
	return n
}
