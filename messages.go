package zinniapond

import (
	"time"
)

// CommandKind determines what a command changes.
type CommandKind string

// The commands of the control log.
const (
	CommandEmpty    CommandKind = "empty" // first record of a term
	CommandLists    CommandKind = "lists"
	CommandRegister CommandKind = "register"
	CommandMember   CommandKind = "member" // state of a member
	CommandAssign   CommandKind = "assign"
	CommandVoters   CommandKind = "voters"
	CommandOrder    CommandKind = "order"
	CommandRouting  CommandKind = "routing"
	CommandDisk     CommandKind = "disk"
	CommandBackends CommandKind = "backends"
	// CommandBackendsEdit changes the list. It is a kind of its own: a host that does not
	// know the field of the edit would apply an empty list.
	CommandBackendsEdit CommandKind = "backends-edit"
)

// Command is one change of the control state.
type Command struct {
	Kind CommandKind `cbor:"k"`
	// ChangeID identifies a change of the lists; if the change is sent again, the
	// outcome of the first time is returned.
	ChangeID ChangeID `cbor:"c,omitempty"`
	// ExpectedVersion is the version of the lists that the change is based on.
	ExpectedVersion Version      `cbor:"x,omitempty"`
	Plans           string       `cbor:"p,omitempty"`
	Usage           string       `cbor:"u,omitempty"`
	Member          *Member      `cbor:"m,omitempty"`
	Assignments     []Assignment `cbor:"a,omitempty"`
	Voters          []VoterKey   `cbor:"v,omitempty"`
	Order           *Order       `cbor:"o,omitempty"`
	Shards          int          `cbor:"s,omitempty"` // set by the first command
	// Faults are the faults of the lists. The leader determines them before it
	// appends the command, so that hosts with different versions of the parser
	// still apply the same outcome.
	Faults []ListFault `cbor:"f,omitempty"`
	// PlansEdit and UsageEdit replace Plans and Usage in a record: the leader
	// records only the difference from version ExpectedVersion. Digest is a hash
	// of the whole change.
	PlansEdit *ListEdit `cbor:"pe,omitempty"`
	UsageEdit *ListEdit `cbor:"ue,omitempty"`
	Digest    uint64    `cbor:"d,omitempty"`

	Routing *Routing    `cbor:"ro,omitempty"`
	Disk    *DiskChange `cbor:"di,omitempty"`
	// Backends is the complete list of replicas. BackendsIndex is the index of the record
	// whose list it replaces; the command applies only if there is no later one. It is 0
	// for the first list.
	Backends      []Backend `cbor:"b,omitempty"`
	BackendsIndex Index     `cbor:"bx,omitempty"`
	// BackendsEdit is the difference from the list in force.
	BackendsEdit *BackendsEdit `cbor:"be,omitempty"`
	// ReadAt is when the list of replicas was read, by the clock of the host that has read
	// it.
	ReadAt time.Time `cbor:"ra,omitzero"`
}

// CommandResult is the outcome of a committed command.
type CommandResult struct {
	Index    Index       `cbor:"i" json:"index"`
	Accepted bool        `cbor:"ok" json:"accepted"`
	Conflict bool        `cbor:"cf,omitempty" json:"conflict,omitempty"`
	Reason   string      `cbor:"why,omitempty" json:"reason,omitempty"`
	Lists    Lists       `cbor:"l" json:"lists"` // lists in force after the command
	Faults   []ListFault `cbor:"f,omitempty" json:"faults,omitempty"`
	Epoch    Epoch       `cbor:"e,omitempty" json:"epoch,omitempty"`
}

// LogEntry is one record of the control log.
type LogEntry struct {
	Index Index  `cbor:"i"`
	Term  Term   `cbor:"t"`
	Data  []byte `cbor:"d"` // encoded Command
	// Voters is the voter set in force from this record on; nil if the record does
	// not change it.
	Voters []VoterKey `cbor:"v,omitempty"`
}

