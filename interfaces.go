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
	Begin(status int, fields []HeaderField) error
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
	// LeaseValid reports whether this host's lease is valid at the given time.
	LeaseValid(now time.Time) bool
	// ConfirmedAt returns the instant up to which the state is known to be
	// current.
	ConfirmedAt() time.Time
	// Changed returns a channel that is closed at the next change of View.
	Changed() <-chan struct{}
}

// Control accepts changes of the control state on any host.
type Control interface {
	// Propose returns once the leader has committed and applied the command, or
	// has refused it.
	Propose(ctx context.Context, now time.Time, command Command) (CommandResult, error)
}

// BulkReply is a reply that may be large and that many hosts may get at the same time. A
// server encodes and sends a few of them at a time, as their copies would need the size of
// a reply for each host.
type BulkReply interface {
	// Bulk returns the approximate size in bytes, or 0 if the reply must not wait for
	// others.
	Bulk() int
	// Shrink removes what makes the reply large. The receiver asks again.
	Shrink()
}

// Peers calls methods of other hosts. Each call has a deadline: that of ctx, or
// else a default.
type Peers interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error
}

// BulkPeers is implemented by Peers that can wait for a large reply while it arrives.
type BulkPeers interface {
	// CallBulk is Call with a limit for the time without progress in place of a deadline:
	// it fails once no part of a large reply has come from the peer for that time, or
	// after a multiple of it in all.
	CallBulk(ctx context.Context, limit time.Duration, peer netip.AddrPort, method string, request, reply any) error
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
	// Reserve returns ErrBudgetExhausted if too few tokens are left in the plan's
	// window.
	Reserve(ctx context.Context, now time.Time, plan Plan, amount Tokens) (Reservation, error)
	Settle(now time.Time, reservation Reservation, used Tokens)
	// Restore applies a grant record from the journal of a shard that this host
	// takes over.
	Restore(now time.Time, shard ShardID, record Record)
	// StartGranting starts granting budgets of the plans whose home is the
	// shard, under the epoch at which this host owns it.
	StartGranting(now time.Time, shard ShardID, epoch Epoch)
	// StopGranting stops granting budgets of the plans whose home is a shard
	// that this host no longer owns, and forgets them.
	StopGranting(shard ShardID)
}

// Reservation is a part of a plan's budget that is reserved for one call.
type Reservation struct {
	Plan        PlanName
	WindowStart time.Time // start of the budget window
	Amount      Tokens
}

// QueuedCall is a call in a queue.
type QueuedCall struct {
	Call      CallID
	Program   ProgramID
	Plan      PlanName
	Weight    int // share of the plan, at least 1
	Class     Class
	Cost      Tokens // expected tokens to process: uncached prompt plus generated
	ArrivedAt time.Time
	Deadline  time.Time // instant from which the call is refused as not run
	// PickInfo is passed to Router.Pick by the admit function of Queue.Pop.
	PickInfo PickInfo
}

// Queue orders the waiting calls of one pool. It is safe for concurrent use.
type Queue interface {
	Push(now time.Time, waiting QueuedCall)
	// Pop removes and returns the first call, in queue order, for which admit
	// returns true. It calls admit for a bounded number of calls.
	Pop(now time.Time, admit func(QueuedCall) bool) (QueuedCall, bool)
	// Remove removes a call, for example if its caller has disconnected.
	Remove(call CallID) bool
	// Expire removes and returns the calls whose Deadline has passed.
	Expire(now time.Time) []QueuedCall
	// Charge adds processed tokens to the usage of a plan and a program.
	Charge(now time.Time, plan PlanName, program ProgramID, weight int, served Tokens)
	// Forget removes the accounting state of a program that has ended.
	Forget(program ProgramID)
	Len() int
}

// PickInfo describes a call for the choice of a backend server.
type PickInfo struct {
	Call         CallID
	Program      ProgramID
	Class        Class
	DataCentre   DataCentre // data centre of the host that chooses
	PromptTokens Tokens
	MaxGenerated Tokens
	PrefixHashes []uint64 // cumulative hashes of the prompt's blocks
	// PrefixBackend is the server that last processed a prefix of the prompt, and
	// PrefixTokens the size of that prefix. PrefixBackend is not valid if unknown.
	PrefixBackend netip.AddrPort
	PrefixTokens  Tokens
	// SharedTokens is the size of the beginning of the prompt that other conversations
	// have too; zero if there is none.
	SharedTokens Tokens
	// HasIdleConnection reports whether there is an idle connection to a server;
	// nil if unknown.
	HasIdleConnection func(netip.AddrPort) bool
	// CanConnect reports whether a connection to a server may be opened or is idle; nil
	// if connections are not limited.
	CanConnect func(netip.AddrPort) bool
	Exclude    []netip.AddrPort // servers that this call has already tried
	// Version is the only software version that may get the call; empty for any.
	Version SoftwareVersion
	// RemainingTime is the time until the deadline of the call; zero if it has none.
	RemainingTime time.Duration
}

// Fits reports whether a server has the software version that the call needs.
func (i PickInfo) Fits(server Backend) bool { return i.Version == "" || server.Version == i.Version }

// Choice is a routing decision with its reason.
type Choice struct {
	Backend      netip.AddrPort
	CachedTokens Tokens // expected part of the prompt in the server's cache
	// ExpectedTime is the time that the call is expected to take on the server as it
	// is loaded now; zero if unknown.
	ExpectedTime time.Duration
	Reason       string
}

// Observation is the outcome of an attempt as input for routing and limits.
type Observation struct {
	TimeToFirstByte time.Duration // time to the first byte
	Duration        time.Duration // time to the end of the answer
	Usage           Usage
	Failed          bool
	// Cancelled attempts give no information about the server's latency.
	Cancelled bool
}

