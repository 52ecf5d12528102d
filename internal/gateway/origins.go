package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"kingcupplank.example/kingcup/internal/clock"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/origin"
	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
)

const (
	// originOwners is the number of gateways that own the origin of a stream, chosen by its id: any
	// gateway to which its caller returns knows whom to ask. spareOwners are asked besides, as one of
	// the others may have been down, or the gateways may not have known the same members.
	originOwners, spareOwners = 3, 2
	// originTimeout bounds one attempt to send an origin, lookupTimeout a lookup. Callers accept a
	// longer pause before the next event of a stream that broke.
	originTimeout, lookupTimeout = 300 * time.Millisecond, 250 * time.Millisecond
	// maxOriginCalls bounds the origins that are being sent, and the lookups.
	maxOriginCalls = 64
)

// maxOriginText bounds the names of services and versions that a peer sends, in bytes.
const maxOriginText = 256

// Errors of requests of peers.
var (
	errOriginID   = errors.New("the id of the stream has the wrong length")
	errOriginText = errors.New("the service or the version is too long")
)

// sharedOrigins keeps the origins of streams together with the other gateways. It implements relay.Origins and
// is safe for concurrent use; no other lock is taken while mu is locked.
type sharedOrigins struct {
	group *group

	mu    sync.Mutex
	table *origin.Table

	// sending and looking bound the calls in progress.
	sending, looking chan struct{}
	// failures bounds the log lines about origins that could not be sent, asking the requests by which this gateway
	// asks whether there is one version only.
	failures, asking rate.Sometimes
}

var _ relay.Origins = (*sharedOrigins)(nil)

func newSharedOrigins(g *group) *sharedOrigins {
	return &sharedOrigins{
		asking: rate.Sometimes{Interval: time.Second},
		group:  g, table: origin.NewTable(), sending: make(chan struct{}, maxOriginCalls), looking: make(chan struct{}, maxOriginCalls),
		failures: rate.Sometimes{First: 20, Interval: time.Second},
	}
}

// Record implements relay.Origins.
func (s *sharedOrigins) Record(id origin.ID, o origin.Origin, lifetime, span time.Duration) {
	s.record(id, o, lifetime)
	select {
	case s.sending <- struct{}{}:
	default:
		s.logUnsent("too many origins are being sent")
		return
	}
	go func() {
		defer func() { <-s.sending }()
		s.send(id, o, lifetime, span)
	}()
}

func (s *sharedOrigins) record(id origin.ID, o origin.Origin, lifetime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Record(id, o, lifetime, clock.SinceBoot())
}

func (s *sharedOrigins) logUnsent(cause string) {
	s.failures.Do(func() {
		s.group.log.WithField("cause", cause).Warn("origin of a stream was not sent to the gateways that own it")
	})
}

// send sends an origin to its owners, and to a spare one for each that does not answer.
func (s *sharedOrigins) send(id origin.ID, o origin.Origin, lifetime, span time.Duration) {
	request := &peerv1.Fetch{Record: []*peerv1.Origin{originMessage(id, o, lifetime)}}
	s.asking.Do(func() {
		request.Lookup = &peerv1.Lookup{Id: id[:], Service: o.Service, SpanMs: span.Milliseconds()}
	})
	owners := s.group.links.Owners(string(id[:]), originOwners+spareOwners)
	first, spare := owners[:min(originOwners, len(owners))], owners[min(originOwners, len(owners)):]
	var wg sync.WaitGroup
	failed := make(chan struct{}, len(first))
	for _, owner := range first {
		wg.Go(func() {
			if s.sendTo(owner, request) != nil {
				failed <- struct{}{}
			}
		})
	}
	wg.Wait()
	missing := len(failed)
	for _, owner := range spare {
		if missing > 0 && s.sendTo(owner, request) == nil {
			missing--
		}
	}
	if missing == len(first) {
		s.logUnsent("no owner answers")
	}
}

func (s *sharedOrigins) sendTo(owner string, request *peerv1.Fetch) error {
	if owner == s.group.self.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	_, err := s.exchange(ctx, owner, request)
	return err
}

// exchange sends a request to an owner. If the answer vouches for one version, this gateway need not have watched
// the servers for as long itself.
func (s *sharedOrigins) exchange(ctx context.Context, owner string, request *peerv1.Fetch) (*peerv1.LookupAnswer, error) {
	asked := clock.SinceBoot()
	head, err := s.group.links.Exchange(ctx, owner, request)
	if err != nil {
		return nil, err
	}
	if version := head.GetLookup().GetOnlyVersion(); version != "" {
		s.group.registry.Vouch(request.GetLookup().GetService(), version, boundedMillis(request.GetLookup().GetSpanMs()), asked, clock.SinceBoot())
	}
	return head.GetLookup(), nil
}

