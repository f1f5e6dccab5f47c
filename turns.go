package zinniapond

import (
	"net/netip"
	"time"
)

const (
	// SpendRetention is how long what a program has spent is kept after its last
	// turn. It outlasts the programs that callers still wait for.
	SpendRetention = 2 * time.Minute
	// RetentionSlack is added to each retention: hosts count it from different
	// instants.
	RetentionSlack = 15 * time.Second
)

// TurnID identifies one turn of a program. It is the id of the client's attempt
// that the turn answered.
type TurnID string

// Turn is one finished turn of a program. It never changes once it is kept.
type Turn struct {
	ID      TurnID    `cbor:"i"`
	Program ProgramID `cbor:"p"`
	// Chain has the turns before this one, oldest first.
	Chain []TurnID `cbor:"c,omitempty"`
	Input []byte   `cbor:"in"`
	// Output has the data of each event, each followed by a line feed.
	Output []byte `cbor:"out"`
	// Origin is the data centre of the host that kept the turn; with the id it
	// decides where the copies are.
	Origin DataCentre `cbor:"o"`
	// Retention is how long the turn and its chain are kept after its end.
	Retention time.Duration `cbor:"r"`
}

// Spend is a part of a program's token budget that one turn takes.
type Spend struct {
	Program ProgramID `cbor:"p"`
	Turn    AttemptID `cbor:"t"`
	// At is when the tokens were reserved, in whole seconds by the clock of the
	// host that did it. Disks compare what they have by it.
	At time.Time `cbor:"a"`
	// Reserved is the most that the turn may generate.
	Reserved Tokens `cbor:"r"`
	// Used is what the turn has generated; valid if Settled.
	Used    Tokens `cbor:"u,omitempty"`
	Settled bool   `cbor:"s,omitempty"`
	// Place is where the turn has run; valid if Settled.
	Place Place `cbor:"l,omitzero"`
}

// Place tells which replica read a conversation last, for the next turn's route.
type Place struct {
	Session string         `cbor:"s,omitempty"`
	Replica netip.AddrPort `cbor:"r"`
	// Tokens is the size of the conversation, prompt and answer.
	Tokens Tokens `cbor:"t,omitempty"`
	// Number counts the program's turns so far; later turns have higher ones.
	Number int `cbor:"n,omitempty"`
}

// Cost is what the spend takes of the budget: all that was reserved until it is
// settled.
func (s Spend) Cost() Tokens {
	if s.Settled {
		return s.Used
	}
	return s.Reserved
}

// DiskState is the standing of a disk that keeps turns and budgets.
type DiskState string

// The states of a disk. One that was removed is not in the view.
const (
	// DiskJoining is asked in reads, and its copies do not count yet.
	DiskJoining DiskState = "joining"
	// DiskFull takes copies that count.
	DiskFull DiskState = "full"
	// DiskLeaving takes no new copies and gives away what it has.
	DiskLeaving DiskState = "leaving"
	// DiskLost does not answer; the others make up for its copies.
	DiskLost DiskState = "lost"
)

// Disk is one member of the set of disks that keep turns and budgets.
type Disk struct {
	ID         DiskID         `cbor:"i" json:"id"`
	Host       HostName       `cbor:"h" json:"host"`
	Address    netip.AddrPort `cbor:"a" json:"address"`
	DataCentre DataCentre     `cbor:"dc" json:"dataCentre"`
	State      DiskState      `cbor:"s" json:"state"`
	// Since is the index of the record that gave the disk its state.
	Since Index `cbor:"n" json:"since"`
	// First is the index of the record from which copies on the disk have counted;
	// 0 if they never did.
	First Index `cbor:"f,omitempty" json:"first,omitempty"`
}

// Counts tells whether a copy on the disk counts towards a write.
func (d Disk) Counts() bool { return d.State == DiskFull }

// Asked tells whether reads ask the disk.
func (d Disk) Asked() bool { return d.State != DiskLost }

// DiskChange moves a disk to another state.
type DiskChange struct {
	Disk Disk `cbor:"d"`
	// Before is the state that the change was decided on; empty for a disk that
	// is not a member.
	Before DiskState `cbor:"b,omitempty"`
	// Remove ends the membership.
	Remove bool `cbor:"x,omitempty"`
}

// KeepRequest asks a disk to store turns and spends. The reply is sent once
// they are synced.
type KeepRequest struct {
	// View is the index of the control record that last changed the set of disks,
	// as the sender knows it; 0 for copies that disks send each other.
	View   Index   `cbor:"v,omitempty"`
	Turns  []Turn  `cbor:"t,omitempty"`
	Spends []Spend `cbor:"s,omitempty"`
	// Touch has turns whose retention begins anew.
	Touch     []TurnID      `cbor:"x,omitempty"`
	Retention time.Duration `cbor:"r,omitempty"`
	// Program asks for what the program has spent, with what the request stores;
	// empty for not.
	Program ProgramID `cbor:"p,omitempty"`
}

// KeepReply answers a KeepRequest.
type KeepReply struct {
	// View is the receiver's index of the set of disks. Nothing is stored if the
	// request's is older.
	View   Index   `cbor:"v"`
	Disk   DiskID  `cbor:"d"`
	Kept   bool    `cbor:"k"`
	Spends []Spend `cbor:"s,omitempty"`
}

// From returns the disk that answered.
func (r KeepReply) From() DiskID { return r.Disk }

// FindRequest asks which turns a disk has.
type FindRequest struct {
	View Index    `cbor:"v,omitempty"`
	IDs  []TurnID `cbor:"i"`
	// Whole asks for the turns themselves, and Brief for their ids only.
	Whole bool `cbor:"w,omitempty"`
	Brief bool `cbor:"b,omitempty"`
	// Program asks for the spends of a program; empty for none.
	Program ProgramID `cbor:"p,omitempty"`
}

// FindReply answers a FindRequest.
type FindReply struct {
	View Index  `cbor:"v"`
	Disk DiskID `cbor:"d"`
	// Have has the ids that the disk has, with their chains.
	Have   []TurnLink `cbor:"h,omitempty"`
	Turns  []Turn     `cbor:"t,omitempty"`
	Spends []Spend    `cbor:"s,omitempty"`
}

// From returns the disk that answered.
func (r FindReply) From() DiskID { return r.Disk }

// TurnLink is a turn with its chain but without its content.
type TurnLink struct {
	ID    TurnID   `cbor:"i"`
	Chain []TurnID `cbor:"c,omitempty"`
}

// DigestReply has a checksum of the spends of each second. Disks with equal
// checksums know of the same spends.
type DigestReply struct {
	Disk DiskID      `cbor:"d"`
	Sums []SpendsSum `cbor:"g"`
}

// SpendsSum is the checksum of the spends that were reserved in one second.
type SpendsSum struct {
	At  time.Time `cbor:"a"`
	Sum uint64    `cbor:"s"`
}

// LackRequest asks which of these spends a disk does not have.
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

// DiskRequest asks a disk how far it is.
type DiskRequest struct {
	Sender HostName `cbor:"s"`
}

// DiskReply answers a DiskRequest.
type DiskReply struct {
	Disk DiskID `cbor:"d"`
	// Applied is the last control record that the host has applied.
	Applied Index `cbor:"a"`
	// Walked is the set of disks under which the disk has last made sure that
	// enough others have each of its records.
	Walked Index `cbor:"w"`
}

// DiskHeard is the last answer of a disk to a DiskRequest.
type DiskHeard struct {
	At    time.Time
	Reply DiskReply
}
