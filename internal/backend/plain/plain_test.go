package plain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/standin/tools"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/ports"
)

// flakyServer counts each request that reaches it as executed, but answers only
// the first request on each connection and breaks the connection on the others.
type flakyServer struct {
	truncates         bool // send a part of an answer before the connection is closed
	mu                sync.Mutex
	requestsByAttempt map[string]int
	requestsByClient  map[string]int // by address and port of the client
}

func (f *flakyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	f.requestsByAttempt[r.Header.Get("X-Request-Id")]++
	f.requestsByClient[r.RemoteAddr]++
	first := f.requestsByClient[r.RemoteAddr] == 1
	f.mu.Unlock()
	if first {
		_, _ = io.WriteString(w, "ok")
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	if f.truncates {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
	}
	_ = c.Close()
}

func newClient() *Client {
	return &Client{Limits: zinniapond.LimitSettings{ProgressTimeout: time.Second, AttemptTimeout: 5 * time.Second}, Clock: time.Now}
}

func serviceCall(method, path string) zinniapond.Call {
	return zinniapond.Call{ID: "c", Program: "p", Kind: zinniapond.KindService, Method: method, Path: path, IdempotencyKey: "k"}
}

func TestSingleExecution(t *testing.T) {
	for _, truncated := range []bool{false, true} {
		for _, body := range []string{"", "drum 4"} {
			t.Run(fmt.Sprintf("guards against executing a non-idempotent request twice: truncated answer %t, body %q", truncated, body), func(t *testing.T) {
				f := &flakyServer{truncates: truncated, requestsByAttempt: map[string]int{}, requestsByClient: map[string]int{}}
				s := httptest.NewServer(f)
				defer s.Close()
				server := backend(s)
				c := newClient()
				// The GET leaves an idle connection that could be reused.
				_, err := c.Do(t.Context(), "get", server, zinniapond.Call{Method: "GET", Path: "/", Idempotent: true}, nil)
				assert.NoError(t, err)
				for n := range 8 {
					call := serviceCall("POST", "/scrap")
					call.Body = []byte(body)
					_, err := c.Do(t.Context(), zinniapond.AttemptID(fmt.Sprint(n)), server, call, nil)
					assert.True(t, !errors.Is(err, zinniapond.ErrNotSent), "sent, but %v", err)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				for id, n := range f.requestsByAttempt {
					assert.True(t, n == 1, "attempt %s reached the server %d times", id, n)
				}
				assert.Equal(t, len(f.requestsByAttempt), 9)
			})
		}
	}
	t.Run("guards against following a redirect", func(t *testing.T) {
		n := 0
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n++
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}))
		defer s.Close()
		a, err := newClient().Do(t.Context(), "a", backend(s), serviceCall("POST", "/scrap"), nil)
		assert.NoError(t, err)
		assert.Equal(t, a.Status, http.StatusTemporaryRedirect)
		assert.Equal(t, n, 1)
	})
}

