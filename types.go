package zinniapond

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostName identifies one host of the cluster. It stays the same as long as the
// host keeps its data folder or settings.
type HostName string

// DataCentre names the data centre that a host or a backend server is in.
type DataCentre string

// PlanName names a plan of the plan list.
type PlanName string

// CustomerName names a customer within a plan.
type CustomerName string

// DiskID identifies a data folder. It is generated at random when the folder is
// first used.
type DiskID string

// ProgramID identifies one agent program.
type ProgramID string

// CallID identifies one call of a program.
type CallID string

// AttemptID identifies one attempt to run a call on a backend server. An answer
// is assigned to its attempt by this id, never by the connection.
type AttemptID string

// PoolName names a group of equal backend servers: a model or a service.
type PoolName string

// SoftwareVersion names the version of a backend server's software. Versions have no
// order. It is empty if it is not known.
type SoftwareVersion string

// ShardID is the number of a shard of programs, from 0 up to, but not including,
// the number of shards of the cluster.
type ShardID uint32

// Epoch is a fencing number. The epoch of a shard increases with each change of
// its owner; writes under lower epochs are refused.
type Epoch uint64

// Term is a term of the control log, in the sense of Raft.
type Term uint64

// Index is the index of a record in the control log or in the journal of a
// shard, from 1.
type Index uint64

// Version is the number of an accepted pair of lists, from 1.
type Version uint64

// ChangeID identifies one change of the lists, so that a change that is sent
// again has the outcome of the first time.
type ChangeID string

// Tokens is a number of model tokens, of a prompt or generated.
type Tokens int64

// ShardOf returns the shard of the given key among count shards.
func ShardOf(key string, count int) ShardID {
	return ShardID(xxhash.Sum64String(key) % uint64(count))
}

// Class is the priority class of a call.
type Class uint8

// The classes, most urgent first.
const (
	// ClassInteractive is for users who wait for the answer and for status checks.
	ClassInteractive Class = iota
	// ClassStandard is the default.
	ClassStandard
	// ClassBatch is for background work.
	ClassBatch
)

// BackendKind determines the protocol of a backend server.
type BackendKind string

// The kinds of backend server.
const (
	// KindEngine is a model engine with an OpenAI-style interface.
	KindEngine BackendKind = "engine"
	// KindService is a plain HTTP service.
	KindService BackendKind = "service"
)

// HeaderField is one HTTP header field of a request or an answer.
type HeaderField struct {
	Name  string `cbor:"n" json:"name"`
	Value string `cbor:"v" json:"value"`
}

// Call is one request of a program, as a front end passes it to the scheduler.
type Call struct {
	ID             CallID       `cbor:"id"`
	Program        ProgramID    `cbor:"prog"`
	ParentProgram  ProgramID    `cbor:"par,omitempty"`
	Sequence       uint64       `cbor:"seq,omitempty"` // position in the program; 0 for the order of arrival
	IdempotencyKey string       `cbor:"key,omitempty"` // Idempotency-Key
	Plan           PlanName     `cbor:"plan"`
	Customer       CustomerName `cbor:"cust"`
	Class          Class        `cbor:"cls"`
	Kind           BackendKind  `cbor:"kind"`
	Pool           PoolName     `cbor:"pool"`
	// Idempotent calls may be run again; other calls run at most once.
	Idempotent bool `cbor:"idem"`
	// SingleCall is set if the program consists of this call and ends with it.
	SingleCall bool `cbor:"one,omitempty"`
	// Stream requests the answer in parts, as it is generated.
	Stream bool          `cbor:"strm,omitempty"`
	Method string        `cbor:"meth"`
	Path   string        `cbor:"path"`
	Fields []HeaderField `cbor:"flds,omitempty"`
	Body   []byte        `cbor:"body,omitempty"`
	Digest [32]byte      `cbor:"dig"` // SHA-256 of method, path and body
	// PromptTokens is the estimated size of the prompt.
	PromptTokens Tokens `cbor:"prm"`
	// MaxGenerated is the largest number of tokens that the call may generate.
	MaxGenerated Tokens `cbor:"most"`
	// PrefixHashes contains a cumulative hash for each block of the prompt: it
	// covers the block and all blocks before it.
	PrefixHashes []uint64 `cbor:"pre,omitempty"`
	// MaxQueueTime is the longest time in the queue, after which the call is
	// refused as not run.
	MaxQueueTime time.Duration `cbor:"wait"`
	// DeliveredBytes is the number of bytes of the answer that the caller already
	// has.
	DeliveredBytes int64 `cbor:"dlv,omitempty"`
	// DeliveredChecksum is the xxHash of those bytes. The answer of a repeated
	// run must not be appended to them if it begins differently.
	DeliveredChecksum uint64 `cbor:"dls,omitempty"`
	// Traceparent is the W3C traceparent header of the caller's span.
	Traceparent string `cbor:"trc,omitempty"`
}

