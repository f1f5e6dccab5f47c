package links

import (
	"errors"
	"net"
	"syscall"
)

// silent tells whether nothing has come on an idle connection: neither its end
// nor bytes that belong to no request.
func (l *link) silent() bool {
	c, ok := l.Conn.(*net.TCPConn)
	if !ok || l.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
