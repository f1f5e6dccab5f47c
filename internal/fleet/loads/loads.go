// Package loads adds up the requests that all hosts have in flight at each replica.
// The control leader keeps the sums in memory; after a change of the leader they
// are complete again within one pause between reports.
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
	// minReportPause is the least time between two reports of one host; routing
	// decisions use sums of about this age.
	minReportPause = 100 * time.Millisecond
	// leaderTimePerReport is the time that one report may take on the leader: it
	// bounds the reports of all hosts to 500 a second.
	leaderTimePerReport = 2 * time.Millisecond
	// validPauses is the number of pauses for which a report is valid.
	validPauses = 5
)

// Loads has the last report of each host. Its exported fields are set before
// use.
type Loads struct {
	Clock func() time.Time

	reports shard.Map[zinniapond.HostName, report]
}

// report is the last report of a host.
type report struct {
	received time.Time
	loads    []zinniapond.Load
}

// Role returns the control role.
func (l *Loads) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run returns when ctx is done; reports arrive through Exchange.
func (l *Loads) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Exchange stores a host's loads, replies with the sums of all hosts and tells the
// host how long to pause before its next report.
func (l *Loads) Exchange(request zinniapond.LoadsRequest, reply *zinniapond.LoadsReply) error {
	now := l.Clock()
	l.reports.Set(request.Sender, report{now, request.Loads})
	reply.Loads, reply.ReportInterval = l.sumLoads(now)
	return nil
}

// sumLoads adds up the reports that are still valid and removes the others. It also
// returns the pause between reports that bounds their rate.
func (l *Loads) sumLoads(now time.Time) ([]zinniapond.Load, time.Duration) {
	sums := make(map[netip.AddrPort]int)
	hostCount := 0
	l.reports.Each(func(zinniapond.HostName, report) bool {
		hostCount++
		return true
	})
	pause := max(minReportPause, time.Duration(hostCount)*leaderTimePerReport)
	var expired []zinniapond.HostName
	l.reports.Each(func(host zinniapond.HostName, r report) bool {
		if now.Sub(r.received) > validPauses*pause {
			expired = append(expired, host)
			return true
		}
		for _, load := range r.loads {
			sums[load.Replica] += load.Count
		}
		return true
	})
	for _, host := range expired {
		l.reports.Delete(host)
	}
	loads := make([]zinniapond.Load, 0, len(sums))
	for replica, count := range sums {
		loads = append(loads, zinniapond.Load{Replica: replica, Count: count})
	}
	return loads, pause
}
