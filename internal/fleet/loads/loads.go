// Package loads adds up the requests that all hosts have in flight at each replica.
// Each host reports to one control host. The control hosts relay the sums of these
// reports to each other, so that neither the rate of reports nor an election of the
// leader limits how recent the sums are. All sums are in memory only.
package loads

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/packed"
)

func init() {
	kernel.Register(string(zinniapond.RoleControl)+".loads", func(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
		l := &Loads{Address: k.Settings.PeersAddress(), Logger: k.Logger.Named("loads"), Clock: k.Now}
		l.ControlHosts.Seeds = k.Settings.Control.Seeds()
		mounter, err := kernel.Find[zinniapond.Mounter](k)
		if err = errors.Join(err, kernel.FindInto(k, &l.Peers), kernel.FindInto(k, &l.ControlHosts.Directory), kernel.FindInto(k, &l.Limits), kernel.FindInto(k, &l.Blame)); err != nil {
			return nil, err
		}
		if err := mounter.Mount("Loads", l); err != nil {
			return nil, fmt.Errorf("mount loads: %w", err)
		}
		return l, nil
	})
}

const (
	// minReportPause is the least time between two reports of one host.
	minReportPause = 100 * time.Millisecond
	// timePerReport is the time that one report may take on a control host: it
	// bounds the reports that a control host receives to 500 a second.
	timePerReport = 2 * time.Millisecond
	// timePerEntry is the pause between two replies to a host for each replica in
	// them: at 13 bytes an entry it bounds their traffic to 16 KB/s for each host.
	timePerEntry = 800 * time.Microsecond
	// limitEntries is the size of a limit in a reply, in entries of a load.
	limitEntries = 5
	// relayInterval is the time between two relayed sums.
	relayInterval = 100 * time.Millisecond
	// newsOverlap is the time for which news are repeated, as a message may be lost.
	newsOverlap = 300 * time.Millisecond
	// validPauses is the number of pauses for which a report is valid.
	validPauses = 5
)

// Loads has the last report of each host. Its exported fields are set before
// use.
type Loads struct {
	Address      netip.AddrPort // of this host
	Peers        zinniapond.Peers
	ControlHosts hosts.Chooser
	Limits       zinniapond.LimitBook
	Blame        zinniapond.Blame
	Logger       hclog.Logger
	Clock        func() time.Time

	reports shard.Map[zinniapond.HostName, report] // of hosts that report to this one
	relayed shard.Map[zinniapond.HostName, report] // sums of the other control hosts
	entries atomic.Int64                           // size of the last reply, in entries of a load

	lists packed.Lists
	// peerLists has the index of the list that each other control host has.
	peerLists shard.Map[netip.AddrPort, zinniapond.Index]
	// relayedAt is the time of the last relay. It is used by Run only.
	relayedAt time.Time
}

// report is the last report of a host.
type report struct {
	received time.Time
	hosts    int // number of hosts that the report is about
	loads    []zinniapond.Load
}

// Role returns the control role.
func (l *Loads) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run relays the sums of the reports to the other control hosts until ctx is done.
func (l *Loads) Run(ctx context.Context) error {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.relay(ctx)
		}
	}
}

// relay sends the sums of the reports and the limits that they contain to the other
// control hosts. It sends nothing while no host reports to this one.
func (l *Loads) relay(ctx context.Context) {
	sums := make(map[netip.AddrPort]zinniapond.Load)
	now := l.Clock()
	reporting, _ := l.addReports(now, sums)
	if reporting == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, relayInterval)
	defer cancel()
	request := zinniapond.LoadsRequest{Sender: zinniapond.HostName(l.Address.String()), Relayed: true, Hosts: reporting, Limits: l.Limits.News(now, l.relayedAt), Blame: l.Blame.News(now, l.relayedAt.Add(-newsOverlap))}
	request.ListIndex = l.lists.Update(l.ControlHosts.Directory.View())
	l.relayedAt = now
	var group sync.WaitGroup
	for _, address := range l.ControlHosts.Addresses() {
		if address == l.Address {
			continue
		}
		group.Go(func() {
			if err := l.relayTo(callCtx, address, request, sums); err != nil {
				l.Logger.Debug("loads not relayed", "host", address, "error", err)
			}
		})
	}
	group.Wait()
}

