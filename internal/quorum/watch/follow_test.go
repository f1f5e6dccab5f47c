package watch

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var errNoAnswer = errors.New("no answer")

// voters are the voters that a host asks, by address. A voter without a reply is silent.
type voters struct {
	mu      sync.Mutex
	replies map[netip.AddrPort]zinniapond.FetchReply
	asked   []time.Time
	start   time.Time
	foundAt time.Time // when the leader got a request
}

func (v *voters) Call(ctx context.Context, peer netip.AddrPort, _ string, _, reply any) error {
	v.mu.Lock()
	answer, isUp := v.replies[peer]
	v.asked = append(v.asked, time.Now())
	if answer.Accepted && v.foundAt.IsZero() {
		v.foundAt = time.Now()
	}
	v.mu.Unlock()
	if !isUp {
		<-ctx.Done()
		return errNoAnswer
	}
	time.Sleep(time.Millisecond)
	*reply.(*zinniapond.FetchReply) = answer
	return nil
}

// follow follows the control log for a time. The voters of the settings are voter 1 to 5.
func (v *voters) follow(t *testing.T, d time.Duration) *Watcher {
	t.Helper()
	control := zinniapond.ControlSettings{LeaseDuration: 2500 * time.Millisecond, LeaderTimeout: 600 * time.Millisecond}
	for i := range byte(5) {
		control.Voters = append(control.Voters, zinniapond.Voter{Name: zinniapond.HostName(rune('a' + i)), PeersAddress: voterAddress(i)})
	}
	w := &Watcher{Settings: &zinniapond.Settings{Host: "front", Control: control}, Peers: v, Clock: time.Now, Logger: hclog.NewNullLogger()}
	w.initialise()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	v.start = time.Now()
	assert.NoError(t, w.follow(ctx))
	return w
}

func voterAddress(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i + 1}), 7000)
}

func TestFindLeader(t *testing.T) {
	leader := zinniapond.FetchReply{Accepted: true, CommittedOwnTerm: true}
	t.Run("guards against waiting for each voter that has no power yet", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			v := &voters{replies: map[netip.AddrPort]zinniapond.FetchReply{voterAddress(4): leader}}
			v.follow(t, time.Second)
			assert.True(t, !v.foundAt.IsZero() && v.foundAt.Sub(v.start) <= 4*retryInterval, "found after %s", v.foundAt.Sub(v.start))
		})
	})
	t.Run("guards against the loss of the leader that a voter has named by the end of another request", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			named := zinniapond.FetchReply{Leader: "a"}
			v := &voters{replies: map[netip.AddrPort]zinniapond.FetchReply{voterAddress(1): named}}
			w := v.follow(t, 2*retryInterval)
			assert.Equal(t, w.View().Leader, "a")
		})
	})
	t.Run("guards against more requests to the voters than one each interval", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			v := &voters{}
			v.follow(t, 3*time.Second)
			for i := 1; i < len(v.asked); i++ {
				assert.True(t, v.asked[i].Sub(v.asked[i-1]) >= retryInterval, "two requests within %s", v.asked[i].Sub(v.asked[i-1]))
			}
			assert.True(t, len(v.asked) > 50, "%d requests in 3 s", len(v.asked))
		})
	})
}
