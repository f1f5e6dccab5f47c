package prefix

import (
	"net/netip"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

var _ zinniapond.PauseRecorder = (*Router)(nil)

// elapsed returns the time that a server has had for a request.
func (f *request) elapsed(now time.Time) time.Duration {
	if !f.pausedAt.IsZero() {
		now = f.pausedAt
	}
	return now.Sub(f.started)
}

// RecordPause leaves the time in which the answer to a call is not read out of the time
// of the call.
func (r *Router) RecordPause(now time.Time, address netip.AddrPort, call zinniapond.CallID, isPaused bool) {
	s, ok := r.servers.Get(address)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.inFlight, func(f request) bool { return f.call == call })
	if i < 0 || s.inFlight[i].pausedAt.IsZero() != isPaused {
		return
	}
	f := &s.inFlight[i]
	if isPaused {
		f.pausedAt = now
		return
	}
	f.started, f.pausedAt = f.started.Add(now.Sub(f.pausedAt)), time.Time{}
}
