package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runUntil advances the engine and returns, for each attempt that has ended,
// the time from now to its end.
func runUntil(s *Server, now time.Time, until time.Time) map[zinniapond.AttemptID]time.Duration {
	ends := map[zinniapond.AttemptID]time.Duration{}
	s.Advance(until, func(at time.Time, a zinniapond.AttemptID, _ zinniapond.Usage, answer string) {
		if answer != "" {
			ends[a] = at.Sub(now)
		}
	})
	return ends
}

func TestModel(t *testing.T) {
	need := zinniapond.PickInfo{Program: "p", PromptTokens: 800, MaxGenerated: 60, PrefixHashes: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}}
	t.Run("guards against a wrong speed", func(t *testing.T) {
		s := &Server{HalfSpeedRequests: 1e9}
		s.Submit(startTime, "a", need)
		took := runUntil(s, startTime, startTime.Add(time.Minute))["a"]
		assert.True(t, took > 1090*time.Millisecond && took < 1110*time.Millisecond, "took %s", took)
	})
	t.Run("guards against a slowdown without effect", func(t *testing.T) {
		s := &Server{HalfSpeedRequests: 1e9}
		s.SetFaults(startTime, 10, false, false)
		s.Submit(startTime, "a", need)
		took := runUntil(s, startTime, startTime.Add(time.Minute))["a"]
		assert.True(t, took > 10900*time.Millisecond && took < 11100*time.Millisecond, "took %s", took)
	})
	t.Run("guards against urgent requests waiting behind others", func(t *testing.T) {
		s := &Server{Slots: 1}
		for i, class := range []zinniapond.Class{2, 2, 0} {
			n := need
			n.Class = class
			s.Submit(startTime, zinniapond.AttemptID(fmt.Sprint(i)), n)
		}
		ends := runUntil(s, startTime, startTime.Add(time.Minute))
		assert.True(t, ends["0"] < ends["2"] && ends["2"] < ends["1"], "ends %v", ends)
	})
	t.Run("guards against an unlimited cache and evictions without events", func(t *testing.T) {
		s := &Server{CacheTokens: 10 * blockTokens, Lag: time.Second}
		for i := range 3 {
			n := need
			n.Program = zinniapond.ProgramID(fmt.Sprint("p", i))
			n.PrefixHashes = []uint64{uint64(10 * i), uint64(10*i + 1), uint64(10*i + 2), uint64(10*i + 3), uint64(10*i + 4)}
			s.Submit(startTime.Add(time.Duration(i)*time.Minute), zinniapond.AttemptID(fmt.Sprint(i)), n)
			runUntil(s, startTime, startTime.Add(time.Duration(i+1)*time.Minute))
		}
		assert.Equal(t, s.ExclusiveTokens("p0"), 0)
		assert.Equal(t, s.ExclusiveTokens("p2"), 5*blockTokens)
		events := s.Events(startTime.Add(time.Hour), 16)
		assert.Equal(t, len(events), 5) // 15 blocks added, then 5 dropped
		assert.True(t, events[0].Dropped, "no eviction event")
		s.Release(startTime.Add(time.Hour), "p2")
		assert.Equal(t, s.ExclusiveTokens("p2"), 0)
	})
	t.Run("guards against events that are never lost and reports that are never delayed", func(t *testing.T) {
		s := &Server{EventLossRate: 0.5, Lag: 2 * time.Second, Seed: 3}
		s.Submit(startTime, "a", need)
		runUntil(s, startTime, startTime.Add(time.Second))
		assert.Equal(t, len(s.Events(startTime.Add(time.Second), 0)), 0)
		events := s.Events(startTime.Add(time.Minute), 0)
		assert.True(t, len(events) > 0 && len(events) < 12, "%d events", len(events))
		assert.True(t, len(s.Report(startTime.Add(time.Second)).Programs) == 0, "report has no lag")
	})
}

func post(t *testing.T, base, path, id, body string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	assert.NoError(t, err)
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Program", "p")
	a, err := http.DefaultClient.Do(r)
	assert.NoError(t, err)
	defer a.Body.Close()
	all, err := io.ReadAll(a.Body)
	assert.NoError(t, err)
	return a, string(all)
}

func TestHTTP(t *testing.T) {
	s := &Server{PrefillRate: 1e6, DecodeRate: 5000, Model: "m", ChecksFence: true}
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	chat := func(t *testing.T, id, prompt string) string {
		t.Helper()
		_, body := post(t, web.URL, "/v1/chat/completions", id, fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":32}`, prompt))
		var a chatAnswer
		assert.NoError(t, json.Unmarshal([]byte(body), &a))
		return a.Choices[0].Message.Content
	}
	t.Run("guards against equal answers to different prompts", func(t *testing.T) {
		one, two := chat(t, "1", "drum 1"), chat(t, "2", "drum 2")
		assert.True(t, one != two && one != "", "answers %q and %q", one, two)
		assert.Equal(t, chat(t, "3", "drum 1"), one)
	})
	t.Run("guards against a stream that differs from the whole answer", func(t *testing.T) {
		_, body := post(t, web.URL, "/v1/chat/completions", "4", `{"messages":[{"role":"user","content":"drum 1"}],"max_tokens":32,"stream":true}`)
		var got string
		lines := bufio.NewScanner(strings.NewReader(body))
		for lines.Scan() {
			line, ok := strings.CutPrefix(lines.Text(), "data: {")
			if !ok {
				continue
			}
			var a chatAnswer
			assert.NoError(t, json.Unmarshal([]byte("{"+line), &a))
			got += a.Choices[0].Delta.Content
		}
		assert.Equal(t, got, chat(t, "1", "drum 1"))
		assert.Contains(t, body, "data: [DONE]")
	})
	t.Run("guards against obeying an order with an old fencing number", func(t *testing.T) {
		_, body := post(t, web.URL, "/orders", "", `{"kind":"load","model":"n","fence":7}`)
		assert.Contains(t, body, `"model":"n"`)
		a, _ := post(t, web.URL, "/orders", "", `{"kind":"load","model":"m","fence":6}`)
		assert.Equal(t, a.StatusCode, http.StatusConflict)
	})
	t.Run("guards against new work on a leaving server", func(t *testing.T) {
		post(t, web.URL, "/control", "", `{"leaving":true}`)
		a, _ := post(t, web.URL, "/v1/chat/completions", "9", `{"messages":[]}`)
		assert.Equal(t, a.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, a.Header.Get("X-Leaving"), "true")
		post(t, web.URL, "/control", "", `{"leaving":false}`)
	})
	t.Run("guards against a cancelled request that runs on", func(t *testing.T) {
		post(t, web.URL, "/control", "", `{"hang":true}`)
		done := make(chan int)
		go func() {
			a, err := http.Post(web.URL+"/v1/chat/completions", "", strings.NewReader(`{"messages":[{"role":"user","content":"x"}]}`))
			if err != nil {
				done <- 0
				return
			}
			a.Body.Close()
			done <- a.StatusCode
		}()
		id := ""
		assert.Eventually(t, 5*time.Second, "the request runs", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, j := range s.batch.running {
				id = string(j.attempt)
			}
			return id != ""
		})
		_, body := post(t, web.URL, "/cancel", "", fmt.Sprintf(`{"request":%q}`, id))
		assert.Contains(t, body, "true")
		assert.Equal(t, <-done, http.StatusConflict)
		post(t, web.URL, "/control", "", `{"hang":false}`)
	})
}
