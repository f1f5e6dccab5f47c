package zinniapond

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostName identifies one host of the system for as long as it has its data
// folder or settings.
type HostName string

// DataCentre names the data centre that a host or a backend server is in.
type DataCentre string

// PlanName names a plan of the plan list.
type PlanName string

// CustomerName names a customer within a plan.
type CustomerName string

// DiskID identifies the data folder of a voter. It is drawn when the folder is
// first used.
type DiskID string

// ProgramID identifies one agent program.
type ProgramID string

// CallID identifies one call of a program.
type CallID string

// AttemptID identifies one attempt to run a call on a backend server. Answers
// are matched by it, never by connection.
type AttemptID string

// PoolName names a group of equal backend servers: a model or a service.
type PoolName string

// ShardID numbers a shard of programs, from 0 to the cluster's shard count.
type ShardID uint32

// Epoch grows with each change of a shard's owner; smaller ones are fenced.
type Epoch uint64

// Term numbers a leadership of the control log.
type Term uint64

// Index numbers a record of the control log or of a shard's journal, from 1.
type Index uint64

// Version numbers an accepted pair of lists, from 1.
type Version uint64

// ChangeID identifies one change of the lists, so that a resent change gets
// the outcome of the first.
type ChangeID string

// Tokens counts tokens of a model, prompt or generated.
type Tokens int64

// ShardOf returns the shard of the given key among count shards.
func ShardOf(key string, count int) ShardID {
	return ShardID(xxhash.Sum64String(key) % uint64(count))
}

// Class orders calls of different urgency.
type Class uint8

// The classes, most urgent first.
const (
	// ClassInteractive is for callers who wait and for status pings.
	ClassInteractive Class = iota
	// ClassStandard is the default.
	ClassStandard
	// ClassBatch is for work that nobody waits for.
	ClassBatch
)

// Kind tells what a backend server speaks.
type Kind string

// The kinds of backend server.
const (
	// KindEngine is a model engine with an OpenAI-style interface.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Field is one header field of a request or an answer.
type Field struct {
	Name  string `cbor:"n" json:"name"`
	Value string `cbor:"v" json:"value"`
}

// Call is one request of a program as a front end hands it to the scheduler.
type Call struct {
	ID       CallID       `cbor:"id"`
	Program  ProgramID    `cbor:"prog"`
	Parent   ProgramID    `cbor:"par,omitempty"`
	Sequence uint64       `cbor:"seq,omitempty"` // 0: order of arrival
	Key      string       `cbor:"key,omitempty"` // Idempotency-Key
	Plan     PlanName     `cbor:"plan"`
	Customer CustomerName `cbor:"cust"`
	Class    Class        `cbor:"cls"`
	Kind     Kind         `cbor:"kind"`
	Pool     PoolName     `cbor:"pool"`
	// Idempotent calls may be run again; others run at most once.
	Idempotent bool `cbor:"idem"`
	// Single marks a program of one call, ended with it.
	Single bool `cbor:"one,omitempty"`
	// Stream asks for the answer in parts, as it is generated.
	Stream bool     `cbor:"strm,omitempty"`
	Method string   `cbor:"meth"`
	Path   string   `cbor:"path"`
	Fields []Field  `cbor:"flds,omitempty"`
	Body   []byte   `cbor:"body,omitempty"`
	Digest [32]byte `cbor:"dig"` // SHA-256 of method, path and body
	// Prompt is the estimated size of the prompt.
	Prompt Tokens `cbor:"prm"`
	// Most is the largest number of tokens that the call may generate.
	Most Tokens `cbor:"most"`
	// Prefix has a hash for each block of the prompt, each covering all
	// blocks before it.
	Prefix []uint64 `cbor:"pre,omitempty"`
	// Wait bounds the time in queue; past it the call is refused as not run.
	Wait time.Duration `cbor:"wait"`
	// Delivered counts answer bytes that the caller already has.
	Delivered int64 `cbor:"dlv,omitempty"`
	// DeliveredSum is the xxHash of those bytes; a rerun whose answer begins
	// otherwise must not be joined to them.
	DeliveredSum uint64 `cbor:"dls,omitempty"`
	// Trace is the W3C traceparent of the caller's span.
	Trace string `cbor:"trc,omitempty"`
}

// Outcome tells what is known of a call's execution.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeDone: the call ran; the answer is stored.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the call provably never ran.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the call may have run; it is never sent again.
	OutcomeUnknown Outcome = "unknown"
)

