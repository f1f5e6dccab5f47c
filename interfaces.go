package zinniapond

import (
	"context"
	"net/netip"
	"time"
)

// Runner is a plug-in that runs in the background. Run returns once ctx is done
// and the work has ended, or with the error that ended it.
type Runner interface {
	Run(ctx context.Context) error
}

// RolePlugin implements one role of a host, or a part of a role. Parts are
// registered under the name of the role, a dot and a name of the part.
type RolePlugin interface {
	Runner
	Role() Role
}

// Frontend serves callers or operators. It decodes requests, calls the Scheduler
// or Control, and encodes the answers.
type Frontend interface {
	Runner
	// Address returns the listening address, which is valid once Run listens.
	Address() netip.AddrPort
}

// Sink receives an answer while it is produced. It is used by one goroutine.
type Sink interface {
	// Begin is called once, before the first Write.
	Begin(status int, fields []Field) error
	Write(part []byte) error
}

// Scheduler runs the calls of programs. Front ends call it.
type Scheduler interface {
	// Submit runs a call. Parts of a streamed answer are written to sink as they
	// arrive; the returned answer has the whole body unless sink has received it.
	Submit(ctx context.Context, now time.Time, call Call, sink Sink) (Answer, error)
	Open(ctx context.Context, now time.Time, program Program) error
	End(ctx context.Context, now time.Time, program ProgramID, reason string) error
	View(ctx context.Context, now time.Time, program ProgramID) (History, error)
}

// Directory gives access to the control state as applied by this host.
type Directory interface {
	// View returns the last applied state; it is never nil.
	View() *ControlView
	// Catalog returns the parsed lists of the state that View returns.
	Catalog() *Catalog
	// Fresh reports whether this host's lease is valid at the given time.
	Fresh(now time.Time) bool
	// Confirmed returns the instant up to which the state is known to be current.
	Confirmed() time.Time
	// Changed returns a channel that is closed at the next change of View.
	Changed() <-chan struct{}
}

// Control accepts changes of the control state on any host.
type Control interface {
	// Propose returns once the leader has committed and applied the command, or
	// has refused it.
	Propose(ctx context.Context, now time.Time, command Command) (CommandResult, error)
}

// Peers calls methods of other hosts. Each call has a deadline: that of ctx, or
// else a default.
type Peers interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error
}

// Mounter makes methods callable by other hosts. The methods of the receiver
// have the signature that net/rpc requires.
type Mounter interface {
	Mount(name string, receiver any) error
}

// Journal is the owner's interface to the replicated program journal.
type Journal interface {
	// Recover seals the shard at the assignment's epoch on a majority of its
	// replicas, brings a majority up to date with the newest log, and passes the
	// records of programs that have not ended to each, in order.
	Recover(ctx context.Context, now time.Time, assignment Assignment, each func(Record) error) error
	// Append returns once a majority of the replicas has synced the records.
	Append(ctx context.Context, now time.Time, shard ShardID, epoch Epoch, records ...Record) error
	// History passes the records of one program to each, in order.
	History(ctx context.Context, now time.Time, shard ShardID, program ProgramID, each func(Record) error) error
}

// Budget reserves tokens of a plan before a call and settles the reservation
// after the call.
type Budget interface {
	// Reserve returns ErrBudget if too few tokens are left in the plan's window.
	Reserve(ctx context.Context, now time.Time, plan Plan, amount Tokens) (Reservation, error)
	Settle(now time.Time, reservation Reservation, used Tokens)
	// Restore applies a grant record from the journal of a shard that this host
	// takes over.
	Restore(now time.Time, shard ShardID, record Record)
	// Serve starts granting budgets of the plans whose home is the shard, under
	// the epoch at which this host owns it.
	Serve(now time.Time, shard ShardID, epoch Epoch)
	// Drop stops granting budgets of the plans whose home is a shard that this
	// host no longer owns, and forgets them.
	Drop(shard ShardID)
}

// Reservation is a part of a plan's budget that is reserved for one call.
type Reservation struct {
	Plan   PlanName
	Window time.Time // start of the budget window
	Amount Tokens
}

