package tools

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestServer(t *testing.T) {
	s := httptest.NewServer(&Server{})
	defer s.Close()
	client := &http.Client{Timeout: 100 * time.Millisecond}
	send := func(method, path, key, body string) (string, error) {
		r, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
		assert.NoError(t, err)
		r.Header.Set("Idempotency-Key", key)
		a, err := client.Do(r)
		if err != nil {
			return "", err
		}
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		return string(b), err
	}
	t.Run("guards against counting an effect that did not happen or missing one that did", func(t *testing.T) {
		for _, c := range []struct {
			control, method, key string
			fails                bool
		}{
			{`{}`, "POST", "plain", false},
			{`{}`, "GET", "get", false},
			{`{"refuse":true,"count":1}`, "POST", "refused", false},
			{`{"leaving":true,"count":1}`, "POST", "leaving", false},
			{`{"half":true,"count":1}`, "POST", "half", true},
			{`{"hang":true,"count":1}`, "POST", "hang", true},
			{`{"delay":"1ms"}`, "PUT", "delay", false},
			{`{}`, "POST", "plain", false},
		} {
			_, err := send("POST", "/control", "", c.control)
			assert.NoError(t, err)
			_, err = send(c.method, "/x", c.key, "")
			assert.True(t, (err != nil) == c.fails, "%s: %v", c.key, err)
		}
		seen, err := send("GET", "/effects", "", "")
		assert.NoError(t, err)
		assert.Equal(t, seen, `[{"key":"plain","path":"/x","count":2},{"key":"half","path":"/x","count":1},`+
			`{"key":"hang","path":"/x","count":1},{"key":"delay","path":"/x","count":1}]`+"\n")
	})
	t.Run("guards against accepting a malformed control", func(t *testing.T) {
		b, err := send("POST", "/control", "", `{"delay":"soon"}`)
		assert.NoError(t, err)
		assert.Contains(t, b, "error")
	})
}
