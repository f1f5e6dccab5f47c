// Package ahead relays an answer to a client, and reads on while the client is slow: a
// replica aborts an answer that remains unread for some seconds.
//
// As long as the client takes each part at once, one goroutine reads and writes in turn,
// without a copy. A write that takes longer than slowDelay cannot be interrupted, so
// that a second goroutine then reads into a bounded buffer. It ends once the write has
// ended. All writes are made by the caller's goroutine, in the order of reading.
package ahead

import (
	"context"
	"io"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
)

// slowDelay is the default of Relay.SlowDelay. Replicas wait for seconds, and a host that
// is out of processor time pauses for up to 100 ms, in which nothing is gained by a second
// goroutine.
const slowDelay = 50 * time.Millisecond

// Relay relays one answer. Its exported fields are set before its use. Read, Write and
// Close are called by one goroutine.
type Relay struct {
	Responder zinniapond.Responder
	// Source is the body of the answer.
	Source io.Reader
	// Reading is done when nothing more can be read from Source. A running read returns
	// then.
	Reading context.Context
	// Interrupt ends Reading.
	Interrupt func()
	// Memory bounds the buffers of all answers together.
	Memory *quota.Quota
	// SlowDelay is the time after which a write counts as one to a slow client; zero for
	// the default.
	SlowDelay time.Duration
	// Client is done when the client has gone.
	Client context.Context
	// WriteUntil is when the answer is broken off if the client has not taken it, on
	// the clock of the operating system.
	WriteUntil time.Time
	// OnSlow is called when a write counts as one to a slow client for the first time;
	// may be nil.
	OnSlow func()
	// OnPause is called when reading stops as a bound of the buffer is reached, and when it
	// goes on; may be nil.
	OnPause func(isPaused bool)
	// OnEnd is called if Source has ended while a write is waiting for the client; may
	// be nil. The answer is not delivered yet, but the replica has done its part. err
	// is io.EOF for a complete answer, and unread about the number of events of a
	// stream that Read has not returned. The caller's goroutine is waiting in Write.
	OnEnd func(err error, unread int)

	mu      sync.Mutex
	changed *sync.Cond // the second goroutine has read or ended; nil before its start
	buffer  buffer
	err     error // with which Source has ended
	writing bool  // the caller's goroutine is in Write
	reading bool  // the second goroutine is running
	told    bool  // OnEnd was called
	// pausedAt is when reading stopped as a bound was reached; zero while it goes on.
	pausedAt time.Time
	paused   time.Duration // of the pauses that have ended
	closed   bool
	timer    *time.Timer
	// unwatch ends the watches of Client and Reading; nil before the first slow write.
	unwatch func()
}

// Read returns the next bytes of the answer. It returns the error of Source after all
// bytes that were read before it.
func (r *Relay) Read(part []byte) (int, error) {
	r.mu.Lock()
	for r.reading && r.err == nil && r.buffer.empty() {
		r.changed.Wait()
	}
	if !r.buffer.empty() {
		defer r.mu.Unlock()
		return r.buffer.read(part), nil
	}
	if r.err != nil {
		defer r.mu.Unlock()
		return 0, r.err
	}
	r.buffer.release()
	r.endPause()
	r.mu.Unlock()
	n, err := r.Source.Read(part)
	if err != nil {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
	return n, err
}

// Write sends a part of the answer to the client.
func (r *Relay) Write(part []byte) error {
	r.setWriting(true)
	if r.timer == nil {
		if r.SlowDelay == 0 {
			r.SlowDelay = slowDelay
		}
		r.timer = time.AfterFunc(r.SlowDelay, r.clientSlow)
	} else {
		r.timer.Reset(r.SlowDelay)
	}
	err := r.Responder.Write(part)
	r.timer.Stop()
	r.setWriting(false)
	return err
}

func (r *Relay) setWriting(writing bool) {
	r.mu.Lock()
	r.writing = writing
	r.mu.Unlock()
}

// clientSlow reads the answer on until the running write has ended. It runs in the
// goroutine of the timer.
func (r *Relay) clientSlow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing || r.closed {
		return // the write has ended as the timer fired
	}
	if r.unwatch == nil {
		if r.OnSlow != nil {
			r.OnSlow()
		}
		r.watch()
	}
	if !r.reading {
		r.readAhead()
	}
	r.reportEnd()
}

// readAhead reads into the buffer as long as the client is slow and there is space. It
// is called with the lock, and without the lock during a read.
func (r *Relay) readAhead() {
	if r.changed == nil {
		r.changed, r.buffer.memory = sync.NewCond(&r.mu), r.Memory
	}
	r.reading = true
	for r.writing && !r.closed && r.err == nil {
		space := r.buffer.space()
		if space == nil {
			// The client has to take the running write first.
			if r.pausedAt.IsZero() {
				r.pausedAt = time.Now()
				r.recordPause(true)
			}
			break
		}
		r.endPause()
		r.mu.Unlock()
		n, err := r.Source.Read(space)
		r.mu.Lock()
		r.buffer.filled(n)
		r.err = err
		r.changed.Signal()
	}
	r.reading = false
	r.changed.Signal()
}

// endPause counts the pause that has ended, if there was one.
func (r *Relay) endPause() {
	if !r.pausedAt.IsZero() {
		r.paused += time.Since(r.pausedAt)
		r.pausedAt = time.Time{}
		r.recordPause(false)
	}
}

func (r *Relay) recordPause(isPaused bool) {
	if r.OnPause != nil {
		r.OnPause(isPaused)
	}
}

// Paused returns the time for which reading was stopped as the buffer was full. The
// replica may have waited meanwhile. It is called in OnEnd or after Close.
func (r *Relay) Paused() time.Duration { return r.paused }

// reportEnd calls OnEnd if the answer has ended and the client is still slow. An answer
// that is not being read, as its buffer is full, ends with Reading.
func (r *Relay) reportEnd() {
	if r.err == nil && r.writing && !r.reading {
		r.err = r.Reading.Err()
	}
	if r.err == nil || r.told || !r.writing || r.closed || r.OnEnd == nil {
		return
	}
	r.told = true
	r.endPause()
	r.OnEnd(r.err, r.buffer.countEvents())
}

// watch makes writes fail once WriteUntil has come or the client has gone, and notices
// the end of Reading.
func (r *Relay) watch() {
	stopReading := context.AfterFunc(r.Reading, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reportEnd()
	})
	bounder, ok := r.Responder.(zinniapond.WriteBounder)
	if !ok {
		r.unwatch = func() { stopReading() }
		return
	}
	_ = bounder.BoundWrites(r.WriteUntil) // fails only if the connection is closed
	stopClient := context.AfterFunc(r.Client, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.closed {
			_ = bounder.BoundWrites(time.Now())
		}
	})
	r.unwatch = func() { stopReading(); stopClient() }
}

// Close ends the second goroutine, waits for it and gives the memory back.
func (r *Relay) Close() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.endPause()
	if r.unwatch != nil {
		r.unwatch()
	}
	if r.reading {
		r.Interrupt()
	}
	for r.reading {
		r.changed.Wait()
	}
	r.buffer.release()
}
