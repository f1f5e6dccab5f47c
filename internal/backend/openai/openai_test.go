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

// recorder is a sink that records the parts of an answer.
type recorder struct {
	status int
	parts  []string
	err    error
}

func (r *recorder) Begin(status int, _ []zinniapond.HeaderField) error {
	r.status = status
	return nil
}

func (r *recorder) Write(part []byte) error {
	r.parts = append(r.parts, string(part))
	return r.err
}

// startEngine starts an engine with the given handler and returns a client and
// its address. The bodies of cancellation requests go to the channels cancels
// and not to the handler.
func startEngine(t *testing.T, handler http.HandlerFunc, cancels ...chan<- string) (*Client, zinniapond.Backend) {
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
	c := &Client{Limits: zinniapond.LimitSettings{ProgressTimeout: 100 * time.Millisecond, AttemptTimeout: 5 * time.Second}, Clock: time.Now}
	return c, zinniapond.Backend{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

func chatCall(stream bool) zinniapond.Call {
	return zinniapond.Call{
		ID: "c", Program: "p", Class: zinniapond.ClassBatch, Stream: stream, MaxGenerated: 64,
		Body: []byte(`{"messages":[{"content":"<a>"}],"priority":0,"model":"m"}`),
	}
}

// writeEvents writes the given texts as a stream and flushes them.
func writeEvents(w http.ResponseWriter, list ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, e := range list {
		_, _ = io.WriteString(w, e)
	}
	_ = http.NewResponseController(w).Flush()
}

func TestCompletion(t *testing.T) {
	c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"got":%s,"id":%q,"program":%q,"usage":{"prompt_tokens":9,"completion_tokens":4,"prompt_tokens_details":{"cached_tokens":8}}}`,
			b, r.Header.Get("X-Request-Id"), r.Header.Get("X-Program"))
	})
	t.Run("guards against a request without the priority, token limit or ids", func(t *testing.T) {
		a, err := c.Do(t.Context(), "a1", server, chatCall(false), nil)
		assert.NoError(t, err)
		assert.Contains(t, string(a.Body), `{"got":{"max_tokens":64,"messages":[{"content":"<a>"}],"model":"m","priority":2,"stream":false},"id":"a1","program":"p"`)
		assert.Equal(t, a.Usage, zinniapond.Usage{Prompt: 9, Cached: 8, Generated: 4})
		assert.Equal(t, a.Outcome, zinniapond.OutcomeDone)
	})
	t.Run("guards against a body that is not a JSON object", func(t *testing.T) {
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
		"a truncated answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9")
			_, _ = fmt.Fprint(w, "{}")
		},
	} {
		t.Run("guards against passing on "+name, func(t *testing.T) {
			c, server := startEngine(t, handler)
			_, err := c.Do(t.Context(), "a", server, chatCall(false), nil)
			assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
		})
	}
	t.Run("guards against applying the progress deadline to a long generation", func(t *testing.T) {
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			time.Sleep(150 * time.Millisecond)
			_, _ = fmt.Fprint(w, "{}")
		})
		for range 2 {
			_, err := c.Do(t.Context(), "a", server, chatCall(false), nil)
			assert.NoError(t, err)
		}
	})
	t.Run("guards against sending more work to a server that answers that it is leaving", func(t *testing.T) {
		c, server := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Leaving", "true")
			w.WriteHeader(503)
		})
		marked := false
		c.OnLeaving = func(time.Time, netip.AddrPort) { marked = true }
		a, err := c.Do(t.Context(), "a", server, chatCall(false), nil)
		assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
		assert.True(t, marked && a.Outcome == zinniapond.OutcomeNotRun, "marked %t, outcome %s", marked, a.Outcome)
	})
}

const usageEvent = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"

const (
	roleEvent = `data: {"choices":[{"delta":{"role":"assistant"},"finish_reason":null}]}` + "\n\n"
	stopEvent = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
)

// contentEvent returns an event with content, its keys in the order of json.Marshal.
func contentEvent(content string) string {
	return `data: {"choices":[{"delta":{"content":"` + content + `"}}]}` + "\n\n"
}

func TestStream(t *testing.T) {
	t.Run("guards against passing on incomplete events", func(t *testing.T) {
		c, server := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			writeEvents(w, "data: {\"n\":1}\n", "\ndata: {\"n\":2}\n\n"+usageEvent+"data: [DO", "NE]\n\n")
		})
		out := &recorder{}
		a, err := c.Do(t.Context(), "a", server, chatCall(true), out)
		assert.NoError(t, err)
		assert.Equal(t, out.parts, []string{"data: {\"n\":1}\n\n", "data: {\"n\":2}\n\n", usageEvent})
		// The end event is sent by the program's owner once the result is durable.
		assert.Equal(t, string(a.Body), strings.Join(out.parts, "")+"data: [DONE]\n\n")
		assert.Equal(t, a.Usage, zinniapond.Usage{Prompt: 3, Generated: 2})
	})
	t.Run("guards against taking a truncated stream for a complete one", func(t *testing.T) {
		c, server := startEngine(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, "data: {}\n\n") })
		_, err := c.Do(t.Context(), "a", server, chatCall(true), &recorder{})
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
	})
	t.Run("guards against waiting for a stream without progress", func(t *testing.T) {
		addresses := make(chan string, 8)
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			addresses <- r.RemoteAddr
			_, _ = io.ReadAll(r.Body)
			if len(addresses) == 1 {
				writeEvents(w, "data: {}\n\n")
			}
			<-r.Context().Done()
		})
		_, err := c.Do(t.Context(), "a", server, chatCall(true), &recorder{})
		assert.ErrorIs(t, err, conns.ErrNoProgress)
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
		// The client resumes once, which brings nothing new.
		assert.Equal(t, len(addresses), 2)
		first, second := <-addresses, <-addresses
		assert.True(t, first != second, "the silent connection was used again")
	})
	t.Run("guards against waiting for a stream of which a byte comes now and then", func(t *testing.T) {
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			writeEvents(w, "data: {}\n\n")
			for r.Context().Err() == nil {
				writeEvents(w, "x")
				time.Sleep(20 * time.Millisecond)
			}
		})
		begun := time.Now()
		_, err := c.Do(t.Context(), "a", server, chatCall(true), &recorder{})
		assert.ErrorIs(t, err, conns.ErrNoProgress)
		assert.True(t, time.Since(begun) < 2*time.Second, "ended after %s", time.Since(begun))
	})
	t.Run("guards against cutting a stream whose events come slowly", func(t *testing.T) {
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			for range 10 {
				writeEvents(w, ": still working\n\n")
				time.Sleep(30 * time.Millisecond)
			}
			writeEvents(w, "data: [DONE]\n\n")
		})
		_, err := c.Do(t.Context(), "a", server, chatCall(true), &recorder{})
		assert.NoError(t, err)
	})
	t.Run("guards against waiting on a reused connection without an answer", func(t *testing.T) {
		var n atomic.Int64
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 2 {
				_, _ = io.ReadAll(r.Body)
				<-r.Context().Done()
				return
			}
			writeEvents(w, "data: [DONE]\n\n")
		})
		for i, silent := range []bool{false, true, false} {
			_, err := c.Do(t.Context(), "a", server, chatCall(true), &recorder{})
			assert.True(t, errors.Is(err, conns.ErrNoProgress) == silent, "request %d: %v", i, err)
		}
	})
	t.Run("guards against a new connection for each stream", func(t *testing.T) {
		addresses := make(chan string, 2)
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			addresses <- r.RemoteAddr
			writeEvents(w, "data: [DONE]\n\n")
			time.Sleep(10 * time.Millisecond)
		})
		for range 2 {
			_, err := c.Do(t.Context(), "a", server, chatCall(true), &recorder{})
			assert.NoError(t, err)
		}
		assert.Equal(t, <-addresses, <-addresses)
	})
	t.Run("guards against an engine that generates on after the caller has cancelled", func(t *testing.T) {
		cancelled := make(chan string, 1)
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			writeEvents(w, "data: {}\n\n")
			<-r.Context().Done()
		}, cancelled)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := c.Do(ctx, "a7", server, chatCall(true), &recorder{})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, <-cancelled, `{"request":"a7"}`)
	})
	for _, c := range []struct{ name, first, second, want string }{
		{
			"failing a stream that the engine can resume", roleEvent + contentEvent("rinse ") + contentEvent("drum 4") + "data: {",
			roleEvent + contentEvent("rinse") + contentEvent(" drum 4 and") + contentEvent(" 5") + stopEvent + usageEvent + "data: [DONE]\n\n",
			roleEvent + contentEvent("rinse ") + contentEvent("drum 4") + contentEvent(" and") + contentEvent(" 5") + stopEvent + usageEvent,
		},
		{
			"repeating the end of a resumed stream", contentEvent("a") + stopEvent + usageEvent,
			contentEvent("a") + stopEvent + usageEvent + "data: [DONE]\n\n", contentEvent("a") + stopEvent + usageEvent,
		},
		{"joining a resumed answer with different content", contentEvent("rinse"), contentEvent("scrap") + "data: [DONE]\n\n", ""},
		{"joining a resumed answer with shorter content", contentEvent("rinse"), contentEvent("rin") + stopEvent + "data: [DONE]\n\n", ""},
		{"resuming a stream with more than content, which cannot be compared", "data: {\"choices\":[{\"delta\":{\"tool_calls\":[]}}]}\n\n", "data: [DONE]\n\n", ""},
	} {
		t.Run("guards against "+c.name, func(t *testing.T) {
			ids := make(chan string, 4)
			client, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
				ids <- r.Header.Get("X-Request-Id")
				writeEvents(w, map[int]string{1: c.first, 2: c.second}[len(ids)])
			})
			out := &recorder{}
			a, err := client.Do(t.Context(), "a", server, chatCall(true), out)
			if c.want == "" {
				assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
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

func TestManagement(t *testing.T) {
	c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
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
	t.Run("guards against a load report with another server's address", func(t *testing.T) {
		report, err := c.FetchLoadReport(t.Context(), server.Address)
		assert.NoError(t, err)
		assert.True(t, report.Backend == server.Address, "%s", report.Backend)
		assert.Equal(t, report.RunningCalls+report.WaitingCalls, 5)
	})
	t.Run("guards against accepting an order with an old fencing number", func(t *testing.T) {
		held, err := c.SendOrder(t.Context(), zinniapond.Order{Backend: server.Address, Model: "m", Fence: 5})
		assert.NoError(t, err)
		assert.Equal(t, held, "m")
		_, err = c.SendOrder(t.Context(), zinniapond.Order{Backend: server.Address, Model: "m", Fence: 4})
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
	})
	t.Run("guards against a release that fails", func(t *testing.T) {
		assert.NoError(t, c.ReleaseCache(t.Context(), server.Address, "p"))
	})
}

func FuzzParser(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: {\"usage\":{\"prompt_tokens\":1}}\r\n\r\ndata: [DONE]\n\n"), 3)
	f.Add([]byte(roleEvent+contentEvent("a")+contentEvent("\\ud83d b")+stopEvent+usageEvent), 7)
	f.Add([]byte("data: {}\n\n: note\n\nevent: error\ndata: [1\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		// The events must not depend on the sizes of the reads.
		var one, two parser
		var a, b []byte
		var filter replayFilter
		list := one.feed(text)
		for _, e := range list {
			a = append(a, e...)
			_, _ = filter.filter(e)
		}
		// A repetition of the same stream brings nothing new.
		filter.beginResume()
		for _, e := range list {
			if rest, err := filter.filter(e); !filter.incomparable && (err != nil || rest != nil && !isEndEvent(e)) {
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
		if string(a) != string(b) || one.ended != two.ended || one.usage != two.usage {
			t.Fatalf("whole %q, in parts %q", a, b)
		}
		if !strings.HasPrefix(string(text), string(a)) {
			t.Fatalf("%q is not the beginning of %q", a, text)
		}
	})
}