// Outcome is what is known about the execution of a call.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeDone means that the call ran and its answer is stored.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the call certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have run; it is never sent again.
	OutcomeUnknown Outcome = "unknown"
)

// Usage is the token usage of one call.
type Usage struct {
	Prompt    Tokens `cbor:"p" json:"prompt"`
	Cached    Tokens `cbor:"c" json:"cached"` // part of Prompt that was in the engine's cache
	Generated Tokens `cbor:"g" json:"generated"`
}

// Total returns the tokens that count against a budget.
func (u Usage) Total() Tokens { return u.Prompt + u.Generated }

// Answer is the outcome of a call, with the attempts and times that explain it.
type Answer struct {
	Call       CallID         `cbor:"id" json:"call"`
	Outcome    Outcome        `cbor:"out" json:"outcome"`
	Status     int            `cbor:"st" json:"status"` // HTTP status
	Fields     []HeaderField  `cbor:"flds,omitempty" json:"fields,omitempty"`
	Body       []byte         `cbor:"body,omitempty" json:"body,omitempty"`
	Reason     string         `cbor:"why,omitempty" json:"reason,omitempty"`
	Usage      Usage          `cbor:"use" json:"usage"`
	Backend    netip.AddrPort `cbor:"be" json:"backend"`
	Attempts   []Attempt      `cbor:"att,omitempty" json:"attempts,omitempty"`
	QueueTime  time.Duration  `cbor:"que" json:"queued"`
	RunTime    time.Duration  `cbor:"ran" json:"ran"`
	RetryAfter time.Duration  `cbor:"ra,omitempty" json:"retryAfter,omitempty"`
	Degraded   string         `cbor:"deg,omitempty" json:"degraded,omitempty"`
	// Repeated is set if the answer was already stored before this request.
	Repeated bool `cbor:"rep,omitempty" json:"repeated,omitempty"`
}

// Attempt describes one attempt to run a call.
type Attempt struct {
	ID        AttemptID      `cbor:"id" json:"id"`
	Backend   netip.AddrPort `cbor:"be" json:"backend"`
	StartedAt time.Time      `cbor:"at" json:"started"`
	Duration  time.Duration  `cbor:"took" json:"took"`
	Reason    string         `cbor:"why" json:"why"` // reason for the choice of the backend server
	Err       string         `cbor:"err,omitempty" json:"error,omitempty"`
}

// CallState is the state of a program's call.
type CallState uint8

// The states of a call.
const (
	// CallNew is a call that was not known before.
	CallNew CallState = iota
	// CallRunning is a call that waits or runs because of an earlier request.
	CallRunning
	// CallFinished is a call with a stored answer.
	CallFinished
)

// Program describes one agent program.
type Program struct {
	ID       ProgramID    `cbor:"id" json:"id"`
	Parent   ProgramID    `cbor:"par,omitempty" json:"parent,omitempty"`
	Plan     PlanName     `cbor:"plan" json:"plan"`
	Customer CustomerName `cbor:"cust" json:"customer"`
	OpenedAt time.Time    `cbor:"at" json:"opened"`
	EndedAt  time.Time    `cbor:"end" json:"ended"` // zero while it runs
	Reason   string       `cbor:"why,omitempty" json:"reason,omitempty"`
}

// Step is one call of a program's history.
type Step struct {
	Call           CallID    `cbor:"id" json:"call"`
	Sequence       uint64    `cbor:"seq" json:"sequence"`
	IdempotencyKey string    `cbor:"key,omitempty" json:"key,omitempty"`
	Pool           PoolName  `cbor:"pool" json:"pool"`
	Method         string    `cbor:"meth" json:"method"`
	Path           string    `cbor:"path" json:"path"`
	Request        []byte    `cbor:"body,omitempty" json:"request,omitempty"`
	IntendedAt     time.Time `cbor:"at" json:"intended"`
	// Answer is nil while the call runs.
	Answer *Answer `cbor:"ans,omitempty" json:"answer,omitempty"`
}

// History is a program with all its calls, in order.
type History struct {
	Program Program  `cbor:"prog" json:"program"`
	Shard   ShardID  `cbor:"sh" json:"shard"`
	Owner   HostName `cbor:"own" json:"owner"`
	Steps   []Step   `cbor:"steps" json:"steps"`
}
