package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/backends"
	"kingcupplank.example/kingcup/origin"
	"kingcupplank.example/kingcup/routing"
)

// Resumption says how the software version of the server at which a stream is resumed relates to
// the version that began the stream.
type Resumption string

// The resumptions.
const (
	// ResumedSameVersion: both versions are the same.
	ResumedSameVersion Resumption = "same version"
	// ResumedOtherVersion: the versions differ, or one of them is unknown.
	ResumedOtherVersion Resumption = "other version"
	// RefusedOriginUnknown: a caller was refused, as it is not known which version began its stream.
	RefusedOriginUnknown Resumption = "refused, origin unknown"
	// RefusedVersionGone: a caller was refused, as no server of the version takes requests.
	RefusedVersionGone Resumption = "refused, version gone"
)

// resumption returns the Resumption of a stream that is resumed at another server.
func resumption(from, to backends.Server) Resumption {
	if from.HasSameSoftware(to) {
		return ResumedSameVersion
	}
	return ResumedOtherVersion
}

// originID returns the id under which the origin of a stream is recorded, also across the attempts with
// which its caller resumes it.
func (j *job) originID() origin.ID {
	if j.LastEventID != "" && j.Resumes != "" {
		return origin.NewID(j.team, j.Resumes)
	}
	return origin.NewID(j.team, j.ID)
}

// resumptionWindow is the time for which a version matters after its last server has been delisted. It doesn't
// depend on the route's timeout, which bounds one attempt: callers may wait longer, and the timeout changes with the
// configuration.
func (r *Relay) resumptionWindow() time.Duration {
	return cmp.Or(r.cfg.Load().ResumptionWindow, origin.MaxLifetime)
}

// streamLifetime bounds the time from the first event of a stream to the last attempt to resume it.
func (j *job) streamLifetime() time.Duration {
	return min(origin.MaxLifetime, max(j.Timeout, effectiveTimeout(0, j.route.Timeout)))
}

// recordOrigin records which servers began the stream, unless all gateways can tell: this one has seen one version
// only for longer than another one could matter. It is called before each event is forwarded, as a second
// version may appear at any time.
func (s *session) recordOrigin() {
	j := s.job
	if !j.route.Resumable || j.originRecorded.Load() {
		return
	}
	if len(j.route.Split) == 1 {
		if _, ok := s.Registry.OnlyVersion(j.service, s.resumptionWindow(), s.Now()); ok {
			return
		}
	}
	j.originRecorded.Store(true)
	s.Origins.Record(j.originID(), origin.Origin{Service: j.service, SoftwareVersion: *j.software.Load()}, j.streamLifetime(), s.resumptionWindow())
}

// bindResumedStream restricts a stream that its caller resumes to servers of the service and the software
// version that began it. It returns a refusal if these are not known or no longer there.
//
// A stream that is resumed at another version is wrong in a way that its caller can't see, so a stream of
// unknown origin is refused.
func (r *Relay) bindResumedStream(ctx context.Context, j *job) *Refusal {
	if j.LastEventID == "" {
		return nil
	}
	begin := r.Now()
	a := r.findOrigin(ctx, j)
	log := j.log.WithFields(logrus.Fields{"resumes": j.Resumes, "after": j.LastEventID, "learned_from": a.From, "took_ms": (r.Now() - begin).Milliseconds()})
	if !a.Known {
		log.Info("stream is not resumed, its origin is unknown")
		r.Observer.StreamResumed(RefusedOriginUnknown)
		return r.refuseResumption(j, ReasonOriginUnknown)
	}
	log.WithFields(logrus.Fields{"software": a.Origin.SoftwareVersion, "began_on": a.Origin.Service}).Info("caller resumes a stream")
	if !j.moveToService(a.Origin.Service) {
		r.Observer.StreamResumed(RefusedVersionGone)
		return r.refuseResumption(j, ReasonSoftwareGone)
	}
	j.software.Store(&a.Origin.SoftwareVersion)
	if refusal := r.refuseIfSoftwareGone(j); refusal != nil {
		r.Observer.StreamResumed(RefusedVersionGone)
		return refusal
	}
	r.Observer.StreamResumed(ResumedSameVersion)
	return nil
}

// findOrigin returns where the stream began that a caller resumes. Nobody is asked while this gateway has seen
// servers of one version only for longer than another one could matter.
func (r *Relay) findOrigin(ctx context.Context, j *job) OriginAnswer {
	if len(j.route.Split) == 1 {
		if version, ok := r.Registry.OnlyVersion(j.service, r.resumptionWindow(), r.Now()); ok {
			return OriginAnswer{Origin: origin.Origin{Service: j.service, SoftwareVersion: version}, Known: true, From: "only version"}
		}
	}
	if j.Resumes == "" {
		return OriginAnswer{}
	}
	a := r.Origins.Lookup(ctx, OriginQuery{ID: j.originID(), Service: j.service, Span: r.resumptionWindow(), Lifetime: j.streamLifetime()})
	if !a.Known && a.OnlyVersion != "" && len(j.route.Split) == 1 && !r.Registry.HasSeveralVersions(j.service, r.resumptionWindow(), r.Now()) {
		a.Origin, a.Known = origin.Origin{Service: j.service, SoftwareVersion: a.OnlyVersion}, true
	}
	return a
}

// refuseResumption returns the refusal of a stream that can't be resumed. Coming back earlier would be in vain.
func (r *Relay) refuseResumption(j *job, reason Reason) *Refusal {
	return &Refusal{Reason: reason, RetryAfter: j.timeLeft()}
}

// moveToService changes the service of a request to the one that began its stream. It returns false if the
// route does not lead there any more.
func (j *job) moveToService(service string) bool {
	if service == j.service {
		return true
	}
	if !slices.ContainsFunc(j.route.Split, func(w routing.Weighted) bool { return w.Service == service && w.Weight > 0 }) {
		return false
	}
	j.service, j.engine = service, nil
	if s := j.config.Service(service); s != nil {
		j.engine = s.Engine
	}
	return true
}

// noOrigins knows the origin of no stream.
type noOrigins struct{}

func (noOrigins) Record(origin.ID, origin.Origin, time.Duration, time.Duration) {}
func (noOrigins) Lookup(context.Context, OriginQuery) OriginAnswer              { return OriginAnswer{} }
