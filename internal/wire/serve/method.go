package serve

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// method is a mounted method as net/rpc sees it: one exported method, whose
// reply carries either the reply or the typed error.
type method struct {
	call    reflect.Value
	request reflect.Type
	reply   reflect.Type // without the pointer
	limit   int
}

var errorType = reflect.TypeFor[error]()

// methodsOf returns the methods of the form func(Request, *Reply) error.
func methodsOf(receiver any, limit int) map[string]*method {
	found := make(map[string]*method)
	v := reflect.ValueOf(receiver)
	for i := range v.NumMethod() {
		t := v.Method(i).Type()
		if t.NumIn() != 2 || t.NumOut() != 1 || t.Out(0) != errorType || t.In(1).Kind() != reflect.Pointer {
			continue
		}
		found[v.Type().Method(i).Name] = &method{
			call: v.Method(i), request: t.In(0), reply: t.In(1).Elem(), limit: limit,
		}
	}
	return found
}

// Call decodes the request, runs the method and seals its result. Its own error
// is for requests that do not decode.
func (m *method) Call(request cbor.RawMessage, sealed *cbor.RawMessage) error {
	in := reflect.New(m.request)
	if err := codec.Unmarshal(request, in.Interface()); err != nil {
		return m.seal(sealed, nil, fmt.Errorf("decode request: %w: %w", zinniapond.ErrMalformed, err))
	}
	out := reflect.New(m.reply)
	err, _ := m.call.Call([]reflect.Value{in.Elem(), out})[0].Interface().(error)
	return m.seal(sealed, out.Interface(), err)
}

func (m *method) seal(sealed *cbor.RawMessage, reply any, failure error) error {
	data, err := codec.Seal(reply, failure)
	if err == nil && len(data)+64 > m.limit {
		data, err = codec.Seal(nil, fmt.Errorf("reply of %d bytes, limit %d: %w", len(data), m.limit, zinniapond.ErrTooLarge))
	}
	*sealed = data
	return err
}
