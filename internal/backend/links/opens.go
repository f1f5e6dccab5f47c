package links

import (
	"net/netip"
	"sync"

	"zinniapond.example/zinniapond"
)

// maxLosses bounds the closed connections of a replica whose reasons are remembered.
const maxLosses = 64

// opens counts the connections to one replica and finds the reasons for opening them.
// Each new connection is the first one, replaces one that was closed, or adds to those
// in use. The zero value is ready for use.
type opens struct {
	mu    sync.Mutex
	count int  // connections that are open or being opened
	used  bool // a connection was opened before
	// losses has the reasons of closed connections that no other one has replaced yet.
	losses []zinniapond.OpenReason
	// restarts is the number of restarts of the replica.
	restarts int
	share    zinniapond.ConnectionShare
}

// begin records that a connection is being opened, and returns the reason and the number
// of restarts of the replica. It returns false if that would exceed the share. hasIdle is
// set if there are idle connections that do not suit the request, and exempt if the share
// does not apply.
func (o *opens) begin(hasIdle, exempt bool) (reason zinniapond.OpenReason, restarts int, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !exempt && o.share.IsLimited && o.count >= o.share.Open {
		return "", 0, false
	}
	o.count++
	last := len(o.losses) - 1
	switch {
	case !o.used:
		reason = zinniapond.OpenFirst
	case hasIdle:
		reason = zinniapond.OpenStale
	case last >= 0:
		reason, o.losses = o.losses[last], o.losses[:last]
	default:
		reason = zinniapond.OpenAllInUse
	}
	o.used = true
	return reason, o.restarts, true
}

// fail records that the connection could not be opened. The next one has the same reason.
func (o *opens) fail(reason zinniapond.OpenReason) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	switch reason {
	case zinniapond.OpenFirst:
		o.used = false
	case zinniapond.OpenAllInUse, zinniapond.OpenStale:
	default:
		o.lose(reason)
	}
}

// end records that a connection was closed.
func (o *opens) end(reason zinniapond.OpenReason, restarts int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	if restarts != o.restarts {
		reason = zinniapond.OpenRestarted
	}
	o.lose(reason)
}

// lose requires the lock.
func (o *opens) lose(reason zinniapond.OpenReason) {
	o.losses = append(o.losses, reason)
	o.losses = o.losses[max(len(o.losses)-maxLosses, 0):]
}

func (o *opens) restart() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restarts++
	for i := range o.losses {
		o.losses[i] = zinniapond.OpenRestarted
	}
}

// closeFor closes the connection and records the reason. Only the first call counts.
func (l *connection) closeFor(reason zinniapond.OpenReason) error {
	if l.closed.CompareAndSwap(false, true) {
		l.replica.opens.end(reason, l.restarts)
	}
	return l.Close()
}

// closeReason returns the reason for closing the connection after the answer: the replica
// closes it, or the answer or request is not complete.
func (b *body) closeReason(notCancelled bool) zinniapond.OpenReason {
	isWhole := notCancelled && b.complete && b.copies == 0 && b.connection.written.Load()
	if isWhole && b.connection.reader.Buffered() == 0 {
		return zinniapond.OpenFinalAnswer
	}
	return zinniapond.OpenAfterError
}

// Restarted closes the idle connections to a replica that was started again.
func (p *Pool) Restarted(replica netip.AddrPort) {
	r, ok := p.replicas.Get(replica)
	if !ok {
		return
	}
	r.opens.restart()
	for l := r.pop(); l != nil; l = r.pop() {
		_ = l.closeFor(zinniapond.OpenRestarted)
	}
}

func (p *Pool) recordOpen(reason zinniapond.OpenReason) {
	if p.OnDial != nil {
		p.OnDial(reason)
	}
}
