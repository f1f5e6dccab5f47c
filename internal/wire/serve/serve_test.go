package serve

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/result"
)

// receiver has a method that panics for one argument.
type receiver struct{}

func (receiver) Ask(request string, reply *string) error {
	if request == "bad" {
		panic("unexpected value")
	}
	*reply = "answer to " + request
	return nil
}

// call calls a method as net/rpc does, and returns its reply.
func call(t *testing.T, m *method, request string) (string, error) {
	t.Helper()
	data, err := codec.Marshal(request)
	assert.NoError(t, err)
	var envelope result.Envelope
	assert.NoError(t, m.Call(data, &envelope))
	var reply string
	err = codec.DecodeResult(envelope.Data, &reply)
	return reply, err
}

func TestPanic(t *testing.T) {
	s := New(nil, netip.AddrPort{}, hclog.NewNullLogger())
	m := findMethods(receiver{}, s.MaxMessageBytes, s.bulk, s.Logger)["Ask"]
	t.Run("guards against one call that takes the process down", func(t *testing.T) {
		_, err := call(t, m, "bad")
		assert.True(t, err != nil && strings.Contains(err.Error(), "panic"), "error %v", err)
	})
	t.Run("guards against a call that fails after another one panicked", func(t *testing.T) {
		reply, err := call(t, m, "good")
		assert.NoError(t, err)
		assert.Equal(t, reply, "answer to good")
	})
}
