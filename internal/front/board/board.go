// Package board tells the control leader how many requests this host has at each
// replica, and learns how many all hosts have. A host alone sees a small part of
// a replica's load.
package board

import (
	"context"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
)

const (
	// usual is the pause before the leader has named one, and after a failure.
	usual = 200 * time.Millisecond
	// callLimit bounds one exchange. Sums that are older are of no use.
	callLimit = 500 * time.Millisecond
)

// Board exchanges loads. Its exported fields are set before Run.
type Board struct {
	Host zinniapond.HostName
	// Loads returns the loads of this host, and Learn takes the sums.
	Loads func() []zinniapond.Load
	Learn func(now time.Time, loads []zinniapond.Load)

	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Logger    hclog.Logger
	Clock     func() time.Time

	reached bool // the last exchange succeeded
}

// Run exchanges loads until ctx is done.
func (b *Board) Run(ctx context.Context) error {
	timer := time.NewTimer(usual)
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

// exchange returns the pause until the next one.
func (b *Board) exchange(ctx context.Context) time.Duration {
	// The voters' names are their addresses.
	leader, err := netip.ParseAddrPort(string(b.Directory.View().Leader))
	if err != nil {
		return usual
	}
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var reply zinniapond.LoadsReply
	request := zinniapond.LoadsRequest{Host: b.Host, Loads: b.Loads()}
	err = b.Peers.Call(limited, leader, "Loads.Exchange", request, &reply)
	// One line for each change, not for each exchange.
	if reached := err == nil; reached != b.reached {
		b.reached = reached
		b.Logger.Info("loads of other hosts", "known", reached, "leader", leader, "error", err)
	}
	if err != nil {
		return usual
	}
	b.Learn(b.Clock(), reply.Loads)
	return max(reply.Pause, usual/2)
}
