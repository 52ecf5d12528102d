package relay

import (
	"context"
	"sync"
	"time"

	"kingcupplank.example/kingcup/backends"
)

const (
	// probeInterval is how often servers are probed while the directory is unavailable. A server
	// reports that it is leaving at least 1.5 s before it stops, and migrating its runs takes
	// about 1 s.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
)

// RunProber asks the servers that run streams of this process whether they are leaving, while
// directoryUnavailable returns true. Without it, streams would be lost on every server that
// leaves during an outage of the store. It returns when ctx is canceled.
func (r *Relay) RunProber(ctx context.Context, directoryUnavailable func() bool) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if directoryUnavailable() {
			r.probeServers(ctx)
		}
	}
}

func (r *Relay) probeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range r.streamServers() {
		if _, leaving := r.Registry.State(s); leaving || r.Registry.IsBackingOff(s, r.Now()) {
			continue
		}
		wg.Go(func() {
			leaving, err := r.Upstream.IsLeaving(ctx, s)
			if err != nil {
				// An error of a busy or unreachable server does not show whether it is leaving.
				r.Log.WithError(err).WithField("server", s.ID).Debug("cannot determine whether the server is leaving")
				return
			}
			if leaving && r.Registry.MarkLeaving(s) {
				r.Peers.Notify()
			}
		})
	}
	wg.Wait()
}

// streamServers returns the servers that run streams which would be lost with them.
func (r *Relay) streamServers() (out []backends.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.runs {
		for u := range runs {
			if u.canMigrate() {
				u.mu.Lock()
				out = append(out, u.server)
				u.mu.Unlock()
				break
			}
		}
	}
	return out
}
