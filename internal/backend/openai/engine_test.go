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

// cuttingWriter aborts the connection after a number of writes.
type cuttingWriter struct {
	http.ResponseWriter
	writesLeft int
}

func (c *cuttingWriter) Write(b []byte) (int, error) {
	if c.writesLeft--; c.writesLeft < 0 {
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(b)
}

func (c *cuttingWriter) Flush() { _ = http.NewResponseController(c.ResponseWriter).Flush() }

// streamContent returns the concatenated content of a stream's events.
func streamContent(t *testing.T, stream []byte) string {
	var p parser
	var f replayFilter
	for _, e := range p.feed(stream) {
		_, err := f.filter(e)
		assert.NoError(t, err)
	}
	assert.True(t, p.ended && f.finishPassed, "stream has no end: %q", stream)
	return string(f.content)
}

func TestResume(t *testing.T) {
	t.Run("guards against losing or repeating text when a stream breaks and is resumed", func(t *testing.T) {
		e := &engine.Server{DecodeRate: 4000}
		var requests atomic.Int64
		c, server := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 2 {
				w = &cuttingWriter{w, 1}
			}
			e.ServeHTTP(w, r)
		})
		c.Limits.ProgressTimeout = 2 * time.Second
		call := chatCall(true)
		call.MaxGenerated = 200
		call.Body = []byte(`{"messages":[{"role":"user","content":"` + strings.Repeat("drum ", 50) + `"}],"model":""}`)
		whole, err := c.Do(context.Background(), "whole", server, call, &recorder{})
		assert.NoError(t, err)
		out := &recorder{}
		cut, err := c.Do(context.Background(), "cut", server, call, out)
		assert.NoError(t, err)
		assert.Equal(t, requests.Load(), 3)
		assert.Equal(t, streamContent(t, cut.Body), streamContent(t, whole.Body))
		assert.Equal(t, strings.Join(out.parts, "")+"data: [DONE]\n\n", string(cut.Body))
		assert.Equal(t, cut.Usage.Generated, whole.Usage.Generated)
	})
}
