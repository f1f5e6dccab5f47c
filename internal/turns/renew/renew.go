// Package renew decides when a disk renews the retention of the earlier turns of a turn.
// It performs no I/O.
package renew

import "time"

// A renewal has to end before zinniapond.RetentionSlack, which disks add to each
// retention, has passed. The latest one is that of a disk of the last rank which learns
// nothing of the earlier turns: two rank delays, patience and an interval.
const (
	// Interval is the time between two checks. It is shorter than most turns, so that a
	// turn is usually announced before the next one asks for its earlier turns.
	Interval = time.Second
	// minLead is the least time before the end of the retention at which earlier turns are
	// renewed.
	minLead = 12 * time.Second
	// leadShare is the part of the retention that is left when earlier turns are renewed. A
	// disk that does not answer for as long keeps its copies.
	leadShare = 0.5
	// rankDelay is the time that a disk leaves to one of lower rank to renew and to say so.
	rankDelay = 4 * time.Second
	maxRank   = 2
	// continuedDelay is the time that the disks with a turn leave to those with a later
	// one, which renew all of its earlier turns too.
	continuedDelay = 2 * rankDelay
	// patience is the time for which a disk asks for the retention of the earlier turns
	// before it renews them without knowing it.
	patience = 4 * time.Second
)

// Chain is what a disk knows of a turn that it has and of the earlier turns.
type Chain struct {
	StoredAt time.Time // of the turn
	// Until is the instant until which the earlier turns are needed for the turn.
	Until time.Time
	// RetainedUntil is the instant until which they are retained on all disks that have
	// them; zero if unknown.
	RetainedUntil time.Time
	// KnownUntil is the same according to a disk with the previous turn, while some disks
	// have not confirmed that they retain the previous turn itself; zero if unknown.
	KnownUntil time.Time
	// Continued is set if there is a later turn.
	Continued bool
	// Rank is the position of the disk among those that have the turn.
	Rank int
}

// IsDone reports whether the earlier turns are retained for as long as they are needed.
func (c Chain) IsDone() bool { return !c.RetainedUntil.Before(c.Until) }

// IsDue reports whether the disk is to send a renewal.
func (c Chain) IsDue(now time.Time) bool {
	if c.IsDone() || now.After(c.Until) {
		return false
	}
	due := c.firstDue()
	if known := c.known(); !known.IsZero() {
		due = known.Add(-c.lead()).Add(c.rankDelay())
		if c.Continued {
			due = due.Add(continuedDelay)
		}
	}
	return !now.Before(due)
}

// Announces reports whether the renewal that is due is only that of the previous turn,
// which also asks for how long the turns before it are retained.
func (c Chain) Announces(now time.Time) bool {
	return c.known().IsZero() && now.Before(c.firstDue().Add(patience))
}

func (c Chain) firstDue() time.Time { return c.StoredAt.Add(c.rankDelay()) }

func (c Chain) rankDelay() time.Duration { return time.Duration(min(c.Rank, maxRank)) * rankDelay }

func (c Chain) lead() time.Duration {
	return max(minLead, time.Duration(leadShare*float64(c.Until.Sub(c.StoredAt))))
}

func (c Chain) known() time.Time {
	if c.RetainedUntil.After(c.KnownUntil) {
		return c.RetainedUntil
	}
	return c.KnownUntil
}
