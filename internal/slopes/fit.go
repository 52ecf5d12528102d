// Package slopes measures what one more watched agent, stream, team, row or
// heartbeat costs, so that docs/CAPACITY.md can be worked out from figures.
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

// Fit fits a line.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy, most float64
	for _, p := range points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
		most = max(most, math.Abs(p.Cost))
	}
	l := Line{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.Intercept = (sy - l.Slope*sx) / n
	for _, p := range points {
		l.Residual = max(l.Residual, math.Abs(p.Cost-l.Intercept-l.Slope*p.Size)/most)
	}
	return l
}

// cpu is the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory is the heap and stack in use after a collection, in bytes.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// counted is a network on loopback that counts what its dialing side sends and
// receives.
type counted struct {
	wire.TCP
	// Bytes and segments in both directions.
	bytes, segments atomic.Int64
}

// segmentOverhead is the IP and TCP header of a segment, with timestamps.
const segmentOverhead = 52

// onWire is what the counted traffic takes on the wire: headers are counted
// for each write and for the acknowledgement that answers it.
func (c *counted) onWire() float64 {
	return float64(c.bytes.Load() + 2*segmentOverhead*c.segments.Load())
}

// Dial implements wire.Network.
func (c *counted) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

type countedConn struct {
	net.Conn
	c *counted
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.bytes.Add(int64(n))
	c.c.segments.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.c.bytes.Add(int64(n))
	c.c.segments.Add(1)
	return n, err
}
