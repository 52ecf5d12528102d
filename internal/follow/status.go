package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/wait"
)

// handleFailure logs a failed call to the store and waits before the next one.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.mu.Lock()
	if errors.Is(err, ErrHistoryLost) {
		f.log.WithField("revision", f.revision.String()).Warn("feed has lost the history since the last read, reading the whole table again")
		f.synced, f.withoutSince = false, f.now()
		f.mu.Unlock()
		return
	}
	log := f.log.WithError(err).WithFields(logFields(err)).WithField("revision", f.revision.String())
	if f.failures == 0 {
		log.Warn("store is unavailable")
	} else {
		// Every failed call is logged. How much it had received distinguishes an answer that
		// was cut off too early from a store that does not answer. storeBackoff bounds the
		// number of lines.
		log.WithField("failures", f.failures).Info("store is still unavailable")
	}
	pause := storeBackoff.Delay(f.failures, rand.Float64())
	f.failures++
	f.mu.Unlock()
	wait.For(ctx, pause)
}

// logFields returns the log fields that an error provides in addition to its text.
func logFields(err error) logrus.Fields {
	var detailed interface{ LogFields() map[string]any }
	if errors.As(err, &detailed) {
		return detailed.LogFields()
	}
	return nil
}

// HasTable reports whether the whole table has ever been read. It may be out of date since.
func (f *Follower) HasTable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasTable
}

// IsUnavailable reports whether neither this process nor its peers can read the table.
func (f *Follower) IsUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.now() - f.madeAt
	return f.synced && (age > f.cfg.PollTimeout+silenceMargin/2 || f.failures > 0 && age > silenceMargin)
}

// StoreTime returns an estimate of the store's steady clock from the answers so far. All
// processes share this clock to within a few ms. It returns false before the first answer.
func (f *Follower) StoreTime() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.clockOffset, f.clockOffsetKnown
}

// StoreReached reports whether the store answered the last call of this process.
func (f *Follower) StoreReached() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures == 0
}

// LastAnswer returns the store's steady clock at its last answer to this process. While a
// long answer is arriving, it returns the current time.
func (f *Follower) LastAnswer() time.Duration {
	now, known := f.StoreTime()
	if known && f.IsReading() {
		return now
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredAt
}

// Position returns the position of the sink, and false while it has no synced table.
func (f *Follower) Position() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position(), f.synced
}

// LastPosition returns the position of the sink also while the table is read again, and false
// before the first table. Its Clock is correct in that time too, because the copy does not
// change.
func (f *Follower) LastPosition() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position(), f.hasTable
}

// position returns the position of the sink; mu is held.
func (f *Follower) position() Position {
	return Position{Changed: f.changed, Revision: f.revision, Clock: f.storeClock}
}
