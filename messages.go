package zinniapond

import (
	"net/netip"
	"time"
)

// CommandKind tells what a command changes.
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
)

// Command is one change of the control state.
type Command struct {
	Kind CommandKind `cbor:"k"`
	// Change makes a resent change of the lists return the first outcome.
	Change ChangeID `cbor:"c,omitempty"`
	// Expect is the version that a change of the lists was made from.
	Expect      Version      `cbor:"x,omitempty"`
	Plans       string       `cbor:"p,omitempty"`
	Usage       string       `cbor:"u,omitempty"`
	Member      *Member      `cbor:"m,omitempty"`
	Assignments []Assignment `cbor:"a,omitempty"`
	Voters      []VoterKey   `cbor:"v,omitempty"`
	Order       *Order       `cbor:"o,omitempty"`
	Shards      int          `cbor:"s,omitempty"` // set by the first command
	// Faults are found by the leader before it appends the command, so that
	// hosts whose parsers differ in version still apply the same outcome.
	Faults []ListFault `cbor:"f,omitempty"`
	// PlansEdit and UsageEdit stand for Plans and Usage in a record: the leader
	// replaces the texts by what differs from version Expect. Digest is of the
	// whole change.
	PlansEdit *ListEdit `cbor:"pe,omitempty"`
	UsageEdit *ListEdit `cbor:"ue,omitempty"`
	Digest    uint64    `cbor:"d,omitempty"`

	Routing *Routing    `cbor:"ro,omitempty"`
	Disk    *DiskChange `cbor:"di,omitempty"`
	// Backends is the whole list of replicas.
	Backends []Backend `cbor:"b,omitempty"`
}

// ListEdit says how a list differs from the one before.
type ListEdit struct {
	Head int    `cbor:"h,omitempty"` // bytes kept from the beginning
	Tail int    `cbor:"t,omitempty"` // bytes kept at the end
	Text string `cbor:"x,omitempty"` // bytes between them
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
	// Voters is the voter set in force from this record on; nil for no change.
	Voters []VoterKey `cbor:"v,omitempty"`
}

// VoterKey is a voter together with its disk. A host that lost its disk comes
// back with another DiskID and therefore as another voter: its earlier votes
// and acknowledgements cannot be given twice.
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

// LogChange is what a voter syncs to its disk before it acts on it. Read from
// the disk, it is the whole durable state.
type LogChange struct {
	Term  Term
	Voted VoterKey
	// Entries replace everything from index From on.
	From    Index
	Entries []LogEntry
	// Snapshot, if any, replaces everything up to its index.
	Snapshot *Snapshot
	// Sequence and Cuts order the changes of one process.
	Sequence uint64
	Cuts     uint64
}

// FetchRequest asks the control leader for records; it is also the heartbeat
// of its sender.
type FetchRequest struct {
	Sender  HostName      `cbor:"s"`
	Member  Epoch         `cbor:"m"` // epoch of the sender's registration
	Term    Term          `cbor:"t"`
	Next    Index         `cbor:"n"` // first index wanted
	Last    Term          `cbor:"l"` // term of the record before Next
	Applied Index         `cbor:"a"`
	Wait    time.Duration `cbor:"w"` // longest time to hold the request
	// Disk is set by voters and by hosts that want to become one.
	Disk DiskID `cbor:"d,omitempty"`
	// Stamp repeats the Stamp of the last reply of the same term. It shows the
	// leader an instant of its own clock at which the sender followed it.
	Stamp time.Duration `cbor:"st,omitempty"`
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Term   Term     `cbor:"t"`
	Leader HostName `cbor:"ld"` // empty if unknown
	// Accepted is false if the receiver is not the leader.
	Accepted bool       `cbor:"ok"`
	Entries  []LogEntry `cbor:"e,omitempty"`
	Commit   Index      `cbor:"c"`
	// Diverged tells the follower to cut its log after Match.
	Diverged bool      `cbor:"dv,omitempty"`
	Match    Index     `cbor:"mt,omitempty"`
	Snapshot *Snapshot `cbor:"sn,omitempty"`
	// Quorum is the age of the leader's last contact with a majority, taken
	// when the request arrived: below zero if the contact came while the
	// request was held.
	Quorum time.Duration `cbor:"q"`
	// Current is false while the leader cannot know yet whether Commit covers
	// all that earlier leaders committed; such a reply renews no lease.
	Current bool `cbor:"cu,omitempty"`
	// Stamp is the time since the leader's election.
	Stamp time.Duration `cbor:"st,omitempty"`
	// Fenced tells the sender that its registration is no longer valid.
	Fenced bool `cbor:"fn,omitempty"`
}

