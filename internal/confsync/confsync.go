// Package confsync keeps a process's configuration replica up to date: from
// the platform's store, and from peers while the store is away.
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

// Config sets a Syncer.
type Config struct {
	// PollInterval is the mean time between two looks at the store's head.
	PollInterval time.Duration
	// StaleAfter is how long a process stays ready without confirming its version
	// with the store or a peer.
	StaleAfter time.Duration
}

// Syncer is safe for concurrent use.
type Syncer struct {
	cfg     Config
	replica *conf.Replica
	store   *conf.Store
	log     logrus.FieldLogger
	// confirmed is when the version was last confirmed, in Unix nanoseconds.
	confirmed atomic.Int64
}

// New returns a syncer; store may be nil for processes that only have peers.
func New(cfg Config, replica *conf.Replica, store *conf.Store, log logrus.FieldLogger) *Syncer {
	return &Syncer{cfg: cfg, replica: replica, store: store, log: log}
}

// Replica is the configuration in force.
func (s *Syncer) Replica() *conf.Replica {
	return s.replica
}

// Ready reports whether a version is in force and was confirmed lately.
//
// A process cut off from the store and all peers cannot know of a newer
// version. If it served on, a change would not be in force there within the
// bound; so it says that it is not ready and the balancer passes it by.
func (s *Syncer) Ready() bool {
	if s.replica.Version() == 0 {
		return false
	}
	return time.Since(time.Unix(0, s.confirmed.Load())) <= s.cfg.StaleAfter
}

// MarkConfirmed records that a peer or the store holds no newer version.
func (s *Syncer) MarkConfirmed() {
	s.confirmed.Store(time.Now().UnixNano())
}

// Run polls the store until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for {
		s.Poll(ctx)
		// Jitter keeps a thousand processes that started together from
		// reading the head in one moment.
		wait := s.cfg.PollInterval/2 + rand.N(s.cfg.PollInterval)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// Poll brings the replica to the store's head once.
func (s *Syncer) Poll(ctx context.Context) error {
	if s.store == nil {
		return nil
	}
	before := s.replica.Version()
	if err := s.store.CatchUp(ctx, s.replica); err != nil {
		s.log.WithError(err).Debug("configuration store not read")
		return err
	}
	s.MarkConfirmed()
	if after := s.replica.Version(); after != before {
		s.log.WithField("version", after).Info("configuration in force")
	}
	return nil
}

// StateSince is what a peer that has version have lacks.
func (s *Syncer) StateSince(have uint64) *innerv1.ConfigState {
	st := s.replica.State()
	out := &innerv1.ConfigState{Version: st.Version()}
	deltas, ok := s.replica.DeltasSince(have)
	if ok {
		out.Deltas = deltas
	} else {
		out.Snapshot = st.Snapshot()
	}
	return out
}

// Apply brings what a peer sent into force.
func (s *Syncer) Apply(in *innerv1.ConfigState) {
	if snap := in.GetSnapshot(); snap != nil {
		s.replica.Install(conf.FromSnapshot(snap))
	}
	for _, d := range in.GetDeltas() {
		if err := s.replica.Apply(d); err != nil {
			s.log.WithError(err).Debug("delta from a peer not applied")
			return
		}
	}
	if s.replica.Version() >= in.GetVersion() {
		s.MarkConfirmed()
	}
}

// ServePull answers a peer's ConfigPull.
func (s *Syncer) ServePull(pull *innerv1.ConfigPull, st *wire.Stream) error {
	return s.reply(st, s.StateSince(pull.GetHaveVersion()))
}

// ServePush takes a peer's push and answers with the version that now holds.
func (s *Syncer) ServePush(push *innerv1.ConfigState, st *wire.Stream) error {
	s.Apply(push)
	return s.reply(st, &innerv1.ConfigState{Version: s.replica.Version()})
}

func (s *Syncer) reply(st *wire.Stream, state *innerv1.ConfigState) error {
	return st.Send(&innerv1.Reply{Kind: &innerv1.Reply_ConfigState{ConfigState: state}})
}

const exchangeTimeout = 2 * time.Second

// Push sends a peer that has version have what it lacks, and returns the
// version that it holds afterwards.
func (s *Syncer) Push(sess *wire.Session, have uint64) (uint64, error) {
	open := &innerv1.Open{Kind: &innerv1.Open_ConfigPush{ConfigPush: s.StateSince(have)}}
	reply, err := exchange(sess, open)
	if err != nil {
		return 0, err
	}
	return reply.GetConfigState().GetVersion(), nil
}

// Pull takes what a peer has beyond the version in force.
func (s *Syncer) Pull(sess *wire.Session) error {
	pull := &innerv1.ConfigPull{HaveVersion: s.replica.Version()}
	reply, err := exchange(sess, &innerv1.Open{Kind: &innerv1.Open_ConfigPull{ConfigPull: pull}})
	if err != nil {
		return err
	}
	s.Apply(reply.GetConfigState())
	return nil
}

func exchange(sess *wire.Session, open *innerv1.Open) (*innerv1.Reply, error) {
	st, _, err := sess.Open(open)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	reply := &innerv1.Reply{}
	return reply, st.RecvWithIdleTimeout(reply, exchangeTimeout)
}
