// Package intake decides which clients a process keeps in memory when it serves clients that it does not control: how
// many connections may be open, and how many bytes the requests that are coming or in progress may hold.
//
// Each client is charged for its connection and for what its request holds. Where a charge does not fit, clients that
// have not sent a complete request yield, those first that have sent least lately: they cost memory and may never end. A
// complete request never yields. Small requests may use memory that large ones may not, so that ordinary requests go on
// beside a crowd of large ones. A large request that is alone is always taken.
//
// The package has no I/O, clock or goroutine; times are arguments, as time since any fixed moment.
package intake

import (
	"cmp"
	"time"
)

const (
	// ClientBytes is the memory of a connection without a request, in bytes: buffers, stack and bookkeeping.
	ClientBytes = 16 << 10
	// SmallBytes is what a small request holds at most, in bytes.
	SmallBytes = 64 << 10
	// DefaultPatience is Limits.Patience if that is 0.
	DefaultPatience = time.Second
	// slowBytes are the bytes within rateWindow and the one before it below which a client is slow.
	slowBytes  = 16 << 10
	rateWindow = time.Second
)

// Limits bound what clients use.
type Limits struct {
	// Connections bounds the connections, 0 for no bound.
	Connections int
	// Bytes bounds the memory of all clients in bytes, LargeBytes the part of it that requests of more than SmallBytes
	// may hold. 0 is no bound.
	Bytes, LargeBytes int64
	// LoneBytes bounds the only client that holds a large request where it is more than LargeBytes, 0 for no bound.
	LoneBytes int64
	// Patience is how long a client may be silent or slow before it yields.
	Patience time.Duration
}

const (
	// clientShare and largeShare are the parts of a process's memory for Bytes and LargeBytes. The rest is for tables,
	// connections to servers and memory that is not collected yet.
	clientShare, largeShare = 0.375, 0.125
)

// LimitsFor returns the limits of a process with memory bytes and a number of connections.
func LimitsFor(memory int64, connections int) Limits {
	return Limits{Connections: connections, Bytes: int64(clientShare * float64(memory)), LargeBytes: int64(largeShare * float64(memory))}
}

// phase is what a client does.
type phase int

const (
	// fresh: it has sent nothing. idle: its last request is answered.
	fresh phase = iota
	idle
	// receiving: a part of a request has come.
	receiving
	// serving: the request is complete and in progress.
	serving
	// gone: it has yielded, was refused or has left.
	gone
)

// Client is one connection or, where requests share a connection, one request. Its methods are those of Table.
type Client struct {
	phase phase
	// hasHead is set once the head of the present request has come.
	hasHead bool
	// since is when the phase began.
	since time.Duration
	// held are the bytes charged beyond ClientBytes.
	held int64
	// windowStart is the begin of the present window of the rate. previous and current are the bytes received in the
	// last and in the present one.
	windowStart       time.Duration
	previous, current int64
}

// HasYielded reports whether the client's connection has to be closed, or its request refused.
func (c *Client) HasYielded() bool { return c.phase == gone }

// IsServing reports whether a complete request of the client is in progress.
func (c *Client) IsServing() bool { return c.phase == serving }

func (c *Client) isLarge() bool { return c.held > SmallBytes }

// recent returns the bytes received lately.
func (c *Client) recent(now time.Duration) int64 {
	switch age := now - c.windowStart; {
	case age < rateWindow:
		return c.previous + c.current
	case age < 2*rateWindow:
		return c.current
	}
	return 0
}

// Table is the account of a process's clients. It is not safe for concurrent use.
type Table struct {
	limits  Limits
	clients map[*Client]struct{}
	// bytes are charged to all clients, largeBytes to large ones, of which there are larges.
	bytes, largeBytes int64
	larges            int
}

// NewTable returns a table without clients.
func NewTable(l Limits) *Table { return &Table{limits: l, clients: make(map[*Client]struct{})} }

// SetLimits replaces the limits. Clients beyond new ones yield as room is needed.
func (t *Table) SetLimits(l Limits) { t.limits = l }

// Len returns the number of clients, Bytes what is charged to them.
func (t *Table) Len() int     { return len(t.clients) }
func (t *Table) Bytes() int64 { return t.bytes }

// Open adds a client. It returns nil if there is no room. Those in yielded have to be ended.
func (t *Table) Open(now time.Duration) (c *Client, yielded []*Client) {
	isFull := func() bool {
		return t.limits.Connections > 0 && len(t.clients) >= t.limits.Connections || t.exceeds(ClientBytes)
	}
	for isFull() {
		v := t.slowest(now, false)
		if v == nil {
			v = t.longestIdle(now)
		}
		if v == nil {
			return nil, yielded
		}
		t.yield(v)
		yielded = append(yielded, v)
	}
	c = &Client{since: now, windowStart: now}
	t.clients[c] = struct{}{}
	t.bytes += ClientBytes
	return c, yielded
}

// Receive records that n bytes of a client's request have come.
func (t *Table) Receive(c *Client, n int, now time.Duration) {
	if c.phase == fresh || c.phase == idle {
		c.phase, c.since = receiving, now
	}
	if age := now - c.windowStart; age >= rateWindow {
		c.previous = 0
		if age < 2*rateWindow {
			c.previous = c.current
		}
		c.current, c.windowStart = 0, now
	}
	c.current += int64(n)
}

