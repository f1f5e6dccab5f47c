// Package ranks decides on which disks the copies of a record are, and when
// enough disks have answered. It is pure.
package ranks

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

// Certain tells whether what the answering disks do not have does not exist. Each
// record is on a set of disks that counted in the same view and that outlives
// what may be lost; if no such set can be on the silent disks alone, one of the
// others has the record.
func (s Set) Certain(answered func(zinniapond.DiskID) bool) bool {
	var silent []zinniapond.Disk
	for _, d := range s.Disks {
		if d.First > 0 && (d.State == zinniapond.DiskLost || !answered(d.ID)) {
			silent = append(silent, d)
		}
	}
	for _, d := range silent {
		if s.Written(countedIn(silent, d.First)) {
			return false
		}
	}
	return slices.ContainsFunc(s.Disks, zinniapond.Disk.Counts)
}

// countedIn returns the disks that counted in a view. One that was lost and has
// come back counts as if it had never been away, as its records are still there.
func countedIn(disks []zinniapond.Disk, view zinniapond.Index) []zinniapond.Disk {
	var counted []zinniapond.Disk
	for _, d := range disks {
		ended := (d.State == zinniapond.DiskLost || d.State == zinniapond.DiskLeaving) && d.Since <= view
		if d.First <= view && !ended {
			counted = append(counted, d)
		}
	}
	return counted
}

// Short returns the disks that are to get a copy of a record, given its order and
// the disks that have it: none if these are enough, else the first of the order
// that make them enough. enough is false if all of the order are too few.
func (s Set) Short(order []zinniapond.Disk, has func(zinniapond.DiskID) bool) (lack []zinniapond.Disk, enough bool) {
	var on []zinniapond.Disk
	for _, d := range order {
		if has(d.ID) {
			on = append(on, d)
		}
	}
	for _, d := range order {
		if s.Written(on) {
			break
		}
		if !has(d.ID) {
			on, lack = append(on, d), append(lack, d)
		}
	}
	return lack, s.Written(on)
}

// Whole tells whether the disks that left the set or were lost are made up for:
// all others, which report the view under which they last looked, have seen to
// it that enough disks have each of their records. A disk may be removed then.
func (s Set) Whole(walked func(zinniapond.DiskID) zinniapond.Index) bool {
	last := zinniapond.Index(0)
	for _, d := range s.Disks {
		if d.State == zinniapond.DiskLost || d.State == zinniapond.DiskLeaving {
			last = max(last, d.Since)
		}
	}
	for _, d := range s.Disks {
		if d.State != zinniapond.DiskLost && d.First > 0 && walked(d.ID) < last {
			return false
		}
	}
	return s.Certain(func(zinniapond.DiskID) bool { return true })
}
