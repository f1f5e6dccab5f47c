package runner

import (
	"context"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// reportAge is the largest age of what a replica reports of its requests.
	reportAge = 400 * time.Millisecond
	// runEndInterval is the interval at which a replica is asked whether a run has
	// ended, and maxRunEndWait the time after which a stream that the replica broke off is
	// broken off instead.
	runEndInterval = 150 * time.Millisecond
	maxRunEndWait  = time.Second
	reportTimeout  = 300 * time.Millisecond
)

// awaitRunEnd waits until a replica no longer works on a stream that broke off, so that
// the stream may go on at another one. It returns false if that is not known in time:
// replicas do not all drop a request when its connection closes. A stream that this host has
// taken from its replica, which may be silent for good reasons, is not broken off before its
// deadline. begun is when the request was sent.
func (u *run) awaitRunEnd(ctx context.Context, replica zinniapond.Backend, begun time.Time) bool {
	if u.ended.Has(ctx, u.Clock(), replica) {
		return true
	}
	hasLeft := u.departure.left()
	until := u.deadline.Add(-replyMargin)
	if !hasLeft {
		until = u.Clock().Add(min(maxRunEndWait, time.Duration(maxWaitShare*float64(u.deadline.Sub(u.Clock())))))
	}
	// A report from before the request was sent does not name it.
	next := begun.Add(reportAge)
	for ; next.Before(until); next = u.Clock().Add(runEndInterval) {
		if sleepUntil(ctx, u.Clock(), next) != nil {
			return false
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		state, err := u.Client.RunState(callCtx, replica, u.request.ID)
		cancel()
		if err != nil {
			u.Logger.Debug("run of a broken stream not known to have ended", "id", u.request.ID, "replica", replica.Address, "error", err)
			if ended := u.ended.Has(ctx, u.Clock(), replica); ended || !hasLeft {
				return ended
			}
			continue
		}
		if state != zinniapond.RunActive {
			return true
		}
	}
	return false
}
