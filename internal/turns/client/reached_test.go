package client

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// unreliable is a network in which requests fail with an error while it is set.
type unreliable struct {
	*fleet
	err error
}

func (u *unreliable) Call(ctx context.Context, peer netip.AddrPort, method string, request, answer any) error {
	if u.err != nil {
		return u.err
	}
	return u.fleet.Call(ctx, peer, method, request, answer)
}

func TestReached(t *testing.T) {
	notSent := fmt.Errorf("connection refused: %w", zinniapond.ErrNotSent)
	assertSignals := func(t *testing.T, failure error, want bool) {
		t.Helper()
		f := newFleet("a")
		network := &unreliable{fleet: f, err: failure}
		c := f.client(0)
		c.Peers = network
		signalled := func(signal <-chan struct{}) bool {
			select {
			case <-signal:
				return true
			default:
				return false
			}
		}
		ask := func(err error) {
			network.err = err
			answers := make(chan answer[zinniapond.FindReply], 1)
			askDisk(t.Context(), c, f.view.Disks["a"], "Keeper.Find", zinniapond.FindRequest{}, answers)
			assert.ErrorIs(t, (<-answers).err, err)
		}
		signal := c.Reached()
		ask(failure)
		ask(failure)
		assert.Equal(t, signalled(signal), false)
		ask(nil)
		assert.Equal(t, signalled(signal), want)
		signal = c.Reached()
		ask(nil)
		assert.Equal(t, signalled(signal), false)
	}
	t.Run("guards against waiting on after a disk is reached again", func(t *testing.T) { assertSignals(t, notSent, true) })
	t.Run("guards against a disk that refuses some requests and wakes all that wait with each answer", func(t *testing.T) {
		assertSignals(t, errors.New("disk is full"), false)
	})
}
