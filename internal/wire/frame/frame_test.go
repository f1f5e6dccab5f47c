package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// tape records what a sink gets.
type tape struct {
	bytes.Buffer
	begun int
}

func (s *tape) Begin(int, []zinniapond.Field) error {
	s.begun++
	return nil
}

func (s *tape) Write(part []byte) error {
	_, err := s.Buffer.Write(part)
	return err
}

func encode(t testing.TB, frames ...Frame) []byte {
	t.Helper()
	var buf []byte
	for i := range frames {
		var err error
		buf, err = frames[i].Append(buf)
		assert.NoError(t, err)
	}
	return buf
}

func read(data []byte) (*tape, zinniapond.Answer, bool, error) {
	var s tape
	a, final, err := Read(bytes.NewReader(data), &s, func(bool) {})
	return &s, a, final, err
}

func TestRead(t *testing.T) {
	done := &zinniapond.Answer{Outcome: zinniapond.OutcomeDone, Status: 200}
	whole := []Frame{{}, {Kind: Begin, Status: 200}, {Kind: Part, Part: []byte("a")}, {}, {Kind: Part, Part: []byte("b")}, {Kind: End, Answer: done}}
	t.Run("guards against losing a part", func(t *testing.T) {
		s, a, final, err := read(encode(t, whole...))
		assert.NoError(t, err)
		assert.True(t, final, "not final")
		assert.Equal(t, s.String(), "ab")
		assert.Equal(t, a, *done)
	})
	t.Run("guards against a cut answer passing for a whole one", func(t *testing.T) {
		data := encode(t, whole...)
		for n := range data {
			_, _, final, err := read(data[:n])
			assert.True(t, !final && err != nil && !errors.Is(err, io.EOF), "cut at %d: final %v, error %v", n, final, err)
		}
	})
	t.Run("guards against frames out of sequence", func(t *testing.T) {
		for _, frames := range [][]Frame{{whole[2]}, {whole[1], whole[1]}, {{Kind: 9}}, {{Kind: End}}} {
			_, _, final, err := read(encode(t, frames...))
			assert.True(t, !final, "final")
			assert.ErrorIs(t, err, errSequence)
		}
	})
	t.Run("guards against losing the owner's error", func(t *testing.T) {
		fault, err := codec.EncodeError(zinniapond.ErrBudget)
		assert.NoError(t, err)
		_, _, final, err := read(encode(t, Frame{Kind: End, Fault: fault}))
		assert.True(t, final, "not final")
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
	})
}

// FuzzRead guards against a panic on hostile frames, and against an answer that
// is final without an end frame or gives parts before its beginning.
func FuzzRead(f *testing.F) {
	f.Add(encode(f, Frame{}, Frame{Kind: Begin, Status: 200}, Frame{Kind: Part, Part: []byte("x")}, Frame{Kind: End, Answer: new(zinniapond.Answer)}))
	f.Add(encode(f, Frame{Kind: Part, Part: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _, final, err := read(data)
		assert.True(t, final || err != nil, "neither final nor an error")
		assert.True(t, s.begun > 0 || s.Len() == 0, "parts before the beginning")
		assert.True(t, s.begun <= 1, "begun %d times", s.begun)
	})
}
