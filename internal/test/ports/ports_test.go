package ports

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// childVariable makes the test binary a second test process: it reserves ports, prints
// the first one, and waits until its standard input is closed.
const childVariable = "ZINNIAPOND_TEST_PORTS_START"

func TestMain(m *testing.M) {
	if text := os.Getenv(childVariable); text != "" {
		start, _ := strconv.Atoi(text)
		candidates.low, candidates.high = outside(readEphemeralRange())
		candidates.next = start
		r, err := reserve(4)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(r.first)
		_, _ = os.Stdin.Read(make([]byte, 1))
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func assertCanListen(t *testing.T, ip string, port uint16) {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	assert.NoError(t, err)
	assert.NoError(t, l.Close())
}

// startSearchAt makes the next search begin at a port.
func startSearchAt(port int) {
	candidates.Lock()
	defer candidates.Unlock()
	candidates.next = port
}

func TestReserve(t *testing.T) {
	t.Run("guards against ports that the system uses for connections", func(t *testing.T) {
		low, high := readEphemeralRange()
		for range 200 {
			r, err := reserve(5)
			assert.NoError(t, err)
			r.release()
			assert.True(t, r.first+4 < low || r.first > high, "port %d is in %d to %d", r.first, low, high)
		}
	})
	t.Run("guards against a host that cannot listen at its reserved ports again", func(t *testing.T) {
		r := Reserve(t, 2)
		for range 2 {
			assertCanListen(t, "127.0.0.1", r.Port(0))
			assertCanListen(t, "127.1.0.22", r.Port(1))
		}
	})
	t.Run("guards against ports on which another address is in use", func(t *testing.T) {
		r := Reserve(t, 1)
		l, err := net.Listen("tcp", fmt.Sprintf("127.1.0.22:%d", r.Port(0)))
		assert.NoError(t, err)
		defer func() { _ = l.Close() }()
		r.release()
		startSearchAt(r.first - 1)
		other := Reserve(t, 3)
		assert.True(t, other.first > r.first || other.first+2 < r.first, "port %d is reserved", r.first)
	})
	t.Run("guards against two tests of a process with the same ports", func(t *testing.T) {
		r := Reserve(t, 3)
		startSearchAt(r.first)
		other := Reserve(t, 3)
		assert.True(t, other.first > r.first+2 || other.first+2 < r.first, "%d and %d", r.first, other.first)
	})
	t.Run("guards against two test processes with the same ports, also before they are used", func(t *testing.T) {
		r := Reserve(t, 4)
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), fmt.Sprintf("%s=%d", childVariable, r.first))
		in, err := child.StdinPipe()
		assert.NoError(t, err)
		out, err := child.StdoutPipe()
		assert.NoError(t, err)
		assert.NoError(t, child.Start())
		line, err := bufio.NewReader(out).ReadString('\n')
		assert.NoError(t, err)
		first, err := strconv.Atoi(line[:len(line)-1])
		assert.NoError(t, err)
		assert.True(t, first > r.first+3 || first+3 < r.first, "the other process has %d, this one %d", first, r.first)
		// The ports of a process that has ended are free, whatever ended it.
		assert.NoError(t, child.Process.Kill())
		_ = in.Close()
		_ = child.Wait() // killed
		startSearchAt(first)
		assert.Equal(t, Reserve(t, 4).first, first)
	})
	t.Run("guards against a wrong choice of ports on systems with other ranges", func(t *testing.T) {
		for _, c := range []struct{ low, high, first, last int }{
			{32768, 60999, 10000, 32767},
			{49152, 65535, 10000, 49151},
			{1024, 40000, 40001, 65535},
			{10000, 65535, 10000, 37767},
			{1024, 65535, 10000, 33279},
		} {
			first, last := outside(c.low, c.high)
			assert.Equal(t, [2]int{first, last}, [2]int{c.first, c.last})
		}
	})
}
