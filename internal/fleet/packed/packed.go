// Package packed encodes the loads of replicas in the order of the list of replicas in
// the control log. A load takes about one byte, where it takes 13 with its address. Both
// sides must have the same list, so a message names the index of its record.
package packed

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"sync"

	"zinniapond.example/zinniapond"
)

// maxLists is the number of lists that are kept. A peer that has applied a change
// earlier or later, by a few changes, still has one of them.
const maxLists = 4

// plainBytes is the size of a load with its address.
const plainBytes = 13

// Lists has the latest lists of replicas of one host. It is safe for concurrent use; the
// zero value has none.
type Lists struct {
	mu     sync.Mutex
	recent []list // oldest first
}

type list struct {
	index    zinniapond.Index
	replicas []zinniapond.Backend
}

// Update adds the list of the control state unless it is known, and returns the index
// of the latest list, 0 if there is none.
func (l *Lists) Update(view *zinniapond.ControlView) zinniapond.Index {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := zinniapond.Index(0)
	if n := len(l.recent); n > 0 {
		latest = l.recent[n-1].index
	}
	if view.BackendsIndex <= latest { // the view of a host that catches up is empty
		return latest
	}
	l.recent = append(l.recent, list{view.BackendsIndex, view.Backends})
	if len(l.recent) > maxLists {
		l.recent = append([]list(nil), l.recent[1:]...)
	}
	return view.BackendsIndex
}

func (l *Lists) find(index zinniapond.Index) ([]zinniapond.Backend, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.recent {
		if v.index == index {
			return v.replicas, true
		}
	}
	return nil, false
}

// Pack encodes the loads of the replicas on the list with the given index and returns
// the other loads. It encodes nothing if the list is unknown here or if the loads are
// smaller with their addresses. The keys of loads are the addresses; the field Replica is
// not used.
func (l *Lists) Pack(index zinniapond.Index, loads map[netip.AddrPort]zinniapond.Load) (data []byte, others []zinniapond.Load) {
	replicas, ok := l.find(index)
	if !ok || len(loads)*plainBytes < len(replicas) {
		return nil, listExcept(loads, nil)
	}
	data = make([]byte, 0, len(replicas)+len(replicas)/4)
	packedCount := 0
	previous := netip.AddrPort{}
	for _, b := range replicas {
		load, loaded := loads[b.Address]
		// Lists are sorted by address. One that is on the list twice has its load at the
		// first place.
		if !loaded || b.Address == previous || !isPackable(load) {
			data = append(data, 0)
			continue
		}
		previous = b.Address
		packedCount++
		if !load.HasAnswers() {
			data = binary.AppendUvarint(data, uint64(load.Count)<<1)
			continue
		}
		data = binary.AppendUvarint(data, uint64(load.Count)<<1|1)
		data = binary.AppendUvarint(data, uint64(load.Good))
		data = binary.AppendUvarint(data, uint64(load.Bad))
	}
	if packedCount < len(loads) {
		others = listExcept(loads, replicas)
	}
	return data, others
}

func isPackable(l zinniapond.Load) bool { return l.Count >= 0 && l.Good >= 0 && l.Bad >= 0 }

// listExcept returns the loads that are not packed with the given replicas.
func listExcept(loads map[netip.AddrPort]zinniapond.Load, replicas []zinniapond.Backend) []zinniapond.Load {
	packed := make(map[netip.AddrPort]bool, len(replicas))
	for _, b := range replicas {
		packed[b.Address] = isPackable(loads[b.Address])
	}
	list := make([]zinniapond.Load, 0, max(len(loads)-len(replicas), 0))
	for replica, load := range loads {
		if !packed[replica] {
			load.Replica = replica
			list = append(list, load)
		}
	}
	return list
}

// Unpack decodes what Pack has encoded and appends others. The error wraps ErrNotFound
// if the list is unknown here, and ErrMalformed if the data do not fit it.
func (l *Lists) Unpack(index zinniapond.Index, data []byte, others []zinniapond.Load) ([]zinniapond.Load, error) {
	if len(data) == 0 {
		return others, nil
	}
	replicas, ok := l.find(index)
	if !ok {
		return nil, fmt.Errorf("unpack loads: list %d: %w", index, zinniapond.ErrNotFound)
	}
	loads := make([]zinniapond.Load, 0, len(replicas)+len(others))
	fits := true
	next := func() int {
		value, n := binary.Uvarint(data)
		if n <= 0 || value > 1<<62 {
			fits = false
			return 0
		}
		data = data[n:]
		return int(value)
	}
	for _, b := range replicas {
		first := next()
		load := zinniapond.Load{Replica: b.Address, Count: first >> 1}
		if first&1 != 0 {
			load.Good, load.Bad = next(), next()
		}
		if load.Count != 0 || load.HasAnswers() {
			loads = append(loads, load)
		}
	}
	if !fits || len(data) > 0 {
		return nil, fmt.Errorf("unpack loads: they do not fit list %d with %d replicas: %w", index, len(replicas), zinniapond.ErrMalformed)
	}
	return append(loads, others...), nil
}
