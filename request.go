package zinniapond

import (
	"context"
	"net/netip"
	"time"
)

// Request is one attempt of a client as decoded by a front end. Each attempt has
// an id of its own, also if it repeats an earlier one.
type Request struct {
	ID     AttemptID
	Host   string // without port, lower case
	Method string
	Path   string
	// Target is the path with its query, as it was sent.
	Target string
	Fields []HeaderField // header fields to forward
	Body   []byte
	// ReceivedAt is the instant at which the header was read.
	ReceivedAt time.Time
	// ClientTimeout is how long the client waits for the answer; zero if unknown.
	ClientTimeout time.Duration
	// AffinityKey identifies the object that the request refers to; may be empty.
	AffinityKey string
	// KeyHash is the SHA-256 of the client's key; zero if it sent no valid key.
	KeyHash [32]byte
	// Credentials are the header fields with the client's key and its claimed
	// identity. They are forwarded only if the configuration has no plans.
	Credentials []HeaderField

	// The following fields are set for model requests only.
	PromptParts  []PromptPart // parts of the prompt, in order
	PromptTokens Tokens       // size of the prompt
	MaxGenerated Tokens       // largest number of tokens to generate
	LastEventID  string       // event after which to resume; empty for the whole stream
	// Resumes is the attempt that brought the client the first event of the stream that it
	// resumes; empty if it does not say.
	Resumes AttemptID

	// The following fields are set for requests of agent programs only.
	Program      ProgramID
	SessionID    string
	PreviousTurn TurnID // turn that this one continues; empty for the first turn
	// FinishWithin is the time within which the program should finish, from
	// ReceivedAt on; zero if unknown, and negative if it is over.
	FinishWithin time.Duration
	TokenBudget  Tokens // token budget of the program; 0 if it has none
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Refusal is an error answer of the scheduler itself, in place of a replica's
// answer.
type Refusal struct {
	Reason error // wraps one of the sentinel errors of this package
	// RetryAfter is the time after which a new attempt may succeed; zero if
	// unknown.
	RetryAfter time.Duration
}

// Responder sends the answer to a Request. It is used by one goroutine. End,
// Refuse or Abort is the last call.
type Responder interface {
	// Begin sends a replica's status and header. length is the size of the body
	// in bytes, or -1 if it is not known.
	Begin(status int, fields []HeaderField, length int64) error
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
	// End completes the answer.
	End() error
	// Refuse sends a refusal. It is called instead of Begin.
	Refuse(refusal Refusal) error
	// Abort breaks the answer off in such a way that the client cannot mistake it
	// for a complete one.
	Abort()
}

// WriteBounder is implemented by Responders whose writes can be bounded in time.
type WriteBounder interface {
	// BoundWrites makes writes fail that have not ended at the given instant of the
	// operating system's clock. It may be called while another goroutine writes.
	BoundWrites(until time.Time) error
}

// Forwarder forwards requests to replicas and their answers to the clients.
type Forwarder interface {
	Forward(ctx context.Context, now time.Time, request Request, to Responder)
}

// Authenticator checks the keys of clients.
type Authenticator interface {
	// Authenticate checks the key of a request whose body has not been read. The error
	// wraps ErrInvalidKey if no plan has the key, ErrNotFound if there is no route, and
	// ErrStaleConfig if this host does not know whether the key is still valid. It is
	// nil while no configuration is in force.
	Authenticate(now time.Time, request Request) error
}

// ReplicaRequest is a request as it is sent to one replica.
type ReplicaRequest struct {
	Request *Request
	Replica Backend
	// Plan is the plan of the client; empty if the route needs no key.
	Plan PlanName
	// Body is the body to send. For a retained turn it begins with the content of
	// the turns before it.
	Body []byte
	// Deadline is the instant at which the replica is to stop.
	Deadline time.Time
	// SendUntil is the instant after which the request must not be sent, as its permits
	// or the lease on its key have expired; zero if it needs none.
	SendUntil time.Time
	// NotRepeated is set if neither the scheduler nor the client repeats the
	// request. It is then sent on a new or recently used connection only, as
	// replicas may close idle connections without notice.
	NotRepeated bool
	// Priority is the urgency of a model request from 0, the most urgent, to 9;
	// negative for none.
	Priority int
	// PinTime is how long the replica is asked to keep the prompt in its cache;
	// zero if it is not.
	PinTime time.Duration
	// LastEventID is the event after which a stream is resumed.
	LastEventID string
}

// ReplicaAnswer is the answer of a replica.
type ReplicaAnswer struct {
	Status int
	Fields []HeaderField
	Length int64 // length of the body in bytes; -1 if unknown
	// NotRun is set if the replica did not run the request.
	NotRun bool
	// Verified is set if the answer has the replica's stamp and the id of the
	// request.
	Verified bool
	// RequestLimit is the rate at which the replica accepts requests from all hosts
	// together; zero if the answer names no limit.
	RequestLimit RequestRate
	// Leaving is set if the replica says that it is leaving.
	Leaving bool
	// Misdirected is set if another replica has taken the place of the addressed one.
	Misdirected bool
	// ClosesConnection is set if the replica closes the connection after the
	// answer.
	ClosesConnection bool
	// IsStream is set if the body is a stream of events.
	IsStream bool
	Body     Body
}

// Body reads the body of an answer. It is used by one goroutine.
type Body interface {
	// Read returns io.EOF only at the end of a complete body.
	Read(part []byte) (int, error)
	// Close returns the connection to the pool, or closes it if the body was not
	// read to its end.
	Close() error
}

// RunState is what a replica reports of a request that was sent to it.
type RunState uint8

const (
	// RunUnknown means that the report does not name the request, while requests wait in
	// the replica's queue. One that was preempted waits there, too.
	RunUnknown RunState = iota
	// RunActive means that the replica works on the request.
	RunActive
	// RunEnded means that the replica does not have the request.
	RunEnded
)

// ReplicaClient sends requests to replicas.
type ReplicaClient interface {
	// Send sends a request and returns the header of the answer. The error wraps
	// ErrNotSent if no byte of the request can have reached the replica,
	// ErrUnavailable if nothing listens at its address, and ErrConnectionLimit if the
	// request would need a connection beyond this host's share.
	Send(ctx context.Context, now time.Time, sending ReplicaRequest) (*ReplicaAnswer, error)
	// HasIdleConnection reports whether there is an idle connection that a request
	// to the replica would use. once has the meaning of
	// ReplicaRequest.NotRepeated.
	HasIdleConnection(now time.Time, replica netip.AddrPort, once bool) bool
	// CanConnect reports whether a request to the replica would find an idle connection
	// or may open one.
	CanConnect(replica netip.AddrPort) bool
	// LimitConnections bounds the connections to a replica and closes idle ones beyond.
	LimitConnections(replica netip.AddrPort, share ConnectionShare)
	// HasEnded reports whether nothing listens at the address of a replica. It is false
	// if that is not known.
	HasEnded(ctx context.Context, replica netip.AddrPort) bool
	// RunState returns what a replica reports of a request. The report may be some hundred
	// milliseconds old. The error wraps ErrOutcomeUnknown if there is no such report.
	RunState(ctx context.Context, replica Backend, id AttemptID) (RunState, error)
	// CloseIdle closes connections that have been idle for too long, and those to
	// replicas that are no longer listed.
	CloseIdle(now time.Time, replicas []Backend)
}

// Turns stores the turns and token budgets of programs on the disks of the
// cluster.
type Turns interface {
	// ReadChain returns a turn together with the turns before it, oldest first.
	// The error wraps ErrNotFound only if the turn certainly does not exist.
	ReadChain(ctx context.Context, now time.Time, id TurnID) ([]Turn, error)
	// Reserve reserves a part of the program's budget before a turn runs, and
	// returns the spends of its other turns. The error wraps ErrBudgetExhausted
	// if too little is left; nothing stays reserved then.
	Reserve(ctx context.Context, now time.Time, spend Spend, budget Tokens) ([]Spend, error)
	// Begin records the software version of a spend at which the turn's stream begins. It
	// returns once the record is durable.
	Begin(ctx context.Context, now time.Time, spend Spend) error
	// Settle replaces a reservation by the tokens that were used.
	Settle(ctx context.Context, now time.Time, spend Spend) error
	// Keep returns once the turn, and the spend if it has a program, are durable.
	Keep(ctx context.Context, now time.Time, turn Turn, spend Spend) error
	// Reached returns a channel that is closed when a disk that could not be reached
	// answers again. An operation that failed with ErrNoQuorum may then succeed.
	Reached() <-chan struct{}
}
