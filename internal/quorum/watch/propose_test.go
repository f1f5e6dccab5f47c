package watch

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// proposals are voters of which one accepts proposals, after a delay. The others are
// silent.
type proposals struct {
	mu       sync.Mutex
	accepter netip.AddrPort
	delay    time.Duration
	asked    []netip.AddrPort
}

func (p *proposals) Call(ctx context.Context, peer netip.AddrPort, _ string, _, reply any) error {
	p.mu.Lock()
	p.asked = append(p.asked, peer)
	accepts := peer == p.accepter
	p.mu.Unlock()
	if accepts {
		select {
		case <-ctx.Done():
		case <-time.After(p.delay):
			*reply.(*zinniapond.ProposeReply) = zinniapond.ProposeReply{Accepted: true, Result: zinniapond.CommandResult{Accepted: true}}
			return nil
		}
	}
	<-ctx.Done()
	return errNoAnswer
}

// propose proposes while the host learns of leaders a and, by noting the given names
// 100 ms later, others. It returns the duration.
func (p *proposals) propose(t *testing.T, note func(w *Watcher)) time.Duration {
	t.Helper()
	control := zinniapond.ControlSettings{LeaseDuration: 2500 * time.Millisecond, LeaderTimeout: 600 * time.Millisecond}
	for i := range byte(3) {
		control.Voters = append(control.Voters, zinniapond.Voter{Name: zinniapond.HostName(rune('a' + i)), PeersAddress: voterAddress(i)})
	}
	w := &Watcher{Settings: &zinniapond.Settings{Host: "front", Control: control}, Peers: p, Clock: time.Now, Logger: hclog.NewNullLogger()}
	w.initialise()
	w.noteLeader("a", "a")
	start := time.Now()
	time.AfterFunc(100*time.Millisecond, func() { note(w) })
	_, err := w.Propose(t.Context(), start, zinniapond.Command{Kind: zinniapond.CommandEmpty})
	assert.NoError(t, err)
	return time.Since(start)
}

func TestPropose(t *testing.T) {
	t.Run("guards against waiting for a leader that has lost power after another one is known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := &proposals{accepter: voterAddress(1)}
			took := p.propose(t, func(w *Watcher) {
				w.noteLeader("a", "") // a fetch from it has failed
				w.noteLeader("b", "b")
			})
			assert.True(t, took <= 100*time.Millisecond+retryInterval, "accepted after %s", took)
		})
	})
	t.Run("guards against giving up a slow leader that is still the leader", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := &proposals{accepter: voterAddress(0), delay: time.Second}
			took := p.propose(t, func(w *Watcher) {
				w.noteLeader("a", "")
				w.noteLeader("c", "a")
			})
			assert.Equal(t, took, time.Second)
			assert.Equal(t, len(p.asked), 1)
		})
	})
	t.Run("guards against giving up a leader while no other one is known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := &proposals{accepter: voterAddress(0), delay: time.Second}
			took := p.propose(t, func(w *Watcher) { w.noteLeader("a", "") })
			assert.Equal(t, took, time.Second)
			assert.Equal(t, len(p.asked), 1)
		})
	})
}
