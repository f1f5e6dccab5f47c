// Package delay measures by how much a host's control state is behind the leader's, and
// what the fetches brought meanwhile.
package delay

import "time"

// minReported is the shortest time behind the leader that is reported. A host is behind
// for a moment after each record.
const minReported = time.Second

// Meter measures one host's control state. It is not safe for concurrent use; the zero
// value is up to date.
type Meter struct {
	// Fetches and Late are the numbers of fetches that were answered and not answered in
	// time since Since. Records and Bytes are what the answers have brought.
	Fetches, Late, Records, Bytes int
	// ApplyTime is the time for decoding and applying the answers.
	ApplyTime time.Duration
	// Since is when the host was last up to date.
	Since time.Time
}

// RecordLate counts a fetch that was not answered in time.
func (m *Meter) RecordLate() { m.Late++ }

// RecordAnswer counts an answer. upToDate is whether the host has applied all records
// that the leader had committed. It returns the measurements since the host was last up
// to date, and true if it is so again after more than minReported.
func (m *Meter) RecordAnswer(now time.Time, records, bytes int, applyTime time.Duration, upToDate bool) (Meter, bool) {
	m.Fetches++
	m.Records += records
	m.Bytes += bytes
	m.ApplyTime += applyTime
	if !upToDate {
		return Meter{}, false
	}
	done := *m
	*m = Meter{Since: now}
	return done, !done.Since.IsZero() && now.Sub(done.Since) > minReported && done.Fetches > 1
}
