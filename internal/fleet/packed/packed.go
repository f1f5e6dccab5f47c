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
// smaller with their addresses.
func (l *Lists) Pack(index zinniapond.Index, loads []zinniapond.Load) (data []byte, others []zinniapond.Load) {
	replicas, ok := l.find(index)
	if !ok || len(loads)*plainBytes < len(replicas) {
		return nil, loads
	}
	byAddress := make(map[netip.AddrPort]zinniapond.Load, len(loads))
	for _, load := range loads {
		byAddress[load.Replica] = load
	}
	data = make([]byte, 0, 2*len(replicas))
	for _, b := range replicas {
		load := byAddress[b.Address]
		if load.Count < 0 || load.Good < 0 || load.Bad < 0 {
			data = append(data, 0)
			continue
		}
		delete(byAddress, b.Address) // an address may be on the list twice
		if !load.HasAnswers() {
			data = binary.AppendUvarint(data, uint64(load.Count)<<1)
			continue
		}
		data = binary.AppendUvarint(data, uint64(load.Count)<<1|1)
		data = binary.AppendUvarint(data, uint64(load.Good))
		data = binary.AppendUvarint(data, uint64(load.Bad))
	}
	for _, load := range byAddress {
		others = append(others, load)
	}
	return data, others
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
