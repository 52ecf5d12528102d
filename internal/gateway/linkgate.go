package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/admin"
	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/gatewaymetrics"
	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/overload"
)

const (
	// linkSamplePeriod is how often the load on the link is measured.
	linkSamplePeriod = 50 * time.Millisecond
	// minCalmTime is how long a gateway must have accepted all connections for a busy episode to be over. Each
	// episode has two log lines.
	minCalmTime = 2 * time.Second
)

// linkGate measures the load on this VM's link and processor and holds what the gateway still takes on. It implements
// relay.LinkState.
type linkGate struct {
	meter *netmeter.Meter
	log   logrus.FieldLogger
	// level and isCongested are of the last sample.
	level       atomic.Int32
	isCongested atomic.Bool

	// mu guards what follows. No other lock is taken while it is locked.
	mu             sync.Mutex
	timers         *overload.Timers
	sent, received *overload.Direction
	// allSent and allReceived are the same with what is exchanged with peers and the store.
	allSent, allReceived *overload.Direction
	// streamed is the use by events of streams, which take as much in either direction.
	streamed *overload.Direction
	gate     overload.Gate
	load     overload.Load
	streams  int
	episode  busyEpisode
	// refused is for how long new connections have been refused since the start, up to sampledAt.
	refused, sampledAt time.Duration
}

// busyEpisode is a time in which the VM was busy, with short calm times in it.
type busyEpisode struct {
	isOpen    bool
	begun     time.Duration
	calmSince time.Duration
	// refusedBefore is for how long new connections had been refused before it.
	refusedBefore time.Duration
	peak          overload.Load
}

func newLinkGate(meter *netmeter.Meter, linkMbps float64, log logrus.FieldLogger) *linkGate {
	l := &linkGate{meter: meter, log: log, timers: overload.NewTimers(linkSamplePeriod)}
	l.setBandwidth(linkMbps)
	return l
}

// setBandwidth begins anew with another bandwidth in Mbit/s.
func (l *linkGate) setBandwidth(mbps float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent, l.received, l.streamed = overload.NewDirection(mbps), overload.NewDirection(mbps), overload.NewDirection(mbps)
	l.allSent, l.allReceived = overload.NewDirection(mbps), overload.NewDirection(mbps)
}

// Level returns what the gateway takes on now.
func (l *linkGate) Level() overload.Level { return overload.Level(l.level.Load()) }

// IsCongested implements relay.LinkState.
func (l *linkGate) IsCongested() bool { return l.isCongested.Load() }

// RefusesStreams implements relay.LinkState.
func (l *linkGate) RefusesStreams() bool { return l.Level() >= overload.Saturated }

// isBusy reports whether callers need the whole link.
func (l *linkGate) isBusy() bool { return l.Level() != overload.Normal }

// connectionAcceptor accepts connections of callers or refuses them.
type connectionAcceptor interface {
	RefuseConnections()
	AcceptConnections() error
}

// run samples the load until ctx ends and has new connections refused while the gateway is busy.
func (l *linkGate) run(ctx context.Context, streamLoad func() relay.StreamLoad, callers connectionAcceptor) {
	t := time.NewTicker(linkSamplePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.sample(streamLoad(), clock.SinceBoot())
			if l.isBusy() {
				callers.RefuseConnections()
			} else if err := callers.AcceptConnections(); err != nil {
				l.log.WithError(err).Warn("new connections can't be accepted yet")
			}
		}
	}
}

// lastSample returns when the load was measured last, now if it was not yet.
func (l *linkGate) lastSample(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sampledAt == 0 {
		return now
	}
	return now.Add(l.sampledAt - clock.SinceBoot())
}

