package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRegistrars is the number of other processes in the table from which on a process
	// leaves the writing of its row to them. Of fewer, the process might ask one that has
	// ended.
	minRegistrars = 4
	// askTime is how long a process waits for a peer to write its row. A row written by a peer
	// comes back through the table within about a second.
	askTime = 2 * time.Second
	// maxAskJitter spreads the own writes of processes whose peers have all failed to write
	// their rows.
	maxAskJitter = time.Second
	// rewriteInterval is the least time between two own writes of the row.
	rewriteInterval = 2 * time.Second
)

// Action is what a process does for its row.
type Action int

// The actions.
const (
	// Wait means that there is nothing to do now.
	Wait Action = iota
	// Ask means that the process asks the registrar to write its row.
	Ask
	// Write means that the process writes its row itself.
	Write
)

// Registration decides how the row of a process comes into the table when it is missing there,
// after the first start of the process or after the store was restored from an older copy. It
// is not safe for concurrent use.
type Registration struct {
	self string
	// missingSince is the time since which the row is missing, 0 if it is in the table.
	missingSince time.Duration
	// jitter is added to askTime.
	jitter  time.Duration
	wroteAt time.Duration
	// registrar is the peer that was asked last. Another one is asked only when the link to it
	// is gone, as both would write the row.
	registrar string
}

// NewRegistration returns the registration of a process. random is in [0, 1).
func NewRegistration(self string, random float64) *Registration {
	return &Registration{self: self, jitter: time.Duration(random * float64(maxAskJitter))}
}

// Next returns what to do now. isRegistered says that the table has the row, tableSize is the
// number of other processes in the table as far as it is known, linked are the peers that get
// this process's messages. registrar is the peer to ask, empty unless the action is Ask.
//
// All processes rank the peers in the same order, so that each of a few registrars writes the rows
// of many.
func (r *Registration) Next(now time.Duration, isRegistered bool, tableSize int, linked []string) (action Action, registrar string) {
	if isRegistered {
		r.missingSince, r.wroteAt, r.registrar = 0, 0, ""
		return Wait, ""
	}
	if r.missingSince == 0 {
		r.missingSince = now
	}
	if r.wroteAt > 0 && now-r.wroteAt < rewriteInterval {
		return Wait, ""
	}
	if tableSize < minRegistrars || now-r.missingSince >= askTime+r.jitter {
		return r.write(now)
	}
	if len(linked) == 0 {
		return Wait, ""
	}
	if !slices.Contains(linked, r.registrar) {
		r.registrar = slices.MinFunc(append([]string{r.self}, linked...), compareRanks)
	}
	if r.registrar == r.self {
		return r.write(now)
	}
	return Ask, r.registrar
}

func (r *Registration) write(now time.Duration) (Action, string) {
	r.wroteAt = now
	return Write, ""
}

// compareRanks orders processes by their rank as registrars. The order is independent of that of
// the keys: the processes that a starting one knows are those that follow it there.
func compareRanks(a, b string) int { return cmp.Compare(rank(a), rank(b)) }

func rank(name string) uint64 { return hash("registrar/" + name) }

const (
	// MaxBatch is the number of rows that a registrar writes at once; the store takes no more
	// in a transaction.
	MaxBatch = 100
	// batchTime is how long a registrar waits for the rows of further peers after the first one.
	batchTime = 300 * time.Millisecond
	// repeatTime is how long a registrar does not write the same row again. Until the row
	// has come back through the table, its process asks with every state.
	repeatTime = 2 * time.Second
	// maxPending bounds the rows that wait. A process whose row does not fit asks again.
	maxPending = 1000
)

// Registrar collects the rows that peers ask this process to write. It is not safe for
// concurrent use.
type Registrar[Row any] struct {
	pending   map[string]Row
	pendingAt time.Duration
	written   map[string]time.Duration
}

// NewRegistrar returns an empty registrar.
func NewRegistrar[Row any]() *Registrar[Row] {
	return &Registrar[Row]{pending: make(map[string]Row), written: make(map[string]time.Duration)}
}

// AddOwn adds the row of the registrar itself. It is written at once, with those that wait: the
// processes that start next find it.
func (r *Registrar[Row]) AddOwn(name string, row Row, now time.Duration) {
	r.pending[name] = row
	r.pendingAt = now - batchTime
}

// Add adds the row of a peer, unless it has just been written.
func (r *Registrar[Row]) Add(name string, row Row, now time.Duration) {
	if at, ok := r.written[name]; ok && now-at < repeatTime || len(r.pending) >= maxPending {
		return
	}
	if len(r.pending) == 0 {
		r.pendingAt = now
	}
	r.pending[name] = row
}

// ForgetWritten makes every row be written when it is asked for, however recently it was written
// before: the store has been restored from an older copy.
func (r *Registrar[Row]) ForgetWritten() { clear(r.written) }

// Take returns the rows to write now, at most MaxBatch, and nil if none are due.
func (r *Registrar[Row]) Take(now time.Duration) map[string]Row {
	if len(r.pending) == 0 || now-r.pendingAt < batchTime && len(r.pending) < MaxBatch {
		return nil
	}
	for name, at := range r.written {
		if now-at >= repeatTime {
			delete(r.written, name)
		}
	}
	batch := make(map[string]Row, min(len(r.pending), MaxBatch))
	for name, row := range r.pending {
		if len(batch) == MaxBatch {
			break
		}
		batch[name] = row
		r.written[name] = now
		delete(r.pending, name)
	}
	r.pendingAt = now
	return batch
}
