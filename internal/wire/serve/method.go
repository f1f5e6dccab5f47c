package serve

import (
	"context"
	"fmt"
	"reflect"
	"runtime/debug"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/result"
)

// method is the net/rpc receiver of one mounted method. Its only exported method
// is Call, whose reply is the envelope of the mounted method's reply or typed
// error.
type method struct {
	function      reflect.Value
	requestType   reflect.Type
	replyType     reflect.Type // the type that the second parameter points to
	maxReplyBytes int
	bulk          *semaphore.Weighted // bytes of the large replies that may be encoded
	logger        hclog.Logger
}

const (
	// minBulkBytes is the size from which a reply counts as large.
	minBulkBytes = 32 << 10
	// maxBulkBytes bounds the large replies that are being encoded and sent, without
	// copies. A record with a configuration of 170 KB that went to 295 hosts at the
	// same time took more than 200 MB. With 1 MB in 200 ms a configuration of 1,400 routes
	// was not in force at 51 hosts within 2.5 s; 160 MB/s are more than a link of 1 Gbit/s.
	maxBulkBytes = 4 << 20
	// maxBulkWait bounds the wait of a large reply for others, after which it is sent
	// without its content. A caller that gives up while its reply waits would ask again
	// and make the others wait longer; observers of the control log wait for 0.6 s at
	// least after a new record.
	maxBulkWait = 400 * time.Millisecond
	// maxBulkTime is the time after which a reply no longer counts although it has not
	// been sent: hosts that do not read must not hold up the others.
	maxBulkTime = 25 * time.Millisecond
)

var errorType = reflect.TypeFor[error]()

// findMethods returns the receiver's methods of the form
// func(Request, *Reply) error by their names.
func findMethods(receiver any, maxReplyBytes int, bulk *semaphore.Weighted, logger hclog.Logger) map[string]*method {
	methods := make(map[string]*method)
	v := reflect.ValueOf(receiver)
	for i := range v.NumMethod() {
		t := v.Method(i).Type()
		if t.NumIn() != 2 || t.NumOut() != 1 || t.Out(0) != errorType || t.In(1).Kind() != reflect.Pointer {
			continue
		}
		methods[v.Type().Method(i).Name] = &method{
			function: v.Method(i), requestType: t.In(0), replyType: t.In(1).Elem(), maxReplyBytes: maxReplyBytes, bulk: bulk, logger: logger,
		}
	}
	return methods
}

// Call decodes the request, runs the method and encodes its reply or error into
// envelope. It returns an error only if the envelope cannot be encoded.
func (m *method) Call(request cbor.RawMessage, envelope *result.Envelope) error {
	argument := reflect.New(m.requestType)
	if err := codec.Unmarshal(request, argument.Interface()); err != nil {
		return m.encodeResult(envelope, nil, fmt.Errorf("decode request: %w: %w", zinniapond.ErrMalformed, err))
	}
	reply := reflect.New(m.replyType)
	failure := m.run(argument.Elem(), reply)
	if r, ok := reply.Interface().(zinniapond.BulkReply); ok && failure == nil && r.Bulk() >= minBulkBytes {
		envelope.Written = m.acquireBulk(r)
	}
	return m.encodeResult(envelope, reply.Interface(), failure)
}

// acquireBulk waits until a large reply may be encoded, and returns the function to call
// once it has been sent. After maxBulkWait it shrinks the reply and returns nil.
func (m *method) acquireBulk(reply zinniapond.BulkReply) (release func()) {
	size := int64(min(reply.Bulk(), maxBulkBytes))
	ctx, cancel := context.WithTimeout(context.Background(), maxBulkWait)
	defer cancel()
	if m.bulk.Acquire(ctx, size) != nil {
		reply.Shrink()
		return nil
	}
	release = sync.OnceFunc(func() { m.bulk.Release(size) })
	time.AfterFunc(maxBulkTime, release)
	return release
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

func (m *method) encodeResult(envelope *result.Envelope, reply any, failure error) error {
	data, err := codec.EncodeResult(reply, failure)
	if err == nil && len(data)+64 > m.maxReplyBytes {
		data, err = codec.EncodeResult(nil, fmt.Errorf("reply of %d bytes, limit %d: %w", len(data), m.maxReplyBytes, zinniapond.ErrTooLarge))
	}
	envelope.Data = data
	return err
}
