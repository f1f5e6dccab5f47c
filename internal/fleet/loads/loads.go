// Package loads adds up how many requests all hosts have at each replica. The
// control leader does so in memory; after a change of the leader the sums are
// whole again within one pause.
package loads

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

func init() {
	kernel.Register[zinniapond.RolePlugin](string(zinniapond.RoleControl)+".loads", func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		l := &Loads{Clock: k.Now}
		mounter, err := kernel.Find[zinniapond.Mounter](k)
		if err != nil {
			return nil, err
		}
		if err := mounter.Mount("Loads", l); err != nil {
			return nil, fmt.Errorf("mount loads: %w", err)
		}
		return l, nil
	})
}

const (
	// shortest is the pause between two reports of one host; routes rest on sums
	// of about this age.
	shortest = 100 * time.Millisecond
	// each is the part of a second that one report may take on the leader: it
	// bounds the reports of all hosts to 500 a second.
	each = 2 * time.Millisecond
	// kept is the number of pauses for which a report counts.
	kept = 5
)

// Loads has the last report of each host. Its exported fields are set before
// use.
type Loads struct {
	Clock func() time.Time

	hosts shard.Map[zinniapond.HostName, report]
}

// report is what a host has said last.
type report struct {
	at    time.Time
	loads []zinniapond.Load
}

// Role returns the role of the plug-in.
func (l *Loads) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run returns when ctx is done; reports are taken as they come.
func (l *Loads) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Exchange takes a host's loads and answers with the sums.
func (l *Loads) Exchange(request zinniapond.LoadsRequest, reply *zinniapond.LoadsReply) error {
	now := l.Clock()
	l.hosts.Set(request.Host, report{now, request.Loads})
	reply.Loads, reply.Pause = l.sum(now)
	return nil
}

// sum adds up the reports that are not too old, and returns the pause that bounds
// their rate.
func (l *Loads) sum(now time.Time) ([]zinniapond.Load, time.Duration) {
	sums := make(map[netip.AddrPort]int)
	hosts := 0
	l.hosts.Each(func(zinniapond.HostName, report) bool {
		hosts++
		return true
	})
	pause := max(shortest, time.Duration(hosts)*each)
	var old []zinniapond.HostName
	l.hosts.Each(func(host zinniapond.HostName, r report) bool {
		if now.Sub(r.at) > kept*pause {
			old = append(old, host)
			return true
		}
		for _, load := range r.loads {
			sums[load.Replica] += load.Count
		}
		return true
	})
	for _, host := range old {
		l.hosts.Delete(host)
	}
	loads := make([]zinniapond.Load, 0, len(sums))
	for replica, count := range sums {
		loads = append(loads, zinniapond.Load{Replica: replica, Count: count})
	}
	return loads, pause
}
