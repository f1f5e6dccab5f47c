package flow

import (
	"context"
	"errors"
	"testing"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

type textSink struct{ text string }

func (*textSink) Begin(int, []zinniapond.HeaderField) error { return nil }

func (s *textSink) Write(part []byte) error {
	s.text += string(part)
	return nil
}

func writeParts(t *testing.T, f *Buffer, parts ...string) {
	t.Helper()
	assert.NoError(t, f.Begin(200, nil))
	for _, p := range parts {
		assert.NoError(t, f.Write([]byte(p)))
	}
}

func TestRead(t *testing.T) {
	ctx := context.Background()
	t.Run("guards against repeating bytes that the reader has", func(t *testing.T) {
		var f Buffer
		writeParts(t, &f, "one ", "two")
		f.Finish(zinniapond.Answer{}, nil)
		var sink textSink
		_, err := f.Read(ctx, &sink, 4, xxhash.Sum64String("one "))
		assert.NoError(t, err)
		assert.Equal(t, sink.text, "two")
	})
	t.Run("guards against joining another answer to those bytes", func(t *testing.T) {
		var f Buffer
		writeParts(t, &f, "two ", "two")
		f.Finish(zinniapond.Answer{}, nil)
		_, err := f.Read(ctx, &textSink{}, 4, xxhash.Sum64String("one "))
		assert.ErrorIs(t, err, zinniapond.ErrOutcomeUnknown)
	})
	t.Run("guards against a shorter answer passing as a continuation", func(t *testing.T) {
		var f Buffer
		writeParts(t, &f, "one")
		f.Finish(zinniapond.Answer{}, nil)
		_, err := f.Read(ctx, &textSink{}, 4, xxhash.Sum64String("one "))
		assert.ErrorIs(t, err, zinniapond.ErrOutcomeUnknown)
	})
	t.Run("guards against losing the parts before an error", func(t *testing.T) {
		var f Buffer
		writeParts(t, &f, "one")
		failure := errors.New("broken")
		f.Finish(zinniapond.Answer{}, failure)
		var sink textSink
		_, err := f.Read(ctx, &sink, 0, 0)
		assert.ErrorIs(t, err, failure)
		assert.Equal(t, sink.text, "one")
	})
	t.Run("guards against an unnoticed departure of the last reader", func(t *testing.T) {
		var f Buffer
		abandoned := f.Abandoned()
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		_, err := f.Read(ctx, &textSink{}, 0, 0)
		assert.ErrorIs(t, err, context.Canceled)
		<-abandoned
		assert.Equal(t, f.Readers(), 0)
	})
}
