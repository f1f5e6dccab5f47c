package links

import (
	"errors"
	"net"
	"syscall"
)

// receivedNothing reports whether nothing has arrived on an idle connection:
// neither its close by the peer nor bytes that belong to no request. It peeks at
// the socket without blocking.
func (l *connection) receivedNothing() bool {
	c, ok := l.Conn.(*net.TCPConn)
	if !ok || l.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isEmpty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && isEmpty
}
