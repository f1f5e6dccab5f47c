// Package ended finds out whether a replica has ended after requests to it broke off.
package ended

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/singleflight"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// checkTimeout bounds one check. A host that is down does not answer at all, which
	// shows nothing about the replica.
	checkTimeout = 250 * time.Millisecond
	// validity is the time for which the end of a replica is known without a check.
	validity = time.Second
)

// Checker checks replicas. Requests to one replica that break off at the same time share
// a check. Its exported field is set before its use.
type Checker struct {
	Client zinniapond.ReplicaClient

	checks singleflight.Group
	known  shard.Map[netip.AddrPort, knownEnd]
}

// knownEnd is the last end of a replica at an address.
type knownEnd struct {
	id string
	at time.Time
}

// Has reports whether a replica has ended. It is false if that is not known.
func (c *Checker) Has(ctx context.Context, now time.Time, replica zinniapond.Backend) bool {
	if k, ok := c.known.Get(replica.Address); ok && k.id == replica.ID && now.Sub(k.at) < validity {
		return true
	}
	result, _, _ := c.checks.Do(replica.Address.String()+"/"+replica.ID, func() (any, error) {
		// Other requests share the check, so that it does not end with this one.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		return c.Client.HasEnded(callCtx, replica.Address), nil
	})
	if result.(bool) {
		c.known.Set(replica.Address, knownEnd{replica.ID, now})
	}
	return result.(bool)
}

// Prune removes the ends that are no longer known without a check.
func (c *Checker) Prune(now time.Time) {
	var old []netip.AddrPort
	c.known.Each(func(a netip.AddrPort, k knownEnd) bool {
		if now.Sub(k.at) >= validity {
			old = append(old, a)
		}
		return true
	})
	for _, a := range old {
		c.known.Delete(a)
	}
}