// VoterKey identifies a voter by its name and disk. A host that has lost its
// disk returns with a new DiskID and therefore as a new voter, so that it cannot
// vote twice in a term or acknowledge records that it has lost.
type VoterKey struct {
	Name HostName `cbor:"n" json:"name"`
	Disk DiskID   `cbor:"d" json:"disk"`
}

// Snapshot is the control state up to and including Index.
type Snapshot struct {
	Index  Index      `cbor:"i"`
	Term   Term       `cbor:"t"`
	Voters []VoterKey `cbor:"v"`
	Data   []byte     `cbor:"d"`
}

// LogChange is a change of a voter's durable state. The voter syncs it to its
// disk before it acts on it. Read back from the disk, it is the whole state.
type LogChange struct {
	Term     Term
	VotedFor VoterKey // candidate that got the vote in Term
	// Entries replace all records from index FromIndex on.
	FromIndex Index
	Entries   []LogEntry
	// Snapshot, if any, replaces all records up to its index.
	Snapshot *Snapshot
	// Sequence numbers the changes of one process. Truncations is the number of
	// truncations of its log: a change from before the last truncation does not
	// confirm the records that follow it.
	Sequence    uint64
	Truncations uint64
}

// FetchRequest requests records from the control leader. It is also the
// heartbeat of its sender.
type FetchRequest struct {
	Sender       HostName      `cbor:"s"`
	MemberEpoch  Epoch         `cbor:"m"` // epoch of the sender's registration
	Term         Term          `cbor:"t"`
	NextIndex    Index         `cbor:"n"` // first requested index
	PrevTerm     Term          `cbor:"l"` // term of the record before NextIndex
	AppliedIndex Index         `cbor:"a"` // last record that the sender has applied
	MaxWait      time.Duration `cbor:"w"` // longest time for which the leader may hold the request
	// Disk is set by voters and by hosts that apply to become one.
	Disk DiskID `cbor:"d,omitempty"`
	// Stamp is the Stamp of the last reply of the same term. It proves to the
	// leader that the sender followed it at that instant of the leader's clock.
	Stamp time.Duration `cbor:"st,omitempty"`
	// IsContact is set by a voter that has records which are not durable, and by a host that
	// looks for the leader. The request only proves that its sender follows the leader, and
	// gets no records.
	IsContact bool `cbor:"co,omitempty"`
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Term   Term     `cbor:"t"`
	Leader HostName `cbor:"ld"` // empty if unknown
	// Accepted is false if the receiver is not the leader.
	Accepted    bool       `cbor:"ok"`
	Entries     []LogEntry `cbor:"e,omitempty"`
	CommitIndex Index      `cbor:"c"`
	// Diverged makes the follower truncate its log after MatchIndex.
	Diverged   bool      `cbor:"dv,omitempty"`
	MatchIndex Index     `cbor:"mt,omitempty"`
	Snapshot   *Snapshot `cbor:"sn,omitempty"`
	// QuorumAge is the age of the leader's last contact with a majority at the
	// arrival of the request; negative if the contact was later, while the leader
	// held the request.
	QuorumAge time.Duration `cbor:"q"`
	// CommittedOwnTerm is false until the leader has committed a record of its
	// own term. Until then CommitIndex may be lower than the commit index of an
	// earlier leader, and the reply renews no lease.
	CommittedOwnTerm bool `cbor:"cu,omitempty"`
	// Stamp is the time since the leader's election, by the leader's clock.
	Stamp time.Duration `cbor:"st,omitempty"`
	// Fenced is set if the sender's registration is no longer valid.
	Fenced bool `cbor:"fn,omitempty"`
	// Urgent is set in the reply to a voter, which does not wait for those to hosts.
	Urgent bool `cbor:"-"`
}

// Shrink implements BulkReply. Without the records up to CommitIndex, the reply renews no
// lease.
func (r *FetchReply) Shrink() { r.Entries, r.Snapshot = nil, nil }

