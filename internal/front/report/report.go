// Package report sends the number of this host's running requests at each replica
// to a control host, and receives the sums over all hosts, as one host sees only a
// small part of a replica's load.
package report

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
)

const (
	// defaultInterval is the interval between exchanges while no control host is
	// known.
	defaultInterval = 200 * time.Millisecond
	// failureInterval is the time after which another control host is asked when an
	// exchange has failed.
	failureInterval = 20 * time.Millisecond
	// exchangeTimeout bounds one exchange. Sums that are older are of no use.
	exchangeTimeout = 250 * time.Millisecond
	// avoidTime is the time for which a control host is not asked after a failure,
	// unless all have failed.
	avoidTime = 3 * time.Second
)

// LoadExchange exchanges the loads of replicas with a control host. The hosts spread
// over the control hosts by rendezvous hashing. Its exported fields are set before
// Run.
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
	// failedAt is the time of the last failure of each control host that has failed
	// since its last success.
	failedAt map[netip.AddrPort]time.Time
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
	controlHost, ok := b.chooseControlHost(b.Clock())
	if !ok {
		return defaultInterval
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply zinniapond.LoadsReply
	request := zinniapond.LoadsRequest{Sender: b.Host, Loads: b.LocalLoads()}
	err := b.Peers.Call(callCtx, controlHost, "Loads.Exchange", request, &reply)
	// Only changes between success and failure are logged, not each exchange.
	if succeeded := err == nil; succeeded != b.lastSucceeded {
		b.lastSucceeded = succeeded
		b.Logger.Info("loads of other hosts", "known", succeeded, "host", controlHost, "error", err)
	}
	if err != nil {
		if b.failedAt == nil {
			b.failedAt = make(map[netip.AddrPort]time.Time)
		}
		b.failedAt[controlHost] = b.Clock()
		return failureInterval
	}
	delete(b.failedAt, controlHost)
	b.ApplySums(b.Clock(), reply.Loads)
	return max(reply.ReportInterval, defaultInterval/2)
}

// chooseControlHost returns the first control host in this host's order that has not
// failed recently, or the one that failed first.
func (b *LoadExchange) chooseControlHost(now time.Time) (netip.AddrPort, bool) {
	var order []netip.AddrPort
	for _, v := range b.Directory.View().Voters {
		// Voters that are not named by their addresses take no reports.
		if address, err := netip.ParseAddrPort(string(v.Name)); err == nil {
			order = append(order, address)
		}
	}
	if len(order) == 0 {
		return netip.AddrPort{}, false
	}
	weight := func(a netip.AddrPort) uint64 { return xxhash.Sum64String(string(b.Host) + "\x00" + a.String()) }
	slices.SortFunc(order, func(x, y netip.AddrPort) int { return cmp.Compare(weight(x), weight(y)) })
	best := order[0]
	for _, a := range order {
		failed, ok := b.failedAt[a]
		if !ok || now.Sub(failed) > avoidTime {
			return a, true
		}
		if failed.Before(b.failedAt[best]) {
			best = a
		}
	}
	return best, true
}
