package openai

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/conns"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// recorder is a sink that keeps the parts.
type recorder struct {
	status int
	parts  []string
	err    error
}

func (r *recorder) Begin(status int, _ []zinniapond.Field) error {
	r.status = status
	return nil
}

func (r *recorder) Write(part []byte) error {
	r.parts = append(r.parts, string(part))
	return r.err
}

// start starts an engine. Cancellations go to the handler only if it asks for
// them by cancels.
func start(t *testing.T, handler http.HandlerFunc, cancels ...chan<- string) (*Client, zinniapond.Backend) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/cancel" {
			handler(w, r)
			return
		}
		b, _ := io.ReadAll(r.Body)
		for _, c := range cancels {
			c <- string(b)
		}
	}))
	t.Cleanup(s.Close)
	c := &Client{Limits: zinniapond.LimitSettings{Progress: 100 * time.Millisecond, Attempt: 5 * time.Second}, Clock: time.Now}
	return c, zinniapond.Backend{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func chat(stream bool) zinniapond.Call {
	return zinniapond.Call{
		ID: "c", Program: "p", Class: zinniapond.ClassBatch, Stream: stream, Most: 64,
		Body: []byte(`{"messages":[{"content":"<a>"}],"priority":0,"model":"m"}`),
	}
}

// events writes events at once and then ends or waits.
func events(w http.ResponseWriter, list ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, e := range list {
		_, _ = io.WriteString(w, e)
	}
	_ = http.NewResponseController(w).Flush()
}

func TestWhole(t *testing.T) {
	c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"got":%s,"id":%q,"program":%q,"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":8}}}`,
			b, r.Header.Get("X-Request-Id"), r.Header.Get("X-Program"))
	})
	t.Run("guards against losing what the engine needs", func(t *testing.T) {
		a, err := c.Do(t.Context(), "a1", server, chat(false), nil)
		assert.NoError(t, err)
		assert.Contains(t, string(a.Body), `{"got":{"max_tokens":64,"messages":[{"content":"<a>"}],"model":"m","priority":2,"stream":false},"id":"a1","program":"p"`)
		assert.Equal(t, a.Usage, zinniapond.Usage{Prompt: 9, Cached: 8, Generated: 4})
		assert.Equal(t, a.Outcome, zinniapond.OutcomeDone)
	})
	t.Run("guards against a body that is no object", func(t *testing.T) {
		_, err := c.Do(t.Context(), "a", server, zinniapond.Call{Body: []byte("null")}, nil)
		assert.ErrorIs(t, err, zinniapond.ErrMalformed)
	})
	for name, handler := range map[string]http.HandlerFunc{
		"an answer for another attempt": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Request-Id", "other")
			_, _ = fmt.Fprint(w, "{}")
		},
		"an answer that is not JSON": func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "<html>") },
		"a failed engine":            func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) },
		"a half answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = fmt.Fprint(w, "{}")
		},
	} {
		t.Run("guards against passing on "+name, func(t *testing.T) {
			c, server := start(t, handler)
			_, err := c.Do(t.Context(), "a", server, chat(false), nil)
			assert.ErrorIs(t, err, zinniapond.ErrBackend)
		})
	}
	t.Run("guards against taking a long generation for a silent connection", func(t *testing.T) {
		c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			time.Sleep(150 * time.Millisecond)
			_, _ = fmt.Fprint(w, "{}")
		})
		for range 2 {
			_, err := c.Do(t.Context(), "a", server, chat(false), nil)
			assert.NoError(t, err)
		}
	})
	t.Run("guards against new work for a server that says it is leaving", func(t *testing.T) {
		c, server := start(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "true")
			w.WriteHeader(503)
		})
		marked := false
		c.Leaving = func(time.Time, netip.AddrPort) { marked = true }
		a, err := c.Do(t.Context(), "a", server, chat(false), nil)
		assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
		assert.True(t, marked && a.Outcome == zinniapond.OutcomeNotRun, "marked %t, outcome %s", marked, a.Outcome)
	})
}

const usageEvent = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"

const (
	role = `data: {"choices":[{"delta":{"role":"assistant"},"finish_reason":null}]}` + "\n\n"
	stop = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
)

// say returns an event with content, its keys in the order of json.Marshal.
func say(content string) string {
	return `data: {"choices":[{"delta":{"content":"` + content + `"}}]}` + "\n\n"
}

func TestStream(t *testing.T) {
	t.Run("guards against parts that do not end with an event", func(t *testing.T) {
		c, server := start(t, func(w http.ResponseWriter, _ *http.Request) {
			events(w, "data: {\"n\":1}\n", "\ndata: {\"n\":2}\n\n"+usageEvent+"data: [DO", "NE]\n\n")
		})
		out := &recorder{}
		a, err := c.Do(t.Context(), "a", server, chat(true), out)
		assert.NoError(t, err)
		assert.Equal(t, out.parts, []string{"data: {\"n\":1}\n\n", "data: {\"n\":2}\n\n", usageEvent})
		// The end is passed on by the owner once the result is durable.
		assert.Equal(t, string(a.Body), strings.Join(out.parts, "")+"data: [DONE]\n\n")
		assert.Equal(t, a.Usage, zinniapond.Usage{Prompt: 3, Generated: 2})
	})
	t.Run("guards against a cut stream that looks complete", func(t *testing.T) {
		c, server := start(t, func(w http.ResponseWriter, _ *http.Request) { events(w, "data: {}\n\n") })
		_, err := c.Do(t.Context(), "a", server, chat(true), &recorder{})
		assert.ErrorIs(t, err, zinniapond.ErrBackend)
	})
	t.Run("guards against waiting for a silent stream", func(t *testing.T) {
		addresses := make(chan string, 8)
		c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
			addresses <- r.RemoteAddr
			_, _ = io.ReadAll(r.Body)
			if len(addresses) == 1 {
				events(w, "data: {}\n\n")
			}
			<-r.Context().Done()
		})
		_, err := c.Do(t.Context(), "a", server, chat(true), &recorder{})
		assert.ErrorIs(t, err, conns.ErrSilent)
		assert.ErrorIs(t, err, zinniapond.ErrBackend)
		// One try to resume, which brought nothing new.
		assert.Equal(t, len(addresses), 2)
		first, second := <-addresses, <-addresses
		assert.True(t, first != second, "the silent connection was used again")
	})
	t.Run("guards against waiting on a reused connection that went silent", func(t *testing.T) {
		var n atomic.Int64
		c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 2 {
				_, _ = io.ReadAll(r.Body)
				<-r.Context().Done()
				return
			}
			events(w, "data: [DONE]\n\n")
		})
		for i, silent := range []bool{false, true, false} {
			_, err := c.Do(t.Context(), "a", server, chat(true), &recorder{})
			assert.True(t, errors.Is(err, conns.ErrSilent) == silent, "request %d: %v", i, err)
		}
	})
	t.Run("guards against a new connection for each stream", func(t *testing.T) {
		addresses := make(chan string, 2)
		c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
			addresses <- r.RemoteAddr
			events(w, "data: [DONE]\n\n")
			time.Sleep(10 * time.Millisecond)
		})
		for range 2 {
			_, err := c.Do(t.Context(), "a", server, chat(true), &recorder{})
			assert.NoError(t, err)
		}
		assert.Equal(t, <-addresses, <-addresses)
	})
	t.Run("guards against generating for nobody", func(t *testing.T) {
		cancelled := make(chan string, 1)
		c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
			events(w, "data: {}\n\n")
			<-r.Context().Done()
		}, cancelled)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := c.Do(ctx, "a7", server, chat(true), &recorder{})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, <-cancelled, `{"request":"a7"}`)
	})
	for _, c := range []struct{ name, first, second, want string }{
		{
			"losing a stream that the engine can resume", role + say("rinse ") + say("drum 4") + "data: {",
			role + say("rinse") + say(" drum 4 and") + say(" 5") + stop + usageEvent + "data: [DONE]\n\n",
			role + say("rinse ") + say("drum 4") + say(" and") + say(" 5") + stop + usageEvent,
		},
		{
			"repeating the end of a resumed stream", say("a") + stop + usageEvent,
			say("a") + stop + usageEvent + "data: [DONE]\n\n", say("a") + stop + usageEvent,
		},
		{"joining another answer to an old part", say("rinse"), say("scrap") + "data: [DONE]\n\n", ""},
		{"joining a shorter answer to an old part", say("rinse"), say("rin") + stop + "data: [DONE]\n\n", ""},
		{"resuming what is not compared", "data: {\"choices\":[{\"delta\":{\"tool_calls\":[]}}]}\n\n", "data: [DONE]\n\n", ""},
	} {
		t.Run("guards against "+c.name, func(t *testing.T) {
			ids := make(chan string, 4)
			client, server := start(t, func(w http.ResponseWriter, r *http.Request) {
				ids <- r.Header.Get("X-Request-Id")
				events(w, map[int]string{1: c.first, 2: c.second}[len(ids)])
			})
			out := &recorder{}
			a, err := client.Do(t.Context(), "a", server, chat(true), out)
			if c.want == "" {
				assert.ErrorIs(t, err, zinniapond.ErrBackend)
				assert.Equal(t, strings.Join(out.parts, ""), c.first)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, strings.Join(out.parts, ""), c.want)
			assert.Equal(t, string(a.Body), c.want+"data: [DONE]\n\n")
			assert.Equal(t, a.Usage, zinniapond.Usage{Prompt: 3, Generated: 2})
			assert.Equal(t, <-ids, <-ids)
		})
	}
}

func TestAsk(t *testing.T) {
	c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/load":
			_, _ = fmt.Fprint(w, `{"backend":"10.0.0.1:1","running":3,"waiting":2,"programs":["p"]}`)
		case "/orders":
			var o zinniapond.Order
			_ = json.NewDecoder(r.Body).Decode(&o)
			if o.Fence < 5 {
				w.WriteHeader(409)
			}
			_, _ = fmt.Fprintf(w, `{"model":%q}`, o.Model)
		}
	})
	t.Run("guards against a report that names another server", func(t *testing.T) {
		report, err := c.Load(t.Context(), server.Address)
		assert.NoError(t, err)
		assert.True(t, report.Backend == server.Address, "%s", report.Backend)
		assert.Equal(t, report.Running+report.Waiting, 5)
	})
	t.Run("guards against an order with an old fencing number", func(t *testing.T) {
		held, err := c.Order(t.Context(), zinniapond.Order{Backend: server.Address, Model: "m", Fence: 5})
		assert.NoError(t, err)
		assert.Equal(t, held, "m")
		_, err = c.Order(t.Context(), zinniapond.Order{Backend: server.Address, Model: "m", Fence: 4})
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
	})
	t.Run("guards against a release that is not sent", func(t *testing.T) {
		assert.NoError(t, c.Release(t.Context(), server.Address, "p"))
	})
}

func FuzzParser(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: {\"usage\":{\"prompt_tokens\":1}}\r\n\r\ndata: [DONE]\n\n"), 3)
	f.Add([]byte(role+say("a")+say("\\ud83d b")+stop+usageEvent), 7)
	f.Add([]byte("data: {}\n\n: note\n\nevent: error\ndata: [1\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		// The events must not depend on how the bytes are divided.
		var one, two parser
		var a, b []byte
		var joined replay
		list := one.feed(text)
		for _, e := range list {
			a = append(a, e...)
			_, _ = joined.pass(e)
		}
		// The same stream again has nothing new.
		joined.resume()
		for _, e := range list {
			if rest, err := joined.pass(e); !joined.odd && (err != nil || rest != nil && !isEnd(e)) {
				t.Fatalf("event %q of %q: %q, %v", e, text, rest, err)
			}
		}
		if size < 1 {
			size = 1
		}
		for rest := text; len(rest) > 0; {
			n := min(size, len(rest))
			for _, e := range two.feed(rest[:n]) {
				b = append(b, e...)
			}
			rest = rest[n:]
		}
		if string(a) != string(b) || one.done != two.done || one.usage != two.usage {
			t.Fatalf("whole %q, in parts %q", a, b)
		}
		if !strings.HasPrefix(string(text), string(a)) {
			t.Fatalf("%q is not the beginning of %q", a, text)
		}
	})
}
