package zinniapond

import (
	"context"
	"net/netip"
	"time"
)

// Runner is a plug-in with work of its own. Run returns when ctx is done and
// the work is finished, or with the error that ended it.
type Runner interface {
	Run(ctx context.Context) error
}

// RolePlugin does the work of one role of a host, or a part of it. Parts are
// registered under the role's name, a dot and a name of their own.
type RolePlugin interface {
	Runner
	Role() Role
}

// Frontend serves callers or operators. It decodes, calls the Scheduler or
// Control, and encodes.
type Frontend interface {
	Runner
	// Address is where it listens, valid once Run has begun to listen.
	Address() netip.AddrPort
}

// Sink takes an answer as it is produced. It is used by one goroutine.
type Sink interface {
	// Begin is called once, before the first Write.
	Begin(status int, fields []Field) error
	Write(part []byte) error
}

// Scheduler is what a front end calls.
type Scheduler interface {
	// Submit runs a call. Parts of a streamed answer go to sink as they come;
	// the returned answer has the whole body unless sink has taken it.
	Submit(ctx context.Context, now time.Time, call Call, sink Sink) (Answer, error)
	Open(ctx context.Context, now time.Time, program Program) error
	End(ctx context.Context, now time.Time, program ProgramID, reason string) error
	View(ctx context.Context, now time.Time, program ProgramID) (History, error)
}

// Directory is the control state as this host knows it.
type Directory interface {
	// View returns the newest applied state; never nil.
	View() *ControlView
	// Catalog returns the parsed lists of View.
	Catalog() *Catalog
	// Fresh tells whether this host's lease holds at now.
	Fresh(now time.Time) bool
	// Confirmed is the instant up to which the state is known to be current.
	Confirmed() time.Time
	// Changed returns a channel that is closed at the next change of View.
	Changed() <-chan struct{}
}

// Control takes changes of the control state, on whichever host.
type Control interface {
	// Propose returns once the command is committed and applied by the
	// leader, or was refused.
	Propose(ctx context.Context, now time.Time, command Command) (CommandResult, error)
}

// Peers calls other hosts. Each call has a deadline, from ctx or by default.
type Peers interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error
}

// Mounter offers methods to other hosts. The receiver's methods have the form
// that net/rpc asks for.
type Mounter interface {
	Mount(name string, receiver any) error
}

// Journal is the owner's side of the replicated program journal.
type Journal interface {
	// Recover seals the shard at the assignment's epoch on a majority of its
	// replicas, brings a majority to the newest log, and passes the records of
	// programs that have not ended to each, in order.
	Recover(ctx context.Context, now time.Time, assignment Assignment, each func(Record) error) error
	// Append returns once a majority of the replicas has synced the records.
	Append(ctx context.Context, now time.Time, shard ShardID, epoch Epoch, records ...Record) error
	// History passes the records of one program to each, in order.
	History(ctx context.Context, now time.Time, shard ShardID, program ProgramID, each func(Record) error) error
}

// Budget reserves tokens of a plan before a call and settles them after.
type Budget interface {
	// Reserve returns ErrBudget if the plan's window has too little left.
	Reserve(ctx context.Context, now time.Time, plan Plan, amount Tokens) (Reservation, error)
	Settle(now time.Time, reservation Reservation, used Tokens)
	// Restore takes in a grant record of a shard that this host took over.
	Restore(now time.Time, shard ShardID, record Record)
	// Serve begins to grant under the epoch at which the shard is held now.
	Serve(now time.Time, shard ShardID, epoch Epoch)
	// Drop forgets the plans whose home shard was taken from this host.
	Drop(shard ShardID)
}

// Reservation is a part of a plan's budget set aside for one call.
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
	Cost    Tokens // expected service: prompt not cached, plus generated
	Arrived time.Time
	Until   time.Time // refused as not run from then on
	// Prefix and Prompt help an admit function to choose a backend server.
	Need Need
}

// Queue orders the waiting calls of one pool. It is safe for concurrent use.
type Queue interface {
	Push(now time.Time, waiting Waiting)
	// Pop removes the first call in order that admit takes. It asks admit
	// about a bounded number of calls.
	Pop(now time.Time, admit func(Waiting) bool) (Waiting, bool)
	// Remove takes a call out, as when its caller has gone.
	Remove(call CallID) bool
	// Expire removes the calls whose Until has passed.
	Expire(now time.Time) []Waiting
	// Charge adds received service to a plan and a program.
	Charge(now time.Time, plan PlanName, program ProgramID, weight int, served Tokens)
	// Forget drops what is kept for an ended program.
	Forget(program ProgramID)
	Len() int
}

// Need is what a call asks of a backend server.
type Need struct {
	Call       CallID
	Program    ProgramID
	Class      Class
	DataCentre DataCentre // of the deciding host
	Prompt     Tokens
	Most       Tokens
	Prefix     []uint64 // cumulative hashes of the prompt's blocks
	// Home is the server that read the beginning of the prompt last, and Held the
	// size of that beginning; not valid if unknown.
	Home netip.AddrPort
	Held Tokens
	// Warm tells whether there is an idle connection to a server; nil if unknown.
	Warm    func(netip.AddrPort) bool
	Exclude []netip.AddrPort // servers that this call has tried
}

// Choice is a routing decision with its reason.
type Choice struct {
	Backend netip.AddrPort
	Cached  Tokens // expected part of the prompt in the server's cache
	Reason  string
}

// Observation is what an attempt showed of a backend server.
type Observation struct {
	First  time.Duration // until the first byte
	Total  time.Duration
	Usage  Usage
	Failed bool
	// Cancelled attempts say nothing of the server's latency.
	Cancelled bool
}

