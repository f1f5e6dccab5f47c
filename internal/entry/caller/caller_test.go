package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fake implements the scheduler, the directory and the detector that a front
// end uses.
type fake struct {
	zinniapond.Scheduler
	zinniapond.Directory
	submit       func(ctx context.Context, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error)
	calls        chan zinniapond.Call
	stale        bool
	state        zinniapond.MemberState
	catalog      *zinniapond.Catalog
	degradations []zinniapond.Degradation
	history      zinniapond.History
}

func (f *fake) Submit(ctx context.Context, _ time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	f.calls <- call
	if f.submit != nil {
		return f.submit(ctx, call, sink)
	}
	return doneAnswer(`{"ok":true}`), nil
}

func (f *fake) Open(_ context.Context, _ time.Time, p zinniapond.Program) error {
	f.history.Program = p
	return nil
}

func (f *fake) End(_ context.Context, now time.Time, _ zinniapond.ProgramID, reason string) error {
	f.history.Program.EndedAt, f.history.Program.Reason = now, reason
	return nil
}

func (f *fake) Catalog() *zinniapond.Catalog { return f.catalog }

func (f *fake) LeaseValid(time.Time) bool { return !f.stale }

func (f *fake) Degradations(time.Time) []zinniapond.Degradation               { return f.degradations }
func (f *fake) Observe(time.Time, string, time.Duration, time.Duration, bool) {}
func (f *fake) View() *zinniapond.ControlView {
	return &zinniapond.ControlView{Members: map[zinniapond.HostName]zinniapond.Member{"waschhalle-1": {State: f.state}}}
}

// fakeScheduler is a fake with the scheduler's View method instead of the
// directory's.
type fakeScheduler struct{ *fake }

func (s fakeScheduler) View(context.Context, time.Time, zinniapond.ProgramID) (zinniapond.History, error) {
	return s.history, nil
}

func doneAnswer(body string) zinniapond.Answer {
	return zinniapond.Answer{
		Outcome: zinniapond.OutcomeDone, Status: 200, Body: []byte(body),
		Fields: []zinniapond.HeaderField{{Name: "Content-Type", Value: "application/json"}},
	}
}

func newFrontend(limits zinniapond.LimitSettings) (*Frontend, *fake) {
	plan := zinniapond.Plan{
		Name: "yard", Class: zinniapond.ClassInteractive, MaxQueueTime: time.Second,
		Models: []zinniapond.PoolName{"drum-7b"}, Services: []zinniapond.PoolName{"app"},
		Customers: []zinniapond.Customer{
			{Name: "rinse", KeyHash: sha256.Sum256([]byte("k1"))},
			{Name: "office", KeyHash: sha256.Sum256([]byte("k2"))},
			{Name: "gone", KeyHash: sha256.Sum256([]byte("k3")), Expires: time.Unix(1, 0)},
		},
	}
	f := &fake{
		calls: make(chan zinniapond.Call, 16), state: zinniapond.MemberActive,
		catalog: &zinniapond.Catalog{
			Version:  7,
			Plans:    map[zinniapond.PlanName]zinniapond.Plan{"yard": plan},
			Services: map[zinniapond.PoolName]zinniapond.ServiceRule{"app": {Service: "app", Idempotent: []string{"POST /quotes"}}},
		},
	}
	return &Frontend{
		Host: "waschhalle-1", Scheduler: fakeScheduler{f}, Directory: f, Detector: f, Limits: limits,
		Clock: time.Now, Logger: hclog.NewNullLogger(),
	}, f
}

func serve(t *testing.T, limits zinniapond.LimitSettings) (string, *fake) {
	frontend, f := newFrontend(limits)
	s := httptest.NewServer(frontend)
	t.Cleanup(s.Close)
	return s.URL, f
}

const chatText = `{"model":"drum-7b","messages":[{"role":"user","content":"rinse <drum> 4?"}],"max_tokens":64}`

