package events

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// split passes text in the given parts and returns the complete events, and whether
// an incomplete event is left.
func split(t assert.TB, parts ...string) (whole string, open bool) {
	var p Parser
	for _, part := range parts {
		p.Add([]byte(part))
		complete, err := p.Complete()
		assert.NoError(t, err)
		for {
			raw, rest, ok := Next(complete)
			if !ok {
				break
			}
			whole += string(raw)
			complete = rest
		}
		assert.Equal(t, len(complete), 0)
	}
	return whole, p.HasPartialEvent()
}

func TestParser(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
	t.Run("guards against an event that is split at the boundary of a read", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			at := rapid.IntRange(0, len(text)).Draw(t, "at")
			whole, open := split(t, text[:at], text[at:])
			if whole != text || open {
				t.Fatalf("cut at %d: %q", at, whole)
			}
		})
	})
	t.Run("guards against taking an incomplete event for a complete one", func(t *testing.T) {
		whole, open := split(t, "id: 1\ndata: a\n\nid: 2\nda")
		assert.Equal(t, whole, "id: 1\ndata: a\n\n")
		assert.True(t, open, "the incomplete event is not reported")
	})
}

func TestEndlessEvent(t *testing.T) {
	t.Run("guards against memory spent on an event without end", func(t *testing.T) {
		var p Parser
		part := []byte(strings.Repeat("x", 8<<10))
		for total := 0; total <= maxEventBytes; total += len(part) {
			p.Add(part)
			_, err := p.Complete()
			if total+len(part) <= maxEventBytes {
				assert.NoError(t, err)
			} else {
				assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
			}
		}
	})
	t.Run("guards against losing the events before one that is too large", func(t *testing.T) {
		var p Parser
		p.Add([]byte("data: a\n\n" + strings.Repeat("x", maxEventBytes+1)))
		raw, err := p.Complete()
		assert.Equal(t, string(raw), "data: a\n\n")
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
	})
	t.Run("guards against searching the beginning of an event again at each read", func(t *testing.T) {
		var p Parser
		start := time.Now()
		for range maxEventBytes / 16 {
			p.Add([]byte("data: 0123456789"))
			_, err := p.Complete()
			assert.NoError(t, err)
		}
		assert.True(t, time.Since(start) < 2*time.Second, "took %s", time.Since(start))
	})
}

func TestFields(t *testing.T) {
	t.Run("guards against data that loses a line or more than one leading space", func(t *testing.T) {
		id, data, ok := Fields([]byte("id: 7\ndata:  a\ndata:b\n: comment\n\n"))
		assert.True(t, ok, "no data")
		assert.Equal(t, id, "7")
		assert.Equal(t, string(data), " a\nb")
	})
	t.Run("guards against a comment that counts as an event", func(t *testing.T) {
		_, _, ok := Fields([]byte(": ping\n\n"))
		assert.True(t, !ok, "a comment has data")
	})
}
