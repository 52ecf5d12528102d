package backends

import (
	"maps"
	"slices"
	"time"

	"kingcupplank.example/kingcup/rollout"
)

// maxDirectoryAge is the age from which the copy of the directory may lack servers that other processes
// send to. Without changes the copy is confirmed about once a second.
const maxDirectoryAge = 1500 * time.Millisecond

// softwareView is what is known of the software of a service's servers.
type softwareView struct {
	// listed are the versions of the listed servers; an unknown version is empty. They include those of
	// servers whose entry can't be read at present: other processes may have read it.
	listed []string
	// delistedAt is when the last server of a version went that is not listed any more.
	delistedAt map[string]time.Duration
	// vouched is what another process vouches for, about the time before this one had the directory.
	vouched vouchedVersion
	// rollout tells which versions are being replaced.
	rollout rollout.Tracker
}

// vouchedVersion says that all servers of a service have run one version since a time.
type vouchedVersion struct {
	version string
	since   time.Duration
}

// ConfirmDirectory records that the directory contains all changes up to a time.
func (r *Registry) ConfirmDirectory(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at-r.confirmedAt > maxDirectoryAge {
		// The changes since are the difference of two states: servers that came and went are not in it.
		r.markIncomplete(at)
	}
	r.confirmedAt = max(r.confirmedAt, at)
}

// markIncomplete records that servers may have come and gone unseen up to a time. mu must be held.
func (r *Registry) markIncomplete(upTo time.Duration) {
	r.completeSince = max(r.completeSince, upTo)
	for _, v := range r.softwareViews {
		v.vouched = vouchedVersion{}
	}
}

// Vouch records that another process, asked at a time, has answered by now that all servers of a service have
// run one version within a span. It is ignored unless this process has had the directory since before the
// answer's was confirmed: otherwise servers may have come and gone in between.
func (r *Registry) Vouch(service, version string, within, asked, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasDirectory && asked-r.completeSince >= maxDirectoryAge {
		r.softwareView(service).vouched = vouchedVersion{version: version, since: now - within}
	}
}

// watchedSince returns since when this process, or another one, has seen all servers of a service that runs one
// version. mu must be held.
func (r *Registry) watchedSince(v *softwareView, version string) time.Duration {
	if v.vouched.version == version {
		return min(r.completeSince, v.vouched.since)
	}
	return r.completeSince
}

// setReadable records that an entry is readable or gone. The server may have run any version of its software while
// it was not. mu must be held.
func (r *Registry) setReadable(id string, now time.Duration) {
	if r.unreadable[id] {
		delete(r.unreadable, id)
		r.markIncomplete(now)
	}
}

// ConfirmedSince reports whether the directory is known to contain all changes up to a time.
func (r *Registry) ConfirmedSince(at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt >= at
}

// HasSeveralVersions reports whether servers with different versions of their software were listed for a
// service within a time span up to now. An unknown version differs from any other.
func (r *Registry) HasSeveralVersions(service string, within, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.software(service).hasSeveralVersions(within, now)
}

func (v *softwareView) hasSeveralVersions(within, now time.Duration) bool {
	if len(v.listed) > 1 || slices.Contains(v.listed, "") {
		return true
	}
	for _, at := range v.delistedAt {
		if now-at < within {
			return true
		}
	}
	return false
}

// OnlyVersion returns the version of the software of all servers that were listed for a service within a time
// span up to now. It returns false if there were several versions or none, or if this process may have
// missed some: its copy of the directory is younger than the span, was out of date within it or is now, or has
// entries that can't be read. Another process may vouch for the time before, see Vouch.
func (r *Registry) OnlyVersion(service string, within, now time.Duration) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.software(service)
	isComplete := r.hasDirectory && len(r.unreadable) == 0 && now-r.confirmedAt <= maxDirectoryAge
	if !isComplete || v.hasSeveralVersions(within, now) || len(v.listed) != 1 || now-r.watchedSince(v, v.listed[0]) < within {
		return "", false
	}
	return v.listed[0], true
}

// VersionCount returns the largest number of versions of their software that the listed servers of a service
// run.
func (r *Registry) VersionCount() (most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[string]bool)
	for _, s := range r.servers {
		services[s.Service] = true
	}
	for service := range services {
		most = max(most, len(r.software(service).listed))
	}
	return most
}

// softwareView returns the view of a service, in which listed may be missing. mu must be held.
func (r *Registry) softwareView(service string) *softwareView {
	v := r.softwareViews[service]
	if v == nil {
		v = &softwareView{delistedAt: make(map[string]time.Duration)}
		r.softwareViews[service] = v
	}
	return v
}

// software returns the view of a service. mu must be held.
func (r *Registry) software(service string) *softwareView {
	v := r.softwareView(service)
	if v.listed == nil {
		v.listed = make([]string, 0, 1)
		for _, s := range r.servers {
			if s.Service == service && !s.gone && !slices.Contains(v.listed, s.SoftwareVersion) {
				v.listed = append(v.listed, s.SoftwareVersion)
			}
		}
		for _, version := range v.listed {
			delete(v.delistedAt, version)
		}
	}
	return v
}

// recordDelisted records that a server is no longer listed with its version. mu must be held.
func (r *Registry) recordDelisted(s Server, now time.Duration) {
	v := r.softwareView(s.Service)
	v.delistedAt[s.SoftwareVersion] = now
	for version, at := range v.delistedAt {
		if now-at >= maxVersionMemory {
			delete(v.delistedAt, version)
		}
	}
}

// recordJoined records that a server has joined, unless it is one of those of the first directory. mu must
// be held.
func (r *Registry) recordJoined(s Server, now time.Duration) {
	if r.hasDirectory && now > r.directorySince && !s.Leaving {
		r.softwareView(s.Service).rollout.Joined(s.SoftwareVersion, now)
	}
}

// recordLeaving records that servers have begun to leave. mu must be held.
func (r *Registry) recordLeaving(events []leaveEvent, now time.Duration) {
	for _, e := range events {
		if e.reason != LeaveRestarted && e.reason != LeaveReplaced {
			r.softwareView(e.server.Service).rollout.Left(e.server.SoftwareVersion, now)
		}
	}
}

// retiringVersions returns the versions of a service's servers that are being replaced, nil if there is only
// one version. mu must be held.
func (r *Registry) retiringVersions(service string, now time.Duration) (out []string) {
	v := r.software(service)
	if len(v.listed) < 2 {
		return nil
	}
	for _, version := range v.listed {
		ready := 0
		for _, s := range r.listed(service) {
			if s.SoftwareVersion == version && !s.Leaving {
				ready++
			}
		}
		if v.rollout.IsRetiring(version, ready, now) {
			out = append(out, version)
		}
	}
	return out
}

// maxVersionMemory bounds the time for which a version is remembered after its last server has gone. It is
// not shorter than the time for which callers may resume a stream.
const maxVersionMemory = 10 * time.Minute

// expireSoftwareViews forgets the services that have had no servers for long. mu must be held.
func (r *Registry) expireSoftwareViews(now time.Duration) {
	for service, v := range r.softwareViews {
		if len(r.software(service).listed) > 0 {
			continue
		}
		isRecent := func(at time.Duration) bool { return now-at < maxVersionMemory }
		if !slices.ContainsFunc(slices.Collect(maps.Values(v.delistedAt)), isRecent) {
			delete(r.softwareViews, service)
		}
	}
}

// dropSoftwareViews has the listed versions computed again after a change of the directory. mu must be held.
func (r *Registry) dropSoftwareViews() {
	for _, v := range r.softwareViews {
		v.listed = nil
	}
}
