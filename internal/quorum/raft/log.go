package raft

import (
	"slices"

	"zinniapond.example/zinniapond"
)

// log is the part of the control log in memory: the latest snapshot, and the
// records after index base, of which the snapshot may cover the first ones.
type log struct {
	snapshot  zinniapond.Snapshot
	base      zinniapond.Index
	baseTerm  zinniapond.Term
	entries   []zinniapond.LogEntry
	voterSets []voterSet // of the snapshot and of later records, oldest first, never empty

	savedIndex    zinniapond.Index // last record that is durable
	truncations   uint64           // number of truncations; a save that began before the last one does not cover the tail
	snapshotDirty bool
	tailDirty     bool // a truncation is not durable
}

type voterSet struct {
	index  zinniapond.Index
	voters []zinniapond.VoterKey
}

func (l *log) restore(saved zinniapond.LogChange) {
	if saved.Snapshot != nil {
		l.snapshot = *saved.Snapshot
	}
	l.base, l.baseTerm = l.snapshot.Index, l.snapshot.Term
	l.entries = append([]zinniapond.LogEntry(nil), saved.Entries...)
	l.savedIndex = l.lastIndex()
	l.rebuildVoterSets()
}

// rebuildVoterSets collects the voter sets of the snapshot and the records.
func (l *log) rebuildVoterSets() {
	l.voterSets = []voterSet{{l.snapshot.Index, l.snapshot.Voters}}
	for _, e := range l.entries {
		if e.Voters != nil && e.Index > l.snapshot.Index {
			l.voterSets = append(l.voterSets, voterSet{e.Index, e.Voters})
		}
	}
}

func (l *log) voters() []zinniapond.VoterKey { return l.voterSets[len(l.voterSets)-1].voters }

// voterSetIndex returns the index of the record with the voter set in force.
func (l *log) voterSetIndex() zinniapond.Index { return l.voterSets[len(l.voterSets)-1].index }

func (l *log) lastIndex() zinniapond.Index {
	return l.base + zinniapond.Index(len(l.entries))
}

// term returns the term of the record at index, or 0 if memory does not hold it.
func (l *log) term(index zinniapond.Index) zinniapond.Term {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.lastIndex():
		return 0
	default:
		return l.entries[index-l.base-1].Term
	}
}

func (l *log) slice(from, to zinniapond.Index) []zinniapond.LogEntry {
	return l.entries[from-l.base-1 : to-l.base]
}

// bytes returns the size of the records between the indexes from and to, both included.
func (l *log) bytes(from, to zinniapond.Index) int {
	size := 0
	for _, e := range l.slice(from, to) {
		size += len(e.Data)
	}
	return size
}

// batch returns the first records between the indexes from and to, both
// included, that fit into maxBytes, but at least one.
func (l *log) batch(from, to zinniapond.Index, maxBytes int) []zinniapond.LogEntry {
	if from > to {
		return nil
	}
	entries := l.slice(from, to)
	size := 0
	for i, e := range entries {
		if size += len(e.Data); size > maxBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (l *log) append(entries ...zinniapond.LogEntry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Voters != nil {
			l.voterSets = append(l.voterSets, voterSet{e.Index, e.Voters})
		}
	}
}

// truncateAfter deletes the records after index.
func (l *log) truncateAfter(index zinniapond.Index) {
	if index >= l.lastIndex() {
		return
	}
	// The capacity is clipped so that the next append copies the records:
	// replies share the underlying array.
	l.entries = slices.Clip(l.entries[:index-l.base])
	for len(l.voterSets) > 1 && l.voterSetIndex() > index {
		l.voterSets = l.voterSets[:len(l.voterSets)-1]
	}
	if l.savedIndex > index {
		l.savedIndex = index
	}
	l.tailDirty = true
	l.truncations++
}

// installSnapshot replaces the whole log by a snapshot.
func (l *log) installSnapshot(s zinniapond.Snapshot) {
	l.snapshot = s
	l.base, l.baseTerm, l.entries = s.Index, s.Term, nil
	l.voterSets = []voterSet{{s.Index, s.Voters}}
	l.savedIndex = s.Index
	l.snapshotDirty, l.tailDirty = true, true
	l.truncations++
}

// compact sets a snapshot that ends at a committed index. Up to retained of the
// records that it covers stay in memory.
func (l *log) compact(index zinniapond.Index, data []byte, maxRetained int) {
	for len(l.voterSets) > 1 && l.voterSets[1].index <= index {
		l.voterSets = l.voterSets[1:]
	}
	l.snapshot = zinniapond.Snapshot{
		Index: index, Term: l.term(index), Voters: l.voterSets[0].voters, Data: data,
	}
	l.snapshotDirty = true
	if drop := l.countDroppable(int(index-l.base), maxRetained); drop > 0 {
		l.baseTerm = l.entries[drop-1].Term
		l.base += zinniapond.Index(drop)
		l.entries = append([]zinniapond.LogEntry(nil), l.entries[drop:]...)
		// A record committed by other voters may not be durable on this one.
		// The snapshot, which is saved with the next change, covers it.
		l.savedIndex = max(l.savedIndex, l.base)
	}
}

// maxRetainedBytes limits the records covered by the snapshot that stay in
// memory. A record contains a whole configuration, which may be hundreds of
// kilobytes.
const maxRetainedBytes = 4 << 20

// countDroppable returns the number of records, counted from the first, to drop
// from memory, given the number of records covered by the snapshot.
func (l *log) countDroppable(coveredCount, maxRetained int) int {
	drop, size := max(coveredCount-maxRetained, 0), 0
	for i := coveredCount - 1; i >= drop; i-- {
		if size += len(l.entries[i].Data); size > maxRetainedBytes {
			return i + 1
		}
	}
	return drop
}

func (l *log) isDirty() bool {
	return l.savedIndex < l.lastIndex() || l.snapshotDirty || l.tailDirty
}

func (l *log) unsavedChange() zinniapond.LogChange {
	change := zinniapond.LogChange{FromIndex: l.savedIndex + 1, Truncations: l.truncations}
	if l.savedIndex < l.lastIndex() {
		change.Entries = l.slice(l.savedIndex+1, l.lastIndex())
	}
	if l.snapshotDirty {
		s := l.snapshot
		change.Snapshot = &s
	}
	return change
}

// markSaved records that a change is durable. If the log was truncated after the
// change was taken, the change does not show which of the records are durable.
func (l *log) markSaved(change zinniapond.LogChange) {
	if change.Snapshot != nil && change.Snapshot.Index == l.snapshot.Index {
		l.snapshotDirty = false
	}
	if change.Truncations != l.truncations {
		return
	}
	l.tailDirty = false
	if n := len(change.Entries); n > 0 && change.Entries[n-1].Index > l.savedIndex {
		l.savedIndex = change.Entries[n-1].Index
	}
}
