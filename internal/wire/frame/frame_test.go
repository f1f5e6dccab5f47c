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

// recordingSink is a Sink that records the parts and counts the calls of Begin.
type recordingSink struct {
	bytes.Buffer
	beginCount int
}

func (s *recordingSink) Begin(int, []zinniapond.HeaderField) error {
	s.beginCount++
	return nil
}

func (s *recordingSink) Write(part []byte) error {
	_, err := s.Buffer.Write(part)
	return err
}

func encodeFrames(t testing.TB, frames ...Frame) []byte {
	t.Helper()
	var buf []byte
	for i := range frames {
		var err error
		buf, err = frames[i].Append(buf)
		assert.NoError(t, err)
	}
	return buf
}

func readFrames(data []byte) (*recordingSink, zinniapond.Answer, bool, error) {
	var s recordingSink
	a, final, err := Read(bytes.NewReader(data), &s, func(bool) {})
	return &s, a, final, err
}

func TestRead(t *testing.T) {
	done := &zinniapond.Answer{Outcome: zinniapond.OutcomeDone, Status: 200}
	completeStream := []Frame{{}, {Kind: Begin, Status: 200}, {Kind: Part, Part: []byte("a")}, {}, {Kind: Part, Part: []byte("b")}, {Kind: End, Answer: done}}
	t.Run("guards against losing a part", func(t *testing.T) {
		s, a, final, err := readFrames(encodeFrames(t, completeStream...))
		assert.NoError(t, err)
		assert.True(t, final, "not final")
		assert.Equal(t, s.String(), "ab")
		assert.Equal(t, a, *done)
	})
	t.Run("guards against a cut answer passing for a whole one", func(t *testing.T) {
		data := encodeFrames(t, completeStream...)
		for n := range data {
			_, _, final, err := readFrames(data[:n])
			assert.True(t, !final && err != nil && !errors.Is(err, io.EOF), "cut at %d: final %v, error %v", n, final, err)
		}
	})
	t.Run("guards against frames out of sequence", func(t *testing.T) {
		for _, frames := range [][]Frame{{completeStream[2]}, {completeStream[1], completeStream[1]}, {{Kind: 9}}, {{Kind: End}}} {
			_, _, final, err := readFrames(encodeFrames(t, frames...))
			assert.True(t, !final, "final")
			assert.ErrorIs(t, err, errSequence)
		}
	})
	t.Run("guards against losing the owner's error", func(t *testing.T) {
		fault, err := codec.EncodeError(zinniapond.ErrBudgetExhausted)
		assert.NoError(t, err)
		_, _, final, err := readFrames(encodeFrames(t, Frame{Kind: End, Fault: fault}))
		assert.True(t, final, "not final")
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
	})
}

// FuzzRead guards against a panic on malicious input, against a stream that is
// neither final nor an error, and against Part frames before Begin or a second
// Begin.
func FuzzRead(f *testing.F) {
	f.Add(encodeFrames(f, Frame{}, Frame{Kind: Begin, Status: 200}, Frame{Kind: Part, Part: []byte("x")}, Frame{Kind: End, Answer: new(zinniapond.Answer)}))
	f.Add(encodeFrames(f, Frame{Kind: Part, Part: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _, final, err := readFrames(data)
		assert.True(t, final || err != nil, "neither final nor an error")
		assert.True(t, s.beginCount > 0 || s.Len() == 0, "parts before the beginning")
		assert.True(t, s.beginCount <= 1, "begun %d times", s.beginCount)
	})
}
