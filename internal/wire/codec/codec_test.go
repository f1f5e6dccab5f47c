package codec

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestMarshal(t *testing.T) {
	t.Run("guards against losing parts of a message", func(t *testing.T) {
		want := zinniapond.Record{
			Kind: zinniapond.RecordResult, Program: "p", At: time.Unix(1, 23456789).UTC(),
			Answer: &zinniapond.Answer{
				Call: "c", Outcome: zinniapond.OutcomeDone, Status: 200, Body: []byte{0, 1},
				Backend: netip.MustParseAddrPort("[fd00::1]:8080"), QueueTime: 3 * time.Microsecond,
				Attempts: []zinniapond.Attempt{{ID: "a", StartedAt: time.Unix(2, 1).UTC()}},
			},
		}
		data, err := Marshal(want)
		assert.NoError(t, err)
		var got zinniapond.Record
		assert.NoError(t, Unmarshal(data, &got))
		assert.Equal(t, got, want)
	})
}

func TestErrors(t *testing.T) {
	peer := netip.MustParseAddrPort("127.0.0.1:9")
	for name, s := range sentinels {
		t.Run("guards against losing the type of "+name, func(t *testing.T) {
			encoded, err := EncodeResult(nil, fmt.Errorf("step: %w", s))
			assert.NoError(t, err)
			got := DecodeResult(encoded, nil)
			assert.ErrorIs(t, got, s)
			assert.Equal(t, got.Error(), "step: "+s.Error())
		})
	}
	t.Run("guards against losing the detail of an error", func(t *testing.T) {
		sent := &zinniapond.Error{
			Step: "reserve", Peer: peer, Host: "nord", Hint: "wait", RetryAfter: time.Second, Err: zinniapond.ErrBudgetExhausted,
		}
		data, err := EncodeError(fmt.Errorf("run call: %w", sent))
		assert.NoError(t, err)
		got := DecodeError(data)
		assert.ErrorIs(t, got, zinniapond.ErrBudgetExhausted)
		var detail *zinniapond.Error
		assert.True(t, errors.As(got, &detail), "no detail in %v", got)
		assert.Equal(t, []any{detail.Step, detail.Peer.String(), detail.Host, detail.Hint, detail.RetryAfter},
			[]any{"reserve", peer.String(), zinniapond.HostName("nord"), "wait", time.Second})
	})
	t.Run("guards against taking a peer's failed dial for a request that was not sent", func(t *testing.T) {
		data, err := EncodeError(fmt.Errorf("%w: refused", zinniapond.ErrNotSent))
		assert.NoError(t, err)
		got := DecodeError(data)
		assert.True(t, !errors.Is(got, zinniapond.ErrNotSent), "ErrNotSent crossed the wire")
	})
	t.Run("guards against a sentinel error of the root package without a code", func(t *testing.T) {
		text, err := os.ReadFile("../../../errors.go")
		assert.NoError(t, err)
		assert.Equal(t, len(sentinels)+1, strings.Count(string(text), "= errors.New("))
	})
}

func TestFrames(t *testing.T) {
	t.Run("guards against allocating memory for bytes that never arrive", func(t *testing.T) {
		frame := []byte{0, 255, 255, 255, 1, 2, 3}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := ReadFrame(bytes.NewReader(frame), 1<<24, nil)
		runtime.ReadMemStats(&after)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.True(t, allocated < 1<<20, "%d bytes allocated for 3", allocated)
	})
	t.Run("guards against a frame above the limit", func(t *testing.T) {
		_, err := ReadFrame(bytes.NewReader([]byte{0, 0, 1, 0}), 255, nil)
		assert.ErrorIs(t, err, zinniapond.ErrTooLarge)
		_, err = AppendFrame(nil, 10, "more than ten bytes")
		assert.ErrorIs(t, err, zinniapond.ErrTooLarge)
	})
	t.Run("guards against a cut frame passing for the end of the stream", func(t *testing.T) {
		_, err := ReadFrame(bytes.NewReader([]byte{0, 0, 0, 2, 1}), 255, nil)
		assert.True(t, !errors.Is(err, io.EOF), "got %v", err)
	})
}

// connectTCP returns the client's and the server's end of a TCP connection.
func connectTCP(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer l.Close()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	assert.NoError(t, err)
	serverConn, err := l.Accept()
	assert.NoError(t, err)
	t.Cleanup(func() {
		clientConn.Close()
		serverConn.Close()
	})
	return clientConn, serverConn
}

