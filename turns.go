package zinniapond

import (
	"net/netip"
	"time"
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
	// Reserved is the most that the turn may generate.
	Reserved Tokens `cbor:"r"`
	// Used is what the turn has generated; valid if Settled.
	Used    Tokens `cbor:"u,omitempty"`
	Settled bool   `cbor:"s,omitempty"`
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
	// DiskFilling takes copies that count, and lacks some older records.
	DiskFilling DiskState = "filling"
	// DiskFull has all that it should have; that it lacks a record says so.
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
}

// Counts tells whether a copy on the disk counts towards a write.
func (d Disk) Counts() bool { return d.State == DiskFilling || d.State == DiskFull }

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
}

// KeepReply answers a KeepRequest.
type KeepReply struct {
	// View is the receiver's index of the set of disks. Nothing is stored if the
	// request's is older.
	View Index  `cbor:"v"`
	Disk DiskID `cbor:"d"`
	Kept bool   `cbor:"k"`
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

// DigestReply has a checksum of the turns that have spent, for each group of
// programs. Disks with equal checksums know of the same turns.
type DigestReply struct {
	Disk   DiskID   `cbor:"d"`
	Groups []uint64 `cbor:"g"`
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
	// Walked is the set of disks for which the disk has given all its records
	// to those that should have them.
	Walked Index `cbor:"w"`
}