// send sends a request with the key k1 and returns the answer and its body.
// fields are pairs of a header name and a value.
func send(t *testing.T, method, url, body string, fields ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NoError(t, err)
	r.Header.Set("Authorization", "Bearer k1")
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	answer, err := http.DefaultTransport.RoundTrip(r)
	assert.NoError(t, err)
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	assert.NoError(t, err)
	return answer, string(b)
}

func TestChat(t *testing.T) {
	url, f := serve(t, zinniapond.LimitSettings{MaxBodyBytes: 1 << 20, ReadTimeout: time.Second, MaxOpenRequests: 8})
	t.Run("guards against losing a field of the call", func(t *testing.T) {
		answer, body := send(t, "POST", url+"/v1/chat/completions", chatText,
			"Zinniapond-Program", "p1", "Zinniapond-Sequence", "3", "Zinniapond-Parent", "p0", "Idempotency-Key", "a")
		assert.Equal(t, answer.StatusCode, 200)
		assert.Equal(t, body, `{"ok":true}`)
		assert.Equal(t, answer.Header.Get("Zinniapond-Outcome"), "done")
		assert.Equal(t, answer.Header.Get("Zinniapond-Config"), "7")
		c := <-f.calls
		assert.Equal(t, len(c.ID), 32)
		assert.Equal(t, c, zinniapond.Call{
			ID: c.ID, Program: "p1", ParentProgram: "p0", Sequence: 3, IdempotencyKey: "a", Plan: "yard", Customer: "rinse",
			Kind: zinniapond.KindEngine, Pool: "drum-7b", Idempotent: true, Method: "POST", Path: "/v1/chat/completions",
			Body: []byte(chatText), Digest: sha256.Sum256([]byte("POST /v1/chat/completions\n" + chatText)),
			PromptTokens: 6, MaxGenerated: 64, PrefixHashes: []uint64{}, MaxQueueTime: time.Second,
		})
	})
	t.Run("guards against running a repeated request twice", func(t *testing.T) {
		ids := map[zinniapond.CallID]bool{}
		programs := map[zinniapond.ProgramID]bool{}
		for _, fields := range [][]string{
			{"Idempotency-Key", "b"},
			{"Idempotency-Key", "b"},
			{"Idempotency-Key", "b", "Authorization", "Bearer k2"},
			{"Idempotency-Key", "b", "Zinniapond-Program", "p2"},
			{},
			{},
		} {
			send(t, "POST", url+"/v1/chat/completions", chatText, fields...)
			c := <-f.calls
			ids[c.ID], programs[c.Program] = true, true
			assert.Equal(t, c.SingleCall, c.Program != "p2")
		}
		assert.Equal(t, len(ids), 5)
		assert.Equal(t, len(programs), 5)
	})
	t.Run("guards against hiding a degradation of service", func(t *testing.T) {
		f.degradations = []zinniapond.Degradation{{Subject: "pool other"}, {Subject: "pool drum-7b", Reason: "slow", Since: time.Unix(0, 0)}}
		defer func() { f.degradations = nil }()
		answer, _ := send(t, "POST", url+"/v1/chat/completions", chatText)
		<-f.calls
		assert.Equal(t, answer.Header.Get("Zinniapond-Degraded"), "pool drum-7b: slow since 1970-01-01T00:00:00Z")
	})
}