// Usage counts the tokens of one call.
type Usage struct {
	Prompt    Tokens `cbor:"p" json:"prompt"`
	Cached    Tokens `cbor:"c" json:"cached"` // part of Prompt found in the engine's cache
	Generated Tokens `cbor:"g" json:"generated"`
}

// Total returns the tokens that count against a budget.
func (u Usage) Total() Tokens { return u.Prompt + u.Generated }

// Answer is the outcome of a call with its explanation.
type Answer struct {
	Call       CallID         `cbor:"id" json:"call"`
	Outcome    Outcome        `cbor:"out" json:"outcome"`
	Status     int            `cbor:"st" json:"status"` // HTTP status
	Fields     []Field        `cbor:"flds,omitempty" json:"fields,omitempty"`
	Body       []byte         `cbor:"body,omitempty" json:"body,omitempty"`
	Reason     string         `cbor:"why,omitempty" json:"reason,omitempty"`
	Usage      Usage          `cbor:"use" json:"usage"`
	Backend    netip.AddrPort `cbor:"be" json:"backend"`
	Attempts   []Attempt      `cbor:"att,omitempty" json:"attempts,omitempty"`
	Queued     time.Duration  `cbor:"que" json:"queued"`
	Ran        time.Duration  `cbor:"ran" json:"ran"`
	RetryAfter time.Duration  `cbor:"ra,omitempty" json:"retryAfter,omitempty"`
	Degraded   string         `cbor:"deg,omitempty" json:"degraded,omitempty"`
	// Repeated marks an answer that was stored before this request.
	Repeated bool `cbor:"rep,omitempty" json:"repeated,omitempty"`
}

// Attempt explains one attempt to run a call.
type Attempt struct {
	ID      AttemptID      `cbor:"id" json:"id"`
	Backend netip.AddrPort `cbor:"be" json:"backend"`
	Started time.Time      `cbor:"at" json:"started"`
	Took    time.Duration  `cbor:"took" json:"took"`
	Why     string         `cbor:"why" json:"why"` // why this backend server
	Err     string         `cbor:"err,omitempty" json:"error,omitempty"`
}

// CallState tells how far a program's call is.
type CallState uint8

// The states of a call.
const (
	// CallNew was not known before.
	CallNew CallState = iota
	// CallRunning is waiting or running for an earlier request.
	CallRunning
	// CallFinished has a stored answer.
	CallFinished
)

// Program describes one agent program.
type Program struct {
	ID       ProgramID    `cbor:"id" json:"id"`
	Parent   ProgramID    `cbor:"par,omitempty" json:"parent,omitempty"`
	Plan     PlanName     `cbor:"plan" json:"plan"`
	Customer CustomerName `cbor:"cust" json:"customer"`
	Opened   time.Time    `cbor:"at" json:"opened"`
	Ended    time.Time    `cbor:"end" json:"ended"` // zero while it runs
	Reason   string       `cbor:"why,omitempty" json:"reason,omitempty"`
}

// Step is one call of a program's history.
type Step struct {
	Call     CallID    `cbor:"id" json:"call"`
	Sequence uint64    `cbor:"seq" json:"sequence"`
	Key      string    `cbor:"key,omitempty" json:"key,omitempty"`
	Pool     PoolName  `cbor:"pool" json:"pool"`
	Method   string    `cbor:"meth" json:"method"`
	Path     string    `cbor:"path" json:"path"`
	Request  []byte    `cbor:"body,omitempty" json:"request,omitempty"`
	Intended time.Time `cbor:"at" json:"intended"`
	// Answer is nil while the call runs.
	Answer *Answer `cbor:"ans,omitempty" json:"answer,omitempty"`
}

// History is a program with all its steps, in order.
type History struct {
	Program Program  `cbor:"prog" json:"program"`
	Shard   ShardID  `cbor:"sh" json:"shard"`
	Owner   HostName `cbor:"own" json:"owner"`
	Steps   []Step   `cbor:"steps" json:"steps"`
}
