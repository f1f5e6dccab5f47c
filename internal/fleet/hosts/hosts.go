// Package hosts chooses the control host that answers for a key, such as a host or a
// replica. All hosts choose the same one unless some cannot reach it.
package hosts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

// avoidTime is the time for which a control host is not chosen after a failure,
// unless all have failed.
const avoidTime = 3 * time.Second

// Chooser spreads keys over the control hosts by rendezvous hashing. Its exported
// fields are set before use.
type Chooser struct {
	Directory zinniapond.Directory
	// Seeds are the control hosts until the control log has a voter set: the quorum
	// of the first start is not a record of the log.
	Seeds []zinniapond.Voter

	// failedAt is the time of the last failure of each control host that has failed
	// since its last success.
	failedAt shard.Map[netip.AddrPort, time.Time]
}

// Choose returns the first control host in the key's order that has not failed
// recently, or the one that failed first. ok is false if no control host is known.
func (c *Chooser) Choose(now time.Time, key string) (host netip.AddrPort, ok bool) {
	order := c.Addresses()
	if len(order) == 0 {
		return netip.AddrPort{}, false
	}
	weight := func(a netip.AddrPort) uint64 { return xxhash.Sum64String(key + "\x00" + a.String()) }
	slices.SortFunc(order, func(x, y netip.AddrPort) int { return cmp.Compare(weight(x), weight(y)) })
	best, bestFailedAt := order[0], time.Time{}
	for i, a := range order {
		failedAt, failed := c.failedAt.Get(a)
		if !failed || now.Sub(failedAt) > avoidTime {
			return a, true
		}
		if i == 0 || failedAt.Before(bestFailedAt) {
			best, bestFailedAt = a, failedAt
		}
	}
	return best, true
}

// Addresses returns the addresses of all control hosts.
func (c *Chooser) Addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, v := range c.Directory.View().Voters {
		// Voters that are not named by their addresses answer only the control log.
		if address, err := netip.ParseAddrPort(string(v.Name)); err == nil {
			list = append(list, address)
		}
	}
	if len(c.Directory.View().Voters) > 0 {
		return list
	}
	for _, v := range c.Seeds {
		list = append(list, v.PeersAddress)
	}
	return list
}

// Record records whether a call to a control host has succeeded.
func (c *Chooser) Record(now time.Time, host netip.AddrPort, succeeded bool) {
	if succeeded {
		c.failedAt.Delete(host)
	} else {
		c.failedAt.Set(host, now)
	}
}
