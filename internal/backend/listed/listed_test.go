package listed

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	start   = time.Unix(1000, 0)
	replica = zinniapond.Backend{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}
)

// newRoster returns a roster whose list shows the replica as live.
func newRoster() *Roster {
	r := &Roster{Logger: hclog.NewNullLogger()}
	r.initState()
	show(r, start, zinniapond.BackendLive)
	return r
}

// show applies a list with the replica in the given state.
func show(r *Roster, now time.Time, state zinniapond.BackendState) {
	b := replica
	b.State = state
	r.apply(now, []zinniapond.Backend{b})
}

func assertState(t *testing.T, r *Roster, now time.Time, want zinniapond.BackendState) {
	t.Helper()
	r.refresh(now)
	assert.Equal(t, r.Backends()[0].State, want)
}

func TestMarkLeaving(t *testing.T) {
	t.Run("guards against using a replica again that has said that it leaves while the list does not show it", func(t *testing.T) {
		r := newRoster()
		changed := r.Changed()
		r.MarkLeaving(start, replica)
		<-changed
		assertState(t, r, start, zinniapond.BackendLeaving)
		assertState(t, r, start.Add(time.Hour), zinniapond.BackendLeaving)
	})
	t.Run("guards against forgetting a replica's statement when the list lacks it for some time", func(t *testing.T) {
		r := newRoster()
		r.MarkLeaving(start, replica)
		r.apply(start.Add(time.Second), nil)
		r.refresh(start.Add(forgetTime - time.Second))
		show(r, start.Add(forgetTime-time.Second), zinniapond.BackendLive)
		assertState(t, r, start.Add(forgetTime-time.Second), zinniapond.BackendLeaving)
	})
	t.Run("guards against using a leaving replica again as lists alternate", func(t *testing.T) {
		r := newRoster()
		r.MarkLeaving(start, replica)
		now := start
		for range 10 {
			now = now.Add(returnTime / 2)
			show(r, now, zinniapond.BackendLeaving)
			now = now.Add(returnTime / 2)
			show(r, now, zinniapond.BackendLive)
			assertState(t, r, now, zinniapond.BackendLeaving)
		}
	})
	t.Run("guards against never using a replica again that has returned under its id", func(t *testing.T) {
		r := newRoster()
		r.MarkLeaving(start, replica)
		show(r, start, zinniapond.BackendLeaving)
		back := start.Add(time.Minute)
		show(r, back, zinniapond.BackendLive)
		assertState(t, r, back.Add(returnTime-1), zinniapond.BackendLeaving)
		assertState(t, r, back.Add(returnTime), zinniapond.BackendLive)
	})
	t.Run("guards against keeping statements of replicas that are gone", func(t *testing.T) {
		r := newRoster()
		r.MarkLeaving(start, replica)
		r.apply(start, nil)
		r.refresh(start.Add(forgetTime))
		assert.Equal(t, len(r.stated), 0)
	})
}

func TestSetState(t *testing.T) {
	t.Run("guards against a report of leaving that is forgotten while the list does not show it", func(t *testing.T) {
		r := newRoster()
		r.SetState(start, replica.Address, zinniapond.BackendLeaving)
		assertState(t, r, start.Add(time.Hour), zinniapond.BackendLeaving)
	})
	t.Run("guards against a replica that cannot report itself as live again", func(t *testing.T) {
		r := newRoster()
		r.SetState(start, replica.Address, zinniapond.BackendLeaving)
		r.SetState(start, replica.Address, zinniapond.BackendLive)
		assertState(t, r, start, zinniapond.BackendLive)
	})
	t.Run("guards against a report about the next replica at the address", func(t *testing.T) {
		r := newRoster()
		r.SetState(start, replica.Address, zinniapond.BackendLeaving)
		next := replica
		next.ID, next.State = "i-2", zinniapond.BackendLive
		r.apply(start, []zinniapond.Backend{next})
		assertState(t, r, start, zinniapond.BackendLive)
	})
}
