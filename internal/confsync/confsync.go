// Package confsync keeps a process's configuration replica up to date, from the
// platform's store and, while the store is unavailable, from peers.
package confsync

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/conf"
	"kingcupplank.example/kingcup/internal/wire"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
)

// Config configures a Syncer.
type Config struct {
	// PollInterval is the mean time between two polls of the store's head.
	PollInterval time.Duration
	// StaleAfter is the time without confirmation by the store or a peer after
	// which the replica counts as stale and the process as not ready.
	StaleAfter time.Duration
}

// Syncer synchronizes a configuration replica. It is safe for concurrent use.
type Syncer struct {
	cfg     Config
	replica *conf.Replica
	store   *conf.Store
	log     logrus.FieldLogger
	// confirmedAt is when the store or a peer last confirmed the version, in Unix
	// nanoseconds.
	confirmedAt atomic.Int64
}

// New returns a syncer. store is nil in processes that sync with peers only.
func New(cfg Config, replica *conf.Replica, store *conf.Store, log logrus.FieldLogger) *Syncer {
	return &Syncer{cfg: cfg, replica: replica, store: store, log: log}
}

// Replica returns the replica of the configuration.
func (s *Syncer) Replica() *conf.Replica {
	return s.replica
}

// Ready reports whether the replica has a version that was confirmed within
// Config.StaleAfter.
//
// A process that can reach neither the store nor a peer can't learn of a newer
// version. If it kept serving, it might not apply a change in time. It therefore
// reports that it is not ready, and the load balancer sends it no requests.
func (s *Syncer) Ready() bool {
	if s.replica.Version() == 0 {
		return false
	}
	return time.Since(time.Unix(0, s.confirmedAt.Load())) <= s.cfg.StaleAfter
}

// MarkConfirmed records that the store or a peer has no newer version.
func (s *Syncer) MarkConfirmed() {
	s.confirmedAt.Store(time.Now().UnixNano())
}

// Run polls the store until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for {
		s.Poll(ctx)
		// Without jitter, a thousand processes that started together would read
		// the head at the same moment.
		delay := s.cfg.PollInterval/2 + rand.N(s.cfg.PollInterval)
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
	}
}

// Poll updates the replica to the store's newest version.
func (s *Syncer) Poll(ctx context.Context) error {
	if s.store == nil {
		return nil
	}
	before := s.replica.Version()
	if err := s.store.CatchUp(ctx, s.replica); err != nil {
		s.log.WithError(err).Debug("failed to read the configuration from the store")
		return err
	}
	s.MarkConfirmed()
	if after := s.replica.Version(); after != before {
		s.log.WithField("version", after).Info("configuration in force")
	}
	return nil
}

// StateSince returns the deltas that a peer at that version needs, or a snapshot
// if the replica no longer has all of them.
func (s *Syncer) StateSince(version uint64) *innerv1.ConfigState {
	st := s.replica.State()
	out := &innerv1.ConfigState{Version: st.Version()}
	deltas, ok := s.replica.DeltasSince(version)
	if ok {
		out.Deltas = deltas
	} else {
		out.Snapshot = st.Snapshot()
	}
	return out
}

// Apply applies a snapshot or deltas from a peer to the replica. A delta that
// can't be applied is logged, and the rest is skipped.
func (s *Syncer) Apply(in *innerv1.ConfigState) {
	if snap := in.GetSnapshot(); snap != nil {
		s.replica.Install(conf.FromSnapshot(snap))
	}
	for _, d := range in.GetDeltas() {
		if err := s.replica.Apply(d); err != nil {
			s.log.WithError(err).Debug("failed to apply a configuration delta from a peer")
			return
		}
	}
	if s.replica.Version() >= in.GetVersion() {
		s.MarkConfirmed()
	}
}

// ServePull replies to a peer's ConfigPull with the state that the peer lacks.
func (s *Syncer) ServePull(pull *innerv1.ConfigPull, st *wire.Stream) error {
	return s.sendState(st, s.StateSince(pull.GetHaveVersion()))
}

// ServePush applies a peer's push and replies with this process's version.
func (s *Syncer) ServePush(push *innerv1.ConfigState, st *wire.Stream) error {
	s.Apply(push)
	return s.sendState(st, &innerv1.ConfigState{Version: s.replica.Version()})
}

func (s *Syncer) sendState(st *wire.Stream, state *innerv1.ConfigState) error {
	return st.Send(&innerv1.Reply{Kind: &innerv1.Reply_ConfigState{ConfigState: state}})
}

// exchangeIdleTimeout bounds the time without received data in an exchange with a
// peer.
const exchangeIdleTimeout = 2 * time.Second

// Push sends the state that a peer at peerVersion lacks. It returns the peer's
// version afterwards.
func (s *Syncer) Push(sess *wire.Session, peerVersion uint64) (uint64, error) {
	open := &innerv1.Open{Kind: &innerv1.Open_ConfigPush{ConfigPush: s.StateSince(peerVersion)}}
	reply, err := exchange(sess, open)
	if err != nil {
		return 0, err
	}
	return reply.GetConfigState().GetVersion(), nil
}

// Pull requests the state that this process lacks from a peer and applies it.
func (s *Syncer) Pull(sess *wire.Session) error {
	pull := &innerv1.ConfigPull{HaveVersion: s.replica.Version()}
	reply, err := exchange(sess, &innerv1.Open{Kind: &innerv1.Open_ConfigPull{ConfigPull: pull}})
	if err != nil {
		return err
	}
	s.Apply(reply.GetConfigState())
	return nil
}

// exchange sends open on a new stream and returns the reply.
func exchange(sess *wire.Session, open *innerv1.Open) (*innerv1.Reply, error) {
	st, _, err := sess.Open(open)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	reply := &innerv1.Reply{}
	return reply, st.RecvWithIdleTimeout(reply, exchangeIdleTimeout)
}
