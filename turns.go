package zinniapond

import (
	"net/netip"
	"time"
)

const (
	// SpendRetention is the shortest time for which the spends of a program are kept
	// after its last turn. It is longer than callers wait for a program.
	SpendRetention = 2 * time.Minute
	// RetentionSlack is added to each retention time, as hosts count it from
	// different instants.
	RetentionSlack = 15 * time.Second
)

// TurnID identifies one turn of a program. It is the id of the client attempt
// that the turn answers.
type TurnID string

// Turn is one finished turn of a program. It is immutable once stored.
type Turn struct {
	ID      TurnID    `cbor:"i"`
	Program ProgramID `cbor:"p"`
	// Chain contains the turns before this one, oldest first.
	Chain []TurnID `cbor:"c,omitempty"`
	Input []byte   `cbor:"in"`
	// Output contains the data of each event, each followed by a line feed.
	Output []byte `cbor:"out"`
	// Origin is the data centre of the host that stored the turn. Together with
	// the id it determines the disks that have the copies.
	Origin DataCentre `cbor:"o"`
	// Retention is the time for which the turn and its chain are kept after its
	// end. It includes the longest time of a turn that continues this one: the chain
	// is renewed only once that turn is stored.
	Retention time.Duration `cbor:"r"`
}

// Spend is the part of a program's token budget that one turn reserves or has
// used.
type Spend struct {
	Program ProgramID `cbor:"p"`
	Turn    AttemptID `cbor:"t"`
	// ReservedAt is the instant of the reservation in whole seconds, by the
	// clock of the reserving host. Disks compare their spends by this second
	// (see DigestReply).
	ReservedAt time.Time `cbor:"a"`
	// Reserved is the largest number of tokens that the turn may generate.
	Reserved Tokens `cbor:"r"`
	// Used is the number of tokens that the turn has generated; valid if Settled.
	Used    Tokens `cbor:"u,omitempty"`
	Settled bool   `cbor:"s,omitempty"`
	// Version is the software version that begins the turn's stream, if the turn may be
	// resumed. Until Begun or Settled it is the only one that the replicas had at the
	// reservation; empty if they had several.
	Version SoftwareVersion `cbor:"w,omitempty"`
	// Begun is set once the version is certain, before the client has the first event.
	Begun bool `cbor:"b,omitempty"`
	// CacheLocation is the replica that ran the turn; valid if Settled.
	CacheLocation CacheLocation `cbor:"l,omitzero"`
	// Retention is the time from the reservation for which the program may go on
	// after this turn.
	Retention time.Duration `cbor:"n,omitempty"`
}

// Supersedes reports whether the spend is a later state of the same turn's spend than o. A
// spend goes from reserved to begun, which may be left out, and to settled, which is final.
func (s Spend) Supersedes(o Spend) bool {
	if s.Settled || o.Settled {
		return !o.Settled
	}
	return s.Begun && !o.Begun
}

// KeepTime returns the time for which the spend is kept. A program that can go on
// must not have its budget anew.
func (s Spend) KeepTime() time.Duration { return max(SpendRetention, s.Retention) }

// CacheLocation is the replica that last processed a conversation and
// probably still has it in its cache. The next turn is routed by it.
type CacheLocation struct {
	SessionID string         `cbor:"s,omitempty"`
	Replica   netip.AddrPort `cbor:"r"`
	// Tokens is the size of the conversation: prompt and answer.
	Tokens Tokens `cbor:"t,omitempty"`
	// TurnNumber is the number of the turn within the program; later turns have
	// higher numbers.
	TurnNumber int `cbor:"n,omitempty"`
}

// Cost returns the tokens that the spend takes from the budget: the reserved ones
// until it is settled, then the used ones.
func (s Spend) Cost() Tokens {
	if s.Settled {
		return s.Used
	}
	return s.Reserved
}

// DiskState is the state of a disk that stores turns and budgets.
type DiskState string

// The states of a disk. A disk that was removed is not in the control state.
const (
	// DiskJoining is included in reads, but its copies do not count yet.
	DiskJoining DiskState = "joining"
	// DiskFull takes copies that count towards writes.
	DiskFull DiskState = "full"
	// DiskLeaving takes no new copies; its records are copied to other disks.
	DiskLeaving DiskState = "leaving"
	// DiskLost does not reply; its copies are replaced on other disks.
	DiskLost DiskState = "lost"
)

// Disk is one member of the set of disks that store turns and budgets.
type Disk struct {
	ID         DiskID         `cbor:"i" json:"id"`
	Host       HostName       `cbor:"h" json:"host"`
	Address    netip.AddrPort `cbor:"a" json:"address"`
	DataCentre DataCentre     `cbor:"dc" json:"dataCentre"`
	State      DiskState      `cbor:"s" json:"state"`
	// StateSince is the index of the control record that gave the disk its state.
	StateSince Index `cbor:"n" json:"since"`
	// CountsSince is the index of the control record from which copies on the
	// disk have counted; 0 if they never have.
	CountsSince Index `cbor:"f,omitempty" json:"first,omitempty"`
}

// CountsForWrites reports whether a copy on the disk counts towards a write.
func (d Disk) CountsForWrites() bool { return d.State == DiskFull }

// IsReadable reports whether reads include the disk.
func (d Disk) IsReadable() bool { return d.State != DiskLost }

