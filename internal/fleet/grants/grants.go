// Package grants bounds the requests of all hosts to a replica that limits them. Each
// host asks for a permission before it sends a request to such a replica. One control
// host answers for a replica, chosen by all hosts alike; the control hosts tell each
// other what they have granted, so that the limit also holds while hosts ask different
// ones. All state is in memory only.
package grants

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
)

func init() {
	kernel.Register(string(zinniapond.RoleControl)+".grants", func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		g := &Granter{Address: k.Settings.PeersAddress(), Logger: k.Logger.Named("grants"), Clock: k.Now}
		g.ControlHosts.Seeds = k.Settings.Control.Seeds()
		mounter, err := kernel.Find[zinniapond.Mounter](k)
		err = errors.Join(err, kernel.FindInto(k, &g.Peers), kernel.FindInto(k, &g.ControlHosts.Directory), kernel.FindInto(k, &g.Limits), kernel.FindInto(k, &g.Stats))
		if err != nil {
			return nil, err
		}
		if err := mounter.Mount("Grants", g); err != nil {
			return nil, fmt.Errorf("mount grants: %w", err)
		}
		return g, nil
	})
}

const (
	// relayInterval is the time between two messages to another control host.
	relayInterval = 100 * time.Millisecond
	// savedTime is the time for which unused permissions are kept.
	savedTime = time.Second
)

// Granter grants permissions. Its exported fields are set before Run.
type Granter struct {
	Address      netip.AddrPort // of this host
	Peers        zinniapond.Peers
	ControlHosts hosts.Chooser
	Limits       zinniapond.LimitBook
	Stats        *stats.Set[string]
	Logger       hclog.Logger
	Clock        func() time.Time

	buckets shard.Map[netip.AddrPort, *bucket]
}

// bucket has the permissions of one replica.
type bucket struct {
	mu sync.Mutex
	id string
	// next is when the next request may be sent.
	next    time.Time
	granted uint64 // number of permissions that this host has granted
	relayed uint64 // value of granted in the last message to the other control hosts
	// others has the numbers that the other control hosts have granted.
	others map[netip.AddrPort]uint64
}

// advance moves next by a number of requests. Time that has passed without requests is
// kept up to savedTime.
func (b *bucket) advance(now time.Time, rate zinniapond.RequestRate, count uint64) {
	b.next = b.earliest(now).Add(time.Duration(float64(count) / float64(rate) * float64(time.Second)))
}

func (b *bucket) earliest(now time.Time) time.Time {
	if saved := now.Add(-savedTime); b.next.Before(saved) {
		return saved
	}
	return b.next
}

// take grants one request unless it would have to wait for longer than maxWait. It
// returns the wait in both cases, negative if the permission has been available.
func (b *bucket) take(now time.Time, rate zinniapond.RequestRate, maxWait time.Duration) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait = b.earliest(now).Sub(now)
	if wait > maxWait {
		return wait, false
	}
	b.advance(now, rate, 1)
	b.granted++
	return wait, true
}

// addOthers counts what another control host has granted. count is the sum of its
// grants. The first message of a host counts as one grant: how many of the others
// are recent is not known.
func (b *bucket) addOthers(now time.Time, rate zinniapond.RequestRate, sender netip.AddrPort, count uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.others[sender]
	switch {
	case !ok:
		known = count - 1
	case count < known: // the sender has restarted
		known = 0
	}
	if b.others == nil {
		b.others = make(map[netip.AddrPort]uint64)
	}
	b.others[sender] = count
	b.advance(now, rate, count-known)
}

// unrelayed returns the number of grants if there are any since the last call.
func (b *bucket) unrelayed() (count uint64, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.granted != b.relayed
	b.relayed = b.granted
	return b.granted, changed
}

// Role returns the control role.
func (g *Granter) Role() zinniapond.Role { return zinniapond.RoleControl }

// bucket returns the bucket of a replica. A successor at the same address has a
// bucket of its own.
func (g *Granter) bucket(now time.Time, replica netip.AddrPort, id string) *bucket {
	var found *bucket
	g.buckets.Update(replica, func(values map[netip.AddrPort]*bucket) {
		if found = values[replica]; found == nil || found.id != id {
			found = &bucket{id: id, next: now}
			values[replica] = found
		}
	})
	return found
}

// Acquire grants a permission, or tells the time until one could be granted.
func (g *Granter) Acquire(request zinniapond.PermitRequest, reply *zinniapond.PermitReply) error {
	now := g.Clock()
	replica, id := request.Limit.Replica, request.Limit.ID
	rate, limited := g.Limits.Rate(now, replica, id)
	if !limited {
		// This host may have restarted since the sender learned of the limit.
		g.Limits.Merge(now, []zinniapond.LimitReport{request.Limit}, false)
		rate, limited = g.Limits.Rate(now, replica, id)
	}
	reply.Limit, _ = g.Limits.Report(now, replica)
	if !limited {
		reply.Granted = true
		return nil
	}
	reply.Wait, reply.Granted = g.bucket(now, replica, id).take(now, rate, request.MaxWait)
	if reply.Granted {
		g.Stats.Add("grants.granted", 1)
	} else {
		g.Stats.Add("grants.refused", 1)
	}
	return nil
}

// Relay counts what another control host has granted.
func (g *Granter) Relay(request zinniapond.GrantsRequest, _ *zinniapond.GrantsReply) error {
	now := g.Clock()
	for _, c := range request.Grants {
		if rate, limited := g.Limits.Rate(now, c.Replica, c.ID); limited && c.Count > 0 {
			g.bucket(now, c.Replica, c.ID).addOthers(now, rate, request.Sender, c.Count)
		}
	}
	return nil
}

// Run tells the other control hosts what this one has granted until ctx is done.
func (g *Granter) Run(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.relay(ctx, g.Clock())
		}
	}
}

// relay sends the numbers that have changed, and forgets replicas that no longer
// limit their requests.
func (g *Granter) relay(ctx context.Context, now time.Time) {
	var changed []zinniapond.GrantCount
	var ended []netip.AddrPort
	g.buckets.Each(func(replica netip.AddrPort, b *bucket) bool {
		if _, limited := g.Limits.Rate(now, replica, b.id); !limited {
			ended = append(ended, replica)
		} else if count, ok := b.unrelayed(); ok {
			changed = append(changed, zinniapond.GrantCount{Replica: replica, ID: b.id, Count: count})
		}
		return true
	})
	for _, replica := range ended {
		g.buckets.Delete(replica)
	}
	if len(changed) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayInterval)
	defer cancel()
	request := zinniapond.GrantsRequest{Sender: g.Address, Grants: changed}
	var group sync.WaitGroup
	for _, address := range g.ControlHosts.Addresses() {
		if address == g.Address {
			continue
		}
		group.Go(func() {
			if err := g.Peers.Call(ctx, address, "Grants.Relay", request, new(zinniapond.GrantsReply)); err != nil {
				g.Logger.Debug("grants not relayed", "host", address, "error", err)
			}
		})
	}
	group.Wait()
}
