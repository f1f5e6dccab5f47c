// Package lease implements a host's side of the freshness lease: the state
// applied from the control log, the registration of the process, and the
// instant until which the host may act on both.
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
	Host          zinniapond.HostName
	LeaseDuration time.Duration
	FetchWait     time.Duration // longest time for which the leader may hold a fetch
	State         *state.State

	term     zinniapond.Term
	lastTerm zinniapond.Term  // of the last applied record
	epoch    zinniapond.Epoch // of this process's registration, or 0
	fenced   bool
	expiry   time.Time
	caughtUp bool
}

// Epoch returns the epoch of this process's registration, or 0.
func (h *Holder) Epoch() zinniapond.Epoch { return h.epoch }

// Expiry returns the end of the lease.
func (h *Holder) Expiry() time.Time { return h.expiry }

// HasCaughtUp reports whether this process has once applied every record that was
// committed. Until then its state may be that of any earlier time.
func (h *Holder) HasCaughtUp() bool { return h.caughtUp }

// IsMember reports whether this process is an active or draining member
// according to the applied part of the log.
func (h *Holder) IsMember() bool {
	m := h.State.View().Members[h.Host]
	return h.epoch > 0 && m.Epoch == h.epoch && !h.fenced &&
		(m.State == zinniapond.MemberActive || m.State == zinniapond.MemberDraining)
}

// LeaseValid reports whether the process is a member and its lease has not
// expired at now: only then may the host act on its state.
func (h *Holder) LeaseValid(now time.Time) bool { return h.IsMember() && now.Before(h.expiry) }

// IsRegistered reports whether this process has a registration that is in force
// to its knowledge. The record of the registration may not be applied yet.
func (h *Holder) IsRegistered() bool {
	m := h.State.View().Members[h.Host]
	if h.epoch == 0 || h.fenced || m.Epoch > h.epoch {
		return false
	}
	return m.Epoch < h.epoch || m.State != zinniapond.MemberFenced && m.State != zinniapond.MemberLeft
}

// SetRegistration records a new registration. The lease was granted to the
// previous registration, so it ends.
func (h *Holder) SetRegistration(epoch zinniapond.Epoch) {
	if epoch == h.epoch {
		return
	}
	h.epoch, h.fenced, h.expiry = epoch, false, time.Time{}
}

// EndLease ends the lease permanently. It is called before the departure is
// proposed, so that no other host takes over shards during the lease.
func (h *Holder) EndLease() { h.fenced, h.expiry = true, time.Time{} }

// NextRequest returns the next fetch to send.
func (h *Holder) NextRequest() zinniapond.FetchRequest {
	applied := h.State.View().Index
	return zinniapond.FetchRequest{
		Sender: h.Host, MemberEpoch: h.epoch, Term: h.term,
		NextIndex: applied + 1, PrevTerm: h.lastTerm, AppliedIndex: applied, MaxWait: h.FetchWait,
	}
}

// ApplyReply applies the reply to a fetch that was sent at the given instant,
// and extends the lease. The state never reverts: records that are already
// applied, and an older snapshot, are ignored. An error wraps ErrCorrupt if
// the leader's log lacks a committed record.
func (h *Holder) ApplyReply(sent time.Time, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	h.term = max(h.term, reply.Term)
	if !reply.Accepted {
		return nil
	}
	if reply.Diverged {
		return fmt.Errorf("the leader lacks record %d, which was committed: %w", request.NextIndex-1, zinniapond.ErrCorrupt)
	}
	if err := h.applyRecords(reply); err != nil {
		return err
	}
	if reply.Fenced {
		if request.MemberEpoch == h.epoch && h.epoch > 0 {
			h.fenced = true
		}
		return nil
	}
	// A lease requires every record that was committed when the leader replied.
	if !reply.CommittedOwnTerm || h.State.View().Index < reply.CommitIndex {
		return nil
	}
	h.caughtUp = true
	if request.MemberEpoch != h.epoch {
		return nil
	}
	if expiry := sent.Add(h.LeaseDuration - reply.QuorumAge); expiry.After(h.expiry) {
		h.expiry = expiry
	}
	return nil
}

func (h *Holder) applyRecords(reply zinniapond.FetchReply) error {
	if s := reply.Snapshot; s != nil && s.Index > h.State.View().Index {
		if err := h.State.Decode(s.Data); err != nil {
			return err
		}
		h.lastTerm = s.Term
	}
	for _, e := range reply.Entries {
		if e.Index <= h.State.View().Index {
			continue
		}
		if _, err := h.State.Apply(e); err != nil {
			return err
		}
		h.lastTerm = e.Term
	}
	return nil
}
