package fleet

import (
	"math"
	"net"
	"net/http"
	"strings"
	"time"
)

// Behavior is how a server responds.
type Behavior struct {
	// SoftwareVersion is the version of the server's software, DefaultSoftwareVersion if empty. If set,
	// each event names it.
	SoftwareVersion string
	// Delay is the time before the header of a response.
	Delay time.Duration
	// Status, if 300 or above, is the status of every response in place of 200.
	Status int
	// RejectAll rejects every request as not executed.
	RejectAll bool
	// Headers are added to every response, rejections included.
	Headers http.Header
	// Events is the number of events in a stream, EventInterval the time between two.
	Events        int
	EventInterval time.Duration
	// CopyTime is how long the first copy of a run's KV cache takes.
	CopyTime time.Duration
	// CrashOn, if set, makes the server crash CrashDelay after Delay on a request whose
	// body contains this text; see Fleet.Crash.
	CrashOn    string
	CrashDelay time.Duration
	// CrashOnPart, if set, does the same on a request whose prompt has this part before its last.
	CrashOnPart string
	// Slots, if set, is the number of slots in the server's entry. With more requests in progress,
	// Delay grows in proportion.
	Slots int
	// ShortEvents, if set, is the number of events of a stream on CheckPath in place of Events.
	ShortEvents int
	// PromptTime is the time to the first event of a new stream. The other streams of the server
	// pause meanwhile.
	PromptTime time.Duration
	// Dips are times in which the server is slower.
	Dips Dips
	// Trouble is how the server misbehaves.
	Trouble Trouble
	// Padding is the number of bytes that are added to each event.
	Padding int
	// Pauses, if set, returns for how much longer a stream is silent after its n-th event.
	Pauses func(n int) time.Duration
	// Unframed says that responses have neither a length nor chunks and end with their connection.
	Unframed bool
	// ForRequest, if set, returns the behavior for a request, given that of the server.
	ForRequest func(b Behavior, r *http.Request) Behavior
	// Raw, if set, handles the request on the hijacked connection instead.
	Raw func(c net.Conn, r *http.Request)
}

// soundBehavior returns the server's behavior without what a fault has changed for a while: a new incarnation does not
// misbehave, and would otherwise do so for good, as its fault ends with the old one.
func (s *Server) soundBehavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.behavior
	b.RejectAll, b.Headers, b.Trouble = false, nil, Trouble{}
	return b
}

// Dips are the times in which a server is Factor times slower: Duration in every Interval, the
// first one Offset after the server's start. There are none if Interval is 0.
type Dips struct {
	Interval, Duration, Offset time.Duration
	Factor                     float64
}

// stretch returns d as it takes at a time after the server's start.
func (p Dips) stretch(d, sinceStart time.Duration) time.Duration {
	if p.Interval <= 0 || sinceStart < p.Offset || (sinceStart-p.Offset)%p.Interval >= p.Duration {
		return d
	}
	return time.Duration(float64(d) * p.Factor)
}

// interval returns the time from a stream's n-th event to the next.
func (b Behavior) interval(n int, sinceStart time.Duration) time.Duration {
	d := b.Dips.stretch(b.EventInterval, sinceStart)
	if b.Pauses != nil {
		d += b.Pauses(n)
	}
	return d
}

// CrashesOn reports whether the server crashes on a request with a header and a body.
func (b Behavior) CrashesOn(h http.Header, body string) bool {
	return b.CrashOn != "" && strings.Contains(body, b.CrashOn) ||
		b.CrashOnPart != "" && strings.Contains(","+h.Get(promptPrefix), ","+b.CrashOnPart+promptPartTokens+",")
}

// neverFinishing returns the behavior for a request on which the server crashes before the
// response is complete.
func (b Behavior) neverFinishing() Behavior {
	if b.Events > 0 {
		b.Events, b.ShortEvents = math.MaxInt, 0
	} else {
		b.Delay = time.Hour
	}
	return b
}