// Waiting is a call in a queue.
type Waiting struct {
	Call    CallID
	Program ProgramID
	Plan    PlanName
	Weight  int // share of the plan, at least 1
	Class   Class
	Cost    Tokens // expected tokens to process: uncached prompt plus generated
	Arrived time.Time
	Until   time.Time // deadline from which the call is refused as not run
	// Need is passed to Router.Pick by the admit function of Queue.Pop.
	Need Need
}

// Queue orders the waiting calls of one pool. It is safe for concurrent use.
type Queue interface {
	Push(now time.Time, waiting Waiting)
	// Pop removes and returns the first call, in queue order, for which admit
	// returns true. It calls admit for a bounded number of calls.
	Pop(now time.Time, admit func(Waiting) bool) (Waiting, bool)
	// Remove removes a call, for example if its caller has disconnected.
	Remove(call CallID) bool
	// Expire removes and returns the calls whose Until has passed.
	Expire(now time.Time) []Waiting
	// Charge adds processed tokens to the usage of a plan and a program.
	Charge(now time.Time, plan PlanName, program ProgramID, weight int, served Tokens)
	// Forget removes the accounting state of a program that has ended.
	Forget(program ProgramID)
	Len() int
}

// Need describes a call for the choice of a backend server.
type Need struct {
	Call       CallID
	Program    ProgramID
	Class      Class
	DataCentre DataCentre // data centre of the host that chooses
	Prompt     Tokens
	Most       Tokens
	Prefix     []uint64 // cumulative hashes of the prompt's blocks
	// Home is the server that last processed a prefix of the prompt, and Held the
	// size of that prefix. Home is not valid if unknown.
	Home netip.AddrPort
	Held Tokens
	// Warm reports whether there is an idle connection to a server; nil if
	// unknown.
	Warm    func(netip.AddrPort) bool
	Exclude []netip.AddrPort // servers that this call has already tried
}

// Choice is a routing decision with its reason.
type Choice struct {
	Backend netip.AddrPort
	Cached  Tokens // expected part of the prompt in the server's cache
	Reason  string
}

// Observation is the outcome of an attempt as input for routing and limits.
type Observation struct {
	First  time.Duration // time to the first byte
	Total  time.Duration // time to the end of the answer
	Usage  Usage
	Failed bool
	// Cancelled attempts give no information about the server's latency.
	Cancelled bool
}

