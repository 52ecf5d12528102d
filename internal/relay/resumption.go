package relay

import "kingcupplank.example/kingcup/backends"

// Resumption says how the software version of the server at which a stream is resumed relates to
// the version that began the stream.
type Resumption string

// The resumptions.
const (
	// ResumedSameVersion: both versions are the same.
	ResumedSameVersion Resumption = "same version"
	// ResumedOtherVersion: the versions differ, or one of them is unknown.
	ResumedOtherVersion Resumption = "other version"
	// ResumedOriginUnknown: it is not known here which version began the stream.
	ResumedOriginUnknown Resumption = "origin unknown"
)

// resumption returns the Resumption of a stream that goes on from one server to another.
func resumption(from, to backends.Server) Resumption {
	if from.HasSameSoftware(to) {
		return ResumedSameVersion
	}
	return ResumedOtherVersion
}
