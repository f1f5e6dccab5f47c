package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	_ "zinniapond.example/zinniapond/internal/entry/admin"
	"zinniapond.example/zinniapond/internal/entry/listen"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func init() {
	_, f := newFrontend(zinniapond.LimitSettings{})
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Directory, error) { return f, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Scheduler, error) { return fakeScheduler{f}, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Detector, error) { return f, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Control, error) { return noopControl{}, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Peers, error) { return noopControl{}, nil })
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Mounter, error) { return noopControl{}, nil })
}

// noopControl implements Control, Peers and Mounter and does nothing.
type noopControl struct{}

func (noopControl) Propose(context.Context, time.Time, zinniapond.Command) (zinniapond.CommandResult, error) {
	return zinniapond.CommandResult{}, nil
}
func (noopControl) Call(context.Context, netip.AddrPort, string, any, any) error { return nil }
func (noopControl) Mount(string, any) error                                      { return nil }

func TestRole(t *testing.T) {
	t.Run("guards against an entry that serves no operators", func(t *testing.T) {
		free := netip.MustParseAddrPort("127.0.0.1:0")
		k := &kernel.Kernel{
			Settings: &zinniapond.Settings{
				Host: "waschhalle-1", Roles: []zinniapond.Role{zinniapond.RoleEntry}, CallersAddress: free, OperatorsAddress: free,
				Plugins: map[string]string{}, DrainTimeout: 100 * time.Millisecond,
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
	t.Run("guards against a caller that blocks a stream by not reading", func(t *testing.T) {
		url, f := serve(t, zinniapond.LimitSettings{ReadTimeout: 50 * time.Millisecond, MaxOpenRequests: 8})
		failed := make(chan error, 1)
		f.submit = func(_ context.Context, _ zinniapond.Call, s zinniapond.Sink) (zinniapond.Answer, error) {
			err := s.Begin(200, []zinniapond.HeaderField{{Name: "Content-Type", Value: "text/event-stream"}})
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

func TestPrograms(t *testing.T) {
	url, f := serve(t, zinniapond.LimitSettings{MaxBodyBytes: 200})
	url += "/v1/programs"
	t.Run("guards against a second program for a repeated request", func(t *testing.T) {
		first, one := send(t, "POST", url, "", "Idempotency-Key", "a")
		_, two := send(t, "POST", url, "", "Idempotency-Key", "a")
		_, other := send(t, "POST", url, "")
		assert.Equal(t, first.StatusCode, 201)
		assert.Equal(t, one, two)
		assert.True(t, one != other, "%s twice", one)
	})
	t.Run("guards against a program that its customer cannot view or end", func(t *testing.T) {
		answer, body := send(t, "POST", url, `{"id":"p7","parent":"p6"}`)
		assert.Equal(t, answer.Header.Get("Zinniapond-Program")+body, `p7{"id":"p7"}`+"\n")
		p := f.history.Program
		assert.Equal(t, p, zinniapond.Program{ID: "p7", Parent: "p6", Plan: "yard", Customer: "rinse", OpenedAt: p.OpenedAt})
		_, body = send(t, "GET", url+"/p7", "")
		assert.Contains(t, body, `"id":"p7","parent":"p6","plan":"yard"`)
		answer, _ = send(t, "DELETE", url+"/p7", "")
		assert.Equal(t, answer.StatusCode, 200)
		assert.Equal(t, f.history.Program.Reason, "ended by the caller")
	})
}

func TestBodyMemory(t *testing.T) {
	t.Run("guards against request bodies that exhaust the memory of a host", func(t *testing.T) {
		frontend, f := newFrontend(zinniapond.LimitSettings{MaxBodyBytes: 1 << 20})
		s := httptest.NewServer(frontend)
		defer s.Close()
		frontend.reservedBytes.Store(maxReservedBytes - int64(len(chatText)))
		for _, want := range []int{200, 503, 200} {
			text := chatText
			if want == 503 {
				text += " "
			}
			answer, _ := send(t, "POST", s.URL+"/v1/chat/completions", text)
			assert.Equal(t, answer.StatusCode, want)
		}
		assert.Equal(t, len(f.calls), 2)
		assert.Equal(t, frontend.reservedBytes.Load(), maxReservedBytes-int64(len(chatText)))
	})
}

func TestLimits(t *testing.T) {
	limits := zinniapond.LimitSettings{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096, ReadTimeout: 100 * time.Millisecond, MaxOpenRequests: 1}
	frontend, f := newFrontend(limits)
	frontend.Server = &listen.Server{
		ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), Handler: frontend, Limits: limits,
		DrainTimeout: 2 * time.Second, NoticePeriod: 200 * time.Millisecond, Logger: hclog.NewNullLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- frontend.Run(ctx) }()
	assert.Eventually(t, time.Second, "listening", func() bool { return frontend.Address().IsValid() })
	url := "http://" + frontend.Address().String()
	for _, c := range []struct{ name, text, status, part string }{
		{"a caller that never ends its body", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: 9\r\n\r\n{", "HTTP/1.1 400", "send the whole body within 100ms"},
		{"a refused caller that never ends its body", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{", "HTTP/1.1 401", "send a valid key"},
		{"a caller that never ends its header", "POST /v1/chat/completions HTTP/1.1\r\nHost:", "", ""},
		{"a large header", "GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 8400) + "\r\n\r\n", "HTTP/1.1 431", ""},
	} {
		t.Run("guards against "+c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", frontend.Address().String())
			assert.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.text)
			assert.NoError(t, err)
			b, err := io.ReadAll(conn)
			// net/http resets the connection if it has not read the whole header.
			assert.True(t, err == nil || c.status == "HTTP/1.1 431", "%v", err)
			assert.True(t, strings.HasPrefix(string(b), c.status), "%q", b)
			assert.Contains(t, string(b), c.part)
		})
	}
	release := make(chan struct{})
	f.submit = func(ctx context.Context, _ zinniapond.Call, _ zinniapond.Sink) (zinniapond.Answer, error) {
		select {
		case <-release:
			return doneAnswer("late"), nil
		case <-ctx.Done():
			return zinniapond.Answer{}, ctx.Err()
		}
	}
	t.Run("guards against a shutdown that interrupts requests", func(t *testing.T) {
		got := make(chan string, 1)
		go func() {
			answer, body := send(t, "POST", url+"/v1/chat/completions", chatText)
			got <- answer.Status + " " + body
		}()
		<-f.calls
		answer, _ := send(t, "POST", url+"/v1/chat/completions", chatText)
		assert.Equal(t, answer.StatusCode, 503)
		assert.Equal(t, answer.Header.Get("Zinniapond-Outcome"), "not-run")
		// The call takes longer than the limit on reading a request.
		time.Sleep(2 * limits.ReadTimeout)
		cancel()
		assert.Eventually(t, time.Second, "draining", frontend.Server.Draining)
		answer, _ = send(t, "GET", url+"/healthz", "")
		assert.Equal(t, answer.StatusCode, 503)
		assert.Eventually(t, time.Second, "no new connections", func() bool {
			c, err := net.Dial("tcp", frontend.Address().String())
			if err == nil {
				_ = c.Close()
			}
			return err != nil
		})
		close(release)
		assert.Equal(t, <-got, "200 OK late")
		assert.NoError(t, <-ended)
	})
}
