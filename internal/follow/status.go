package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/wait"
)

func (f *Follower) failed(ctx context.Context, err error) {
	f.mu.Lock()
	if errors.Is(err, ErrHistoryLost) {
		f.log.WithField("revision", f.revision.String()).Warn("feed has a gap, reading the table anew")
		f.synced, f.begun = false, f.now()
		f.mu.Unlock()
		return
	}
	log := f.log.WithError(err).WithFields(fieldsOf(err)).WithField("revision", f.revision.String())
	if f.failures == 0 {
		log.Warn("store is lost")
	} else {
		// One call fails after the other, each for itself: what it had received tells an
		// answer that is given up too early from a store that does not answer. backoff
		// bounds the lines.
		log.WithField("failures", f.failures).Info("store is still lost")
	}
	pause := backoff.Delay(f.failures, rand.Float64())
	f.failures++
	f.mu.Unlock()
	wait.For(ctx, pause)
}

// fieldsOf are what an error says for a log line beside its text.
func fieldsOf(err error) logrus.Fields {
	var detailed interface{ LogFields() map[string]any }
	if errors.As(err, &detailed) {
		return detailed.LogFields()
	}
	return nil
}

// HasTable reports whether the table has been read. It may be out of date since.
func (f *Follower) HasTable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.filled
}

// IsUnavailable reports whether the table cannot be read, here or by others.
func (f *Follower) IsUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.now() - f.made
	return f.synced && (age > f.cfg.PollTimeout+silentSlack/2 || f.failures > 0 && age > silentSlack)
}

// StoreTime is the store's steady clock now, as near as the answers so far tell: a
// clock that all processes share to within a few ms. It is false before the first
// answer.
func (f *Follower) StoreTime() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now() - f.offset, f.offsetKnown
}

// StoreReached reports whether the store answered this process last.
func (f *Follower) StoreReached() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures == 0
}

// LastAnswer is the store's steady clock when it last answered this process: now, while a
// long answer comes in.
func (f *Follower) LastAnswer() time.Duration {
	now, known := f.StoreTime()
	if known && f.IsReading() {
		return now
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredAt
}

// Position is how far the sink is, false while it has no whole table.
func (f *Follower) Position() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position(), f.synced
}

// LastPosition is how far the sink is, also while its table is read anew; false before the first. What
// it says of time stays true: the copy gets no newer meanwhile.
func (f *Follower) LastPosition() (Position, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position(), f.filled
}

// position is how far the sink is; mu is held.
func (f *Follower) position() Position {
	return Position{Changed: f.changed, Revision: f.revision, Clock: f.stamp}
}