// relayTo sends sums to another control host. They are packed in the order of the list
// that this host named in its last reply: until it has replied, and after a failure, it
// may have none.
func (l *Loads) relayTo(ctx context.Context, address netip.AddrPort, request zinniapond.LoadsRequest, sums map[netip.AddrPort]zinniapond.Load) error {
	request.PackedIndex, _ = l.peerLists.Get(address)
	request.Packed, request.Loads = l.lists.Pack(request.PackedIndex, sums)
	var reply zinniapond.LoadsReply
	if err := l.Peers.Call(ctx, address, "Loads.Exchange", request, &reply); err != nil {
		l.peerLists.Delete(address)
		return err
	}
	l.peerLists.Set(address, reply.ListIndex)
	return nil
}

// Exchange stores a host's loads, replies with the sums of all hosts and tells the
// host how long to pause before its next report. The reply to another control host
// is empty.
func (l *Loads) Exchange(request zinniapond.LoadsRequest, reply *zinniapond.LoadsReply) error {
	now := l.Clock()
	l.Limits.Merge(now, request.Limits, !request.Relayed)
	l.Blame.Merge(now, request.Blame)
	if request.Relayed {
		return l.storeRelayed(now, request, reply)
	}
	if request.ListIndex > 0 {
		l.lists.Update(l.ControlHosts.Directory.View())
	}
	previous, _ := l.reports.Get(request.Sender)
	l.reports.Set(request.Sender, report{now, 1, request.Loads})
	sums := make(map[netip.AddrPort]zinniapond.Load, l.entries.Load())
	reply.Hosts, reply.ReportInterval = l.addReports(now, sums)
	reply.Hosts += addValid(&l.relayed, now, validPauses*relayInterval, sums)
	reply.Packed, reply.Loads = l.lists.Pack(request.ListIndex, sums)
	reply.Limits = l.Limits.All(now)
	reply.Blame = l.Blame.News(now, previous.received.Add(-newsOverlap))
	l.entries.Store(int64(len(sums) + countAnswered(sums) + limitEntries*len(reply.Limits) + reply.Blame.Size()))
	return nil
}

// storeRelayed stores the sums of another control host and replies with the list that
// this host has. If the sums cannot be unpacked, the last ones stay; the next ones are
// not packed.
func (l *Loads) storeRelayed(now time.Time, request zinniapond.LoadsRequest, reply *zinniapond.LoadsReply) error {
	if request.ListIndex > 0 {
		reply.ListIndex = l.lists.Update(l.ControlHosts.Directory.View())
	}
	loads, err := l.lists.Unpack(request.PackedIndex, request.Packed, request.Loads)
	if err != nil {
		return fmt.Errorf("store sums of %s: %w", request.Sender, err)
	}
	l.relayed.Set(request.Sender, report{now, request.Hosts, loads})
	return nil
}

// addReports adds up the reports that are still valid and removes the others. It
// returns the number of reporting hosts and the pause between reports that bounds
// their rate and the traffic of the replies.
func (l *Loads) addReports(now time.Time, sums map[netip.AddrPort]zinniapond.Load) (hosts int, pause time.Duration) {
	hostCount := 0
	l.reports.Each(func(zinniapond.HostName, report) bool {
		hostCount++
		return true
	})
	pause = max(minReportPause, time.Duration(hostCount)*timePerReport, time.Duration(l.entries.Load())*timePerEntry)
	return addValid(&l.reports, now, validPauses*pause, sums), pause
}

// addValid adds the reports that are at most maxAge old to sums, removes the others,
// and returns the number of hosts that the remaining ones are about.
func addValid(reports *shard.Map[zinniapond.HostName, report], now time.Time, maxAge time.Duration, sums map[netip.AddrPort]zinniapond.Load) int {
	hosts := 0
	var expired []zinniapond.HostName
	reports.Each(func(host zinniapond.HostName, r report) bool {
		if now.Sub(r.received) > maxAge {
			expired = append(expired, host)
			return true
		}
		hosts += r.hosts
		for _, load := range r.loads {
			sum := sums[load.Replica]
			sum.Add(load)
			sums[load.Replica] = sum
		}
		return true
	})
	for _, host := range expired {
		reports.Delete(host)
	}
	return hosts
}

// countAnswered returns the number of sums with counts of answers, which double the size
// of an entry.
func countAnswered(sums map[netip.AddrPort]zinniapond.Load) int {
	count := 0
	for _, sum := range sums {
		if sum.HasAnswers() {
			count++
		}
	}
	return count
}
