package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// softwareVersions are the software versions of the model servers that are started. It is guarded by the Soak's
// mu.
type softwareVersions struct {
	several bool
	// released is the number of versions that were released after the first two.
	released int
}

// versionsAtOnce is the number of versions that are started side by side.
const versionsAtOnce = 2

// next returns the version of the i-th model server, empty if all have the same.
func (v *softwareVersions) next(i int) string {
	if !v.several {
		return ""
	}
	return fmt.Sprintf("v%d", v.released+i%versionsAtOnce)
}

// versionOf returns the software version that an event names, empty if none.
func versionOf(event string) string {
	_, version, _ := strings.Cut(strings.TrimSpace(event), " tok")
	_, version, _ = strings.Cut(version, " ")
	return version
}

// releaseVersion replaces the model servers of the oldest version one after the other.
func releaseVersion(s *Soak, _ context.Context) (string, func()) {
	const noticeTime, gap = time.Second, 200 * time.Millisecond
	s.mu.Lock()
	if !s.versions.several {
		s.mu.Unlock()
		return "no version to release", nil
	}
	s.versions.released++
	var old []*fleet.Server
	for _, srv := range s.servers {
		if srv.Service == fleet.ModelService && !s.stopped[srv] && srv.SoftwareVersion() == fmt.Sprintf("v%d", s.versions.released-1) {
			s.stopped[srv] = true
			old = append(old, srv)
		}
	}
	s.mu.Unlock()
	return fmt.Sprintf("release instead of %d servers", len(old)), func() {
		for _, srv := range old {
			s.replace(srv)
			srv.StartDraining(true)
			time.Sleep(gap)
		}
		time.Sleep(noticeTime)
		for _, srv := range old {
			srv.Kill()
			srv.RemoveEntry()
		}
	}
}

// maxResumeAttempts is how often a caller tries to resume a stream.
const maxResumeAttempts = 3

// resumeStream resumes a stream that broke behind an event, at gateways drawn at random, several times if need be.
func (s *Soak) resumeStream(ctx context.Context, a *Attempt, err error) error {
	for range maxResumeAttempts {
		received := len(a.Events)
		if err == nil || a.Status != http.StatusOK || received == 0 || ctx.Err() != nil {
			return err
		}
		g := s.drawGateway()
		a.resumeAttempts++
		retry := fleet.CallerRequest{ID: fleet.NextID(), Key: a.Request.Key, Resumes: a.Request.ID, LastEvent: received}
		var status int
		status, err = fleet.StreamWith(ctx, g.settings.Callers, a.Path, retry, func(e string) { a.Events = append(a.Events, e) })
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		if len(a.Events) > received || err == nil {
			a.resumed++
		}
	}
	return err
}
