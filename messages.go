package zinniapond

import "time"

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
	Voters      []HostName   `cbor:"v,omitempty"`
	Order       *Order       `cbor:"o,omitempty"`
	Shards      int          `cbor:"s,omitempty"` // set by the first command
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
}

// Snapshot is the control state up to and including Index.
type Snapshot struct {
	Index  Index      `cbor:"i"`
	Term   Term       `cbor:"t"`
	Voters []HostName `cbor:"v"`
	Data   []byte     `cbor:"d"`
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
	// Quorum is the age of the leader's last contact with a majority.
	Quorum time.Duration `cbor:"q"`
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
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    Term `cbor:"t"`
	Granted bool `cbor:"g"`
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
}

// AppendReply answers an AppendRequest once the entries are synced.
type AppendReply struct {
	Accepted bool  `cbor:"ok"`
	Promised Epoch `cbor:"e"` // the greatest epoch the replica has promised
	Last     Index `cbor:"l"` // last index the replica holds
}

// SealRequest makes a replica refuse epochs below Epoch.
type SealRequest struct {
	Sender HostName `cbor:"s"`
	Shard  ShardID  `cbor:"sh"`
	Epoch  Epoch    `cbor:"e"`
}

// SealReply answers a SealRequest once the promise is synced.
type SealReply struct {
	Accepted  bool  `cbor:"ok"`
	Promised  Epoch `cbor:"e"`
	First     Index `cbor:"f"` // first index still held
	Last      Index `cbor:"l"`
	LastEpoch Epoch `cbor:"le"`
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
