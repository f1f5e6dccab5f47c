package codec

import (
	"bytes"
	"net/netip"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// FuzzFrame guards against a panic or unbounded memory on malicious input, and
// against a header that changes when it is encoded again.
func FuzzFrame(f *testing.F) {
	seed, err := AppendFrame(nil, 1<<16, header{Seq: 1, Text: "Control.Fetch.Call"})
	assert.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data), 1<<16, nil)
		if err != nil {
			return
		}
		assert.True(t, len(frame) <= len(data), "frame of %d bytes out of %d", len(frame), len(data))
		var h header
		rest, err := decodingMode.UnmarshalFirst(frame, &h)
		if err != nil {
			return
		}
		var call zinniapond.Call
		_ = Unmarshal(rest, &call)
		reencoded, err := AppendFrame(nil, 1<<20, h)
		assert.NoError(t, err)
		var decoded header
		assert.NoError(t, Unmarshal(reencoded[lengthBytes:], &decoded))
		assert.Equal(t, decoded, h)
	})
}

// FuzzError guards against a panic on a malicious encoded error and against one
// that decodes to nil.
func FuzzError(f *testing.F) {
	seed, err := EncodeError(zinniapond.Wrap("step", netip.MustParseAddrPort("[::1]:1"), zinniapond.ErrFenced))
	assert.NoError(f, err)
	f.Add([]byte(seed))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		got := DecodeError(data)
		assert.True(t, got != nil, "%x decodes to no error", data)
		_ = got.Error()
		_ = DecodeResult(data, new(any))
	})
}
