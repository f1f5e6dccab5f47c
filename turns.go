package zinniapond

import (
	"net/netip"
	"time"
)

const (
	// SpendRetention is the time for which the spends of a program are kept after
	// its last turn. It is longer than callers wait for a program.
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
	// end.
	Retention time.Duration `cbor:"r"`
}

// Spend is the part of a program's token budget that one turn reserves or has
// used.
type Spend struct {
	Program ProgramID `cbor:"p"`
	Turn    AttemptID `cbor:"t"`
	// At is the instant of the reservation in whole seconds, by the clock of the
	// reserving host. Disks compare their spends by this second (see
	// DigestReply).
	At time.Time `cbor:"a"`
	// Reserved is the largest number of tokens that the turn may generate.
	Reserved Tokens `cbor:"r"`
	// Used is the number of tokens that the turn has generated; valid if Settled.
	Used    Tokens `cbor:"u,omitempty"`
	Settled bool   `cbor:"s,omitempty"`
	// Place is the replica that ran the turn; valid if Settled.
	Place Place `cbor:"l,omitzero"`
}

// Place is the replica that last processed a conversation and probably still has
// it in its cache. The next turn is routed by it.
type Place struct {
	Session string         `cbor:"s,omitempty"`
	Replica netip.AddrPort `cbor:"r"`
	// Tokens is the size of the conversation: prompt and answer.
	Tokens Tokens `cbor:"t,omitempty"`
	// Number is the number of the turn within the program; later turns have higher
	// numbers.
	Number int `cbor:"n,omitempty"`
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
	// Since is the index of the control record that gave the disk its state.
	Since Index `cbor:"n" json:"since"`
	// First is the index of the control record from which copies on the disk have
	// counted; 0 if they never have.
	First Index `cbor:"f,omitempty" json:"first,omitempty"`
}

// Counts reports whether a copy on the disk counts towards a write.
func (d Disk) Counts() bool { return d.State == DiskFull }

// Asked reports whether reads include the disk.
func (d Disk) Asked() bool { return d.State != DiskLost }

// DiskChange changes the state of a disk, or adds or removes it.
type DiskChange struct {
	Disk Disk `cbor:"d"`
	// Before is the state on which the decision was based; empty for a disk that
	// is not a member. The change applies only if the disk still has this state.
	Before DiskState `cbor:"b,omitempty"`
	// Remove is set to remove the disk from the set.
	Remove bool `cbor:"x,omitempty"`
}

// KeepRequest asks a disk to store turns and spends. The reply is sent once
// they are synced.
type KeepRequest struct {
	// View is the index of the control record that last changed the set of disks,
	// as known to the sender; 0 for copies that disks send each other.
	View   Index   `cbor:"v,omitempty"`
	Turns  []Turn  `cbor:"t,omitempty"`
	Spends []Spend `cbor:"s,omitempty"`
	// Touch contains turns whose retention time starts again.
	Touch     []TurnID      `cbor:"x,omitempty"`
	Retention time.Duration `cbor:"r,omitempty"`
	// Program requests the spends of this program, including those that the
	// request stores; empty for none.
	Program ProgramID `cbor:"p,omitempty"`
}

// KeepReply answers a KeepRequest.
type KeepReply struct {
	// View is the index of the control record that last changed the set of disks,
	// as known to the receiver. If it is higher than that of the request, nothing
	// is stored.
	View   Index   `cbor:"v"`
	Disk   DiskID  `cbor:"d"`
	Kept   bool    `cbor:"k"`
	Spends []Spend `cbor:"s,omitempty"`
}

// From returns the id of the disk that replied.
func (r KeepReply) From() DiskID { return r.Disk }

// FindRequest asks a disk which of the given turns it has.
type FindRequest struct {
	View Index    `cbor:"v,omitempty"`
	IDs  []TurnID `cbor:"i"`
	// Whole requests the turns with their content, and Brief only their ids,
	// without their chains.
	Whole bool `cbor:"w,omitempty"`
	Brief bool `cbor:"b,omitempty"`
	// Program requests the spends of this program; empty for none.
	Program ProgramID `cbor:"p,omitempty"`
}

// FindReply answers a FindRequest.
type FindReply struct {
	View Index  `cbor:"v"`
	Disk DiskID `cbor:"d"`
	// Have contains the turns that the disk has, with their chains.
	Have   []TurnLink `cbor:"h,omitempty"`
	Turns  []Turn     `cbor:"t,omitempty"`
	Spends []Spend    `cbor:"s,omitempty"`
}

// From returns the id of the disk that replied.
func (r FindReply) From() DiskID { return r.Disk }

// TurnLink is the id of a turn with its chain, without its content.
type TurnLink struct {
	ID    TurnID   `cbor:"i"`
	Chain []TurnID `cbor:"c,omitempty"`
}

// DigestReply contains one checksum for the spends of each second. Disks with
// equal checksums have the same spends.
type DigestReply struct {
	Disk DiskID      `cbor:"d"`
	Sums []SpendsSum `cbor:"g"`
}

// SpendsSum is the checksum of the spends that were reserved in one second.
type SpendsSum struct {
	At  time.Time `cbor:"a"`
	Sum uint64    `cbor:"s"`
}

// LackRequest asks a disk which of the given spends it does not have.
type LackRequest struct {
	Spends []SpendKey `cbor:"s"`
}

// SpendKey identifies a spend.
type SpendKey struct {
	Program ProgramID `cbor:"p"`
	Turn    AttemptID `cbor:"t"`
}

// LackReply answers a LackRequest.
type LackReply struct {
	Disk DiskID     `cbor:"d"`
	Lack []SpendKey `cbor:"l,omitempty"`
}

// DiskRequest requests the progress of a disk.
type DiskRequest struct {
	Sender HostName `cbor:"s"`
}

// DiskReply answers a DiskRequest.
type DiskReply struct {
	Disk DiskID `cbor:"d"`
	// Applied is the last control record that the host has applied.
	Applied Index `cbor:"a"`
	// Walked is the index of the last change of the set of disks for which the
	// disk has verified that enough other disks have each of its records.
	Walked Index `cbor:"w"`
}

// DiskHeard is the last reply of a disk to a DiskRequest.
type DiskHeard struct {
	At    time.Time // instant of its receipt
	Reply DiskReply
}
