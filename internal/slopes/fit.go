// Package slopes measures the cost of each additional watched agent, stream, team, row and
// heartbeat. docs/CAPACITY.md is computed from these figures.
package slopes

import (
	"context"
	"math"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/wire"
)

// Point is one measurement of a cost at a size.
type Point struct{ Size, Cost float64 }

// Line is a least-squares fit through points.
type Line struct {
	Slope, Intercept float64
	// Residual is the largest distance of a point from the line, relative to
	// the largest cost.
	Residual float64
}

// Fit returns the least-squares fit through points.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy, maxCost float64
	for _, p := range points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
		maxCost = max(maxCost, math.Abs(p.Cost))
	}
	l := Line{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.Intercept = (sy - l.Slope*sx) / n
	for _, p := range points {
		l.Residual = max(l.Residual, math.Abs(p.Cost-l.Intercept-l.Slope*p.Size)/maxCost)
	}
	return l
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// countingNetwork is a loopback network that counts what the dialing side sends and receives.
type countingNetwork struct {
	wire.TCP
	// bytes and segments count both directions.
	bytes, segments atomic.Int64
}

// segmentOverhead is the size of the IP and TCP headers of a segment with timestamps, in bytes.
const segmentOverhead = 52

// wireBytes returns the size of the counted traffic on the wire. Headers are counted for each read or
// write and for its acknowledgment.
func (c *countingNetwork) wireBytes() float64 {
	return float64(c.bytes.Load() + 2*segmentOverhead*c.segments.Load())
}

// Dial implements wire.Network.
func (c *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c}, nil
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	c.network.segments.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	c.network.segments.Add(1)
	return n, err
}
