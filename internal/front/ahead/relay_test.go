package ahead

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestSlowClient(t *testing.T) {
	t.Run("guards against an answer that the replica aborts because it remains unread", func(t *testing.T) {
		memory := &quota.Quota{Bytes: 1 << 20}
		parts, whole := pieces(50, 1000)
		w := newTestRelay(t, memory, parts, io.EOF)
		done := w.run()
		assert.Eventually(t, time.Second, "the answer is read", func() bool { return w.source.read.Load() == int64(len(whole)) })
		assert.Eventually(t, time.Second, "the end is reported", func() bool { return w.ends.Load() == 1 })
		close(w.client.allow)
		assert.ErrorIs(t, <-done, io.EOF)
		assertWhole(t, w, whole)
		assertGivenBack(t, memory)
		assert.Equal(t, w.ends.Load(), int64(1))
	})
	t.Run("guards against a buffer of one answer without bound, and against reading that never goes on", func(t *testing.T) {
		memory := &quota.Quota{Bytes: 16 << 20}
		parts, whole := pieces(200, chunkBytes)
		w := newTestRelay(t, memory, parts, io.EOF)
		done := w.run()
		assert.Eventually(t, time.Second, "the buffer is filled", func() bool { return memory.Used() == maxBytes })
		time.Sleep(4 * testDelay)
		before := w.source.read.Load()
		assert.True(t, before <= maxBytes+8<<10, "%d bytes are read for a buffer of %d", before, maxBytes)
		assert.Equal(t, w.ends.Load(), int64(0))
		begin := time.Now()
		time.Sleep(20 * testDelay)
		w.client.allow <- struct{}{}
		w.client.allow <- struct{}{}
		assert.Eventually(t, time.Second, "reading goes on", func() bool { return w.source.read.Load() > before })
		close(w.client.allow)
		assert.ErrorIs(t, <-done, io.EOF)
		assert.True(t, w.Paused() >= 20*testDelay && w.Paused() < time.Since(begin)+time.Second, "the pause took %s", w.Paused())
		assertWhole(t, w, whole)
		assertGivenBack(t, memory)
	})
	t.Run("guards against buffers that together take the memory of the host", func(t *testing.T) {
		const count = 20
		memory := &quota.Quota{Bytes: 1 << 20}
		parts, whole := pieces(40, chunkBytes)
		var relays []*testRelay
		var done []<-chan error
		for range count {
			w := newTestRelay(t, memory, parts, io.EOF)
			relays, done = append(relays, w), append(done, w.run())
		}
		assert.Eventually(t, time.Second, "the share of the buffers is filled", func() bool { return memory.Used() == 512<<10 })
		assert.NoError(t, memory.Take(256<<10)) // for a request
		for i, w := range relays {
			close(w.client.allow)
			assert.ErrorIs(t, <-done[i], io.EOF)
			assertWhole(t, w, whole)
		}
		memory.Give(256 << 10)
		assertGivenBack(t, memory)
	})
	t.Run("guards against a broken answer that looks complete, or loses what was read before", func(t *testing.T) {
		parts, whole := pieces(10, 3000)
		w := newTestRelay(t, nil, parts, errBroken)
		done := w.run()
		assert.Eventually(t, time.Second, "the end is reported", func() bool { return w.ends.Load() == 1 })
		close(w.client.allow)
		assert.ErrorIs(t, <-done, errBroken)
		assertWhole(t, w, whole)
	})
	t.Run("guards against a second goroutine and a report for a client that reads at once", func(t *testing.T) {
		parts, whole := pieces(1000, 100)
		w := newTestRelay(t, nil, parts, io.EOF)
		close(w.client.allow)
		assert.ErrorIs(t, <-w.run(), io.EOF)
		assertWhole(t, w, whole)
		assert.True(t, w.changed == nil && w.client.bounds() == 0 && w.ends.Load() == 0 && w.Paused() == 0, "the client counts as slow")
	})
	t.Run("guards against a buffer that stays in use after the client has caught up", func(t *testing.T) {
		memory := &quota.Quota{Bytes: 1 << 20}
		w := newTestRelay(t, memory, nil, nil)
		w.source.parts = make(chan []byte)
		done := w.run()
		w.source.parts <- []byte("a")
		w.source.parts <- []byte("b") // read while the first one is written
		assert.Eventually(t, time.Second, "a buffer is used", func() bool { return memory.Used() > 0 })
		close(w.client.allow)
		// A read that began while the client was slow holds the buffer until the next
		// event.
		assert.Eventually(t, time.Second, "the buffer is given back", func() bool {
			w.source.parts <- []byte("c")
			return memory.Used() == 0
		})
		w.Interrupt()
		assert.ErrorIs(t, <-done, context.Canceled)
		assertGivenBack(t, memory)
	})
}