// VoteRequest asks for a vote.
type VoteRequest struct {
	Candidate HostName `cbor:"c"`
	Term      Term     `cbor:"t"`
	LastIndex Index    `cbor:"i"`
	LastTerm  Term     `cbor:"l"`
	// Pre asks whether the vote would be granted, and changes nothing.
	Pre bool `cbor:"p"`
	// Disk is the receiver's disk in the candidate's voter set. A receiver with
	// another disk has lost the one that is asked, and refuses.
	Disk DiskID `cbor:"d"`
	// CandidateDisk is the disk of the candidate.
	CandidateDisk DiskID `cbor:"cd"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    Term `cbor:"t"`
	Granted bool `cbor:"g"`
	// Empty tells that the receiver has no data and belongs to no cluster yet.
	Empty bool `cbor:"e,omitempty"`
}

// ProposeRequest hands a command to the control leader.
type ProposeRequest struct {
	Sender  HostName `cbor:"s"`
	Command Command  `cbor:"c"`
}

// ProposeReply answers a ProposeRequest.
type ProposeReply struct {
	Leader HostName `cbor:"ld"` // whom to ask instead; empty if unknown
	// Accepted is false if the receiver is not the leader or has lost its
	// majority; the command may still have been committed in the second case.
	Accepted bool          `cbor:"ok"`
	Result   CommandResult `cbor:"r"`
	// RetryAfter is set if the leader will take the command only later.
	RetryAfter time.Duration `cbor:"ra,omitempty"`
}

// RecordKind tells what a journal record says.
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

// Record is one step of a program, as the journal keeps it.
type Record struct {
	Kind    RecordKind `cbor:"k"`
	Program ProgramID  `cbor:"p,omitempty"`
	At      time.Time  `cbor:"at"`
	Opened  *Program   `cbor:"o,omitempty"`
	Call    *Call      `cbor:"c,omitempty"` // intent
	Answer  *Answer    `cbor:"a,omitempty"` // result
	Reason  string     `cbor:"w,omitempty"` // end
	Grant   *Grant     `cbor:"g,omitempty"`
}

// Grant is a part of a plan's budget handed to one holder for one window.
type Grant struct {
	Plan   PlanName      `cbor:"p"`
	Holder HostName      `cbor:"h"`
	Window time.Time     `cbor:"w"` // start of the window
	Amount Tokens        `cbor:"a"` // negative when returned
	Left   time.Duration `cbor:"l"` // how long the holder may spend it
}

// JournalEntry is a record with its place in a shard's log.
type JournalEntry struct {
	Index   Index      `cbor:"i"`
	Epoch   Epoch      `cbor:"e"`
	Program ProgramID  `cbor:"p"`
	Kind    RecordKind `cbor:"k"`
	Data    []byte     `cbor:"d"` // encoded Record
}

// AppendRequest replicates entries to a replica of a shard.
type AppendRequest struct {
	Sender    HostName       `cbor:"s"`
	Shard     ShardID        `cbor:"sh"`
	Epoch     Epoch          `cbor:"e"`
	PrevIndex Index          `cbor:"pi"`
	PrevEpoch Epoch          `cbor:"pe"`
	Commit    Index          `cbor:"c"`
	Entries   []JournalEntry `cbor:"en"`
	// Last is the last index that the request covers. Indexes up to it that
	// have no entry were removed after the retention.
	Last Index `cbor:"l"`
	// Vote tells a replica that it now holds the whole log and counts.
	Vote bool `cbor:"v,omitempty"`
}

// AppendReply answers an AppendRequest once the entries are synced.
type AppendReply struct {
	Accepted bool  `cbor:"ok"`
	Promised Epoch `cbor:"e"` // the greatest epoch the replica has promised
	// Last is the last index the replica holds, or, if it was not accepted, the
	// last one that may agree with the sender's log.
	Last   Index `cbor:"l"`
	Voting bool  `cbor:"v"` // the replica counts towards a majority
}

// EpochSpan tells the first index that was written under an epoch.
type EpochSpan struct {
	Epoch Epoch `cbor:"e"`
	First Index `cbor:"f"`
}

// SealRequest makes a replica refuse epochs up to Epoch, except for appends of
// its sender.
type SealRequest struct {
	Sender HostName `cbor:"s"`
	Shard  ShardID  `cbor:"sh"`
	Epoch  Epoch    `cbor:"e"`
	// Form makes an empty replica count. It is sent when all replicas of a
	// shard are empty.
	Form bool `cbor:"fo,omitempty"`
}

// SealReply answers a SealRequest once the promise is synced.
type SealReply struct {
	Accepted  bool  `cbor:"ok"`
	Promised  Epoch `cbor:"e"`
	First     Index `cbor:"f"` // first index still held
	Last      Index `cbor:"l"`
	LastEpoch Epoch `cbor:"le"`
	// Voting is false on a replica that has lost its disk or never held the
	// whole log. It does not count towards a majority.
	Voting bool        `cbor:"v"`
	Spans  []EpochSpan `cbor:"sp,omitempty"`
}

// ReadRequest asks a replica for entries of a shard, or of one program.
type ReadRequest struct {
	Shard   ShardID   `cbor:"sh"`
	Program ProgramID `cbor:"p,omitempty"` // empty: all programs
	From    Index     `cbor:"f"`
	Most    int       `cbor:"m"`            // largest number of entries
	Live    bool      `cbor:"lv,omitempty"` // only programs that have not ended
}

// ReadReply answers a ReadRequest.
type ReadReply struct {
	Entries []JournalEntry `cbor:"e"`
	Next    Index          `cbor:"n"` // where to go on; 0 at the end
	// The standing of the replica at the moment of the read.
	Promised Epoch `cbor:"pr"`
	Last     Index `cbor:"l"`
	Voting   bool  `cbor:"v"`
}

// GrantRequest asks a plan's home for a part of its budget.
type GrantRequest struct {
	Sender HostName `cbor:"s"`
	Plan   PlanName `cbor:"p"`
	Amount Tokens   `cbor:"a"`
	// Return gives back an unspent amount of the window.
	Return bool      `cbor:"r,omitempty"`
	Window time.Time `cbor:"w,omitempty"`
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Granted bool  `cbor:"ok"`
	Grant   Grant `cbor:"g"`
}

// HandoverRequest asks the owner of a shard to hand it to another host at the
// next moment when none of its calls runs.
type HandoverRequest struct {
	Shard ShardID  `cbor:"sh"`
	Epoch Epoch    `cbor:"e"`
	To    HostName `cbor:"to"`
}

// DemandRequest asks a host what its callers ask of the models.
type DemandRequest struct {
	Sender HostName `cbor:"s"`
}

// DemandReply answers a DemandRequest.
type DemandReply struct {
	Demand []Demand `cbor:"d"`
}

// HandoverReply answers a HandoverRequest at once; the change of owner shows in
// the control log.
type HandoverReply struct {
	Accepted bool `cbor:"ok"`
}

// StatusRequest asks a host what it has in force.
type StatusRequest struct {
	Sender HostName `cbor:"s"`
}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Host    HostName `cbor:"h" json:"host"`
	Index   Index    `cbor:"i" json:"index"`
	Version Version  `cbor:"v" json:"version"`
	// Fresh tells whether the host's lease holds.
	Fresh bool `cbor:"f" json:"fresh"`
	// Age is the time since the host's state was known to be current.
	Age      time.Duration `cbor:"a" json:"age"`
	Declines []Decline     `cbor:"d,omitempty" json:"declines,omitempty"`
}

// Load is the number of requests at one replica.
type Load struct {
	Replica netip.AddrPort `cbor:"r"`
	Count   int            `cbor:"c"`
}

// LoadsRequest tells how many requests one host has at each replica.
type LoadsRequest struct {
	Host  HostName `cbor:"h"`
	Loads []Load   `cbor:"l,omitempty"`
}

// LoadsReply has the sum over all hosts that have told theirs lately.
type LoadsReply struct {
	Loads []Load `cbor:"l,omitempty"`
	// Pause is the time until the host tells its loads again.
	Pause time.Duration `cbor:"p"`
}
