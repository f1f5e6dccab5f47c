package serve

import (
	"fmt"
	"reflect"
	"runtime/debug"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// method is the net/rpc receiver of one mounted method. Its only exported method
// is Call, whose reply is the envelope of the mounted method's reply or typed
// error.
type method struct {
	function      reflect.Value
	requestType   reflect.Type
	replyType     reflect.Type // the type that the second parameter points to
	maxReplyBytes int
	logger        hclog.Logger
}

var errorType = reflect.TypeFor[error]()

// findMethods returns the receiver's methods of the form
// func(Request, *Reply) error by their names.
func findMethods(receiver any, maxReplyBytes int, logger hclog.Logger) map[string]*method {
	methods := make(map[string]*method)
	v := reflect.ValueOf(receiver)
	for i := range v.NumMethod() {
		t := v.Method(i).Type()
		if t.NumIn() != 2 || t.NumOut() != 1 || t.Out(0) != errorType || t.In(1).Kind() != reflect.Pointer {
			continue
		}
		methods[v.Type().Method(i).Name] = &method{
			function: v.Method(i), requestType: t.In(0), replyType: t.In(1).Elem(), maxReplyBytes: maxReplyBytes, logger: logger,
		}
	}
	return methods
}

// Call decodes the request, runs the method and encodes its reply or error into
// envelope. It returns an error only if the envelope cannot be encoded.
func (m *method) Call(request cbor.RawMessage, envelope *cbor.RawMessage) error {
	argument := reflect.New(m.requestType)
	if err := codec.Unmarshal(request, argument.Interface()); err != nil {
		return m.encodeResult(envelope, nil, fmt.Errorf("decode request: %w: %w", zinniapond.ErrMalformed, err))
	}
	reply := reflect.New(m.replyType)
	return m.encodeResult(envelope, reply.Interface(), m.run(argument.Elem(), reply))
}

// run runs the method. A panic ends this call only, with an error.
func (m *method) run(argument, reply reflect.Value) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			m.logger.Error("call panicked", "request", m.requestType.String(), "cause", cause, "stack", string(debug.Stack()))
			err = fmt.Errorf("panic in %s: %v", m.requestType, cause)
		}
	}()
	err, _ = m.function.Call([]reflect.Value{argument, reply})[0].Interface().(error)
	return err
}

func (m *method) encodeResult(envelope *cbor.RawMessage, reply any, failure error) error {
	data, err := codec.EncodeResult(reply, failure)
	if err == nil && len(data)+64 > m.maxReplyBytes {
		data, err = codec.EncodeResult(nil, fmt.Errorf("reply of %d bytes, limit %d: %w", len(data), m.maxReplyBytes, zinniapond.ErrTooLarge))
	}
	*envelope = data
	return err
}