// Bulk implements BulkReply.
func (r *FetchReply) Bulk() int {
	if r.Urgent {
		return 0
	}
	size := 0
	for _, e := range r.Entries {
		size += len(e.Data)
	}
	if r.Snapshot != nil {
		size += len(r.Snapshot.Data)
	}
	return size
}

// ProposeRequest proposes a command to the control leader.
type ProposeRequest struct {
	Sender  HostName `cbor:"s"`
	Command Command  `cbor:"c"`
}

// ProposeReply answers a ProposeRequest.
type ProposeReply struct {
	Leader HostName `cbor:"ld"` // present leader; empty if unknown
	// Accepted is false if the receiver is not the leader or has lost its
	// majority; the command may still have been committed in the second case.
	Accepted bool          `cbor:"ok"`
	Result   CommandResult `cbor:"r"`
	// RetryAfter is set if the leader accepts the command only after this time.
	RetryAfter time.Duration `cbor:"ra,omitempty"`
}

// RecordKind is the kind of a journal record.
type RecordKind string

// The records of the program journal.
const (
	RecordOpen   RecordKind = "open"
	RecordIntent RecordKind = "intent"
	RecordResult RecordKind = "result"
	RecordEnd    RecordKind = "end"
	RecordGrant  RecordKind = "grant"
	RecordEmpty  RecordKind = "empty" // first record of an epoch
)

// Record is one event of a program, or a grant, in the journal.
type Record struct {
	Kind          RecordKind `cbor:"k"`
	Program       ProgramID  `cbor:"p,omitempty"`
	At            time.Time  `cbor:"at"`
	OpenedProgram *Program   `cbor:"o,omitempty"`
	Call          *Call      `cbor:"c,omitempty"` // set in RecordIntent
	Answer        *Answer    `cbor:"a,omitempty"` // set in RecordResult
	Reason        string     `cbor:"w,omitempty"` // set in RecordEnd
	Grant         *Grant     `cbor:"g,omitempty"`
}

// Grant is a part of a plan's budget that one host may spend in one window.
type Grant struct {
	Plan        PlanName      `cbor:"p"`
	Holder      HostName      `cbor:"h"`
	WindowStart time.Time     `cbor:"w"` // start of the window
	Amount      Tokens        `cbor:"a"` // negative if the holder has returned it
	ValidFor    time.Duration `cbor:"l"` // time for which the holder may spend it
}

// JournalEntry is a record with its position in the log of a shard.
type JournalEntry struct {
	Index   Index      `cbor:"i"`
	Epoch   Epoch      `cbor:"e"`
	Program ProgramID  `cbor:"p"`
	Kind    RecordKind `cbor:"k"`
	Data    []byte     `cbor:"d"` // encoded Record
}

// AppendRequest replicates journal entries to a replica of a shard.
type AppendRequest struct {
	Sender      HostName       `cbor:"s"`
	Shard       ShardID        `cbor:"sh"`
	Epoch       Epoch          `cbor:"e"`
	PrevIndex   Index          `cbor:"pi"`
	PrevEpoch   Epoch          `cbor:"pe"`
	CommitIndex Index          `cbor:"c"`
	Entries     []JournalEntry `cbor:"en"`
	// LastIndex is the last index that the request covers. Entries up to it that
	// are missing from Entries were removed after the retention time.
	LastIndex Index `cbor:"l"`
	// StartVoting is set once the replica has the whole log; from then on it
	// counts towards a majority.
	StartVoting bool `cbor:"v,omitempty"`
}

// AppendReply answers an AppendRequest once the entries are synced.
type AppendReply struct {
	Accepted      bool  `cbor:"ok"`
	PromisedEpoch Epoch `cbor:"e"` // highest epoch that the replica has promised
	// LastIndex is the last index of the replica's log or, if the request was not
	// accepted, the last one that may match the sender's log.
	LastIndex Index `cbor:"l"`
	Voting    bool  `cbor:"v"` // whether the replica counts towards a majority
}

