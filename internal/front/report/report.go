// Package report sends the number of this host's running requests at each replica
// to the control leader, and receives the sums over all hosts, as one host sees only
// a small part of a replica's load.
package report

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
)

const (
	// defaultInterval is the interval between exchanges before the leader has set
	// one, and after a failure.
	defaultInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange. Sums that are older are of no use.
	exchangeTimeout = 500 * time.Millisecond
)

// LoadExchange exchanges the loads of replicas with the control leader. Its
// exported fields are set before Run.
type LoadExchange struct {
	Host zinniapond.HostName
	// LocalLoads returns the loads caused by this host, and ApplySums receives
	// the sums over all hosts.
	LocalLoads func() []zinniapond.Load
	ApplySums  func(now time.Time, loads []zinniapond.Load)

	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Logger    hclog.Logger
	Clock     func() time.Time

	lastSucceeded bool // whether the last exchange succeeded
}

// Run exchanges loads until ctx is done.
func (b *LoadExchange) Run(ctx context.Context) error {
	timer := time.NewTimer(defaultInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			timer.Reset(b.exchange(ctx))
		}
	}
}

// exchange does one exchange and returns the interval until the next one.
func (b *LoadExchange) exchange(ctx context.Context) time.Duration {
	// The voters' names are their addresses.
	leader, err := netip.ParseAddrPort(string(b.Directory.View().Leader))
	if err != nil {
		return defaultInterval
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply zinniapond.LoadsReply
	request := zinniapond.LoadsRequest{Sender: b.Host, Loads: b.LocalLoads()}
	err = b.Peers.Call(callCtx, leader, "Loads.Exchange", request, &reply)
	// Only changes between success and failure are logged, not each exchange.
	if succeeded := err == nil; succeeded != b.lastSucceeded {
		b.lastSucceeded = succeeded
		b.Logger.Info("loads of other hosts", "known", succeeded, "leader", leader, "error", err)
	}
	if err != nil {
		return defaultInterval
	}
	b.ApplySums(b.Clock(), reply.Loads)
	return max(reply.ReportInterval, defaultInterval/2)
}