// LoadReport is a backend server's own, late, statement of its load.
type LoadReport struct {
	Backend netip.AddrPort `json:"backend"`
	Taken   time.Time      `json:"taken"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
	// Programs whose cache the server holds.
	Programs []ProgramID `json:"programs"`
}

// CacheEvent says that a server has added or dropped a prompt block. Sequence
// numbers of a server are consecutive; a gap means lost events.
type CacheEvent struct {
	Backend  netip.AddrPort `json:"backend"`
	Sequence uint64         `json:"sequence"`
	Block    uint64         `json:"block"`
	Dropped  bool           `json:"dropped"`
}

// Router chooses backend servers of one pool. It is safe for concurrent use.
type Router interface {
	// Update sets the servers that may receive new work.
	Update(now time.Time, servers []Backend)
	// Pick chooses a server among those for which free is true.
	Pick(now time.Time, need Need, free func(netip.AddrPort) bool) (Choice, bool)
	Started(now time.Time, server netip.AddrPort, need Need)
	Finished(now time.Time, server netip.AddrPort, need Need, seen Observation)
	Report(now time.Time, report LoadReport)
	Event(now time.Time, event CacheEvent)
	// Estimate is the time that the call would take on an unloaded server of
	// ordinary speed; zero if nothing is known yet.
	Estimate(need Need) time.Duration
}

// Retrier allows retries and hedges within a share of all requests.
type Retrier interface {
	// Request counts a first attempt.
	Request(now time.Time)
	// Retry tells whether a failed idempotent call may run again, and after
	// which delay. tries counts the attempts made.
	Retry(now time.Time, tries int) (time.Duration, bool)
	// HedgeAfter is how long to wait before a second attempt beside the first.
	HedgeAfter(now time.Time, pool PoolName) (time.Duration, bool)
	// Hedge takes the cost of one hedge, or refuses it.
	Hedge(now time.Time) bool
	// Observe adds the latency of an attempt to the first byte.
	Observe(now time.Time, pool PoolName, first time.Duration)
}

// Limiter bounds the calls in flight to each backend server. It is safe for
// concurrent use.
type Limiter interface {
	// Acquire takes a place at the server, or reports that there is none.
	Acquire(now time.Time, server netip.AddrPort) bool
	// Free tells whether Acquire would succeed.
	Free(now time.Time, server netip.AddrPort) bool
	Release(now time.Time, server netip.AddrPort, seen Observation)
}

// Decline is a visible drop in service.
type Decline struct {
	Subject string    `json:"subject"` // "plan NAME" or "pool NAME"
	Reason  string    `json:"reason"`
	Since   time.Time `json:"since"`
}

// Detector compares service with its own past and with an unloaded estimate.
type Detector interface {
	// Observe adds one program's or call's latency; unloaded may be zero.
	Observe(now time.Time, subject string, took, unloaded time.Duration, ok bool)
	Declines(now time.Time) []Decline
}

// Pin is KV cache that a backend server holds for a program.
type Pin struct {
	Program ProgramID      `json:"program"`
	Backend netip.AddrPort `json:"backend"`
	Tokens  Tokens         `json:"tokens"`
	Expires time.Time      `json:"expires"`
}

// CacheLeases decides which KV cache to keep across a program's pauses.
type CacheLeases interface {
	// Keep records the cache left by a call and decides whether it is worth
	// holding until the returned instant; false means release it now.
	Keep(now time.Time, program ProgramID, server netip.AddrPort, held Tokens) (time.Time, bool)
	// Returned tells that the program came back after a pause.
	Returned(now time.Time, program ProgramID)
	// End removes and returns the pins of a program, to be released.
	End(program ProgramID) []Pin
	// Expired removes and returns the pins that are over.
	Expired(now time.Time) []Pin
	// Sweep returns the programs in a server's report that have no pin.
	Sweep(now time.Time, report LoadReport) []Pin
	// Held returns the pins of a program.
	Held(program ProgramID) []Pin
}

// Demand is what a model's callers ask for.
type Demand struct {
	Model   PoolName `cbor:"m"`
	Busy    float64  `cbor:"b"` // mean of replicas busy
	Waiting int      `cbor:"w"`
}

// Placer decides which replicas hold which model.
type Placer interface {
	Place(now time.Time, demand []Demand, held map[netip.AddrPort]PoolName) []Order
}

// BackendClient speaks to backend servers of one kind.
type BackendClient interface {
	// Do runs one attempt. It returns an error wrapping ErrNotSent if no byte
	// reached the server, and ErrUnavailable if the server refused the call
	// without running it because it is leaving. The answer's body is whole even if parts went to sink.
	// The part that ends a streamed answer is in the body only: the caller must
	// not see the end before the result is durable.
	Do(ctx context.Context, attempt AttemptID, server Backend, call Call, sink Sink) (Answer, error)
	// Release drops the program's KV cache on the server.
	Release(ctx context.Context, server netip.AddrPort, program ProgramID) error
	// Load asks the server for its load report.
	Load(ctx context.Context, server netip.AddrPort) (LoadReport, error)
	// Events returns the server's cache events from the given sequence number
	// on. Events may be missing; a gap shows in the numbers.
	Events(ctx context.Context, server netip.AddrPort, from uint64) ([]CacheEvent, error)
	// Order gives an order and returns what the server then says it holds.
	Order(ctx context.Context, order Order) (PoolName, error)
}

// Roster is the platform's list of backend servers, as this host has it.
type Roster interface {
	Backends() []Backend
	// Mark records that a server says of itself that it is leaving.
	Mark(now time.Time, server netip.AddrPort, state BackendState)
	Changed() <-chan struct{}
}
