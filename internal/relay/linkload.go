package relay

import (
	"sync"
	"time"

	"kingcupplank.example/kingcup/routing"
)

// LinkState tells how loaded the link of this VM is.
type LinkState interface {
	// IsCongested reports whether responses are late because of the link, so that a server's silence is no
	// sign of a fault.
	IsCongested() bool
	// RefusesStreams reports whether new streams are refused because the link can't carry them.
	RefusesStreams() bool
}

// idleLink is a link without load.
type idleLink struct{}

func (idleLink) IsCongested() bool    { return false }
func (idleLink) RefusesStreams() bool { return false }

const (
	// eventOverhead is what an event takes on the link besides its bytes: the headers of its segment and of its
	// chunk.
	eventOverhead = 60
	// eventWeight is the weight of an event in the moving average of their sizes.
	eventWeight = 0.02
	// loadHorizon is the time for which the need of streams is foreseen. Streams with few events left need less
	// than their usual rate in it.
	loadHorizon = time.Second
)

// eventSizes is the moving average of the bytes that an event takes on the link. It is safe for concurrent use.
type eventSizes struct {
	mu    sync.Mutex
	mean  float64
	total uint64
}

func (e *eventSizes) observe(bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mean == 0 {
		e.mean = float64(bytes)
	}
	e.mean += eventWeight * (float64(bytes) - e.mean)
	e.total += uint64(bytes)
}

func (e *eventSizes) current() (mean float64, total uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean, e.total
}

// StreamLoad is what streams need of the link.
type StreamLoad struct {
	// Open is the number of streams in progress.
	Open int
	// Needed is the bytes a second that they are expected to need in the next second, with those that have not
	// begun to send.
	Needed float64
	// Forwarded is the number of bytes that events have taken on the link so far.
	Forwarded uint64
}

// StreamLoad returns what streams need of the link.
func (r *Relay) StreamLoad() (load StreamLoad) {
	r.mu.Lock()
	pause := r.meanPause
	streams := make([]*job, 0, len(r.jobs))
	for j := range r.jobs {
		if j.route.Kind == routing.Stream {
			streams = append(streams, j)
		}
	}
	r.mu.Unlock()
	size, forwarded := r.eventSizes.current()
	load.Open, load.Forwarded = len(streams), forwarded
	for _, j := range streams {
		events := float64(loadHorizon) / float64(pause)
		if sent := int(j.sentEvents.Load()); j.Generation != nil {
			events = min(events, float64(max(1, j.expectedEvents(sent)-sent)))
		}
		load.Needed += size * events / loadHorizon.Seconds()
	}
	return load
}