// sample measures the load on the link and updates the level.
func (l *linkGate) sample(streams relay.StreamLoad, now time.Duration) {
	total, callers, servers := l.meter.Total(), l.meter.Bytes(netmeter.Callers), l.meter.Bytes(netmeter.Servers)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent.Observe(callers.Sent+servers.Sent, now)
	l.received.Observe(callers.Received+servers.Received, now)
	l.allSent.Observe(total.Sent, now)
	l.allReceived.Observe(total.Received, now)
	l.streamed.Observe(streams.Forwarded, now)
	l.timers.Fired(now)
	other := max(0, max(l.sent.Use(), l.received.Use())-l.streamed.Use())
	l.load = overload.Load{
		Sent: l.sent.Use(), Received: l.received.Use(), Expected: other + l.sent.Share(streams.Needed), Total: max(l.allSent.Use(), l.allReceived.Use()),
		Delay: l.allSent.Delay(), TimerDelay: l.timers.Delay(),
	}
	l.streams = streams.Open
	if l.gate.Level() != overload.Normal {
		l.refused += now - l.sampledAt
	}
	l.sampledAt = now
	level := l.gate.Update(l.load)
	l.level.Store(int32(level))
	l.isCongested.Store(l.load.IsCongested())
	l.recordEpisode(level, now)
}

// recordEpisode logs the begin and the end of a time in which the VM is busy; mu is held.
func (l *linkGate) recordEpisode(level overload.Level, now time.Duration) {
	e := &l.episode
	if level != overload.Normal {
		if !e.isOpen {
			*e = busyEpisode{isOpen: true, begun: now, refusedBefore: l.refused}
			l.log.WithFields(loadFields(l.load)).WithField("streams", l.streams).Warn("VM is busy, new connections are refused")
		}
		e.calmSince, e.peak = 0, peakOf(e.peak, l.load)
		return
	}
	if !e.isOpen {
		return
	}
	if e.calmSince == 0 {
		e.calmSince = now
	}
	if now-e.calmSince >= minCalmTime {
		e.isOpen = false
		l.log.WithFields(loadFields(e.peak)).WithFields(logrus.Fields{
			"refused_ms": (l.refused - e.refusedBefore).Milliseconds(), "busy_ms": (e.calmSince - e.begun).Milliseconds(), "streams": l.streams,
		}).Info("VM is no longer busy, new connections are accepted")
	}
}

func loadFields(l overload.Load) logrus.Fields {
	return logrus.Fields{"sent": l.Sent, "received": l.Received, "expected": l.Expected, "total": l.Total, "delay_ms": l.Delay.Milliseconds(), "timers_late_ms": l.TimerDelay.Milliseconds()}
}

func peakOf(a, b overload.Load) overload.Load {
	return overload.Load{Sent: max(a.Sent, b.Sent), Received: max(a.Received, b.Received), Total: max(a.Total, b.Total), Expected: max(a.Expected, b.Expected), Delay: max(a.Delay, b.Delay), TimerDelay: max(a.TimerDelay, b.TimerDelay)}
}

// Status implements admin.Link.
func (l *linkGate) Status() admin.LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return admin.LinkStatus{
		Level: l.gate.Level().String(), Sent: l.load.Sent, Received: l.load.Received, Expected: l.load.Expected,
		DelayMs: l.load.Delay.Milliseconds(), TimerDelayMs: l.load.TimerDelay.Milliseconds(), Streams: l.streams, RefusedSeconds: l.refused.Seconds(),
	}
}

// registerLinkGauges registers the load on the link.
func (g *Gateway) registerLinkGauges(rec *gatewaymetrics.Recorder) {
	rec.RegisterGauge("kingcup_gateway_link_use", "Use of the VM's link as a part of its bandwidth, the higher one of its directions and of what running streams need.", func() float64 {
		s := g.link.Status()
		return max(s.Sent, s.Received, s.Expected)
	})
	rec.RegisterGauge("kingcup_gateway_link_delay_seconds", "Estimated time for which written bytes wait for the VM's link.", func() float64 { return float64(g.link.Status().DelayMs) / 1000 })
	rec.RegisterGauge("kingcup_gateway_link_level", "What the gateway takes on: 0 everything, 1 no new connections, 2 no new streams either.", func() float64 { return float64(g.link.Level()) })
	rec.RegisterGauge("kingcup_gateway_timer_delay_seconds", "By how much the last timers were late, which shows that the processor does not keep up.", func() float64 { return float64(g.link.Status().TimerDelayMs) / 1000 })
	rec.RegisterGauge("kingcup_gateway_refusing_seconds", "Time since the start in which new connections were refused, as the VM was busy.", func() float64 { return g.link.Status().RefusedSeconds })
}
