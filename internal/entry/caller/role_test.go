package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	_ "zinniapond.example/zinniapond/internal/entry/admin"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func init() {
	_, f := newFrontend(zinniapond.LimitSettings{})
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Directory, error) { return f, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Scheduler, error) { return scheduler{f}, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Detector, error) { return f, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Control, error) { return nothing{}, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Peers, error) { return nothing{}, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Mounter, error) { return nothing{}, nil })
}

// nothing does nothing.
type nothing struct{}

func (nothing) Propose(context.Context, time.Time, zinniapond.Command) (zinniapond.CommandResult, error) {
	return zinniapond.CommandResult{}, nil
}
func (nothing) Call(context.Context, netip.AddrPort, string, any, any) error { return nil }
func (nothing) Mount(string, any) error                                      { return nil }

func TestRole(t *testing.T) {
	t.Run("guards against an entry that serves no operators", func(t *testing.T) {
		free := netip.MustParseAddrPort("127.0.0.1:0")
		k := &kernel.Kernel{
			Settings: &zinniapond.Settings{
				Host: "waschhalle-1", Roles: []zinniapond.Role{zinniapond.RoleEntry}, Callers: free, Operators: free,
				Plugins: map[string]string{}, Drain: 100 * time.Millisecond,
			},
			Logger: hclog.NewNullLogger(), Clock: time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		admin, err := kernel.FindNamed[zinniapond.Frontend](k, "admin")
		assert.NoError(t, err)
		callers, err := kernel.FindNamed[zinniapond.Frontend](k, "caller")
		assert.NoError(t, err)
		go func() { ended <- k.Run(ctx) }()
		assert.Eventually(t, time.Second, "listening", func() bool {
			return admin.Address().IsValid() && callers.Address().IsValid()
		})
		for f, want := range map[zinniapond.Frontend]int{admin: 401, callers: 200} {
			answer, _ := send(t, "GET", "http://"+f.Address().String()+"/healthz", "")
			assert.Equal(t, answer.StatusCode, want)
		}
		cancel()
		assert.NoError(t, <-ended)
	})
}

func TestSlowReader(t *testing.T) {
	t.Run("guards against a caller that holds a stream by not reading", func(t *testing.T) {
		url, f := serve(t, zinniapond.LimitSettings{Read: 50 * time.Millisecond, Open: 8})
		failed := make(chan error, 1)
		f.submit = func(_ context.Context, _ zinniapond.Call, s zinniapond.Sink) (zinniapond.Answer, error) {
			err := s.Begin(200, []zinniapond.Field{{Name: "Content-Type", Value: "text/event-stream"}})
			for part := make([]byte, 1<<20); err == nil; {
				err = s.Write(part)
			}
			failed <- err
			return zinniapond.Answer{}, err
		}
		c, err := net.Dial("tcp", url[len("http://"):])
		assert.NoError(t, err)
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s", len(chatText), chatText)
		assert.NoError(t, err)
		err = <-failed
		assert.Contains(t, err.Error(), "i/o timeout")
		_, _ = io.Copy(io.Discard, c)
	})
}
