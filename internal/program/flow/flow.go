// Package flow passes a growing answer from one producer to any number of
// readers, each from its own offset.
package flow

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// Flow is an answer in the making. Its zero value is ready for use.
type Flow struct {
	mu      sync.Mutex
	begun   bool
	status  int
	fields  []zinniapond.Field
	body    []byte
	done    bool
	answer  zinniapond.Answer
	err     error
	changed chan struct{} // closed at the next change; nil if nobody waits
	readers int
	summed  int64
	sum     uint64
	idle    chan struct{} // receives when the last reader has left; may be nil
}

// notify wakes the readers. The lock is held.
func (f *Flow) notify() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// wait returns a channel that is closed at the next change. The lock is held.
func (f *Flow) wait() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Begin sets status and fields. Only the first call counts.
func (f *Flow) Begin(status int, fields []zinniapond.Field) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun {
		return nil
	}
	f.begun, f.status, f.fields = true, status, fields
	f.notify()
	return nil
}

// Write adds a part to the body.
func (f *Flow) Write(part []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.body = append(f.body, part...)
	f.notify()
	return nil
}

// Match checks that the body has part at the given offset, as far as the body
// reaches, and returns the rest of part, which is new. It is for a second
// attempt whose answer must continue the first one's.
func (f *Flow) Match(offset int64, part []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset >= int64(len(f.body)) {
		return part, nil
	}
	have := f.body[offset:]
	n := min(len(have), len(part))
	if !bytes.Equal(have[:n], part[:n]) {
		return nil, fmt.Errorf("match answer at byte %d: %w: the new answer differs", offset, zinniapond.ErrUnknown)
	}
	return part[n:], nil
}

// Len returns the number of body bytes so far.
func (f *Flow) Len() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.body))
}

// Begun tells whether a part of the answer may have been read.
func (f *Flow) Begun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun
}

// Finish ends the flow with an answer or an error. Only the first call counts.
func (f *Flow) Finish(answer zinniapond.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done {
		return
	}
	f.done, f.answer, f.err = true, answer, err
	f.notify()
}

// Abandoned returns a channel that receives when the flow's last reader has
// left before the end. It is called before the first Read.
func (f *Flow) Abandoned() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle == nil {
		f.idle = make(chan struct{}, 1)
	}
	return f.idle
}

// Readers returns the number of readers.
func (f *Flow) Readers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers
}

func (f *Flow) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
}

func (f *Flow) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers--
	if f.readers > 0 || f.done || f.idle == nil {
		return
	}
	select {
	case f.idle <- struct{}{}:
	default:
	}
}

// Read passes the body from the given offset to sink until the flow is
// finished, and returns the answer. sum is the xxHash of the bytes before
// offset that the reader has; if the flow begins with other bytes, Read returns
// an error that wraps ErrUnknown, as the two cannot be joined. A nil sink only waits. The last part of a
// streamed body reaches sink only after Finish, which the producer calls once
// the result is durable.
func (f *Flow) Read(ctx context.Context, sink zinniapond.Sink, offset int64, sum uint64) (zinniapond.Answer, error) {
	f.enter()
	defer f.leave()
	begun, checked := false, offset == 0
	for {
		next, err := f.next(offset)
		if err != nil {
			return zinniapond.Answer{}, err
		}
		if !checked && (next.done || next.reached) {
			if !next.reached || next.sum != sum {
				return zinniapond.Answer{}, fmt.Errorf("resume answer at byte %d: %w: the new answer differs",
					offset, zinniapond.ErrUnknown)
			}
			checked = true
		}
		if sink != nil && next.begun && !begun {
			begun = true
			if err := sink.Begin(next.status, next.fields); err != nil {
				return zinniapond.Answer{}, err
			}
		}
		if sink != nil && len(next.part) > 0 {
			if err := sink.Write(next.part); err != nil {
				return zinniapond.Answer{}, err
			}
			offset += int64(len(next.part))
			continue
		}
		if next.done {
			return next.answer, nil
		}
		select {
		case <-next.changed:
		case <-ctx.Done():
			return zinniapond.Answer{}, ctx.Err()
		}
	}
}

// state is what a reader sees at one moment.
type state struct {
	begun   bool
	status  int
	fields  []zinniapond.Field
	reached bool   // the body has all bytes before the offset
	sum     uint64 // xxHash of the bytes before the offset, once reached
	part    []byte
	done    bool
	answer  zinniapond.Answer
	changed <-chan struct{}
}

// prefixSum returns the xxHash of the first bytes of the body, computed once
// for each offset asked for. The lock is held.
func (f *Flow) prefixSum(offset int64) uint64 {
	if offset == 0 || offset != f.summed {
		f.summed, f.sum = offset, xxhash.Sum64(f.body[:offset])
	}
	return f.sum
}

func (f *Flow) next(offset int64) (state, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := state{begun: f.begun, status: f.status, fields: f.fields, done: f.done, answer: f.answer}
	if f.done && f.err != nil && offset >= int64(len(f.body)) {
		return s, f.err
	}
	if offset <= int64(len(f.body)) {
		s.reached, s.sum = true, f.prefixSum(offset)
		s.part = f.body[offset:len(f.body):len(f.body)]
	}
	if !f.done {
		s.changed = f.wait()
	}
	return s, nil
}
