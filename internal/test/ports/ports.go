// Package ports reserves TCP ports for tests that start hosts at known addresses
// and restart them there.
package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
)

// lowestPort is the first port that may be reserved. Common services use the ports
// below it.
const lowestPort = 10000

// loopback is the address of the guards, and of Range.Address.
var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// candidates has the ports that may be reserved, and the position at which the next
// search begins. Ports are used in turn, so that a port is not reserved again while
// connections of the test that had it before may still be open.
var candidates struct {
	sync.Mutex
	low, high int // both inclusive; 0 before the first reservation
	next      int
}

// Range is a number of consecutive ports that are reserved until the end of a test.
// The system does not use them as source ports of connections, and no other test
// process that reserves its ports with this package gets them. They can be listened
// on at any loopback address, also repeatedly.
type Range struct {
	first, count int
	// guards has a UDP socket for each port. It marks a port as reserved for other
	// test processes, and the system frees it also when the process is killed. The
	// tests use the ports for TCP only.
	guards []net.PacketConn
}

// Reserve reserves a number of consecutive ports until the end of the test.
func Reserve(t testing.TB, count int) *Range {
	t.Helper()
	r, err := reserve(count)
	if err != nil {
		t.Fatalf("reserve %d ports: %v", count, err)
	}
	t.Cleanup(r.release)
	return r
}

// Port returns the port at an offset.
func (r *Range) Port(offset int) uint16 {
	if offset < 0 || offset >= r.count {
		panic(fmt.Sprintf("port %d of %d", offset, r.count))
	}
	return uint16(r.first + offset)
}

// Address returns the address of 127.0.0.1 with the port at an offset.
func (r *Range) Address(offset int) netip.AddrPort {
	return netip.AddrPortFrom(loopback, r.Port(offset))
}

func (r *Range) release() {
	for _, g := range r.guards {
		_ = g.Close() // a UDP socket without data to send
	}
}

func reserve(count int) (*Range, error) {
	candidates.Lock()
	defer candidates.Unlock()
	if candidates.low == 0 {
		low, high := readEphemeralRange()
		candidates.low, candidates.high = outside(low, high)
		// Concurrent test processes begin at different ports and rarely meet.
		candidates.next = candidates.low + os.Getpid()*97%(candidates.high-candidates.low)
	}
	var last error
	for tried := 0; tried <= candidates.high-candidates.low; tried += count {
		if candidates.next+count-1 > candidates.high {
			candidates.next = candidates.low
		}
		r := &Range{first: candidates.next, count: count}
		candidates.next += count
		if last = r.guard(); last == nil {
			return r, nil
		}
		r.release()
	}
	return nil, fmt.Errorf("no free ports from %d to %d: %w", candidates.low, candidates.high, last)
}

// guard opens the guards and checks that no process listens on the ports. The guard
// comes first: once it is open, no other test process checks or uses the port.
func (r *Range) guard() error {
	for offset := range r.count {
		g, err := net.ListenPacket("udp4", r.Address(offset).String())
		if err != nil {
			return err
		}
		r.guards = append(r.guards, g)
		l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", r.Port(offset)))
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// readEphemeralRange returns the first and the last port that the system uses as
// source ports and for listeners without a port.
func readEphemeralRange() (low, high int) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err == nil {
		if _, err = fmt.Sscan(string(text), &low, &high); err == nil {
			return low, high
		}
	}
	return 49152, 65535 // the range of RFC 6335, which systems without this file use
}

// outside returns the larger range of ports above lowestPort that has no ephemeral
// port. If the ephemeral ports leave none, it returns their lower half: such a
// system has no better ports.
func outside(low, high int) (first, last int) {
	below, above := low-lowestPort, 65535-high
	switch {
	case below <= 0 && above <= 0:
		return max(low, lowestPort), (low + high) / 2
	case below >= above:
		return lowestPort, low - 1
	default:
		return high + 1, 65535
	}
}
