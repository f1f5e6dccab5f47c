package zinniapond

import (
	"net/netip"
	"time"
)

// Digest identifies what a caller sent, independent of the ids of its attempts and of
// its program. The content itself is not kept.
type Digest uint64

// Ending is the end of a replica while requests were running there, as one host tells
// another. It has an age in place of a time, as hosts have different clocks.
type Ending struct {
	Pool    PoolName       `cbor:"p"`
	Replica netip.AddrPort `cbor:"r"`
	ID      string         `cbor:"i"` // distinguishes successive starts at the same address
	Age     time.Duration  `cbor:"a"`
	// Suspects are the requests that were running at the replica.
	Suspects []Digest `cbor:"s,omitempty"`
}

// Finish tells that a request which was running at a replica that ended was answered
// by another one.
type Finish struct {
	Digest Digest        `cbor:"d"`
	Age    time.Duration `cbor:"a"`
}

// BlameReport is the evidence that one host passes to another.
type BlameReport struct {
	Endings  []Ending `cbor:"e,omitempty"`
	Finishes []Finish `cbor:"f,omitempty"`
}

// Size returns the number of entries.
func (r BlameReport) Size() int {
	n := len(r.Endings) + len(r.Finishes)
	for _, e := range r.Endings {
		n += len(e.Suspects)
	}
	return n
}

// Standing is what the evidence says of a request.
type Standing uint8

// The standings of a request.
const (
	// StandingClear requests have nothing against them.
	StandingClear Standing = iota
	// StandingSuspect requests were running at a replica that ended. They run apart
	// from each other, so that the next ending shows which of them is the cause.
	StandingSuspect
	// StandingGuilty requests end replicas and are not run, except for retrials.
	StandingGuilty
)

// Verdict is the judgement of a request with its evidence.
type Verdict struct {
	Standing Standing
	// Endings is the number of replicas that ended while the request was running.
	Endings int
	// IsCertain is set if so many replicas have ended that no retrial is allowed.
	IsCertain bool
	// RetryAfter is the time after which the verdict on a guilty request may be
	// another one: hosts that had requests at the same replica have reported by then,
	// or the evidence is too old to count.
	RetryAfter time.Duration
}

// Blame finds the requests that end the replicas at which they run. It has no state on
// disk; hosts pass their evidence on to each other.
type Blame interface {
	// RecordEnding records that a replica has ended, and the requests that were running
	// there.
	RecordEnding(now time.Time, replica Backend, suspects ...Digest)
	// RecordFinish records that a replica has answered a request completely.
	RecordFinish(now time.Time, request Digest)
	// Judge returns the verdict on a request.
	Judge(now time.Time, request Digest) Verdict
	// AllowRetrial reports whether a guilty request may run once more, as a verdict that is
	// not certain may be wrong and only a finish refutes it. draw is a random number in
	// [0, 1), so that few hosts allow one at the same time.
	AllowRetrial(now time.Time, request Digest, draw float64) bool
	// Lost returns the number of replicas of a pool that ended with requests running
	// there, within the given time.
	Lost(now time.Time, pool PoolName, within time.Duration) int
	// Merge adds the evidence of another host.
	Merge(now time.Time, report BlameReport)
	// News returns the evidence that this host has learned after the given instant.
	News(now, since time.Time) BlameReport
}
