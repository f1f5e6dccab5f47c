// Package doubts records replicas that are likely to refuse the next requests. A
// doubtful replica is tried after all others, but is not excluded: the reason may
// have ended, and the list decides which replicas exist.
package doubts

import (
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

// Book has the doubtful replicas of a host. Its zero value is ready for use.
type Book struct {
	doubts shard.Map[netip.AddrPort, doubt]
}

// doubt refers to one lifetime of a replica.
type doubt struct {
	id    string
	until time.Time
}

// Add makes a replica doubtful for the given time.
func (b *Book) Add(now time.Time, replica zinniapond.Backend, duration time.Duration) {
	until := now.Add(duration)
	b.doubts.Update(replica.Address, func(doubts map[netip.AddrPort]doubt) {
		if have, ok := doubts[replica.Address]; !ok || have.id != replica.ID || have.until.Before(until) {
			doubts[replica.Address] = doubt{replica.ID, until}
		}
	})
}

// Clear ends the doubt about a replica.
func (b *Book) Clear(replica zinniapond.Backend) { b.doubts.Delete(replica.Address) }

// Has reports whether a replica is doubtful.
func (b *Book) Has(now time.Time, replica zinniapond.Backend) bool {
	d, ok := b.doubts.Get(replica.Address)
	return ok && d.id == replica.ID && now.Before(d.until)
}

// Prune removes the doubts that are over.
func (b *Book) Prune(now time.Time) {
	var over []netip.AddrPort
	b.doubts.Each(func(a netip.AddrPort, d doubt) bool {
		if !now.Before(d.until) {
			over = append(over, a)
		}
		return true
	})
	for _, a := range over {
		b.doubts.Delete(a)
	}
}
