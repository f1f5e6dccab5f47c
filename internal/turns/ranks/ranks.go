// Package ranks decides on which disks the copies of a record are, and when
// enough disks have answered. It is pure.
package ranks

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// Set is the set of disks of one view. Its fields are set before use and not
// changed afterwards.
type Set struct {
	Disks []zinniapond.Disk
	// Machines and Zones are what may be lost at the same time with its disks.
	Machines, Zones int
}

// New returns the set of disks of a view.
func New(view *zinniapond.ControlView, tolerance zinniapond.KeeperSettings) Set {
	s := Set{Machines: tolerance.Machines, Zones: tolerance.Zones}
	for _, d := range view.Disks {
		s.Disks = append(s.Disks, d)
	}
	slices.SortFunc(s.Disks, func(a, b zinniapond.Disk) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// Order returns the disks that take copies of a record, best first. The first
// is in the data centre where the record arose, which saves bytes between data
// centres; the next are each in a data centre that has none yet, as long as
// there is one.
func (s Set) Order(id zinniapond.TurnID, origin zinniapond.DataCentre) []zinniapond.Disk {
	var left []zinniapond.Disk
	for _, d := range s.Disks {
		if d.Counts() {
			left = append(left, d)
		}
	}
	weight := func(d zinniapond.Disk) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(d.ID)) }
	slices.SortFunc(left, func(a, b zinniapond.Disk) int { return cmp.Compare(weight(b), weight(a)) })
	ordered := make([]zinniapond.Disk, 0, len(left))
	used := make(map[zinniapond.DataCentre]bool)
	take := func(at int) {
		ordered = append(ordered, left[at])
		used[left[at].DataCentre] = true
		left = slices.Delete(left, at, at+1)
	}
	if at := slices.IndexFunc(left, func(d zinniapond.Disk) bool { return d.DataCentre == origin }); at >= 0 {
		take(at)
	}
	for len(left) > 0 {
		take(max(slices.IndexFunc(left, func(d zinniapond.Disk) bool { return !used[d.DataCentre] }), 0))
	}
	return ordered
}

// Copies returns the beginning of an order that is enough for a write.
func (s Set) Copies(order []zinniapond.Disk) []zinniapond.Disk {
	for n := range order {
		if s.Written(order[:n+1]) {
			return order[:n+1]
		}
	}
	return order
}

// Written tells whether a record that is synced on these disks survives the
// loss of all that may be lost at the same time.
func (s Set) Written(on []zinniapond.Disk) bool {
	zones := make(map[zinniapond.DataCentre]bool)
	for _, d := range on {
		zones[d.DataCentre] = true
	}
	return len(on) > s.Machines && len(zones) > s.Zones
}

// Certain tells whether what the answering disks do not have does not exist: no
// complete write can be on the others alone. A disk that does not have all of
// its records yet counts as one that did not answer.
func (s Set) Certain(answered func(zinniapond.DiskID) bool) bool {
	var silent []zinniapond.Disk
	for _, d := range s.Disks {
		complete := d.State == zinniapond.DiskFull || d.State == zinniapond.DiskLeaving
		if d.State != zinniapond.DiskJoining && (!complete || !answered(d.ID)) {
			silent = append(silent, d)
		}
	}
	if s.Written(countedBefore(silent, math.MaxUint64)) {
		return false
	}
	for _, d := range silent {
		if !d.Counts() && s.Written(countedBefore(silent, d.Since)) {
			return false
		}
	}
	return len(s.Disks) > 0
}

// countedBefore returns the disks that counted in the last view before an index.
// A write is made under one view, so that a disk that was lost and the one that
// came in its place are never parts of the same write.
func countedBefore(disks []zinniapond.Disk, index zinniapond.Index) []zinniapond.Disk {
	var counted []zinniapond.Disk
	for _, d := range disks {
		switch d.State {
		case zinniapond.DiskFilling:
			if d.Since < index {
				counted = append(counted, d)
			}
		case zinniapond.DiskLost, zinniapond.DiskLeaving:
			if d.Since >= index {
				counted = append(counted, d)
			}
		default:
			counted = append(counted, d)
		}
	}
	return counted
}