func TestStream(t *testing.T) {
	url, f := serve(t, zinniapond.LimitSettings{ReadTimeout: time.Second, MaxOpenRequests: 8})
	text := strings.Replace(chatText, "{", `{"stream":true,`, 1)
	beginStream := func(s zinniapond.Sink) error {
		if err := s.Begin(200, []zinniapond.HeaderField{{Name: "Content-Type", Value: "text/event-stream"}}); err != nil {
			return err
		}
		return s.Write([]byte("data: {}\n\n"))
	}
	t.Run("guards against buffering a stream until its end", func(t *testing.T) {
		partRead := make(chan struct{})
		f.submit = func(_ context.Context, c zinniapond.Call, s zinniapond.Sink) (zinniapond.Answer, error) {
			assert.True(t, c.Stream, "not a stream")
			if err := beginStream(s); err != nil {
				return zinniapond.Answer{}, err
			}
			<-partRead
			return doneAnswer(""), s.Write([]byte("data: [DONE]\n\n"))
		}
		r, _ := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(text))
		r.Header.Set("Authorization", "Bearer k1")
		answer, err := http.DefaultTransport.RoundTrip(r)
		assert.NoError(t, err)
		defer answer.Body.Close()
		part := make([]byte, 10)
		_, err = io.ReadFull(answer.Body, part)
		assert.NoError(t, err)
		close(partRead)
		rest, err := io.ReadAll(answer.Body)
		assert.NoError(t, err)
		assert.Equal(t, string(part)+string(rest), "data: {}\n\ndata: [DONE]\n\n")
		assert.Equal(t, answer.Trailer.Get("Zinniapond-Outcome"), "done")
	})
	t.Run("guards against a broken stream that looks complete", func(t *testing.T) {
		f.submit = func(_ context.Context, _ zinniapond.Call, s zinniapond.Sink) (zinniapond.Answer, error) {
			_ = beginStream(s)
			return zinniapond.Answer{}, zinniapond.ErrBackendFailed
		}
		answer, body := send(t, "POST", url+"/v1/chat/completions", text)
		assert.Contains(t, body, "data: {}\n\nevent: error\ndata: {\"error\":")
		assert.Equal(t, answer.Trailer.Get("Zinniapond-Outcome"), "unknown")
	})
}

func TestService(t *testing.T) {
	url, f := serve(t, zinniapond.LimitSettings{MaxOpenRequests: 8})
	for _, c := range []struct {
		name, method, path, want string
		idempotent               bool
	}{
		{"guards against treating a POST without a rule as idempotent", "POST", "/scrap/4?why=rust", "/scrap/4?why=rust", false},
		{"guards against ignoring a rule for idempotent calls", "POST", "/quotes/9", "/quotes/9", true},
		{"guards against a rule that matches a part of a path segment", "POST", "/quotes-final", "/quotes-final", false},
		{"guards against applying a rule to an escaped path", "POST", "/quotes/a%2Fb", "/quotes/a%2Fb", false},
		{"guards against treating a GET as not idempotent", "GET", "", "/", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, _ := send(t, c.method, url+"/services/app"+c.path, "b", "Content-Type", "text/plain", "Cookie", "secret")
			assert.Equal(t, answer.StatusCode, 200)
			got := <-f.calls
			assert.Equal(t, got.Path, c.want)
			assert.Equal(t, got.Idempotent, c.idempotent)
			assert.Equal(t, got.Kind, zinniapond.KindService)
			assert.Equal(t, got.Fields, []zinniapond.HeaderField{{Name: "Content-Type", Value: "text/plain"}})
		})
	}
}

