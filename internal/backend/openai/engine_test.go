package openai

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/standin/engine"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// cutter breaks the connection once a number of parts was written.
type cutter struct {
	http.ResponseWriter
	left int
}

func (c *cutter) Write(b []byte) (int, error) {
	if c.left--; c.left < 0 {
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(b)
}

func (c *cutter) Flush() { _ = http.NewResponseController(c.ResponseWriter).Flush() }

// contents returns the text that the events of a stream have.
func contents(t *testing.T, stream []byte) string {
	var p parser
	var r replay
	for _, e := range p.feed(stream) {
		_, err := r.pass(e)
		assert.NoError(t, err)
	}
	assert.True(t, p.done && r.finished, "stream has no end: %q", stream)
	return string(r.text)
}

func TestEngine(t *testing.T) {
	t.Run("guards against losing or repeating text when a stream is cut", func(t *testing.T) {
		e := &engine.Server{Decode: 4000}
		var requests atomic.Int64
		c, server := start(t, func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 2 {
				w = &cutter{w, 1}
			}
			e.ServeHTTP(w, r)
		})
		c.Limits.Progress = 2 * time.Second
		call := chat(true)
		call.Most = 200
		call.Body = []byte(`{"messages":[{"role":"user","content":"` + strings.Repeat("drum ", 50) + `"}],"model":""}`)
		whole, err := c.Do(context.Background(), "whole", server, call, &recorder{})
		assert.NoError(t, err)
		out := &recorder{}
		cut, err := c.Do(context.Background(), "cut", server, call, out)
		assert.NoError(t, err)
		assert.Equal(t, requests.Load(), 3)
		assert.Equal(t, contents(t, cut.Body), contents(t, whole.Body))
		assert.Equal(t, strings.Join(out.parts, "")+"data: [DONE]\n\n", string(cut.Body))
		assert.Equal(t, cut.Usage.Generated, whole.Usage.Generated)
	})
}
