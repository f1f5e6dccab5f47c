package events

import (
	"testing"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// split passes text in the given parts and returns the complete events, and whether
// an incomplete event is left.
func split(parts ...string) (whole string, open bool) {
	var p Parser
	for _, part := range parts {
		data := p.Add([]byte(part))
		for {
			raw, rest, ok := Next(data)
			if !ok {
				break
			}
			whole += string(raw)
			data = rest
		}
		p.SetRemainder(append([]byte(nil), data...))
	}
	return whole, p.HasPartialEvent()
}

func TestParser(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
	t.Run("guards against an event that is split at the boundary of a read", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			at := rapid.IntRange(0, len(text)).Draw(t, "at")
			whole, open := split(text[:at], text[at:])
			if whole != text || open {
				t.Fatalf("cut at %d: %q", at, whole)
			}
		})
	})
	t.Run("guards against taking an incomplete event for a complete one", func(t *testing.T) {
		whole, open := split("id: 1\ndata: a\n\nid: 2\nda")
		assert.Equal(t, whole, "id: 1\ndata: a\n\n")
		assert.True(t, open, "the incomplete event is not reported")
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
