package zinniapond

import (
	"net/netip"
	"time"
)

// Cause is why a request was not served, or was served late.
type Cause string

// The causes, in the order in which reports list them.
const (
	// CauseTokens is a wait for tokens of the plan's request limit, or their refusal.
	CauseTokens Cause = "waiting for plan tokens"
	// CauseDisks is a wait for storage hosts, to read, reserve or store.
	CauseDisks Cause = "waiting for disks"
	// CauseNoRoom means that no replica took the request in time.
	CauseNoRoom Cause = "no replica with room"
	// CauseSlowReplica means that most of the time was spent at the replica.
	CauseSlowReplica Cause = "slow replica"
	// CauseInterrupted means that a run began and the replica, a connection or the
	// client ended it.
	CauseInterrupted Cause = "run interrupted"
	// CauseDeadline means that the time of the request ended during a run.
	CauseDeadline Cause = "deadline while a replica was working"
	// CauseBudget means that the program has spent its token budget.
	CauseBudget Cause = "budget exhausted"
	// CauseKey means that the key is not one of the configuration in force.
	CauseKey Cause = "key refused"
	// CauseRoute means that no route has the host and path.
	CauseRoute Cause = "route not found"
	// CauseConfiguration means that the host had no configuration, or none that was
	// confirmed recently.
	CauseConfiguration Cause = "no configuration"
	// CauseStopping means that the host was stopping.
	CauseStopping Cause = "host stopping"
	// CauseUnknown stands for everything else.
	CauseUnknown Cause = "unknown"
)

// Causes returns all causes in the order in which reports list them.
func Causes() []Cause {
	return []Cause{
		CauseTokens, CauseDisks, CauseNoRoom, CauseSlowReplica, CauseInterrupted, CauseDeadline,
		CauseBudget, CauseKey, CauseRoute, CauseConfiguration, CauseStopping, CauseUnknown,
	}
}

// LogEventKind is what a log line says, as far as causes depend on it.
type LogEventKind uint8

// The kinds of log events.
const (
	// LogOther lines say nothing about a request that was not served or late.
	LogOther LogEventKind = iota
	// LogNotServed is a request that was not served.
	LogNotServed
	// LogServedLate is a request whose first byte came after the target of its route.
	LogServedLate
	// LogKeysRejected counts requests with keys that were rejected.
	LogKeysRejected
	// LogHostStopping is the begin of a planned stop of a host.
	LogHostStopping
	// LogHostStopped is the end of a planned stop.
	LogHostStopped
)

// LogEvent is a decoded log line.
type LogEvent struct {
	Kind LogEventKind
	At   time.Time // zero if the line has no time
	Host HostName  // empty if the line has none
	// Requests is the number of requests that the line stands for.
	Requests int
	Program  ProgramID
	Route    string
	Pool     PoolName // empty if the line has none
	// Restored is the time for reading the chain and reserving tokens on the disks,
	// Tokens that of waiting for plan tokens, Permits that of waiting for permissions
	// of limited replicas, and First that to the first byte of the response. All but
	// First are parts of it.
	Restored, Tokens, Permits, First time.Duration
	// Replica is that of the first attempt; invalid if there was none.
	Replica netip.AddrPort
	// Tried has the attempts with their outcomes, and Reason the error.
	Tried, Reason string
}

// CauseCounts are numbers of requests and of distinct programs.
type CauseCounts struct {
	RequestsNotServed int `json:"requestsNotServed"`
	ProgramsNotServed int `json:"programsNotServed"`
	RequestsLate      int `json:"requestsLate"`
	ProgramsLate      int `json:"programsLate"`
}

// Requests returns the number of requests.
func (c CauseCounts) Requests() int { return c.RequestsNotServed + c.RequestsLate }

// CauseRow has the counts of one cause, in total or of one span, pool, host or replica.
type CauseRow struct {
	Cause Cause      `json:"cause"`
	At    *time.Time `json:"at,omitempty"` // begin of the span
	Pool  PoolName   `json:"pool,omitempty"`
	Route string     `json:"route,omitempty"` // set where the pool is not known
	Host  HostName   `json:"host,omitempty"`
	// Replica is the one of the first attempt, for causes that are at a replica.
	Replica netip.AddrPort `json:"replica,omitzero"`
	CauseCounts
	// OthersMean is the mean number of requests over all others, for a host or replica
	// that stands out.
	OthersMean float64 `json:"othersMean,omitempty"`
}

// ReasonCount is the number of requests with an error that has no cause of its own.
type ReasonCount struct {
	Reason   string `json:"reason"`
	Requests int    `json:"requests"`
}

// CauseReport says why requests were not served or were late.
type CauseReport struct {
	Lines    int `json:"lines"`
	Unparsed int `json:"unparsed"`
	// Untimed is the number of requests whose lines have no time. They are in no span.
	Untimed int          `json:"untimed"`
	SpanMS  Milliseconds `json:"spanMs"`
	// Total has each program once, whatever its causes.
	Total CauseCounts `json:"total"`
	// Causes, Spans and Pools count a program once for each cause, in the span and pool
	// where it met the cause first.
	Causes []CauseRow `json:"causes"`
	Spans  []CauseRow `json:"spans"`
	Pools  []CauseRow `json:"pools"`
	// Hosts and Replicas are those that stand out.
	Hosts    []CauseRow    `json:"hosts"`
	Replicas []CauseRow    `json:"replicas"`
	Unknown  []ReasonCount `json:"unknown"`
}
