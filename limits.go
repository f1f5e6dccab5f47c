package zinniapond

import (
	"context"
	"net/netip"
	"time"
)

// RequestRate is a number of requests a second.
type RequestRate float64

// LimitReport is what one host tells another of the limit that a replica has named
// in its answers. It has ages in place of times, as hosts have different clocks.
type LimitReport struct {
	Replica netip.AddrPort `cbor:"r"`
	ID      string         `cbor:"i"` // distinguishes successive starts at the same address
	// Rate is the rate at which the replica accepts requests from all hosts
	// together.
	Rate RequestRate `cbor:"l"`
	// NamedAge is the time since the last answer that named the limit.
	NamedAge time.Duration `cbor:"n"`
	// LiftedAge is the time since the first answer without the limit. It is valid
	// if Lifted is set.
	LiftedAge time.Duration `cbor:"u,omitempty"`
	Lifted    bool          `cbor:"x,omitempty"`
}

// LimitBook records the limits that replicas name.
type LimitBook interface {
	// ObserveAnswer records the limit in an answer of a replica, zero if the answer
	// names none. sentAt is when the request was sent: only the answer to a request
	// that was sent after the last answer with a limit shows that it is lifted.
	ObserveAnswer(now time.Time, replica Backend, sentAt time.Time, rate RequestRate)
	// Rate returns the rate at which all hosts together may send requests to a
	// replica; ok is false if it is not limited.
	Rate(now time.Time, replica netip.AddrPort, id string) (rate RequestRate, ok bool)
	// Merge adds the reports of another host. firstHand is set if that host has the
	// answers itself.
	Merge(now time.Time, reports []LimitReport, firstHand bool)
	// News returns the limits that this host has learned after the given instant
	// from answers or from first-hand reports.
	News(now, since time.Time) []LimitReport
	// Report returns the limit of one replica; ok is false if none is known.
	Report(now time.Time, replica netip.AddrPort) (report LimitReport, ok bool)
	// All returns all limits that are in force or were lifted lately.
	All(now time.Time) []LimitReport
}

// PermitRequest asks a control host for the permission to send one request to a
// replica that limits its requests.
type PermitRequest struct {
	// Limit is what the sender knows of the limit.
	Limit LimitReport `cbor:"l"`
	// MaxWait is the longest time for which the request may wait. If it is negative,
	// the permission must have been available for that time without being used.
	MaxWait time.Duration `cbor:"w,omitempty"`
}

// PermitReply grants or refuses a permission.
type PermitReply struct {
	Granted bool `cbor:"g,omitempty"`
	// Wait is the time until the request may be sent, or until the next permission if
	// this one is refused. It is negative by the time for which the permission has
	// been available.
	Wait time.Duration `cbor:"w,omitempty"`
	// Limit is what the control host knows of the limit.
	Limit LimitReport `cbor:"l"`
}

// GrantCount is the number of permissions for one replica that a control host has
// granted since it began to count.
type GrantCount struct {
	Replica netip.AddrPort `cbor:"r"`
	ID      string         `cbor:"i"`
	Count   uint64         `cbor:"c"`
}

// GrantsRequest tells another control host the permissions that the sender has
// granted.
type GrantsRequest struct {
	Sender netip.AddrPort `cbor:"h"`
	Grants []GrantCount   `cbor:"g"`
}

// GrantsReply is empty.
type GrantsReply struct{}

// Permit is the permission to send one request between two instants. Both are zero
// for a replica that does not limit its requests.
type Permit struct {
	SendAt, ExpiresAt time.Time
}

// Throttle keeps the requests of all hosts to a replica within the limit that the
// replica names.
type Throttle interface {
	// Limited reports whether a replica limits its requests, and the time until the
	// next permission, as far as this host knows. The time is negative if the
	// permission has been available.
	Limited(now time.Time, replica Backend) (wait time.Duration, limited bool)
	// Acquire obtains the permission to send one request to a replica, at most
	// maxWait from now. With a negative maxWait the permission must have been
	// available for that time without being used. If it is refused, the error wraps
	// ErrOverload and has the time until the next permission.
	Acquire(ctx context.Context, now time.Time, replica Backend, maxWait time.Duration) (Permit, error)
	// SetHostCount sets the number of hosts that send requests to the replicas.
	SetHostCount(count int)
}
