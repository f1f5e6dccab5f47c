package plain

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/early"
)

func TestEarlyAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	upload := serviceCall("POST", "/u")
	upload.Body = make([]byte, 16<<20)
	t.Run("guards against taking an answer without length for whole whose connection was reset during the upload", func(t *testing.T) {
		for range 10 {
			server := zinniapond.Backend{Address: early.Start(t, func(c *net.TCPConn, _ io.Reader) {
				_, _ = io.WriteString(c, head+"par")
				time.Sleep(20 * time.Millisecond)
				_ = c.Close() // with bytes of the upload unread, which resets the connection
			})}
			answer, err := newClient().Do(t.Context(), "one", server, upload, nil)
			assert.True(t, err != nil, "answer %q", answer.Body)
		}
	})
	t.Run("guards against breaking off an early answer whose upload was read", func(t *testing.T) {
		server := zinniapond.Backend{Address: early.Start(t, func(c *net.TCPConn, rest io.Reader) {
			_, _ = io.WriteString(c, head+"whole")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		})}
		answer, err := newClient().Do(t.Context(), "one", server, upload, nil)
		assert.NoError(t, err)
		assert.Equal(t, string(answer.Body), "whole")
	})
	for _, status := range []string{"000", "099", "600"} {
		t.Run("guards against an answer whose status is no status: "+status, func(t *testing.T) {
			server := zinniapond.Backend{Address: early.Start(t, func(c *net.TCPConn, _ io.Reader) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Text\r\nContent-Length: 4\r\n\r\nbody", status)
			})}
			answer, err := newClient().Do(t.Context(), "one", server, serviceCall("GET", "/"), nil)
			assert.True(t, err != nil, "status %d", answer.Status)
		})
	}
}
