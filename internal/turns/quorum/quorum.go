// Package quorum decides the placement of the copies of a record on disks, and the
// quorums of reads and writes. It does no I/O.
package quorum

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// Set is the set of disks of one view. Its fields are set before use and not
// changed afterwards.
type Set struct {
	Disks []zinniapond.Disk
	// MaxLostMachines and MaxLostZones are the numbers of machines and of data
	// centres that may be lost at the same time without loss of a record.
	MaxLostMachines, MaxLostZones int
}

// New returns the set of disks of a view.
func New(view *zinniapond.ControlView, tolerance zinniapond.KeeperSettings) Set {
	s := Set{MaxLostMachines: tolerance.MaxLostMachines, MaxLostZones: tolerance.MaxLostZones}
	for _, d := range view.Disks {
		s.Disks = append(s.Disks, d)
	}
	slices.SortFunc(s.Disks, func(a, b zinniapond.Disk) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// PreferenceOrder returns the disks that may store copies of a record, in order
// of preference by rendezvous hashing. The first disk is in the data centre where
// the record was created, which saves traffic between data centres. Each of the
// next disks is in a data centre without a copy, until every data centre has one.
func (s Set) PreferenceOrder(id zinniapond.TurnID, origin zinniapond.DataCentre) []zinniapond.Disk {
	var candidates []zinniapond.Disk
	for _, d := range s.Disks {
		if d.CountsForWrites() {
			candidates = append(candidates, d)
		}
	}
	weight := func(d zinniapond.Disk) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(d.ID)) }
	slices.SortFunc(candidates, func(a, b zinniapond.Disk) int { return cmp.Compare(weight(b), weight(a)) })
	ordered := make([]zinniapond.Disk, 0, len(candidates))
	usedZones := make(map[zinniapond.DataCentre]bool)
	appendCandidate := func(at int) {
		ordered = append(ordered, candidates[at])
		usedZones[candidates[at].DataCentre] = true
		candidates = slices.Delete(candidates, at, at+1)
	}
	if at := slices.IndexFunc(candidates, func(d zinniapond.Disk) bool { return d.DataCentre == origin }); at >= 0 {
		appendCandidate(at)
	}
	for len(candidates) > 0 {
		appendCandidate(max(slices.IndexFunc(candidates, func(d zinniapond.Disk) bool { return !usedZones[d.DataCentre] }), 0))
	}
	return ordered
}

// WriteQuorum returns the shortest beginning of an order that is enough for a
// write, or the whole order if that is too short.
func (s Set) WriteQuorum(order []zinniapond.Disk) []zinniapond.Disk {
	for n := range order {
		if s.IsWriteQuorum(order[:n+1]) {
			return order[:n+1]
		}
	}
	return order
}

// IsWriteQuorum reports whether these disks are a write quorum: a record that is synced
// on them survives the loss of the tolerated numbers of machines and data centres.
func (s Set) IsWriteQuorum(disks []zinniapond.Disk) bool {
	zones := make(map[zinniapond.DataCentre]bool)
	for _, d := range disks {
		zones[d.DataCentre] = true
	}
	return len(disks) > s.MaxLostMachines && len(zones) > s.MaxLostZones
}

// IsReadQuorum reports whether the answered disks are a read quorum, so that
// a record that none of them has does not exist. Each record is on a write
// quorum of disks that all counted in one view. If the disks that have not
// answered include no such quorum, one of the answered disks has the record.
func (s Set) IsReadQuorum(answered func(zinniapond.DiskID) bool) bool {
	var unanswered []zinniapond.Disk
	for _, d := range s.Disks {
		if d.CountsSince > 0 && (d.State == zinniapond.DiskLost || !answered(d.ID)) {
			unanswered = append(unanswered, d)
		}
	}
	for _, d := range unanswered {
		if s.IsWriteQuorum(countedIn(unanswered, d.CountsSince)) {
			return false
		}
	}
	return slices.ContainsFunc(s.Disks, zinniapond.Disk.CountsForWrites)
}

// countedIn returns the disks whose copies counted in a view. A disk that was lost
// and has returned is treated as never lost, as its records are still there.
func countedIn(disks []zinniapond.Disk, view zinniapond.Index) []zinniapond.Disk {
	var counted []zinniapond.Disk
	for _, d := range disks {
		ended := (d.State == zinniapond.DiskLost || d.State == zinniapond.DiskLeaving) && d.StateSince <= view
		if d.CountsSince <= view && !ended {
			counted = append(counted, d)
		}
	}
	return counted
}

// MissingCopies returns the disks that need a copy of a record, given its order
// and the disks that have it. They are none if the record has enough copies,
// and otherwise the first disks of the order that complete a write quorum.
// enough is false if all disks of the order together are no write quorum.
func (s Set) MissingCopies(order []zinniapond.Disk, has func(zinniapond.DiskID) bool) (lack []zinniapond.Disk, enough bool) {
	var holders []zinniapond.Disk
	for _, d := range order {
		if has(d.ID) {
			holders = append(holders, d)
		}
	}
	for _, d := range order {
		if s.IsWriteQuorum(holders) {
			break
		}
		if !has(d.ID) {
			holders, lack = append(holders, d), append(lack, d)
		}
	}
	return lack, s.IsWriteQuorum(holders)
}

// IsRecovered reports whether all records have enough copies without the lost
// and leaving disks, so that these may be removed. That is so once each other
// disk has verified the copies of its records in a view that has all these
// losses and departures; walked returns the last view that a disk has verified.
func (s Set) IsRecovered(walked func(zinniapond.DiskID) zinniapond.Index) bool {
	lastDeparture := zinniapond.Index(0)
	for _, d := range s.Disks {
		if d.State == zinniapond.DiskLost || d.State == zinniapond.DiskLeaving {
			lastDeparture = max(lastDeparture, d.StateSince)
		}
	}
	for _, d := range s.Disks {
		if d.State != zinniapond.DiskLost && d.CountsSince > 0 && walked(d.ID) < lastDeparture {
			return false
		}
	}
	return s.IsReadQuorum(func(zinniapond.DiskID) bool { return true })
}
