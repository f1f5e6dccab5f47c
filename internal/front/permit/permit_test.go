package permit

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/limits"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var server = zinniapond.Backend{Address: netip.MustParseAddrPort("10.0.0.1:80"), ID: "i-1"}

// controlHosts is a fake of the directory and of the connections to control hosts.
type controlHosts struct {
	now    time.Time
	failed map[string]bool
	asked  []string
	reply  zinniapond.PermitReply
}

func (h *controlHosts) View() *zinniapond.ControlView {
	return &zinniapond.ControlView{Voters: []zinniapond.VoterKey{{Name: "10.1.0.1:7000"}, {Name: "10.1.0.2:7000"}}}
}
func (h *controlHosts) Catalog() *zinniapond.Catalog { return nil }
func (h *controlHosts) LeaseValid(time.Time) bool    { return true }
func (h *controlHosts) ConfirmedAt() time.Time       { return time.Time{} }
func (h *controlHosts) Changed() <-chan struct{}     { return nil }

func (h *controlHosts) Call(_ context.Context, to netip.AddrPort, _ string, _, reply any) error {
	h.asked = append(h.asked, to.String())
	if h.failed[to.String()] {
		return errors.New("gone")
	}
	*reply.(*zinniapond.PermitReply) = h.reply
	return nil
}

func (h *controlHosts) failAll() {
	h.failed = map[string]bool{"10.1.0.1:7000": true, "10.1.0.2:7000": true}
}

func newControlHosts() *controlHosts { return &controlHosts{now: time.Unix(1000, 0)} }

// newClient returns a client that knows a limit of the server, zero for none.
func newClient(h *controlHosts, rate zinniapond.RequestRate) *Client {
	c := &Client{
		Peers: h, ControlHosts: hosts.Chooser{Directory: h}, Limits: &limits.Book{Logger: hclog.NewNullLogger()},
		Logger: hclog.NewNullLogger(), Clock: func() time.Time { return h.now },
	}
	c.Limits.ObserveAnswer(h.now, server, h.now, rate)
	return c
}

func acquire(c *Client, h *controlHosts, maxWait time.Duration) (zinniapond.Permit, error) {
	return c.Acquire(context.Background(), h.now, server, maxWait)
}

func TestAcquire(t *testing.T) {
	t.Run("guards against asking for replicas that do not limit their requests", func(t *testing.T) {
		h := newControlHosts()
		permit, err := acquire(newClient(h, 0), h, 0)
		assert.NoError(t, err)
		assert.Equal(t, permit, zinniapond.Permit{})
		assert.Equal(t, len(h.asked), 0)
	})
	t.Run("guards against sending before the permission begins or long after", func(t *testing.T) {
		h := newControlHosts()
		h.reply = zinniapond.PermitReply{Granted: true, Wait: time.Second}
		permit, err := acquire(newClient(h, 4), h, time.Second)
		assert.NoError(t, err)
		assert.True(t, permit.SendAt.Equal(h.now.Add(time.Second)), "to be sent at %s", permit.SendAt)
		assert.True(t, permit.ExpiresAt.Equal(permit.SendAt.Add(validity)), "expires at %s", permit.ExpiresAt)
	})
	t.Run("guards against a refusal that does not tell when to return", func(t *testing.T) {
		h := newControlHosts()
		h.reply = zinniapond.PermitReply{Wait: time.Second}
		c := newClient(h, 4)
		_, err := acquire(c, h, 0)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
		var e *zinniapond.Error
		assert.True(t, errors.As(err, &e) && e.RetryAfter >= time.Second && e.Peer == server.Address, "error %v", err)
		wait, limited := c.Limited(h.now, server)
		assert.True(t, limited && wait >= time.Second, "wait %s, limited %t", wait, limited)
	})
	t.Run("guards against no permission while one control host is frozen", func(t *testing.T) {
		h := newControlHosts()
		h.reply.Granted = true
		c := newClient(h, 4)
		_, err := acquire(c, h, 0)
		assert.NoError(t, err)
		h.failed = map[string]bool{h.asked[0]: true}
		_, err = acquire(c, h, 0)
		assert.NoError(t, err)
		_, err = acquire(c, h, 0)
		assert.NoError(t, err)
		assert.Equal(t, h.asked[3], h.asked[2])
	})
	t.Run("guards against keeping a limit that a control host knows to be lifted", func(t *testing.T) {
		h := newControlHosts()
		c := newClient(h, 4)
		h.reply = zinniapond.PermitReply{Granted: true, Limit: zinniapond.LimitReport{Replica: server.Address, ID: server.ID, Rate: 4, NamedAge: time.Minute, LiftedAge: 0, Lifted: true}}
		h.now = h.now.Add(time.Second)
		_, err := acquire(c, h, 0)
		assert.NoError(t, err)
		_, limited := c.Limited(h.now.Add(10*time.Second), server)
		assert.True(t, !limited, "the limit is kept")
	})
}

func TestShare(t *testing.T) {
	t.Run("guards against hosts that together exceed a limit while no control host answers", func(t *testing.T) {
		const (
			count  = 20
			rate   = 4
			window = 4 * time.Second
		)
		h := newControlHosts()
		h.failAll()
		var clients []*Client
		for range count {
			c := newClient(h, rate)
			c.SetHostCount(count)
			clients = append(clients, c)
		}
		var sent []time.Time
		for range 1500 {
			for _, c := range clients {
				if permit, err := acquire(c, h, 0); err == nil {
					sent = append(sent, permit.SendAt)
				}
			}
			h.now = h.now.Add(20 * time.Millisecond)
		}
		assert.True(t, len(sent) >= rate*30/(2*shareMargin), "only %d requests in 30 s", len(sent))
		slices.SortFunc(sent, time.Time.Compare)
		for i := range sent {
			n := 0
			for i+n < len(sent) && sent[i+n].Sub(sent[i]) < window {
				n++
			}
			assert.True(t, n <= 1.5*rate*4+5, "%d requests within %s", n, window)
		}
	})
	t.Run("guards against sending while neither a control host nor the number of hosts is known", func(t *testing.T) {
		h := newControlHosts()
		h.failAll()
		_, err := acquire(newClient(h, 100), h, time.Minute)
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
	})
}
