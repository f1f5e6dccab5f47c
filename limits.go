package zinniapond

import (
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
	// All returns all limits that are in force or were lifted lately.
	All(now time.Time) []LimitReport
}
