package ahead

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const eventBytes = 200

// eventSource sends one event with each read.
type eventSource struct {
	event []byte
	left  int
}

func (e *eventSource) Read(part []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	e.left--
	return copy(part, e.event), nil
}

// connResponder writes to a connection.
type connResponder struct {
	zinniapond.Responder
	conn net.Conn
}

func (c *connResponder) Write(part []byte) error {
	_, err := c.conn.Write(part)
	return err
}

// discard is a responder that takes all parts at once.
type discard struct{ zinniapond.Responder }

func (discard) Write([]byte) error { return nil }

// copyEvents reads and writes in turn.
func copyEvents(read func([]byte) (int, error), write func([]byte) error) {
	part := make([]byte, 8<<10)
	for {
		n, err := read(part)
		if n > 0 {
			if write(part[:n]) != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyWithWriter reads in one goroutine and writes in another, which was the
// alternative.
func copyWithWriter(read func([]byte) (int, error), write func([]byte) error) {
	parts := make(chan []byte, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for part := range parts {
			_ = write(part)
		}
	}()
	copyEvents(read, func(part []byte) error {
		parts <- bytes.Clone(part)
		return nil
	})
	close(parts)
	<-done
}

// BenchmarkEvents measures the time for relaying one event to a client that reads at
// once: with one goroutine and no relay, with a relay, and with a second goroutine for
// all writes.
func BenchmarkEvents(b *testing.B) {
	event := bytes.Repeat([]byte("x"), eventBytes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(b, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	for _, client := range []string{"memory", "connection"} {
		var responder zinniapond.Responder = discard{}
		if client == "connection" {
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NoError(b, err)
			defer conn.Close()
			responder = &connResponder{conn: conn}
		}
		run := func(name string, relay func(source io.Reader)) {
			b.Run(client+"/"+name, func(b *testing.B) {
				b.ReportAllocs()
				relay(&eventSource{event: event, left: b.N})
			})
		}
		run("loop", func(source io.Reader) { copyEvents(source.Read, responder.Write) })
		run("relay", func(source io.Reader) {
			ctx, cancel := context.WithCancel(context.Background())
			r := &Relay{Responder: responder, Source: source, Reading: ctx, Interrupt: cancel, Memory: &quota.Quota{Bytes: 1 << 20}, Client: ctx, WriteUntil: time.Now().Add(time.Minute)}
			copyEvents(r.Read, r.Write)
			r.Close()
		})
		run("writer", func(source io.Reader) { copyWithWriter(source.Read, responder.Write) })
	}
}

// BenchmarkSpacedEvents measures the time for one event from a replica to a client, both
// with connections, if the replica sends the next event once the client has the last
// one, so that no two events are written together.
func BenchmarkSpacedEvents(b *testing.B) {
	event := bytes.Repeat([]byte("x"), eventBytes)
	connect := func(b *testing.B) (near, far net.Conn) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(b, err)
		defer listener.Close()
		near, err = net.Dial("tcp", listener.Addr().String())
		assert.NoError(b, err)
		far, err = listener.Accept()
		assert.NoError(b, err)
		b.Cleanup(func() { _, _ = near.Close(), far.Close() })
		return near, far
	}
	run := func(name string, relay func(source io.Reader, responder zinniapond.Responder)) {
		b.Run(name, func(b *testing.B) {
			source, replica := connect(b)
			responder, client := connect(b)
			go func() {
				defer replica.Close()
				part := make([]byte, eventBytes)
				for range b.N {
					if _, err := replica.Write(event); err != nil {
						return
					}
					if _, err := io.ReadFull(client, part); err != nil {
						return
					}
				}
			}()
			b.ReportAllocs()
			relay(source, &connResponder{conn: responder})
		})
	}
	run("loop", func(source io.Reader, responder zinniapond.Responder) { copyEvents(source.Read, responder.Write) })
	run("relay", func(source io.Reader, responder zinniapond.Responder) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &Relay{Responder: responder, Source: source, Reading: ctx, Interrupt: cancel, Memory: &quota.Quota{Bytes: 1 << 20}, Client: ctx, WriteUntil: time.Now().Add(time.Minute)}
		copyEvents(r.Read, r.Write)
		r.Close()
	})
	run("writer", func(source io.Reader, responder zinniapond.Responder) { copyWithWriter(source.Read, responder.Write) })
}

// BenchmarkAnswers measures the time for one answer of a few events, with what a relay
// allocates.
func BenchmarkAnswers(b *testing.B) {
	event := bytes.Repeat([]byte("x"), eventBytes)
	b.Run("loop", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			source := &eventSource{event: event, left: 10}
			copyEvents(source.Read, discard{}.Write)
		}
	})
	b.Run("relay", func(b *testing.B) {
		b.ReportAllocs()
		memory := &quota.Quota{Bytes: 1 << 20}
		for range b.N {
			ctx, cancel := context.WithCancel(context.Background())
			r := &Relay{Responder: discard{}, Source: &eventSource{event: event, left: 10}, Reading: ctx, Interrupt: cancel, Memory: memory, Client: ctx, WriteUntil: time.Now().Add(time.Minute)}
			copyEvents(r.Read, r.Write)
			r.Close()
			cancel()
		}
	})
}
