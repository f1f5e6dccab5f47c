// Package lease is a host's side of the freshness lease: what it has applied of
// the control log, whether it is a member, and until when it may act on both.
package lease

import (
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
)

// Holder is the lease of one process of a host. It is not safe for concurrent
// use. The exported fields are set before the first call.
type Holder struct {
	Host  zinniapond.HostName
	Lease time.Duration
	Wait  time.Duration // longest time for the leader to hold a fetch
	State *state.State

	term   zinniapond.Term
	last   zinniapond.Term  // of the last applied record
	epoch  zinniapond.Epoch // of this process's registration; 0 before it
	fenced bool
	until  time.Time
}

// Epoch returns the epoch of this process's registration, or 0.
func (h *Holder) Epoch() zinniapond.Epoch { return h.epoch }

// Until returns the end of the lease.
func (h *Holder) Until() time.Time { return h.until }

// Member tells whether this process is an active member as far as it has
// applied the log.
func (h *Holder) Member() bool {
	m := h.State.View().Members[h.Host]
	return h.epoch > 0 && m.Epoch == h.epoch && !h.fenced &&
		(m.State == zinniapond.MemberActive || m.State == zinniapond.MemberDraining)
}

// Fresh tells whether the host may act on its state at now.
func (h *Holder) Fresh(now time.Time) bool { return h.Member() && now.Before(h.until) }

// Enrolled tells whether this process has a registration that is in force as
// far as it knows. Its own record may not have been applied yet.
func (h *Holder) Enrolled() bool {
	m := h.State.View().Members[h.Host]
	if h.epoch == 0 || h.fenced || m.Epoch > h.epoch {
		return false
	}
	return m.Epoch < h.epoch || m.State != zinniapond.MemberFenced && m.State != zinniapond.MemberLeft
}

// Registered notes a new registration. The lease was given to the one before
// and ends.
func (h *Holder) Registered(epoch zinniapond.Epoch) {
	if epoch == h.epoch {
		return
	}
	h.epoch, h.fenced, h.until = epoch, false, time.Time{}
}

// Leave ends the lease for good, before others may act on the departure.
func (h *Holder) Leave() { h.fenced, h.until = true, time.Time{} }

// Request returns the next fetch.
func (h *Holder) Request() zinniapond.FetchRequest {
	applied := h.State.View().Index
	return zinniapond.FetchRequest{
		Sender: h.Host, Member: h.epoch, Term: h.term,
		Next: applied + 1, Last: h.last, Applied: applied, Wait: h.Wait,
	}
}

// Take applies the leader's answer to a fetch that was sent at the given
// instant, and extends the lease. The state only goes forward: records that
// were applied before, and an older snapshot, change nothing.
func (h *Holder) Take(sent time.Time, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	h.term = max(h.term, reply.Term)
	if !reply.Accepted {
		return nil
	}
	if reply.Diverged {
		return fmt.Errorf("the leader lacks record %d, which was committed: %w", request.Next-1, zinniapond.ErrCorrupt)
	}
	if err := h.apply(reply); err != nil {
		return err
	}
	if reply.Fenced {
		if request.Member == h.epoch && h.epoch > 0 {
			h.fenced = true
		}
		return nil
	}
	// The lease needs all that was committed when the leader answered.
	if !reply.Current || h.State.View().Index < reply.Commit || request.Member != h.epoch {
		return nil
	}
	if until := sent.Add(h.Lease - reply.Quorum); until.After(h.until) {
		h.until = until
	}
	return nil
}

func (h *Holder) apply(reply zinniapond.FetchReply) error {
	if s := reply.Snapshot; s != nil && s.Index > h.State.View().Index {
		if err := h.State.Decode(s.Data); err != nil {
			return err
		}
		h.last = s.Term
	}
	for _, e := range reply.Entries {
		if e.Index <= h.State.View().Index {
			continue
		}
		if _, err := h.State.Apply(e); err != nil {
			return err
		}
		h.last = e.Term
	}
	return nil
}
