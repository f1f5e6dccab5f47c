// Package origin decides at which software version a stream goes on that a client resumes.
// It answers the load after the loss of hosts during a release: clients take up streams of
// several versions at hosts that have not seen their beginnings.
package origin

import (
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.OriginPolicy, error) { return Policy{}, nil })
}

// Policy continues a stream at the version that is on record. A stream that should have a
// record and has none is not continued, whatever versions this host knows: it may not have
// learned of the one that began the stream. For a client that does not name the beginning,
// the stream goes on if this host knows one version only.
type Policy struct{}

var _ zinniapond.OriginPolicy = Policy{}

// Resolve implements zinniapond.OriginPolicy.
func (Policy) Resolve(now time.Time, origin zinniapond.StreamOrigin) (zinniapond.SoftwareVersion, error) {
	if origin.Recorded != "" {
		return origin.Recorded, nil
	}
	if origin.IsNamed && len(origin.Listed)+len(origin.Past) > 0 {
		return "", fmt.Errorf("no record of the version that has begun the stream: %w", zinniapond.ErrUnavailable)
	}
	only := zinniapond.SoftwareVersion("")
	isOther := func(v zinniapond.SoftwareVersion) bool {
		if only == "" {
			only = v
		}
		return v != only
	}
	for _, v := range origin.Listed {
		if isOther(v) {
			return "", unknownError(only, v)
		}
	}
	for _, p := range origin.Past {
		if now.Sub(p.GoneAt) < zinniapond.VersionMemory && isOther(p.Version) {
			return "", unknownError(only, p.Version)
		}
	}
	return only, nil
}

func unknownError(a, b zinniapond.SoftwareVersion) error {
	return fmt.Errorf("no record of whether version %s or %s has begun the stream: %w", a, b, zinniapond.ErrUnavailable)
}
