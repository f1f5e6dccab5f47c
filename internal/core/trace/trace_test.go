package trace

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestStartSpan(t *testing.T) {
	t.Run("guards against a failed or changed trace when tracing is off", func(t *testing.T) {
		tracer, err := New(context.Background(), &zinniapond.Settings{})
		assert.NoError(t, err)
		call := zinniapond.Call{Traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
		_, span := StartSpan(context.Background(), tracer, "relay", &call)
		EndSpan(span, errors.New("failed"))
		assert.Contains(t, call.Traceparent, "0af7651916cd43dd8448eb211c80319c")
		assert.NoError(t, tracer.Stop(context.Background()))
	})
	t.Run("guards against the steps of one call having different trace ids", func(t *testing.T) {
		file := filepath.Join(t.TempDir(), "spans")
		tracer, err := New(context.Background(), &zinniapond.Settings{Trace: zinniapond.TraceSettings{File: file}})
		assert.NoError(t, err)
		var call zinniapond.Call
		_, relay := StartSpan(context.Background(), tracer, "relay", &call)
		_, owner := StartSpan(context.Background(), tracer, "owner", &call) // on another host
		EndSpan(owner, nil)
		EndSpan(relay, nil)
		assert.NoError(t, tracer.Stop(context.Background()))
		text, err := os.ReadFile(file)
		assert.NoError(t, err)
		var spans [2]struct {
			Name        string
			SpanContext struct{ TraceID, SpanID string }
			Parent      struct{ SpanID string }
		}
		decoder := json.NewDecoder(strings.NewReader(string(text)))
		for i := range spans {
			assert.NoError(t, decoder.Decode(&spans[i]))
		}
		assert.Equal(t, []string{spans[0].Name, spans[1].Name}, []string{"owner", "relay"})
		assert.Equal(t, spans[0].SpanContext.TraceID, spans[1].SpanContext.TraceID)
		assert.Equal(t, spans[0].Parent.SpanID, spans[1].SpanContext.SpanID)
	})
}