// EpochSpan is an epoch with the first index that was written under it.
type EpochSpan struct {
	Epoch      Epoch `cbor:"e"`
	FirstIndex Index `cbor:"f"`
}

// SealRequest makes a replica promise to refuse epochs up to Epoch, except for
// appends of the sender.
type SealRequest struct {
	Sender HostName `cbor:"s"`
	Shard  ShardID  `cbor:"sh"`
	Epoch  Epoch    `cbor:"e"`
	// StartVotingIfEmpty makes an empty replica count towards a majority. It is
	// set if all replicas of the shard are empty, which are then the first ones of
	// a new log.
	StartVotingIfEmpty bool `cbor:"fo,omitempty"`
}

// SealReply answers a SealRequest once the promise is synced.
type SealReply struct {
	Accepted      bool  `cbor:"ok"`
	PromisedEpoch Epoch `cbor:"e"`
	FirstIndex    Index `cbor:"f"` // first index of the replica's log; 0 if it is empty
	LastIndex     Index `cbor:"l"`
	LastEpoch     Epoch `cbor:"le"`
	// Voting is false if the replica has lost its disk or never had the whole log.
	// It then does not count towards a majority.
	Voting bool        `cbor:"v"`
	Spans  []EpochSpan `cbor:"sp,omitempty"`
}

// ReadRequest requests entries of a shard, or of one program, from a replica.
type ReadRequest struct {
	Shard      ShardID   `cbor:"sh"`
	Program    ProgramID `cbor:"p,omitempty"` // empty for all programs
	FromIndex  Index     `cbor:"f"`
	MaxEntries int       `cbor:"m"`            // largest number of entries in the reply
	OnlyLive   bool      `cbor:"lv,omitempty"` // only programs that have not ended
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Entries   []JournalEntry `cbor:"e"`
	NextIndex Index          `cbor:"n"` // index from which to read on; 0 at the end
	// The state of the replica at the time of the read.
	PromisedEpoch Epoch `cbor:"pr"`
	LastIndex     Index `cbor:"l"`
	Voting        bool  `cbor:"v"`
}

// GrantRequest requests a part of a plan's budget from the owner of the plan's
// home shard.
type GrantRequest struct {
	Sender HostName `cbor:"s"`
	Plan   PlanName `cbor:"p"`
	Amount Tokens   `cbor:"a"`
	// Return is set to return an unspent amount of WindowStart.
	Return      bool      `cbor:"r,omitempty"`
	WindowStart time.Time `cbor:"w,omitempty"`
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Granted bool  `cbor:"ok"`
	Grant   Grant `cbor:"g"`
}

// HandoverRequest asks the owner of a shard to hand it over to another host as
// soon as no call of the shard is running.
type HandoverRequest struct {
	Shard    ShardID  `cbor:"sh"`
	Epoch    Epoch    `cbor:"e"`
	NewOwner HostName `cbor:"to"`
}

// DemandRequest requests the demand for models at a host.
type DemandRequest struct {
	Sender HostName `cbor:"s"`
}

// DemandReply answers a DemandRequest.
type DemandReply struct {
	Demand []Demand `cbor:"d"`
}

// HandoverReply answers a HandoverRequest at once, before the hand-over, which is
// recorded in the control log.
type HandoverReply struct {
	Accepted bool `cbor:"ok"`
}

// StatusRequest requests the status of a host.
type StatusRequest struct {
	Sender HostName `cbor:"s"`
}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Host    HostName `cbor:"h" json:"host"`
	Index   Index    `cbor:"i" json:"index"`
	Version Version  `cbor:"v" json:"version"`
	// LeaseValid is set if the host's lease is valid.
	LeaseValid bool `cbor:"f" json:"fresh"`
	// StateAge is the time since the host's state was last known to be current.
	StateAge     time.Duration `cbor:"a" json:"age"`
	Degradations []Degradation `cbor:"d,omitempty" json:"declines,omitempty"`
}