// LoadReport is the load of a backend server as reported by itself, with a
// delay.
type LoadReport struct {
	Backend netip.AddrPort `json:"backend"`
	Taken   time.Time      `json:"taken"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
	// Programs are the programs of which the server has KV cache.
	Programs []ProgramID `json:"programs"`
}

// CacheEvent reports that a server has added a prompt block to its cache or
// dropped it. The sequence numbers of a server are consecutive; a gap means that
// events were lost.
type CacheEvent struct {
	Backend  netip.AddrPort `json:"backend"`
	Sequence uint64         `json:"sequence"`
	Block    uint64         `json:"block"`
	Dropped  bool           `json:"dropped"`
}

// Router chooses backend servers of one pool. It is safe for concurrent use.
type Router interface {
	// Update sets the servers that may receive new calls.
	Update(now time.Time, servers []Backend)
	// Pick chooses a server among those for which free returns true.
	Pick(now time.Time, need Need, free func(netip.AddrPort) bool) (Choice, bool)
	Started(now time.Time, server netip.AddrPort, need Need)
	Finished(now time.Time, server netip.AddrPort, need Need, seen Observation)
	Report(now time.Time, report LoadReport)
	Event(now time.Time, event CacheEvent)
	// Estimate returns the time that the call would take on an unloaded server of
	// typical speed; zero if nothing is known yet.
	Estimate(need Need) time.Duration
}

// Retrier limits retries and hedged attempts to a share of all requests.
type Retrier interface {
	// Request counts a first attempt.
	Request(now time.Time)
	// Retry reports whether a failed idempotent call may be retried, and after
	// which delay. tries is the number of attempts made.
	Retry(now time.Time, tries int) (time.Duration, bool)
	// HedgeAfter returns the delay after which a second attempt may be started
	// while the first still runs, and whether there may be one.
	HedgeAfter(now time.Time, pool PoolName) (time.Duration, bool)
	// Hedge charges the cost of one hedged attempt, or returns false.
	Hedge(now time.Time) bool
	// Observe records the time to the first byte of an attempt.
	Observe(now time.Time, pool PoolName, first time.Duration)
}

// Limiter bounds the calls in flight to each backend server. It is safe for
// concurrent use.
type Limiter interface {
	// Acquire takes a slot of the server; it returns false if there is none.
	Acquire(now time.Time, server netip.AddrPort) bool
	// Free reports whether Acquire would succeed.
	Free(now time.Time, server netip.AddrPort) bool
	Release(now time.Time, server netip.AddrPort, seen Observation)
}

// Decline is a loss of service quality that callers notice.
type Decline struct {
	Subject string    `json:"subject"` // "plan NAME" or "pool NAME"
	Reason  string    `json:"reason"`
	Since   time.Time `json:"since"`
}

// Detector detects degradations: it compares latencies and failures with their
// past and with the estimate for an unloaded server.
type Detector interface {
	// Observe records the latency of a program or call. unloaded is the estimate
	// for an unloaded server; zero if there is none.
	Observe(now time.Time, subject string, took, unloaded time.Duration, ok bool)
	Declines(now time.Time) []Decline
}

// Pin is KV cache that a backend server retains for a program.
type Pin struct {
	Program ProgramID      `json:"program"`
	Backend netip.AddrPort `json:"backend"`
	Tokens  Tokens         `json:"tokens"`
	Expires time.Time      `json:"expires"`
}

// CacheLeases decides which KV cache servers retain between the calls of a
// program.
type CacheLeases interface {
	// Keep records the cache that a call has left on a server and decides whether
	// it is retained until the returned instant; if false, it is to be released
	// at once.
	Keep(now time.Time, program ProgramID, server netip.AddrPort, held Tokens) (time.Time, bool)
	// Returned records that the program has sent a call after a pause.
	Returned(now time.Time, program ProgramID)
	// End removes and returns the pins of a program that has ended. The caller
	// releases them.
	End(program ProgramID) []Pin
	// Expired removes and returns the pins that have expired.
	Expired(now time.Time) []Pin
	// Sweep returns the programs in a server's load report that have no pin.
	Sweep(now time.Time, report LoadReport) []Pin
	// Held returns the pins of a program.
	Held(program ProgramID) []Pin
}

// Demand is the load of one model.
type Demand struct {
	Model   PoolName `cbor:"m"`
	Busy    float64  `cbor:"b"` // mean number of busy replicas
	Waiting int      `cbor:"w"` // calls in the queue
}

// Placer decides which model each replica loads.
type Placer interface {
	Place(now time.Time, demand []Demand, held map[netip.AddrPort]PoolName) []Order
}

// BackendClient is the client of backend servers of one kind.
type BackendClient interface {
	// Do runs one attempt. It returns an error wrapping ErrNotSent if no byte
	// reached the server, and ErrUnavailable if the server refused the call
	// without running it because it is leaving. The body of the answer is complete
	// even if parts were written to sink. The part that ends a streamed answer is
	// in the body only: the caller must not see the end before the result is
	// durable.
	Do(ctx context.Context, attempt AttemptID, server Backend, call Call, sink Sink) (Answer, error)
	// Release releases the program's KV cache on the server.
	Release(ctx context.Context, server netip.AddrPort, program ProgramID) error
	// Load requests the server's load report.
	Load(ctx context.Context, server netip.AddrPort) (LoadReport, error)
	// Events returns the server's cache events from the given sequence number
	// on. Events may be missing, which shows as a gap in the sequence numbers.
	Events(ctx context.Context, server netip.AddrPort, from uint64) ([]CacheEvent, error)
	// Order sends an order and returns the model that the server then reports as
	// loaded.
	Order(ctx context.Context, order Order) (PoolName, error)
}

// Roster gives access to the platform's list of backend servers as known to this
// host.
type Roster interface {
	Backends() []Backend
	// Mark records the state that a server has reported of itself, in particular
	// that it is leaving.
	Mark(now time.Time, server netip.AddrPort, state BackendState)
	// Changed returns a channel that is closed at the next change of Backends.
	Changed() <-chan struct{}
}
