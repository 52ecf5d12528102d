package concurrency

import "time"

const (
	// HonoredDivisor gives the longest retry time that callers honor: a third of the time that
	// they have left.
	HonoredDivisor = 3
	// spreadPart is the last part of a retry time over which callers are spread.
	spreadPart = 1.0 / 3
	// maxOutageRetry bounds the retry time while there is no server, for callers that wait for
	// minutes: servers start within seconds.
	maxOutageRetry = 5 * time.Second
)

// OutageRetryAfter returns the retry time of a caller of a service without any server that takes
// requests, spread by draw in [0, 1). left is the time for which the caller still waits. Retries
// that come too early find no server again, and callers retry once.
func OutageRetryAfter(left time.Duration, draw float64) time.Duration {
	return spread(min(maxOutageRetry, left/HonoredDivisor), draw)
}

// spread returns a time in the last part of d.
func spread(d time.Duration, draw float64) time.Duration {
	return max(0, time.Duration(float64(d)*(1-spreadPart*bounded(draw, 0, 1))))
}

// RetryAfter returns the retry time of a request that is refused, and records the refusal. left is
// the time for which the caller still waits, draw a number in [0, 1).
//
// Each refused request is given the time at which the bucket would have served it after all that
// were refused before. Once that is later than callers honor, they are spread over the last part
// of what they honor.
func (l *Limiter) RetryAfter(left time.Duration, draw float64, now time.Duration) time.Duration {
	honored := max(0, left/HonoredDivisor)
	l.backlogUntil = max(l.backlogUntil, now+l.Wait(0, now)) + l.interval(now)
	if l.backlogUntil-now < honored {
		return l.backlogUntil - now
	}
	l.backlogUntil = min(l.backlogUntil, now+max(honored, l.interval(now)))
	return spread(honored, draw)
}

// interval returns the time between two requests of this gateway's part.
func (l *Limiter) interval(now time.Duration) time.Duration {
	rate := l.PerSecond(now)
	if rate <= perSecond(1, MaxWait) {
		return MaxWait
	}
	return time.Duration(float64(time.Second) / rate)
}