func TestRefusals(t *testing.T) {
	url, f := serve(t, zinniapond.LimitSettings{MaxBodyBytes: 200, MaxOpenRequests: 8})
	chat := "POST /v1/chat/completions"
	for _, c := range []struct {
		name, target, body string
		fields             []string
		status             int
		kind               string
	}{
		{"no key", chat, chatText, []string{"Authorization", "Basic k1"}, 401, "key"},
		{"unknown key", chat, chatText, []string{"Authorization", "Bearer k9"}, 401, "key"},
		{"expired key", chat, chatText, []string{"Authorization", "Bearer k3"}, 401, "key"},
		{"model outside the plan", chat, strings.Replace(chatText, "drum", "oil", 1), nil, 403, "forbidden"},
		{"service outside the plan", "GET /services/bank/x", "", nil, 403, "forbidden"},
		{"not JSON", chat, "{", nil, 400, "malformed"},
		{"null", chat, "null", nil, 400, "malformed"},
		{"no messages", chat, `{"model":"drum-7b","messages":[]}`, nil, 400, "malformed"},
		{"message without role", chat, `{"model":"drum-7b","messages":[{}]}`, nil, 400, "malformed"},
		{"model in capitals", chat, `{"MODEL":"drum-7b","messages":[{"role":"user"}]}`, nil, 400, "malformed"},
		{"no model", chat, `{"messages":[{"role":"user"}]}`, nil, 400, "malformed"},
		{"negative max_tokens", chat, strings.Replace(chatText, "64", "-1", 1), nil, 400, "malformed"},
		{"several choices", chat, strings.Replace(chatText, "{", `{"n":2,`, 1), nil, 400, "malformed"},
		{"bad sequence", chat, chatText, []string{"Zinniapond-Program", "p", "Zinniapond-Sequence", "0"}, 400, "malformed"},
		{"sequence without program", chat, chatText, []string{"Zinniapond-Sequence", "1"}, 400, "malformed"},
		{"bad program id", chat, chatText, []string{"Zinniapond-Program", "a/b"}, 400, "malformed"},
		{"long key", chat, chatText, []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, "malformed"},
		{"dot segments", "POST /services/app/quotes/../scrap", "", nil, 400, "malformed"},
		{"escaped dot segments", "POST /services/app/quotes/%2e%2e/scrap", "", nil, 400, "malformed"},
		{"escaped separators", "POST /services/app/quotes/..%2Fscrap", "", nil, 400, "malformed"},
		{"large body", chat, chatText + strings.Repeat(" ", 200), nil, 413, "too_large"},
		{"unknown path", "GET /v2", "", nil, 404, "not_found"},
		{"wrong method", "GET /v1/chat/completions", "", nil, 405, "method"},
		{"bad program body", "POST /v1/programs", "[]", nil, 400, "malformed"},
		{"program of another customer", "GET /v1/programs/p1", "", nil, 404, "not_found"},
		{"end of a program of another customer", "DELETE /v1/programs/p1", "", nil, 404, "not_found"},
	} {
		t.Run("guards against running a call with: "+c.name, func(t *testing.T) {
			method, path, _ := strings.Cut(c.target, " ")
			answer, body := send(t, method, url+path, c.body, c.fields...)
			assert.Equal(t, answer.StatusCode, c.status)
			assert.Equal(t, answer.Header.Get("Zinniapond-Outcome"), "not-run")
			var seen struct {
				Error struct{ Message, Type, Hint string }
			}
			assert.NoError(t, json.Unmarshal([]byte(body), &seen))
			assert.Equal(t, seen.Error.Type, c.kind)
			assert.True(t, seen.Error.Hint != "" && seen.Error.Message != "", "no hint in %s", body)
			assert.Equal(t, len(f.calls), 0)
		})
	}
	t.Run("guards against admitting requests under lists that may be out of date", func(t *testing.T) {
		f.stale = true
		defer func() { f.stale = false }()
		answer, body := send(t, "POST", url+"/v1/chat/completions", chatText, "Authorization", "Bearer k9")
		assert.Equal(t, answer.StatusCode, 503)
		assert.Equal(t, answer.Header.Get("Retry-After"), "2")
		assert.Contains(t, body, "stale_configuration")
		answer, _ = send(t, "GET", url+"/healthz", "")
		assert.Equal(t, answer.StatusCode, 503)
	})
	t.Run("guards against a passing health check on a draining host", func(t *testing.T) {
		f.state = zinniapond.MemberDraining
		answer, _ := send(t, "GET", url+"/healthz", "")
		assert.Equal(t, answer.StatusCode, 503)
		f.state = zinniapond.MemberActive
		answer, _ = send(t, "GET", url+"/healthz", "")
		assert.Equal(t, answer.StatusCode, 200)
	})
}

