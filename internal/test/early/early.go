// Package early has a server that answers requests before it has read their bodies.
package early

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// Start starts a server that calls respond once it has the header of a request. rest has
// the bytes after the header. The connection is closed after respond, and the server ends
// with the test.
func Start(t testing.TB, respond func(c *net.TCPConn, rest io.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				if _, err := http.ReadRequest(r); err == nil {
					respond(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}
