package peers

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"kingcupplank.example/kingcup/internal/mux"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// ErrNoLink says that there is no link to the peer asked.
var ErrNoLink = errors.New("no link to the peer")

const (
	// answerTimeout is how long a peer may take to answer: encoding 20,000 routes takes
	// some 0.1 s of a whole core.
	answerTimeout = 600 * time.Millisecond
	// partTimeout is how long nothing may come in within an answer; as long as the store
	// may be silent.
	partTimeout = 600 * time.Millisecond
	// burst is how many bytes are sent in one go: 6.5 ms of a link of 10 Mbit/s, which an
	// event of a stream waits at most behind them. A part is smaller.
	burst = 8 << 10
	// linkShare is the part of the asker's link that an answer may take, so that callers'
	// streams pass beside it.
	linkShare = 0.8
	// maxParts bounds what is taken of an answer: 20,000 routes take 51 parts.
	maxParts = 10_000
)

// AnswerHandler takes an answer as it comes in. An error ends the fetch.
type AnswerHandler interface {
	Head(*peerv1.Change) error
	Part([]byte) error
}

// Fetch asks a peer for what this gateway is behind in. Errors: ErrNoLink, the taker's, or
// why the peer's answer did not come to its end.
func (m *Manager) Fetch(ctx context.Context, peer string, ask *peerv1.Fetch, taker AnswerHandler) error {
	session := m.session(peer)
	if session == nil {
		return ErrNoLink
	}
	stream, err := session.OpenStream()
	if err != nil {
		return errors.Wrap(ErrNoLink, err.Error())
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	stream.SetDeadline(time.Now().Add(answerTimeout))
	if err := mux.WriteFrame(stream, ask); err != nil {
		return errors.Wrap(err, "ask peer")
	}
	frames := mux.NewFrameReader(stream)
	head := &peerv1.Change{}
	if err := frames.Read(head); err != nil {
		return errors.Wrap(err, "answer of a peer")
	}
	if head.GetParts() > maxParts {
		return errAnswerSize
	}
	if err := taker.Head(head); err != nil {
		return err
	}
	for i := range head.GetParts() {
		stream.SetReadDeadline(time.Now().Add(partTimeout))
		part := &peerv1.Part{}
		if err := frames.Read(part); err != nil {
			return errors.Wrapf(err, "part %d of an answer", i)
		}
		if err := taker.Part(part.GetData()); err != nil {
			return err
		}
	}
	return nil
}

var errAnswerSize = errors.New("answer of a peer is too large")

// serve answers what a peer asks for on a link, whoever has dialed it.
func (m *Manager) serve(ctx context.Context, session *yamux.Session) {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		m.wg.Go(func() {
			defer stream.Close()
			if err := m.answer(ctx, stream); err != nil {
				m.Log.WithError(err).Info("a peer's question is not answered")
			}
		})
	}
}

func (m *Manager) answer(ctx context.Context, stream net.Conn) error {
	stream.SetDeadline(time.Now().Add(answerTimeout))
	ask := &peerv1.Fetch{}
	if err := mux.NewFrameReader(stream).Read(ask); err != nil {
		return errors.Wrap(err, "question of a peer")
	}
	head, parts, err := m.Answer(ask)
	if err != nil {
		return err
	}
	if err := mux.WriteFrame(stream, head); err != nil {
		return errors.Wrap(err, "answer a peer")
	}
	pace := rate.NewLimiter(rate.Inf, burst)
	if mbps := ask.GetLinkMbps(); mbps > 0 {
		pace.SetLimit(rate.Limit(linkShare * mbps * 1e6 / 8))
	}
	for _, part := range parts {
		if err := pace.WaitN(ctx, min(len(part), burst)); err != nil {
			return err
		}
		stream.SetWriteDeadline(time.Now().Add(partTimeout))
		if err := mux.WriteFrame(stream, &peerv1.Part{Data: part}); err != nil {
			return errors.Wrap(err, "answer a peer")
		}
		m.sent(CauseAnswer, len(part))
	}
	return nil
}