// Lookup implements relay.Origins. It asks all owners at once; the first that knows the origin decides.
func (s *sharedOrigins) Lookup(ctx context.Context, q relay.OriginQuery) relay.OriginAnswer {
	if o, known := s.lookup(q.ID); known {
		return relay.OriginAnswer{Origin: o, Known: true, From: "own record"}
	}
	select {
	case s.looking <- struct{}{}:
		defer func() { <-s.looking }()
	default:
		return relay.OriginAnswer{From: "nobody, too many lookups"}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request := &peerv1.Fetch{Lookup: &peerv1.Lookup{Id: q.ID[:], Service: q.Service, SpanMs: q.Span.Milliseconds()}}
	owners := s.group.links.Owners(string(q.ID[:]), originOwners+spareOwners)
	answers := make(chan relay.OriginAnswer, len(owners))
	for _, owner := range owners {
		go func() { answers <- s.ask(ctx, owner, request) }()
	}
	best := relay.OriginAnswer{From: "nobody"}
	for range owners {
		switch a := <-answers; {
		case a.Known:
			s.record(q.ID, a.Origin, q.Lifetime)
			if _, known := s.lookup(q.ID); !known {
				return relay.OriginAnswer{From: "own record, contradicted by " + a.From}
			}
			return a
		case a.OnlyVersion != "":
			best = a
		}
	}
	return best
}

// ask asks one owner for an origin.
func (s *sharedOrigins) ask(ctx context.Context, owner string, request *peerv1.Fetch) relay.OriginAnswer {
	if owner == s.group.self.Name {
		return relay.OriginAnswer{}
	}
	a, err := s.exchange(ctx, owner, request)
	if err != nil {
		return relay.OriginAnswer{}
	}
	o := origin.Origin{Service: a.GetOrigin().GetService(), SoftwareVersion: a.GetOrigin().GetSoftwareVersion()}
	return relay.OriginAnswer{Origin: o, Known: o.SoftwareVersion != "", OnlyVersion: a.GetOnlyVersion(), From: owner}
}

func (s *sharedOrigins) lookup(id origin.ID) (origin.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Lookup(id, clock.SinceBoot())
}

// serve answers a peer that sends origins or asks for one.
func (s *sharedOrigins) serve(req *peerv1.Fetch) (*peerv1.Change, error) {
	for _, m := range req.GetRecord() {
		id, err := originID(m.GetId())
		if err != nil {
			return nil, err
		}
		if len(m.GetService()) > maxOriginText || len(m.GetSoftwareVersion()) > maxOriginText {
			return nil, errOriginText
		}
		s.record(id, origin.Origin{Service: m.GetService(), SoftwareVersion: m.GetSoftwareVersion()}, boundedMillis(m.GetLifetimeMs()))
	}
	if req.GetLookup() == nil {
		return &peerv1.Change{}, nil
	}
	id, err := originID(req.GetLookup().GetId())
	if err != nil {
		return nil, err
	}
	answer := &peerv1.LookupAnswer{}
	if o, known := s.lookup(id); known {
		answer.Origin = originMessage(id, o, 0)
	}
	span := boundedMillis(req.GetLookup().GetSpanMs())
	answer.OnlyVersion, _ = s.group.registry.OnlyVersion(req.GetLookup().GetService(), span, clock.SinceBoot())
	return &peerv1.Change{Lookup: answer}, nil
}

// boundedMillis converts a time that a peer names, which is bounded by origin.MaxLifetime.
func boundedMillis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), origin.MaxLifetime.Milliseconds())) * time.Millisecond
}

func originMessage(id origin.ID, o origin.Origin, lifetime time.Duration) *peerv1.Origin {
	return &peerv1.Origin{Id: id[:], Service: o.Service, SoftwareVersion: o.SoftwareVersion, LifetimeMs: lifetime.Milliseconds()}
}

func originID(b []byte) (id origin.ID, err error) {
	if len(b) != len(id) {
		return id, errOriginID
	}
	copy(id[:], b)
	return id, nil
}

// isOriginRequest reports whether a request of a peer is about origins of streams.
func isOriginRequest(req *peerv1.Fetch) bool {
	return len(req.GetRecord()) > 0 || req.GetLookup() != nil
}