func backend(s *httptest.Server) zinniapond.Backend {
	return zinniapond.Backend{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func TestForwarding(t *testing.T) {
	s := httptest.NewServer(&tools.Server{})
	defer s.Close()
	t.Run("guards against losing a part of the request or of the answer", func(t *testing.T) {
		call := serviceCall("PUT", "/drums/4%2F5?state=clean&x=%20")
		call.Body = []byte("rinsed")
		call.Fields = []zinniapond.HeaderField{{Name: "Content-Type", Value: "text/plain"}, {Name: "Authorization", Value: "Bearer secret"}}
		a, err := newClient().Do(t.Context(), "a", backend(s), call, nil)
		assert.NoError(t, err)
		assert.Equal(t, a.Status, 200)
		assert.Equal(t, a.Outcome, zinniapond.OutcomeDone)
		assert.Equal(t, string(a.Body), `{"body":"rinsed","effects":1,"method":"PUT","path":"/drums/4/5","query":"state=clean\u0026x=%20"}`+"\n")
		assert.Equal(t, a.Fields, []zinniapond.HeaderField{{Name: "Content-Type", Value: "application/json"}})
	})
	t.Run("guards against forwarding credentials", func(t *testing.T) {
		call := serviceCall("GET", "/")
		call.Fields = []zinniapond.HeaderField{{Name: "authorization", Value: "x"}, {Name: "Connection", Value: "x"}, {Name: "accept", Value: "y"}}
		r, err := newRequest(t.Context(), "a", netip.MustParseAddrPort("127.0.0.1:1"), call)
		assert.NoError(t, err)
		assert.Equal(t, r.Header, http.Header{"Accept": {"y"}, "X-Request-Id": {"a"}, "X-Program": {"p"}, "Idempotency-Key": {"k"}})
	})
	t.Run("guards against a path that names another host", func(t *testing.T) {
		for _, p := range []string{"@evil/", "//evil/x", "x", "/\n"} {
			r, err := newRequest(t.Context(), "a", netip.MustParseAddrPort("127.0.0.1:1"), serviceCall("GET", p))
			if err != nil {
				assert.ErrorIs(t, err, zinniapond.ErrMalformed)
			} else {
				assert.Equal(t, r.URL.Host, "127.0.0.1:1")
			}
		}
	})
}

func TestFailures(t *testing.T) {
	s := httptest.NewServer(&tools.Server{})
	defer s.Close()
	c := newClient()
	c.Limits.ProgressTimeout = 50 * time.Millisecond
	c.Limits.AttemptTimeout = 150 * time.Millisecond
	var marked netip.AddrPort
	c.OnLeaving = func(_ time.Time, server netip.AddrPort) { marked = server }
	setFault := func(text string) {
		a, err := http.Post(s.URL+"/control", "application/json", strings.NewReader(text))
		assert.NoError(t, err)
		a.Body.Close()
	}
	t.Run("guards against reporting a request as sent after a refused dial", func(t *testing.T) {
		_, err := c.Do(t.Context(), "a", zinniapond.Backend{Address: ports.Reserve(t, 1).Address(0)}, serviceCall("POST", "/"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrNotSent)
	})
	t.Run("guards against reporting a request as not sent after its deadline has expired", func(t *testing.T) {
		setFault(`{"hang":true,"count":1}`)
		_, err := c.Do(t.Context(), "a", backend(s), serviceCall("POST", "/"), nil)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.True(t, !errors.Is(err, zinniapond.ErrNotSent), "%v", err)
	})
	t.Run("guards against taking a truncated answer for a complete one", func(t *testing.T) {
		setFault(`{"half":true,"count":1}`)
		a, err := c.Do(t.Context(), "a", backend(s), serviceCall("POST", "/"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
		assert.True(t, a.Outcome != zinniapond.OutcomeDone, "outcome %s", a.Outcome)
	})
	t.Run("guards against sending more work to a server that answers that it is leaving", func(t *testing.T) {
		setFault(`{"leaving":true,"count":1}`)
		a, err := c.Do(t.Context(), "a", backend(s), serviceCall("POST", "/"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
		assert.Equal(t, a.Outcome, zinniapond.OutcomeNotRun)
		assert.True(t, marked == backend(s).Address, "marked %s", marked)
	})
	t.Run("guards against an answer for another attempt", func(t *testing.T) {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Request-Id", "b") }))
		defer other.Close()
		_, err := c.Do(t.Context(), "a", backend(other), serviceCall("POST", "/"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
	})
	t.Run("guards against reading an answer of unbounded size", func(t *testing.T) {
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for b := make([]byte, 1<<20); ; {
				if _, err := w.Write(b); err != nil {
					return
				}
			}
		}))
		defer other.Close()
		unlimited := newClient()
		_, err := unlimited.Do(t.Context(), "a", backend(other), serviceCall("POST", "/"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
		assert.Contains(t, err.Error(), "more than")
	})
}

// startRepeatingServer starts a server that answers each request with its path, and
// sends the answer to the last request on the connection once more before it. With
// echo the answers have the ids of their requests.
func startRepeatingServer(t *testing.T, echo bool) zinniapond.Backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		reader, last := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			if echo {
				answer = "X-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\n" + answer
			}
			answer = "HTTP/1.1 200 OK\r\n" + answer
			if _, err := io.WriteString(c, last+answer); err != nil {
				return
			}
			last = answer
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return zinniapond.Backend{Address: l.Addr().(*net.TCPAddr).AddrPort()}
}

func TestSecondCopy(t *testing.T) {
	for _, echo := range []bool{false, true} {
		t.Run(fmt.Sprintf("guards against a late second copy of an answer taken for the next one: ids in answers %t", echo), func(t *testing.T) {
			server, c := startRepeatingServer(t, echo), newClient()
			for n := range 8 {
				path := fmt.Sprint("/", n)
				a, err := c.Do(t.Context(), zinniapond.AttemptID(fmt.Sprint(n)), server, zinniapond.Call{Method: "GET", Path: path, Idempotent: true}, nil)
				if err != nil {
					assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
					continue
				}
				assert.Equal(t, string(a.Body), path)
			}
		})
	}
}
