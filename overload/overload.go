// Package overload decides when a process turns work away because the link of its VM or its processor cannot carry
// more.
//
// Callers whose connection is refused, or closed before their request is read, may try another process at once. So
// a process that gets more than it can carry keeps what it has accepted and refuses further connections.
//
// The package has no I/O, clock or goroutine; times are arguments.
package overload

import (
	"math"
	"time"
)

const (
	// useWindow is the time constant of the average use of a link.
	useWindow = 250 * time.Millisecond
	// maxDelay bounds the estimated delay of bytes that wait for the link.
	maxDelay = 10 * time.Second
)

// Direction estimates the use of one direction of a link from the number of bytes that were written to it or
// read from it. It is not safe for concurrent use.
type Direction struct {
	bytesPerSecond float64
	total          uint64
	updatedAt      time.Duration
	// rate is the moving average of the bytes a second, backlog the number of bytes that wait.
	rate, backlog float64
	isBegun       bool
}

// NewDirection returns the estimate for a bandwidth in Mbit/s, 0 if it is not known. Then it has no use and no
// delay.
func NewDirection(mbps float64) *Direction { return &Direction{bytesPerSecond: mbps * 1e6 / 8} }

// Observe records the total number of bytes so far.
func (d *Direction) Observe(total uint64, now time.Duration) {
	elapsed := (now - d.updatedAt).Seconds()
	if !d.isBegun || elapsed <= 0 {
		if !d.isBegun {
			d.total, d.updatedAt, d.isBegun = total, now, true
		}
		return
	}
	bytes := float64(total - min(total, d.total))
	weight := 1 - math.Exp(-elapsed/useWindow.Seconds())
	d.rate += weight * (bytes/elapsed - d.rate)
	d.backlog = max(0, min(d.backlog+bytes-d.bytesPerSecond*elapsed, d.bytesPerSecond*maxDelay.Seconds()))
	d.total, d.updatedAt = total, now
}

// Use returns the average use as a part of the bandwidth. It can exceed 1 while written bytes wait.
func (d *Direction) Use() float64 {
	if d.bytesPerSecond <= 0 {
		return 0
	}
	return d.rate / d.bytesPerSecond
}

// Share returns bytes a second as a part of the bandwidth.
func (d *Direction) Share(bytesPerSecond float64) float64 {
	if d.bytesPerSecond <= 0 {
		return 0
	}
	return bytesPerSecond / d.bytesPerSecond
}

// Delay returns how long a byte that is written now waits for those before it.
func (d *Direction) Delay() time.Duration {
	if d.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(d.backlog / d.bytesPerSecond * float64(time.Second))
}

// lateSamples is the number of timers that must be late one after the other. A single one may be late because the
// whole VM stood still.
const lateSamples = 3

// Timers measures how late a process's periodic timer fires, which shows whether its processor keeps up. It is not safe
// for concurrent use.
type Timers struct {
	period time.Duration
	last   time.Duration
	late   [lateSamples]time.Duration
	count  int
}

// NewTimers returns the measure for a timer of a period.
func NewTimers(period time.Duration) *Timers { return &Timers{period: period} }

// Fired records that the timer has fired.
func (t *Timers) Fired(now time.Duration) {
	if t.count > 0 {
		t.late[t.count%lateSamples] = max(0, now-t.last-t.period)
	}
	t.last = now
	t.count++
}

// Delay returns by how much all of the last timers were late.
func (t *Timers) Delay() time.Duration {
	if t.count <= lateSamples {
		return 0
	}
	return min(t.late[0], t.late[1], t.late[2])
}

// Load is the load on the link and the processor of a VM.
type Load struct {
	// Sent and Received are the use of the two directions by requests. Expected is the use of either that running
	// requests are expected to reach. What a process reads to be up to date yields to requests and is no reason to
	// refuse any.
	Sent, Received, Expected float64
	// Total is the use of the busier direction by everything.
	Total float64
	// Delay is how long bytes wait that are written now.
	Delay time.Duration
	// TimerDelay is by how much timers are late.
	TimerDelay time.Duration
}

const (
	// busyUse is the use of a link from which on new connections are closed, calmUse the use below which they are
	// accepted again.
	busyUse, calmUse = 0.8, 0.65
	// busyDelay and calmDelay are the same for the delay of written bytes.
	busyDelay, calmDelay = 40 * time.Millisecond, 5 * time.Millisecond
	// saturatedUse and saturatedDelay are the load from which on new streams are refused too. A link that receives
	// all that it can is not above it: what is too much waits in the network.
	saturatedUse, saturatedDelay = 0.92, 100 * time.Millisecond
	// congestedUse and congestedDelay are the load from which on answers come late because of the link.
	congestedUse, congestedDelay = 0.9, 40 * time.Millisecond
	// lateTimers and timelyTimers are the delays of timers from which on the processor is busy, and below which it is
	// not. With veryLateTimers it is saturated.
	lateTimers, timelyTimers = 100 * time.Millisecond, 30 * time.Millisecond
	veryLateTimers           = 250 * time.Millisecond
)

// Use returns the highest use of the link.
func (l Load) Use() float64 { return max(l.Sent, l.Received, l.Expected) }

// IsCongested reports whether answers of servers come late because of this VM, so that their lateness says
// nothing about the servers.
func (l Load) IsCongested() bool {
	return l.Delay >= congestedDelay || max(l.Sent, l.Received, l.Total) >= congestedUse || l.TimerDelay >= lateTimers
}

func (l Load) isBusy() bool {
	return l.Use() >= busyUse || l.Delay >= busyDelay || l.TimerDelay >= lateTimers
}

func (l Load) isCalm() bool {
	return l.Use() < calmUse && l.Delay < calmDelay && l.TimerDelay < timelyTimers
}

func (l Load) isSaturated() bool {
	return l.Use() >= saturatedUse || l.Delay >= saturatedDelay || l.TimerDelay >= veryLateTimers
}

// Level is what a process still takes on.
type Level int

// The levels.
const (
	// Normal: everything.
	Normal Level = iota
	// Busy: requests on the connections that are open. New connections are refused.
	Busy
	// Saturated: of these only requests with short answers. New streams, which take the link for long, are
	// refused.
	Saturated
)

// String returns the name of the level in logs.
func (l Level) String() string { return [...]string{"normal", "busy", "saturated"}[l] }

// Gate holds the level. Hysteresis keeps it from changing with every burst. It is not safe for concurrent use.
type Gate struct{ level Level }

// Update returns the level for a load.
func (g *Gate) Update(load Load) Level {
	switch {
	case load.isSaturated():
		g.level = Saturated
	case load.isBusy():
		g.level = Busy
	case load.isCalm():
		g.level = Normal
	case g.level == Saturated:
		g.level = Busy
	}
	return g.level
}

// Level returns the present level.
func (g *Gate) Level() Level { return g.level }