func TestCodec(t *testing.T) {
	const heartbeatInterval, silenceTimeout = 20 * time.Millisecond, 400 * time.Millisecond
	t.Run("guards against an idle connection being taken for a silent one", func(t *testing.T) {
		clientConn, serverConn := connectTCP(t)
		a, b := New(clientConn, 0, heartbeatInterval, silenceTimeout), New(serverConn, 0, heartbeatInterval, silenceTimeout)
		defer func() { _ = a.Close() }()
		defer func() { _ = b.Close() }()
		go func() { _ = a.ReadResponseHeader(new(rpc.Response)) }()
		read := make(chan error, 1)
		go func() {
			var r rpc.Request
			read <- b.ReadRequestHeader(&r)
		}()
		select {
		case err := <-read:
			t.Fatalf("connection ended: %v", err)
		case <-time.After(2 * silenceTimeout):
		}
		assert.NoError(t, a.WriteRequest(&rpc.Request{ServiceMethod: "m", Seq: 1}, "body"))
		assert.NoError(t, <-read)
		var body string
		assert.NoError(t, b.ReadRequestBody(&body))
		assert.Equal(t, body, "body")
	})
	t.Run("guards against waiting for ever on a silent connection", func(t *testing.T) {
		clientConn, _ := connectTCP(t)
		a := New(clientConn, 0, heartbeatInterval, silenceTimeout)
		err := a.ReadResponseHeader(new(rpc.Response))
		assert.Contains(t, err.Error(), "silent")
		<-a.Done()
	})
	// sendSlowly sends a message of 20 KB in parts, one each interval, and returns what
	// reading it returns.
	sendSlowly := func(t *testing.T, part int, interval time.Duration) error {
		t.Helper()
		clientConn, serverConn := connectTCP(t)
		message := new(frameBuffer)
		assert.NoError(t, message.build(DefaultMaxMessageBytes, nil, header{Seq: 1, Text: "m"}, make([]byte, 20<<10)))
		go func() {
			for rest := message.bytes(); len(rest) > 0; rest = rest[min(part, len(rest)):] {
				if _, err := clientConn.Write(rest[:min(part, len(rest))]); err != nil {
					return
				}
				time.Sleep(interval)
			}
		}()
		b := New(serverConn, 0, time.Hour, silenceTimeout)
		defer time.AfterFunc(10*silenceTimeout, func() { _ = b.Close() }).Stop()
		defer func() { _ = b.Close() }()
		return b.ReadRequestHeader(new(rpc.Request))
	}
	t.Run("guards against waiting for a message of which a byte arrives now and then", func(t *testing.T) {
		begun := time.Now()
		err := sendSlowly(t, 1, 20*time.Millisecond)
		assert.True(t, err != nil, "a message of %s is read", time.Since(begun))
		assert.True(t, time.Since(begun) < 4*silenceTimeout, "given up after %s", time.Since(begun))
	})
	t.Run("guards against cutting a message that arrives slowly", func(t *testing.T) {
		assert.NoError(t, sendSlowly(t, 1<<10, silenceTimeout/4))
	})
	t.Run("guards against a writer blocked by a peer that does not read", func(t *testing.T) {
		clientConn, _ := connectTCP(t)
		a := New(clientConn, 0, time.Hour, silenceTimeout)
		err := a.WriteRequest(&rpc.Request{Seq: 1}, make([]byte, 30<<20))
		assert.True(t, err != nil, "30 MiB written to a peer that does not read")
		<-a.Done()
	})
	t.Run("guards against a reply above the limit leaving its caller without answer", func(t *testing.T) {
		clientConn, serverConn := connectTCP(t)
		a, b := New(clientConn, 1000, heartbeatInterval, silenceTimeout), New(serverConn, 1000, heartbeatInterval, silenceTimeout)
		defer func() { _ = a.Close() }()
		defer func() { _ = b.Close() }()
		assert.NoError(t, b.WriteResponse(&rpc.Response{Seq: 7}, make([]byte, 2000)))
		var r rpc.Response
		assert.NoError(t, a.ReadResponseHeader(&r))
		assert.Equal(t, r.Seq, 7)
		assert.Contains(t, r.Error, "limit 1000")
	})
	t.Run("guards against a large response that is cut or mixed with heartbeats, or that counts for ever", func(t *testing.T) {
		clientConn, serverConn := connectTCP(t)
		a, b := New(clientConn, 1<<20, time.Millisecond, silenceTimeout), New(serverConn, 1<<20, time.Millisecond, silenceTimeout)
		defer func() { _ = a.Close() }()
		defer func() { _ = b.Close() }()
		for i, size := range []int{100, chunkBytes, chunkBytes + 1, 10 * chunkBytes, 20 * chunkBytes} {
			want := bytes.Repeat([]byte{byte(i + 1)}, size)
			data, err := Marshal(want)
			assert.NoError(t, err)
			written := make(chan struct{})
			go func() {
				_ = b.WriteResponse(&rpc.Response{Seq: uint64(i)}, &result.Envelope{Data: data, Written: func() { close(written) }})
			}()
			var r rpc.Response
			assert.NoError(t, a.ReadResponseHeader(&r))
			assert.Equal(t, r.Seq, uint64(i))
			<-written
			if size > 1<<20-10 { // above the limit
				assert.Contains(t, r.Error, "limit")
				assert.NoError(t, a.ReadResponseBody(nil))
				continue
			}
			var got []byte
			assert.NoError(t, a.ReadResponseBody(&got))
			assert.True(t, bytes.Equal(got, want), "a body of %d bytes differs", size)
		}
	})
}

func TestCopies(t *testing.T) {
	t.Run("guards against a late second copy of a response that another caller gets", func(t *testing.T) {
		clientConn, serverConn := connectTCP(t)
		server := New(serverConn, 0, 0, 0)
		defer func() { _ = server.Close() }()
		go func() {
			var last *rpc.Response
			for {
				var r rpc.Request
				var body string
				if server.ReadRequestHeader(&r) != nil || server.ReadRequestBody(&body) != nil {
					return
				}
				if last != nil {
					_ = server.WriteResponse(last, "copy")
				}
				last = &rpc.Response{Seq: r.Seq}
				_ = server.WriteResponse(last, "answer to "+body)
			}
		}()
		client := rpc.NewClientWithCodec(New(clientConn, 0, 0, 0))
		defer func() { _ = client.Close() }()
		for _, request := range []string{"one", "two", "three"} {
			var reply string
			var raw cbor.RawMessage
			assert.NoError(t, client.Call("m", request, &raw))
			assert.NoError(t, cbor.Unmarshal(raw, &reply))
			assert.Equal(t, reply, "answer to "+request)
		}
	})
}