// DiskChange changes the state of a disk, or adds or removes it.
type DiskChange struct {
	Disk Disk `cbor:"d"`
	// ExpectedState is the state on which the decision was based; empty for a disk
	// that is not a member. The change applies only if the disk still has this
	// state, since Disk.StateSince if that is set.
	ExpectedState DiskState `cbor:"b,omitempty"`
	// Remove is set to remove the disk from the set.
	Remove bool `cbor:"x,omitempty"`
	// DisksIndex is set if the decision depends on all disks: the change applies only if
	// no disk has changed since the record with this index.
	DisksIndex Index `cbor:"v,omitempty"`
}

// KeepRequest asks a disk to store turns and spends. The reply is sent once
// they are synced.
type KeepRequest struct {
	// DisksIndex is the index of the control record that last changed the set of
	// disks, as known to the sender; 0 for copies that disks send each other.
	DisksIndex Index   `cbor:"v,omitempty"`
	Turns      []Turn  `cbor:"t,omitempty"`
	Spends     []Spend `cbor:"s,omitempty"`
	// Renew contains turns that are retained for Retention from now on.
	Renew     []TurnID      `cbor:"x,omitempty"`
	Retention time.Duration `cbor:"r,omitempty"`
	// Continued is set if a later turn was stored for each turn of Renew. The reply then
	// says for how long their earlier turns are retained.
	Continued bool `cbor:"c,omitempty"`
	// Retained contains turns whose earlier turns another disk has renewed on all disks.
	Retained []RetainedChain `cbor:"k,omitempty"`
	// SpendsOf requests the spends of this program, including those that the
	// request stores; empty for none.
	SpendsOf ProgramID `cbor:"p,omitempty"`
}

// KeepReply answers a KeepRequest.
type KeepReply struct {
	// DisksIndex is the index of the control record that last changed the set of
	// disks, as known to the receiver. If it is higher than that of the request,
	// nothing is stored.
	DisksIndex Index   `cbor:"v"`
	Disk       DiskID  `cbor:"d"`
	Kept       bool    `cbor:"k"`
	Spends     []Spend `cbor:"s,omitempty"`
	// Retained contains those turns of a request with Continued of which the disk knows
	// for how long their earlier turns are retained.
	Retained []RetainedChain `cbor:"c,omitempty"`
}

// RetainedChain says for how long all turns before a turn are retained on all disks that
// have them. It has a duration in place of a time, as hosts have different clocks.
type RetainedChain struct {
	Turn TurnID        `cbor:"i"`
	For  time.Duration `cbor:"f"`
}

// DiskID returns the id of the disk that replied.
func (r KeepReply) DiskID() DiskID { return r.Disk }

// FindRequest asks a disk which of the given turns it has.
type FindRequest struct {
	DisksIndex Index    `cbor:"v,omitempty"`
	IDs        []TurnID `cbor:"i"`
	// WithContent requests the turns with their content, and IDsOnly only their
	// ids, without their chains.
	WithContent bool `cbor:"w,omitempty"`
	IDsOnly     bool `cbor:"b,omitempty"`
	// SpendsOf requests the spends of this program; empty for none.
	SpendsOf ProgramID `cbor:"p,omitempty"`
}

// FindReply answers a FindRequest.
type FindReply struct {
	DisksIndex Index  `cbor:"v"`
	Disk       DiskID `cbor:"d"`
	// Found contains the turns that the disk has, with their chains.
	Found  []TurnLink `cbor:"h,omitempty"`
	Turns  []Turn     `cbor:"t,omitempty"`
	Spends []Spend    `cbor:"s,omitempty"`
}

// DiskID returns the id of the disk that replied.
func (r FindReply) DiskID() DiskID { return r.Disk }

// TurnLink is the id of a turn with its chain, without its content.
type TurnLink struct {
	ID    TurnID   `cbor:"i"`
	Chain []TurnID `cbor:"c,omitempty"`
}

// DigestReply contains one checksum for the spends of each second. Disks with
// equal checksums have the same spends.
type DigestReply struct {
	Disk      DiskID           `cbor:"d"`
	Checksums []SpendsChecksum `cbor:"g"`
}

// SpendsChecksum is the checksum of the spends that were reserved in one
// second.
type SpendsChecksum struct {
	ReservedAt time.Time `cbor:"a"`
	Checksum   uint64    `cbor:"s"`
}

// MissingSpendsRequest asks a disk which of the given spends it does not have.
type MissingSpendsRequest struct {
	Spends []SpendKey `cbor:"s"`
}

// SpendKey identifies a spend.
type SpendKey struct {
	Program ProgramID `cbor:"p"`
	Turn    AttemptID `cbor:"t"`
}

// MissingSpendsReply answers a MissingSpendsRequest.
type MissingSpendsReply struct {
	Disk    DiskID     `cbor:"d"`
	Missing []SpendKey `cbor:"l,omitempty"`
}

// DiskStatusRequest requests the progress of a disk.
type DiskStatusRequest struct {
	Sender HostName `cbor:"s"`
}

// DiskStatusReply answers a DiskStatusRequest.
type DiskStatusReply struct {
	Disk DiskID `cbor:"d"`
	// AppliedIndex is the last control record that the host has applied.
	AppliedIndex Index `cbor:"a"`
	// VerifiedDisksIndex is the index of the last change of the set of disks for
	// which the disk has verified that enough other disks have each of its
	// records.
	VerifiedDisksIndex Index `cbor:"w"`
}

// DiskReport is the last reply of a disk to a DiskStatusRequest.
type DiskReport struct {
	ReceivedAt time.Time // instant of its receipt
	Reply      DiskStatusReply
}
