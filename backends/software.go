package backends

import (
	"slices"
	"time"
)

// maxDirectoryAge is the age from which the copy of the directory may lack servers that other processes
// send to. Without changes the copy is confirmed about once a second.
const maxDirectoryAge = 1500 * time.Millisecond

// softwareView is what is known of the software of a service's servers.
type softwareView struct {
	// listed are the versions of the listed servers; an unknown version is empty.
	listed []string
	// delistedAt is when the last server of a version went that is not listed any more.
	delistedAt map[string]time.Duration
}

// ConfirmDirectory records that the directory contains all changes up to a time.
func (r *Registry) ConfirmDirectory(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// HasSeveralVersions reports whether servers with different versions of their software were listed for a
// service within a time span up to now. An unknown version differs from any other.
func (r *Registry) HasSeveralVersions(service string, within, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.software(service)
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
// missed some: its copy of the directory is younger than the span, or out of date.
func (r *Registry) OnlyVersion(service string, within, now time.Duration) (string, bool) {
	if r.HasSeveralVersions(service, within, now) {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.software(service)
	if len(v.listed) != 1 || !r.hasDirectory || now-r.directorySince < within || now-r.confirmedAt > maxDirectoryAge {
		return "", false
	}
	return v.listed[0], true
}

// VersionCount returns the number of versions of the software of a service's listed servers.
func (r *Registry) VersionCount(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.software(service).listed)
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
		for _, s := range r.listed(service) {
			if !slices.Contains(v.listed, s.SoftwareVersion) {
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

// maxVersionMemory bounds the time for which a version is remembered after its last server has gone. It is
// longer than any stream lasts.
const maxVersionMemory = 10 * time.Minute

// dropSoftwareViews has the listed versions computed again after a change of the directory. mu must be held.
func (r *Registry) dropSoftwareViews() {
	for _, v := range r.softwareViews {
		v.listed = nil
	}
}
