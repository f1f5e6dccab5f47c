package zinniapond

import "time"

// VersionMemory is the time for which a software version is remembered after the last
// replica that had it has left the list. It is longer than a stream and the attempts of its
// client take.
const VersionMemory = SpendRetention

// PastVersion is a software version that the list of replicas has had.
type PastVersion struct {
	Pool    PoolName        `cbor:"p" json:"pool"`
	Version SoftwareVersion `cbor:"v" json:"version"`
	// GoneAt is when the list was read that has the version no more, by the clock of the
	// host that has read it.
	GoneAt time.Time `cbor:"g" json:"goneAt"`
}

// StreamOrigin is what a host knows about the beginning of a stream that a client resumes.
type StreamOrigin struct {
	// Recorded is the software version that has begun the stream; empty if there is no
	// record.
	Recorded SoftwareVersion
	// IsNamed is set if the client names the attempt that began the stream, so that a record
	// was looked for.
	IsNamed bool
	// Listed are the versions of the pool's replicas, live and leaving ones, and Past
	// those that its replicas have had.
	Listed []SoftwareVersion
	Past   []PastVersion
}

// OriginPolicy decides at which software version a stream goes on that a client resumes.
type OriginPolicy interface {
	// Resolve returns the version; empty if the pool has no replicas and had none. The error
	// wraps ErrUnavailable if it is not known which version has begun the stream.
	Resolve(now time.Time, origin StreamOrigin) (SoftwareVersion, error)
}
