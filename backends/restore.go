package backends

import (
	"maps"
	"time"
)

// endedFor is how long a server that has gone is not believed to be back by an old copy of
// the directory. The platform writes what has happened since within two seconds, and copies
// are some seconds old.
const endedFor = 15 * time.Second

// ending is a server that has gone.
type ending struct {
	Server
	at time.Duration
}

// noteEnding remembers a server that has gone; mu is held.
func (r *Registry) noteEnding(s *server, now time.Duration) {
	r.endings[s.ID] = ending{s.Server, now}
}

// Restore replaces the directory by an old copy of it. outage is how long it was silent
// before.
//
// Servers that have gone since the copy was made are in it, and would get requests; they are
// withheld until their entry is written again, or for as long as they are remembered. Those
// that have joined since are not in it, and stay for a while, as after an outage.
func (r *Registry) Restore(list []Server, outage, now time.Duration) {
	r.mu.Lock()
	left := r.reset(list, outage, now)
	for _, s := range list {
		r.withholdEnded(s, now)
	}
	r.mu.Unlock()
	r.tell(left)
}

// withholdEnded withholds a server that has gone since the copy was made; mu is held.
func (r *Registry) withholdEnded(s Server, now time.Duration) {
	e, ended := r.endings[s.ID]
	known := r.servers[s.ID]
	if !ended || known == nil || !known.SameIncarnation(e.Server) || now-e.at >= endedFor {
		return
	}
	known.withheld, known.withheldUntil = true, e.at+endedFor
	r.unlist()
}

// expireEndings forgets servers that have gone long ago; mu is held.
func (r *Registry) expireEndings(now time.Duration) {
	maps.DeleteFunc(r.endings, func(_ string, e ending) bool { return now-e.at >= endedFor })
	for _, s := range r.servers {
		if s.withheldUntil > 0 && now >= s.withheldUntil {
			s.withheld, s.withheldUntil = false, 0
			r.unlist()
		}
	}
}
