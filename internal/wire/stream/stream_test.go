package stream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/client"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/frame"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// owner is a Scheduler whose Submit blocks until release is closed.
type owner struct {
	zinniapond.Scheduler
	entered     chan zinniapond.Call
	release     chan struct{}
	answerBytes int
}

func (o *owner) Submit(ctx context.Context, _ time.Time, call zinniapond.Call, _ zinniapond.Sink) (zinniapond.Answer, error) {
	o.entered <- call
	select {
	case <-o.release:
	case <-ctx.Done():
		return zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown}, ctx.Err()
	}
	return zinniapond.Answer{Outcome: zinniapond.OutcomeDone, Status: 200, Body: make([]byte, o.answerBytes)}, nil
}

func newAuthenticator(host zinniapond.HostName) *auth.Authenticator {
	return auth.New(&zinniapond.Settings{
		Cluster: "test", Host: host, Security: zinniapond.SecuritySettings{Secret: []byte("secret of the tests")},
	})
}

// startServer runs a server that passes calls to o. It returns the server and a
// function that stops it and returns the error of Run.
func startServer(t *testing.T, o *owner) (*Server, func() error) {
	t.Helper()
	s := New(newAuthenticator("owner"), netip.MustParseAddrPort("127.0.0.1:0"), hclog.NewNullLogger())
	s.FindOwner = func() (zinniapond.Scheduler, error) { return o, nil }
	s.HeartbeatInterval, s.DrainTimeout = 20*time.Millisecond, time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	return s, func() error {
		cancel()
		return <-done
	}
}

func newOwner(size int) *owner {
	return &owner{entered: make(chan zinniapond.Call, 4), release: make(chan struct{}), answerBytes: size}
}

func newClient(t *testing.T) *client.Client {
	t.Helper()
	c := client.New(newAuthenticator("entry"), func() zinniapond.Epoch { return 7 })
	t.Cleanup(c.Close)
	return c
}

func TestServer(t *testing.T) {
	t.Run("guards against a graceful stop interrupting a stream", func(t *testing.T) {
		o := newOwner(10)
		s, stop := startServer(t, o)
		c := newClient(t)
		submitErr := make(chan error, 1)
		go func() {
			_, _, err := c.Submit(context.Background(), s.Address(), zinniapond.Call{ID: "c"}, nil)
			submitErr <- err
		}()
		<-o.entered
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		assert.Eventually(t, 5*time.Second, "listener closed", func() bool {
			raw, err := net.Dial("tcp", s.Address().String())
			if err == nil {
				raw.Close()
			}
			return err != nil
		})
		close(o.release)
		assert.NoError(t, <-submitErr)
		assert.NoError(t, <-stopped)
	})
	o := newOwner(frame.MaxFrameBytes)
	s, stop := startServer(t, o)
	defer func() { assert.NoError(t, stop()) }()
	t.Run("guards against a call that runs on after its caller has disconnected", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newClient(t)
		finals := make(chan bool, 1)
		go func() {
			_, final, _ := c.Submit(ctx, s.Address(), zinniapond.Call{ID: "c"}, nil)
			finals <- final
		}()
		<-o.entered
		cancel()
		assert.True(t, !<-finals, "final without an answer")
	})
	close(o.release)
	t.Run("guards against an answer above the limit being reported as lost", func(t *testing.T) {
		a, final, err := newClient(t).Submit(context.Background(), s.Address(), zinniapond.Call{ID: "c"}, nil)
		assert.ErrorIs(t, err, zinniapond.ErrTooLarge)
		assert.True(t, final, "not final")
		assert.Equal(t, a.Outcome, zinniapond.OutcomeDone)
	})
	t.Run("guards against sending a call above the limit", func(t *testing.T) {
		_, final, err := newClient(t).Submit(context.Background(), s.Address(), zinniapond.Call{Body: make([]byte, frame.MaxFrameBytes)}, nil)
		assert.ErrorIs(t, err, zinniapond.ErrTooLarge)
		assert.True(t, final, "not final")
	})
	body, err := codec.Marshal(zinniapond.Call{ID: "forged"})
	assert.NoError(t, err)
	post := func(t *testing.T, dial func(context.Context, string, string) (net.Conn, error), sender string) (zinniapond.Answer, error) {
		t.Helper()
		transport := &http.Transport{DialContext: dial}
		defer transport.CloseIdleConnections()
		r, err := http.NewRequest(http.MethodPost, "http://"+s.Address().String()+"/call", bytes.NewReader(body))
		assert.NoError(t, err)
		r.Header.Set(frame.SenderHeader, sender)
		r.Header.Set(frame.MemberHeader, "7")
		response, err := transport.RoundTrip(r)
		if err != nil {
			return zinniapond.Answer{}, err
		}
		defer response.Body.Close()
		a, _, err := frame.Read(response.Body, nil, func(bool) {})
		return a, err
	}
	t.Run("guards against a call from an unauthenticated peer", func(t *testing.T) {
		before := len(o.entered)
		_, err := post(t, new(net.Dialer).DialContext, "entry")
		assert.True(t, err != nil, "answered")
		assert.Equal(t, len(o.entered), before)
	})
	t.Run("guards against a host that claims another host's name", func(t *testing.T) {
		_, err := post(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
			return newAuthenticator("entry").Dial(ctx, s.Address(), auth.Streams)
		}, "other")
		assert.ErrorIs(t, err, zinniapond.ErrForbidden)
	})
}
