// Package report sends the number of this host's running requests at each replica
// to a control host, and receives the sums over all hosts, as one host sees only a
// small part of a replica's load.
package report

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/packed"
)

const (
	// defaultInterval is the interval between exchanges while no control host is
	// known.
	defaultInterval = 200 * time.Millisecond
	// failureInterval is the time after which another control host is asked when an
	// exchange has failed.
	failureInterval = 20 * time.Millisecond
	// newsDelay is the delay of an exchange for news, and newsInterval the least time
	// between two of them.
	newsDelay    = 10 * time.Millisecond
	newsInterval = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange. Sums that are older are of no use.
	exchangeTimeout = 250 * time.Millisecond
)

// LoadExchange exchanges the loads and limits of replicas with a control host. The
// hosts spread over the control hosts by rendezvous hashing. Its exported fields are
// set before Run.
type LoadExchange struct {
	Host zinniapond.HostName
	// LocalLoads returns the loads caused by this host, and ApplySums receives
	// the sums over all hosts.
	LocalLoads func() []zinniapond.Load
	ApplySums  func(now time.Time, loads []zinniapond.Load)
	// SetHostCount receives the number of hosts that exchange loads.
	SetHostCount func(count int)

	Peers        zinniapond.Peers
	ControlHosts hosts.Chooser
	Limits       zinniapond.LimitBook
	Blame        zinniapond.Blame
	// OnEndings receives the replicas that have ended at other hosts; may be nil.
	OnEndings func(now time.Time, endings []zinniapond.Ending)
	Logger    hclog.Logger
	Clock     func() time.Time

	once sync.Once
	wake chan struct{} // requests an exchange before its time

	lists        packed.Lists // used to unpack the sums
	unpackFailed bool         // the last sums could not be unpacked

	lastSucceeded bool      // whether the last exchange succeeded
	reportedAt    time.Time // time of the last report that a control host has received
}

func (b *LoadExchange) initialise() { b.once.Do(func() { b.wake = make(chan struct{}, 1) }) }

// Wake makes the next exchange take place soon. It is called when there is news that
// other hosts need at once.
func (b *LoadExchange) Wake() {
	b.initialise()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run exchanges loads until ctx is done.
func (b *LoadExchange) Run(ctx context.Context) error {
	b.initialise()
	var last time.Time
	timer := time.NewTimer(defaultInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.wake:
			// The requests that ran at a replica that ended report within a short time.
			timer.Reset(max(newsDelay, newsInterval-b.Clock().Sub(last)))
		case <-timer.C:
			last = b.Clock()
			timer.Reset(b.exchange(ctx))
		}
	}
}

// exchange does one exchange and returns the interval until the next one.
func (b *LoadExchange) exchange(ctx context.Context) time.Duration {
	start := b.Clock()
	controlHost, ok := b.ControlHosts.Choose(start, string(b.Host))
	if !ok {
		return defaultInterval
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply zinniapond.LoadsReply
	request := zinniapond.LoadsRequest{Sender: b.Host, Loads: b.LocalLoads(), Limits: b.Limits.News(start, b.reportedAt), Blame: b.Blame.News(start, b.reportedAt)}
	if index := b.lists.Update(b.ControlHosts.Directory.View()); !b.unpackFailed {
		request.ListIndex = index
	}
	err := b.Peers.Call(callCtx, controlHost, "Loads.Exchange", request, &reply)
	// Only changes between success and failure are logged, not each exchange.
	if succeeded := err == nil; succeeded != b.lastSucceeded {
		b.lastSucceeded = succeeded
		b.Logger.Info("loads of other hosts", "known", succeeded, "host", controlHost, "error", err)
	}
	now := b.Clock()
	b.ControlHosts.Record(now, controlHost, err == nil)
	if err != nil {
		return failureInterval
	}
	sums, err := b.lists.Unpack(request.ListIndex, reply.Packed, reply.Loads)
	if b.unpackFailed = err != nil; b.unpackFailed {
		// The next request names no list, so that its reply is not packed.
		b.Logger.Warn("loads of other hosts not unpacked", "host", controlHost, "error", err)
		return failureInterval
	}
	b.reportedAt = start
	b.Limits.Merge(now, reply.Limits, false)
	b.Blame.Merge(now, reply.Blame)
	if b.OnEndings != nil && len(reply.Blame.Endings) > 0 {
		b.OnEndings(now, reply.Blame.Endings)
	}
	b.SetHostCount(reply.Hosts)
	b.ApplySums(now, sums)
	return max(reply.ReportInterval, defaultInterval/2)
}
