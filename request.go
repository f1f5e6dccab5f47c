package zinniapond

import (
	"context"
	"net/netip"
	"time"
)

// Request is one attempt of a client, as a front end decodes it. The attempt
// has an id of its own and is never the same as an earlier one.
type Request struct {
	ID     AttemptID
	Host   string // without port, lower case
	Method string
	Path   string
	// Target is the path with its query, as it was sent.
	Target string
	Fields []Field // to be passed on
	Body   []byte
	// Received is when the header was read.
	Received time.Time
	// Wait is how long the client waits; zero if it does not say.
	Wait time.Duration
	// Affinity names the object that the request is about; may be empty.
	Affinity string

	// Of a model request.
	Parts     []Part // of the prompt, in order
	Prompt    Tokens
	Most      Tokens // most tokens to generate
	LastEvent string // resume after this event; empty for the whole stream

	// Of an agent program.
	Program  ProgramID
	Session  string
	Previous TurnID // turn that this one continues; empty at the start
	// Finish is the time until the program should be finished; zero if unknown.
	Finish time.Duration
	Budget Tokens // of the program; 0 for none
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens Tokens
}

// Refusal is an answer of the system's own, in place of a replica's.
type Refusal struct {
	Reason error // one of the reasons of this package, wrapped
	// After tells when a new attempt may succeed; zero if unknown.
	After time.Duration
}

// Responder takes the answer to a Request. It is used by one goroutine. After
// End, Refuse or Abort nothing follows.
type Responder interface {
	// Begin passes a replica's status and header. length is the size of the
	// body in bytes, or -1 if it is not known.
	Begin(status int, fields []Field, length int64) error
	// Write passes a part of the body on at once.
	Write(part []byte) error
	// End completes the answer.
	End() error
	// Refuse answers with a refusal, before Begin.
	Refuse(refusal Refusal) error
	// Abort ends an answer so that it cannot be taken for a complete one.
	Abort()
}

// Forwarder runs requests at replicas.
type Forwarder interface {
	Forward(ctx context.Context, now time.Time, request Request, to Responder)
}

// Sending is a request as it is sent to one replica.
type Sending struct {
	Request *Request
	Replica Backend
	// Body is the body to send; a retained turn's has its chain before it.
	Body []byte
	// Until is when the replica is to stop.
	Until time.Time
	// Once is set for a request that its client does not repeat either.
	Once bool
	// Priority is the urgency of a model request, 0 to 9, 0 first; negative for
	// none.
	Priority int
	// Pin is how long the replica is asked to keep the prompt; zero for not.
	Pin time.Duration
	// LastEvent resumes a stream.
	LastEvent string
}

// Received is a replica's answer.
type Received struct {
	Status int
	Fields []Field
	Length int64 // of the body in bytes; -1 if unknown
	// NotRun tells that the replica did not run the request.
	NotRun bool
	// Genuine tells that the answer bears the replica's stamp and belongs to the
	// request.
	Genuine bool
	// Leaving tells that the replica closes the connection after the answer.
	Leaving bool
	// Stream tells that the body is a series of events.
	Stream bool
	Body   Body
}

// Body reads the body of an answer. It is used by one goroutine.
type Body interface {
	// Read returns io.EOF only at the end of a complete body.
	Read(part []byte) (int, error)
	// Close gives the connection back, or drops it if the body was not read to
	// its end.
	Close() error
}

// ReplicaClient sends requests to replicas.
type ReplicaClient interface {
	// Send sends a request and returns the header of the answer. The error wraps
	// ErrNotSent if no byte of the request can have reached the replica.
	Send(ctx context.Context, now time.Time, sending Sending) (*Received, error)
	// Idle tells whether a request to a replica would find a kept connection. once
	// is as in Sending.
	Idle(now time.Time, replica netip.AddrPort, once bool) bool
	// Limit closes connections that are idle for too long, and those to replicas
	// that are gone.
	Limit(now time.Time, replicas []Backend)
}

// Turns keeps the turns and token budgets of programs on the disks of the
// system.
type Turns interface {
	// Chain returns a turn with those before it, oldest first. The error wraps
	// ErrNotFound only if the turn certainly does not exist.
	Chain(ctx context.Context, now time.Time, id TurnID) ([]Turn, error)
	// Reserve takes a part of the budget before a turn runs, and returns what other
	// turns have taken. The error wraps ErrBudget if too little is left; nothing
	// stays reserved then.
	Reserve(ctx context.Context, now time.Time, spend Spend, budget Tokens) ([]Spend, error)
	// Settle replaces a reservation by what was used.
	Settle(ctx context.Context, now time.Time, spend Spend) error
	// Keep returns once the turn, and the spend if it has a program, are durable.
	Keep(ctx context.Context, now time.Time, turn Turn, spend Spend) error
}
