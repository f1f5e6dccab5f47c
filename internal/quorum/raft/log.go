package raft

import (
	"slices"

	"zinniapond.example/zinniapond"
)

// log is the part of the control log that is held in memory: a snapshot, and
// the records after index base, some of which the snapshot covers.
type log struct {
	snapshot zinniapond.Snapshot
	base     zinniapond.Index
	baseTerm zinniapond.Term
	entries  []zinniapond.LogEntry
	configs  []config // voter sets in force, oldest first, never empty

	saved         zinniapond.Index // last record that is durable
	cuts          uint64           // a save from before the last cut says nothing of the tail
	snapshotDirty bool
	tailDirty     bool // a cut is not durable
}

type config struct {
	index  zinniapond.Index
	voters []zinniapond.VoterKey
}

func (l *log) restore(saved zinniapond.LogChange) {
	if saved.Snapshot != nil {
		l.snapshot = *saved.Snapshot
	}
	l.base, l.baseTerm = l.snapshot.Index, l.snapshot.Term
	l.entries = append([]zinniapond.LogEntry(nil), saved.Entries...)
	l.saved = l.last()
	l.configure()
}

// configure rebuilds the voter sets from the snapshot and the records.
func (l *log) configure() {
	l.configs = []config{{l.snapshot.Index, l.snapshot.Voters}}
	for _, e := range l.entries {
		if e.Voters != nil && e.Index > l.snapshot.Index {
			l.configs = append(l.configs, config{e.Index, e.Voters})
		}
	}
}

func (l *log) voters() []zinniapond.VoterKey { return l.configs[len(l.configs)-1].voters }

// configured returns the index of the voter set in force.
func (l *log) configured() zinniapond.Index { return l.configs[len(l.configs)-1].index }

func (l *log) last() zinniapond.Index {
	return l.base + zinniapond.Index(len(l.entries))
}

// term returns the term of the record at index, or 0 if it is not held.
func (l *log) term(index zinniapond.Index) zinniapond.Term {
	switch {
	case index == l.base:
		return l.baseTerm
	case index < l.base || index > l.last():
		return 0
	default:
		return l.entries[index-l.base-1].Term
	}
}

func (l *log) slice(from, to zinniapond.Index) []zinniapond.LogEntry {
	return l.entries[from-l.base-1 : to-l.base]
}

// batch returns records from index from to index to, within the given size but
// at least one.
func (l *log) batch(from, to zinniapond.Index, most int) []zinniapond.LogEntry {
	if from > to {
		return nil
	}
	all := l.slice(from, to)
	size := 0
	for i, e := range all {
		if size += len(e.Data); size > most && i > 0 {
			return all[:i]
		}
	}
	return all
}

func (l *log) append(entries ...zinniapond.LogEntry) {
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.Voters != nil {
			l.configs = append(l.configs, config{e.Index, e.Voters})
		}
	}
}

// cut drops the records after index.
func (l *log) cut(index zinniapond.Index) {
	if index >= l.last() {
		return
	}
	// Clipped, so that the next append copies: replies share the array.
	l.entries = slices.Clip(l.entries[:index-l.base])
	for len(l.configs) > 1 && l.configured() > index {
		l.configs = l.configs[:len(l.configs)-1]
	}
	if l.saved > index {
		l.saved = index
	}
	l.tailDirty = true
	l.cuts++
}

// install replaces the log by a snapshot.
func (l *log) install(s zinniapond.Snapshot) {
	l.snapshot = s
	l.base, l.baseTerm, l.entries = s.Index, s.Term, nil
	l.configs = []config{{s.Index, s.Voters}}
	l.saved = s.Index
	l.snapshotDirty, l.tailDirty = true, true
	l.cuts++
}

// compact takes a snapshot at a committed index and keeps some records before
// it in memory.
func (l *log) compact(index zinniapond.Index, data []byte, keep int) {
	for len(l.configs) > 1 && l.configs[1].index <= index {
		l.configs = l.configs[1:]
	}
	l.snapshot = zinniapond.Snapshot{
		Index: index, Term: l.term(index), Voters: l.configs[0].voters, Data: data,
	}
	l.snapshotDirty = true
	if drop := l.surplus(int(index-l.base), keep); drop > 0 {
		l.baseTerm = l.entries[drop-1].Term
		l.base += zinniapond.Index(drop)
		l.entries = append([]zinniapond.LogEntry(nil), l.entries[drop:]...)
		// Records that others made committed may not be synced here; the
		// snapshot, which is saved with the next change, covers them.
		l.saved = max(l.saved, l.base)
	}
}

// keepBytes bounds the records before a snapshot that stay in memory. A record
// has a whole configuration, which may be hundreds of kilobytes.
const keepBytes = 4 << 20

// surplus returns how many of the first covered records are not kept.
func (l *log) surplus(covered, keep int) int {
	drop, size := max(covered-keep, 0), 0
	for at := covered - 1; at >= drop; at-- {
		if size += len(l.entries[at].Data); size > keepBytes {
			return at + 1
		}
	}
	return drop
}

func (l *log) dirty() bool {
	return l.saved < l.last() || l.snapshotDirty || l.tailDirty
}

func (l *log) unsaved() zinniapond.LogChange {
	change := zinniapond.LogChange{From: l.saved + 1, Cuts: l.cuts}
	if l.saved < l.last() {
		change.Entries = l.slice(l.saved+1, l.last())
	}
	if l.snapshotDirty {
		s := l.snapshot
		change.Snapshot = &s
	}
	return change
}

// synced notes what a durable change covers. A change from before a cut says
// nothing of the records after it.
func (l *log) synced(change zinniapond.LogChange) {
	if change.Snapshot != nil && change.Snapshot.Index == l.snapshot.Index {
		l.snapshotDirty = false
	}
	if change.Cuts != l.cuts {
		return
	}
	l.tailDirty = false
	if n := len(change.Entries); n > 0 && change.Entries[n-1].Index > l.saved {
		l.saved = change.Entries[n-1].Index
	}
}