func TestOutcomes(t *testing.T) {
	frontend, f := newFrontend(zinniapond.LimitSettings{MaxOpenRequests: 8})
	var logged bytes.Buffer
	frontend.Logger = hclog.New(&hclog.LoggerOptions{Output: &logged, Level: hclog.Trace})
	s := httptest.NewServer(frontend)
	defer s.Close()
	url := s.URL
	for _, c := range []struct {
		name    string
		answer  zinniapond.Answer
		err     error
		status  int
		outcome string
	}{
		{"unknown", zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown}, nil, 502, "unknown"},
		{"unknown again", zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown, Repeated: true}, nil, 409, "unknown"},
		{"budget", zinniapond.Answer{Outcome: zinniapond.OutcomeNotRun, Status: 429}, nil, 429, "not-run"},
		{"wait expired", zinniapond.Answer{Outcome: zinniapond.OutcomeNotRun}, nil, 503, "not-run"},
		{"reused key", zinniapond.Answer{}, zinniapond.ErrKeyReused, 422, "not-run"},
		{"failure that wraps an unknown outcome", zinniapond.Answer{}, fmt.Errorf("%w: %w", zinniapond.ErrOverload, zinniapond.ErrOutcomeUnknown), 502, "unknown"},
		{"lost majority", zinniapond.Answer{}, zinniapond.ErrNoQuorum, 503, "unknown"},
		{"other failure", zinniapond.Answer{}, io.ErrUnexpectedEOF, 500, "unknown"},
		{"status out of range", zinniapond.Answer{Outcome: zinniapond.OutcomeDone}, nil, 502, "unknown"},
	} {
		t.Run("guards against a false outcome: "+c.name, func(t *testing.T) {
			f.submit = func(context.Context, zinniapond.Call, zinniapond.Sink) (zinniapond.Answer, error) {
				return c.answer, c.err
			}
			answer, _ := send(t, "POST", url+"/v1/chat/completions", chatText)
			<-f.calls
			assert.Equal(t, answer.StatusCode, c.status)
			assert.Equal(t, answer.Header.Get("Zinniapond-Outcome"), c.outcome)
		})
	}
	t.Run("guards against logging a key or a prompt", func(t *testing.T) {
		assert.Contains(t, logged.String(), "request failed")
		assert.True(t, !strings.Contains(logged.String(), "k1") && !strings.Contains(logged.String(), "rinse"), "%s", &logged)
	})
}

func TestPrefix(t *testing.T) {
	t.Run("guards against losing the cache of earlier turns", func(t *testing.T) {
		var one, two zinniapond.Call
		turn := `{"role":"user","content":"` + strings.Repeat("residue ", 100) + `"}`
		assert.NoError(t, decodeChat([]byte(`{"model":"m","messages":[`+turn+`]}`), &one))
		assert.NoError(t, decodeChat([]byte(`{"messages": [ `+turn+` , `+turn+` ],"model":"m"}`), &two))
		assert.Equal(t, len(one.PrefixHashes), 3)
		assert.Equal(t, len(two.PrefixHashes), 6)
		assert.Equal(t, two.PrefixHashes[:3], one.PrefixHashes)
	})
}

func TestDecodeChat(t *testing.T) {
	t.Run("guards against field names that bypass plan and budget", func(t *testing.T) {
		text := `{"model":"dear","max_tokens":900,"max_completion_tokens":5,"messages":[{"role":"user"}]}`
		var c zinniapond.Call
		assert.NoError(t, decodeChat([]byte(text), &c))
		assert.Equal(t, c.MaxGenerated, 900)
		for _, field := range []string{`"MODEL":"cheap"`, `"Max_Tokens":1`, `"me\u017fsages":[]`} {
			err := decodeChat([]byte("{"+field+","+text[1:]), &c)
			assert.ErrorIs(t, err, zinniapond.ErrMalformed)
			assert.Contains(t, err.Error(), "which is spelt")
		}
	})
}
