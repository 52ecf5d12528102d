package peers

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"kingcupplank.example/kingcup/internal/mux"
	"kingcupplank.example/kingcup/internal/wait"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

// ErrNoLink says that there is no link to the requested peer.
var ErrNoLink = errors.New("no link to the peer")

const (
	// answerTimeout bounds the time until a peer answers. Encoding 20,000 routes takes
	// some 0.1 s of a whole core.
	answerTimeout = 600 * time.Millisecond
	// partTimeout bounds the time between two parts of an answer. It is as long as the store
	// may send nothing within an answer.
	partTimeout = 600 * time.Millisecond
	// burstBytes is the number of bytes that are sent at once. On a link of 10 Mbit/s they
	// take 6.5 ms, which is how long an event of a stream may be delayed by them. A part is
	// smaller.
	burstBytes = 8 << 10
	// linkShare is the share of the requesting peer's bandwidth that an answer may use. The
	// rest is left to callers' streams.
	linkShare = 0.8
	// maxParts bounds the size of an accepted answer; 20,000 routes take 51 parts.
	maxParts = 10_000
)

// AnswerHandler processes an answer while it arrives: first its head, then each part. An
// error ends the fetch.
type AnswerHandler interface {
	Head(*peerv1.Change) error
	Part([]byte) error
}

// Fetch requests from a peer the changes that this gateway lacks, and passes the answer to
// handler. Errors: ErrNoLink, those of handler, or the reason why the answer is incomplete.
func (m *Manager) Fetch(ctx context.Context, peer string, request *peerv1.Fetch, handler AnswerHandler) error {
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
	frames := mux.NewFrameReader(stream)
	head, err := ask(stream, request, frames)
	if err != nil {
		return err
	}
	if head.GetParts() > maxParts {
		return errAnswerSize
	}
	if err := handler.Head(head); err != nil {
		return err
	}
	for i := range head.GetParts() {
		stream.SetReadDeadline(time.Now().Add(partTimeout))
		part := &peerv1.Part{}
		if err := frames.Read(part); err != nil {
			return errors.Wrapf(err, "read part %d of answer", i)
		}
		if err := handler.Part(part.GetData()); err != nil {
			return err
		}
	}
	return nil
}

var errAnswerSize = errors.New("answer of peer has too many parts")

// serve answers the requests of a peer on a link, which either side may have dialed. It calls onRequest with each request
// and ends the link if that returns false.
func (m *Manager) serve(ctx context.Context, session *yamux.Session, onRequest func() bool) {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		client := m.streams.Open(func() { session.Close() })
		if client == nil {
			// What comes on the stream would stay in the session's memory.
			session.Close()
			return
		}
		m.wg.Go(func() {
			defer m.streams.Close(client)
			defer stream.Close()
			if err := m.serveStream(ctx, session, stream, client, onRequest); err != nil {
				m.Log.WithError(err).Info("request of a peer was not answered")
			}
		})
	}
}

// errCrowded says that an answer is not sent because callers need the link. The peer asks another gateway.
var errCrowded = errors.New("the link is needed for callers")

// awaitBudget waits while this VM is crowded and the budget for control traffic is used up. It returns false if
// that takes too long for the peer.
func (m *Manager) awaitBudget(ctx context.Context) bool {
	if m.IsCrowded == nil || !m.IsCrowded() {
		return true
	}
	m.mu.Lock()
	delay := m.budget.wait(0, time.Now())
	m.mu.Unlock()
	return delay < partTimeout && wait.For(ctx, delay)
}

func (m *Manager) answer(ctx context.Context, stream net.Conn, request *peerv1.Fetch) error {
	head, parts, err := m.Answer(request)
	if err != nil {
		return err
	}
	if err := mux.WriteFrame(stream, head); err != nil {
		return errors.Wrap(err, "write answer to peer")
	}
	limiter := rate.NewLimiter(rate.Inf, burstBytes)
	if mbps := request.GetLinkMbps(); mbps > 0 {
		limiter.SetLimit(rate.Limit(linkShare * mbps * 1e6 / 8))
	}
	for _, part := range parts {
		if err := limiter.WaitN(ctx, min(len(part), burstBytes)); err != nil {
			return err
		}
		if !m.awaitBudget(ctx) {
			return errCrowded
		}
		m.spendTotal(len(part) + frameOverhead)
		stream.SetWriteDeadline(time.Now().Add(partTimeout))
		if err := mux.WriteFrame(stream, &peerv1.Part{Data: part}); err != nil {
			return errors.Wrap(err, "write answer to peer")
		}
		m.countSent(CauseAnswer, len(part))
	}
	return nil
}