// LoadReport is the load of a backend server as reported by itself, with a
// delay.
type LoadReport struct {
	Backend      netip.AddrPort `json:"backend"`
	TakenAt      time.Time      `json:"taken"`
	RunningCalls int            `json:"running"`
	WaitingCalls int            `json:"waiting"`
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
	Pick(now time.Time, need PickInfo, free func(netip.AddrPort) bool) (Choice, bool)
	AttemptStarted(now time.Time, server netip.AddrPort, need PickInfo)
	AttemptFinished(now time.Time, server netip.AddrPort, need PickInfo, seen Observation)
	UpdateLoad(now time.Time, report LoadReport)
	ApplyCacheEvent(now time.Time, event CacheEvent)
	// EstimateDuration returns the time that the call would take on an unloaded
	// server of typical speed; zero if nothing is known yet.
	EstimateDuration(need PickInfo) time.Duration
}

// PauseRecorder is a Router that measures calls in flight.
type PauseRecorder interface {
	// RecordPause records that the answer to a call is not read for now, as its client does
	// not take it, or that it is read again.
	RecordPause(now time.Time, server netip.AddrPort, call CallID, isPaused bool)
}

// TurnState is what is known of a turn when it is sent to a model server.
type TurnState struct {
	Priority int // of the route, 0 is the highest
	// PlanPriority is the priority of the client's plan, 0 is the highest. It is valid
	// if HasPlan is set.
	PlanPriority int
	HasPlan      bool
	// FinishBy is the instant by which the program should finish; zero if unknown.
	FinishBy time.Time
}

// Urgency ranks the turns that wait at model servers, which admit the most urgent
// first.
type Urgency interface {
	// Rank returns the urgency from 0, the most urgent, to 9.
	Rank(now time.Time, turn TurnState) int
}

// Retrier limits retries and hedged attempts to a share of all requests.
type Retrier interface {
	// CountRequest counts a first attempt.
	CountRequest(now time.Time)
	// AllowRetry reports whether a failed idempotent call may be retried, and
	// after which delay. tries is the number of attempts made.
	AllowRetry(now time.Time, tries int) (time.Duration, bool)
	// HedgeDelay returns the delay after which a second attempt may be started
	// while the first still runs, and whether there may be one.
	HedgeDelay(now time.Time, pool PoolName) (time.Duration, bool)
	// AllowHedge charges the cost of one hedged attempt, or returns false.
	AllowHedge(now time.Time) bool
	// ObserveLatency records the time to the first byte of an attempt.
	ObserveLatency(now time.Time, pool PoolName, first time.Duration)
}

// Limiter bounds the calls in flight to each backend server. It is safe for
// concurrent use.
type Limiter interface {
	// Acquire takes a slot of the server; it returns false if there is none.
	Acquire(now time.Time, server netip.AddrPort) bool
	// CanAcquire reports whether Acquire would succeed.
	CanAcquire(now time.Time, server netip.AddrPort) bool
	Release(now time.Time, server netip.AddrPort, seen Observation)
}

// Degradation is a loss of service quality that callers notice.
type Degradation struct {
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
	Degradations(now time.Time) []Degradation
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
	// Retain records the cache that a call has left on a server and decides
	// whether it is retained until the returned instant; if false, it is to be
	// released at once.
	Retain(now time.Time, program ProgramID, server netip.AddrPort, held Tokens) (time.Time, bool)
	// PauseEnded records that the program has sent a call after a pause.
	PauseEnded(now time.Time, program ProgramID)
	// RemoveProgram removes and returns the pins of a program that has ended.
	// The caller releases them.
	RemoveProgram(program ProgramID) []Pin
	// RemoveExpired removes and returns the pins that have expired.
	RemoveExpired(now time.Time) []Pin
	// FindUnpinned returns the programs in a server's load report that have no
	// pin.
	FindUnpinned(now time.Time, report LoadReport) []Pin
	// ProgramPins returns the pins of a program.
	ProgramPins(program ProgramID) []Pin
}

// Demand is the load of one model.
type Demand struct {
	Model        PoolName `cbor:"m"`
	BusyReplicas float64  `cbor:"b"` // mean number of busy replicas
	WaitingCalls int      `cbor:"w"` // calls in the queue
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
	// ReleaseCache releases the program's KV cache on the server.
	ReleaseCache(ctx context.Context, server netip.AddrPort, program ProgramID) error
	// FetchLoadReport requests the server's load report.
	FetchLoadReport(ctx context.Context, server netip.AddrPort) (LoadReport, error)
	// FetchCacheEvents returns the server's cache events from the given sequence
	// number on. Events may be missing, which shows as a gap in the sequence
	// numbers.
	FetchCacheEvents(ctx context.Context, server netip.AddrPort, from uint64) ([]CacheEvent, error)
	// SendOrder sends an order and returns the model that the server then
	// reports as loaded.
	SendOrder(ctx context.Context, order Order) (PoolName, error)
}

// Roster gives access to the platform's list of backend servers as known to this
// host.
type Roster interface {
	Backends() []Backend
	// SetState records the state that a server has reported of itself, in
	// particular that it is leaving.
	SetState(now time.Time, server netip.AddrPort, state BackendState)
	// MarkLeaving records that a server has said in an answer that it is leaving.
	// Unlike a state set by SetState, this holds for as long as the server is listed
	// under its id, unless the list shows it as live again after it has shown it as
	// leaving.
	MarkLeaving(now time.Time, server Backend)
	// Changed returns a channel that is closed at the next change of Backends.
	Changed() <-chan struct{}
}