// Charge charges n more bytes to a client. If there is no room, it charges nothing and returns false: the request has
// to be refused. Those in yielded have to be ended.
func (t *Table) Charge(c *Client, n int64, now time.Duration) (isCharged bool, yielded []*Client) {
	if c.phase == gone {
		return false, nil
	}
	isLarge := c.held+n > SmallBytes
	for !t.hasRoom(c, n) {
		v := t.slowestBut(c, now, isLarge && !t.exceeds(n))
		if v == nil && !isLarge {
			if v = t.longestIdle(now); v == nil {
				v = t.largest()
			}
		}
		if v == nil {
			return false, yielded
		}
		t.yield(v)
		yielded = append(yielded, v)
	}
	t.add(c, n)
	return true, yielded
}

// hasRoom reports whether n more bytes may be charged to a client.
func (t *Table) hasRoom(c *Client, n int64) bool {
	if c.held+n <= SmallBytes {
		return !t.exceeds(n)
	}
	others, otherBytes := t.larges, t.largeBytes
	if c.isLarge() {
		others, otherBytes = others-1, otherBytes-c.held
	}
	if others == 0 {
		return t.limits.LoneBytes <= 0 || c.held+n <= max(t.limits.LargeBytes, t.limits.LoneBytes)
	}
	return !t.exceeds(n) && (t.limits.LargeBytes <= 0 || otherBytes+c.held+n <= t.limits.LargeBytes)
}

func (t *Table) exceeds(n int64) bool { return t.limits.Bytes > 0 && t.bytes+n > t.limits.Bytes }

// Release takes back a charge of n bytes.
func (t *Table) Release(c *Client, n int64) {
	if c.phase != gone {
		t.add(c, -min(n, c.held))
	}
}

// SetHeld replaces what is charged to a client by n bytes, for which there is room already.
func (t *Table) SetHeld(c *Client, n int64) {
	if c.phase != gone {
		t.add(c, n-c.held)
	}
}

// add adds n bytes to what a client holds.
func (t *Table) add(c *Client, n int64) {
	t.countLarge(c, -1)
	c.held += n
	t.bytes += n
	t.countLarge(c, 1)
}

func (t *Table) countLarge(c *Client, sign int) {
	if c.isLarge() {
		t.larges += sign
		t.largeBytes += int64(sign) * c.held
	}
}

// BeginBody records that the head of a client's request has come.
func (t *Table) BeginBody(c *Client) { c.hasHead = true }

// Complete records that the whole request of a client has come. It returns false if the client has yielded before.
func (t *Table) Complete(c *Client, now time.Duration) bool {
	if c.phase == gone {
		return false
	}
	c.phase, c.since = serving, now
	return true
}

// SetServing sets whether a client that has several requests side by side has a complete one in progress. While it has
// none, it may yield.
func (t *Table) SetServing(c *Client, isServing bool, now time.Duration) {
	switch {
	case c.phase == gone || isServing == (c.phase == serving):
	case isServing:
		c.phase, c.since = serving, now
	case c.held > 0:
		c.phase, c.since = receiving, now
	default:
		c.phase, c.since = idle, now
	}
}

// Finish records that the request of a client has its response, and releases what it held.
func (t *Table) Finish(c *Client, now time.Duration) {
	if c.phase != gone {
		t.add(c, -c.held)
		c.phase, c.since, c.hasHead = idle, now, false
	}
}

// Close removes a client that has left or was refused.
func (t *Table) Close(c *Client) {
	if c.phase != gone {
		t.yield(c)
	}
}

// YieldBodies makes all clients yield of whose request only a part of the body has come, and returns them.
func (t *Table) YieldBodies() (yielded []*Client) {
	for c := range t.clients {
		if c.phase == receiving && c.hasHead {
			yielded = append(yielded, c)
		}
	}
	for _, c := range yielded {
		t.yield(c)
	}
	return yielded
}

// yield removes a client.
func (t *Table) yield(c *Client) {
	t.add(c, -c.held)
	t.bytes -= ClientBytes
	delete(t.clients, c)
	c.phase = gone
}

// slowest returns the slow client without a complete request that has sent least lately, of those the one that has been
// so for longest, nil if there is none.
func (t *Table) slowest(now time.Duration, onlyLarge bool) *Client {
	return t.slowestBut(nil, now, onlyLarge)
}

// isSlow reports whether a client has had its time and has sent little lately.
func (t *Table) isSlow(c *Client, now time.Duration) bool {
	return now-c.since >= t.patience() && c.recent(now) < slowBytes
}

func (t *Table) patience() time.Duration { return cmp.Or(t.limits.Patience, DefaultPatience) }

func (t *Table) slowestBut(except *Client, now time.Duration, onlyLarge bool) (v *Client) {
	return t.first(func(c *Client) bool {
		return c != except && (c.phase == receiving || c.phase == fresh) && t.isSlow(c, now) && (!onlyLarge || c.isLarge())
	}, func(a, b *Client) bool {
		ra, rb := a.recent(now), b.recent(now)
		return ra < rb || ra == rb && a.since < b.since
	})
}

// longestIdle returns the client that has been without a request for longest, nil if none was so for long.
func (t *Table) longestIdle(now time.Duration) *Client {
	return t.first(func(c *Client) bool { return c.phase == idle && now-c.since >= t.patience() }, func(a, b *Client) bool { return a.since < b.since })
}

// largest returns the client with the largest part of a large request, nil if there is none.
func (t *Table) largest() *Client {
	return t.first(func(c *Client) bool { return c.phase == receiving && c.isLarge() }, func(a, b *Client) bool { return a.held > b.held })
}

// first returns the first client in the order of before of those that are eligible.
func (t *Table) first(isEligible func(*Client) bool, before func(a, b *Client) bool) (v *Client) {
	for c := range t.clients {
		if isEligible(c) && (v == nil || before(c, v)) {
			v = c
		}
	}
	return v
}
