package links

import (
	"net/netip"

	"zinniapond.example/zinniapond"
)

// Limit bounds the connections to a replica and closes idle ones beyond the bound. A
// request without an id opens a connection in any case: it asks for a report on another
// request, which decides whether that one may be sent elsewhere.
func (p *Pool) Limit(replica netip.AddrPort, share zinniapond.ConnectionShare) {
	r, ok := p.replicas.Get(replica)
	if !ok && !share.IsLimited {
		return
	}
	if !ok {
		r = p.replicas.GetOrCreate(replica, func() *replicaConns { return new(replicaConns) })
	}
	r.opens.setShare(share)
	r.mu.Lock()
	defer r.mu.Unlock()
	// The first ones have been idle for the longest time.
	for len(r.idle) > 0 && r.opens.isOverShare(len(r.idle)) {
		_ = r.idle[0].closeFor(zinniapond.OpenOverShare)
		r.idle = r.idle[1:]
	}
}

// CanConnect reports whether there is an idle connection to a replica or one may be
// opened.
func (p *Pool) CanConnect(replica netip.AddrPort) bool {
	r, ok := p.replicas.Get(replica)
	if !ok || r.opens.hasRoom() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.idle) > 0
}

// beginOpen begins to open a connection for a request. If this host has its share, an
// idle connection that does not suit the request is closed for it.
func (r *replicaConns) beginOpen(hasIdle bool, id string) (zinniapond.OpenReason, int, error) {
	reason, restarts, ok := r.opens.begin(hasIdle, id == "")
	if !ok && hasIdle {
		if l := r.pop(); l != nil {
			_ = l.closeFor(zinniapond.OpenStale)
		}
		reason, restarts, ok = r.opens.begin(false, false)
	}
	if !ok {
		return "", 0, zinniapond.ErrConnectionLimit
	}
	return reason, restarts, nil
}

func (o *opens) setShare(share zinniapond.ConnectionShare) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.share = share
}

// hasRoom reports whether another connection is within the share.
func (o *opens) hasRoom() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.share.IsLimited || o.count < o.share.Open
}

// isOverShare reports whether one of the given number of idle connections is to be
// closed.
func (o *opens) isOverShare(idle int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.share.IsLimited && (idle > o.share.Idle || o.count > o.share.Open)
}
