package relay

import (
	"context"
	"sync"
	"time"

	"kingcupplank.example/kingcup/backends"
)

const (
	// scoutEvery is how often servers are asked while the directory is away. A
	// server says at least 1.5 s before its end that it is leaving, and moving its
	// runs takes about one.
	scoutEvery = 250 * time.Millisecond
	// scoutTimeout bounds one question.
	scoutTimeout = 250 * time.Millisecond
)

// RunProber asks the servers that run streams of this process whether they are
// leaving, while away reports that the directory cannot tell. Without it the
// streams of every server that leaves during an outage of the store are lost. It
// returns when ctx ends.
func (r *Relay) RunProber(ctx context.Context, away func() bool) {
	t := time.NewTicker(scoutEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if away() {
			r.scout(ctx)
		}
	}
}

func (r *Relay) scout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scoutTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range r.hosts() {
		if _, leaving := r.Registry.State(s); leaving || r.Registry.IsBackingOff(s, r.Now()) {
			continue
		}
		wg.Go(func() {
			leaving, err := r.Upstream.IsLeaving(ctx, s)
			if err != nil {
				// A server that is busy or cut off says nothing of its plans.
				r.Log.WithError(err).WithField("server", s.ID).Debug("server does not report")
				return
			}
			if leaving && r.Registry.MarkLeaving(s) {
				r.Peers.Notify()
			}
		})
	}
	wg.Wait()
}

// hosts lists the servers that run streams which would be lost with them.
func (r *Relay) hosts() (out []backends.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.runs {
		for u := range runs {
			if u.canMove() {
				u.mu.Lock()
				out = append(out, u.server)
				u.mu.Unlock()
				break
			}
		}
	}
	return out
}
