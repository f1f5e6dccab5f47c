package zinniapond

import "time"

// PaceAnswer is how a replica has answered a request, as input for its pace.
type PaceAnswer struct {
	// TimeToFirstByte is the time to the first byte. It is not valid if the request
	// has failed or was refused.
	TimeToFirstByte time.Duration
	// Uncached is the part of the prompt that the replica was expected to prefill.
	Uncached Tokens
	Failed   bool
	// Unfinished is set if the request ended before the first byte for a reason other
	// than the replica. TimeToFirstByte is the time until then.
	Unfinished bool
	// Refused is set if the replica did not run the request. A replica that has all
	// its slots in use refuses requests too, so a refusal counts only against a replica
	// that is bounded.
	Refused bool
}

// Pace decides how many requests all hosts together should have at a replica that is
// new, or that failed or was very slow, until its answers show that it can be used like
// any other. It is a preference: a request that finds no other replica takes a bounded
// one.
type Pace interface {
	// SetReplicas sets the live replicas of a pool.
	SetReplicas(now time.Time, pool PoolName, live []Backend)
	// SetLoads sets the sums of all hosts: their requests at each replica and how it
	// answered them.
	SetLoads(now time.Time, sums []Load)
	// SetHostCount sets the number of hosts that send requests to the replicas.
	SetHostCount(count int)
	// Report adds to the loads of this host how the replicas have answered it lately.
	Report(now time.Time, loads []Load) []Load
	// Bound returns the largest number of requests that all hosts together should have
	// at a replica. A replica that is not bounded counts as grown up.
	Bound(now time.Time, replica Backend) (bound int, bounded bool)
	// Admits reports whether this host should send a request to a replica now. With
	// noOther, all other replicas that the request could take are full.
	Admits(now time.Time, replica Backend, noOther bool) bool
	// IsFull reports whether a replica is known to have all its slots in use.
	IsFull(now time.Time, replica Backend) bool
	// RampUps returns the replicas that are bounded, ordered by address.
	RampUps(now time.Time) []RampUp
	// RecordStart and RecordFinish record a request of this host at a replica.
	RecordStart(now time.Time, replica Backend)
	RecordFinish(now time.Time, replica Backend)
	// RecordAnswer records how a replica has answered a request of this host.
	RecordAnswer(now time.Time, replica Backend, answer PaceAnswer)
}