func TestEnd(t *testing.T) {
	t.Run("guards against goroutines and memory that outlive a client that has gone", func(t *testing.T) {
		memory := &quota.Quota{Bytes: 1 << 20}
		parts, _ := pieces(5, 1000)
		w := newTestRelay(t, memory, parts, nil) // the source stays open
		done := w.run()
		assert.Eventually(t, time.Second, "the client counts as slow", func() bool { return w.source.read.Load() == 5000 })
		w.leave()
		assert.ErrorIs(t, <-done, errBroken)
		assertGivenBack(t, memory)
		assert.True(t, w.Reading.Err() != nil, "the read is not interrupted")
	})
	t.Run("guards against a client that never reads on and holds its memory for ever", func(t *testing.T) {
		w := newTestRelay(t, nil, [][]byte{[]byte("a")}, nil)
		w.run()
		assert.Eventually(t, time.Second, "writes are bounded", func() bool { return w.client.bounds() == 1 })
		assert.Equal(t, w.client.until[0], w.WriteUntil)
	})
	t.Run("guards against a replica that counts as busy after the deadline, with a full buffer before it", func(t *testing.T) {
		memory := &quota.Quota{Bytes: 4 * chunkBytes}
		parts, whole := pieces(8, chunkBytes)
		w := newTestRelay(t, memory, parts, nil)
		done := w.run()
		assert.Eventually(t, time.Second, "the buffer is full", func() bool { return memory.Used() == 2*chunkBytes })
		time.Sleep(4 * testDelay)
		assert.Equal(t, w.ends.Load(), int64(0))
		w.Interrupt() // as the deadline does
		assert.Eventually(t, time.Second, "the end is reported", func() bool { return w.ends.Load() == 1 })
		close(w.client.allow)
		assert.ErrorIs(t, <-done, context.Canceled)
		read := w.source.read.Load()
		assertWhole(t, w, whole[:read])
		assertGivenBack(t, memory)
	})
	t.Run("guards against a deadline for the next answer on the connection", func(t *testing.T) {
		w := newTestRelay(t, nil, [][]byte{[]byte("a")}, io.EOF)
		done := w.run()
		assert.Eventually(t, time.Second, "writes are bounded", func() bool { return w.client.bounds() == 1 })
		close(w.client.allow)
		assert.ErrorIs(t, <-done, io.EOF)
		w.leave()
		time.Sleep(4 * testDelay)
		assert.Equal(t, w.client.bounds(), 1)
	})
}

// TestOrder compares what clients of any speed get with what the replica has sent.
func TestOrder(t *testing.T) {
	t.Run("guards against bytes that are lost, repeated or in another order", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) {
			sizes := rapid.SliceOfN(rapid.IntRange(1, 3*chunkBytes), 1, 60).Draw(rt, "sizes")
			pauses := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 4 * time.Millisecond}), 120, 120).Draw(rt, "pauses")
			broken := rapid.Bool().Draw(rt, "broken")
			memory := &quota.Quota{Bytes: rapid.Int64Range(0, 40*chunkBytes).Draw(rt, "memory")}
			var whole []byte
			end := io.EOF
			if broken {
				end = errBroken
			}
			w := newTestRelay(t, memory, nil, nil)
			w.SlowDelay = time.Millisecond
			w.source.err, w.source.parts = end, make(chan []byte)
			var group sync.WaitGroup
			for i, size := range sizes {
				whole = append(whole, bytes.Repeat([]byte{byte(i)}, size)...)
			}
			group.Go(func() {
				at := 0
				for i, size := range sizes {
					time.Sleep(pauses[i])
					w.source.parts <- whole[at : at+size]
					at += size
				}
				close(w.source.parts)
			})
			stop := make(chan struct{})
			group.Go(func() {
				for i := 0; ; i++ {
					time.Sleep(pauses[60+i%60])
					select {
					case w.client.allow <- struct{}{}:
					case <-stop:
						return
					}
				}
			})
			err := <-w.run()
			close(stop)
			group.Wait()
			if !errors.Is(err, end) || !bytes.Equal(w.client.got.Bytes(), whole) || memory.Used() != 0 {
				rt.Fatalf("error %v, %d bytes of %d, %d bytes in use", err, w.client.got.Len(), len(whole), memory.Used())
			}
		})
	})
}
