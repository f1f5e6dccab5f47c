// Package flow streams an answer from one producer to any number of concurrent
// readers. Each reader starts at its own byte offset.
package flow

import (
	"bytes"
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// Buffer buffers an answer while it is produced and passes it to readers. Its
// zero value is ready for use.
type Buffer struct {
	mu           sync.Mutex
	begun        bool
	status       int
	fields       []zinniapond.HeaderField
	body         []byte
	finished     bool
	answer       zinniapond.Answer
	err          error
	changed      chan struct{} // closed at the next change; nil if no reader waits
	readers      int
	hashedLength int64 // number of body bytes covered by prefixHash
	prefixHash   uint64
	abandoned    chan struct{} // receives when the last reader has left; nil before Abandoned
}

// wakeReaders wakes the waiting readers. The caller holds f.mu.
func (f *Buffer) wakeReaders() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change. The caller
// holds f.mu.
func (f *Buffer) nextChange() <-chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Begin sets the status and the header fields. Only the first call has an
// effect.
func (f *Buffer) Begin(status int, fields []zinniapond.HeaderField) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begun {
		return nil
	}
	f.begun, f.status, f.fields = true, status, fields
	f.wakeReaders()
	return nil
}

// Write appends a part to the body.
func (f *Buffer) Write(part []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.body = append(f.body, part...)
	f.wakeReaders()
	return nil
}

// TrimMatching compares part with the body from the given offset, as far as
// the body reaches, and returns the rest of part, which is not in the body
// yet. It is used when a second attempt produces the answer again, which must
// then begin with the bytes that the first attempt has written. A difference
// returns an error that wraps ErrOutcomeUnknown.
func (f *Buffer) TrimMatching(offset int64, part []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset >= int64(len(f.body)) {
		return part, nil
	}
	existing := f.body[offset:]
	overlap := min(len(existing), len(part))
	if !bytes.Equal(existing[:overlap], part[:overlap]) {
		return nil, fmt.Errorf("match answer at byte %d: %w: the new answer differs", offset, zinniapond.ErrOutcomeUnknown)
	}
	return part[overlap:], nil
}

// Len returns the number of bytes in the body so far.
func (f *Buffer) Len() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.body))
}

// HasBegun reports whether Begin has been called, after which readers may have
// received a part of the answer.
func (f *Buffer) HasBegun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun
}

// Finish ends the body with an answer or an error. Only the first call has an
// effect.
func (f *Buffer) Finish(answer zinniapond.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished {
		return
	}
	f.finished, f.answer, f.err = true, answer, err
	f.wakeReaders()
}

// Abandoned returns a channel that receives when the last reader has left an
// unfinished buffer. It has to be called before the first Read.
func (f *Buffer) Abandoned() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned == nil {
		f.abandoned = make(chan struct{}, 1)
	}
	return f.abandoned
}

// Readers returns the number of Read calls in progress.
func (f *Buffer) Readers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readers
}

func (f *Buffer) addReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers++
}

func (f *Buffer) removeReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers--
	if f.readers > 0 || f.finished || f.abandoned == nil {
		return
	}
	select {
	case f.abandoned <- struct{}{}:
	default:
	}
}

// Read passes the body from the given offset on to sink until the body is
// finished, and returns the answer. prefixHash is the xxHash of the bytes
// before offset, which the reader has received earlier; if the body begins
// with other bytes, Read returns an error that wraps ErrOutcomeUnknown, as
// the two parts do not belong to the same answer. With a nil sink, Read only
// waits for the answer. The last part of a streamed body reaches sink only
// after Finish, which the producer calls when the result is durable.
func (f *Buffer) Read(ctx context.Context, sink zinniapond.Sink, offset int64, prefixHash uint64) (zinniapond.Answer, error) {
	f.addReader()
	defer f.removeReader()
	begun, prefixChecked := false, offset == 0
	for {
		current, err := f.takeSnapshot(offset)
		if err != nil {
			return zinniapond.Answer{}, err
		}
		if !prefixChecked && (current.finished || current.reached) {
			if !current.reached || current.prefixHash != prefixHash {
				return zinniapond.Answer{}, fmt.Errorf("resume answer at byte %d: %w: the new answer differs",
					offset, zinniapond.ErrOutcomeUnknown)
			}
			prefixChecked = true
		}
		if sink != nil && current.begun && !begun {
			begun = true
			if err := sink.Begin(current.status, current.fields); err != nil {
				return zinniapond.Answer{}, err
			}
		}
		if sink != nil && len(current.part) > 0 {
			if err := sink.Write(current.part); err != nil {
				return zinniapond.Answer{}, err
			}
			offset += int64(len(current.part))
			continue
		}
		if current.finished {
			return current.answer, nil
		}
		select {
		case <-current.changed:
		case <-ctx.Done():
			return zinniapond.Answer{}, ctx.Err()
		}
	}
}

// snapshot is the state of the buffer as one reader sees it at one moment.
type snapshot struct {
	begun      bool
	status     int
	fields     []zinniapond.HeaderField
	reached    bool   // the body reaches the offset of the reader
	prefixHash uint64 // xxHash of the bytes before the offset, once reached
	part       []byte // body from the offset of the reader on
	finished   bool
	answer     zinniapond.Answer
	changed    <-chan struct{}
}

// hashPrefix returns the xxHash of the body before offset. The hash of the last
// offset is cached. The caller holds f.mu.
func (f *Buffer) hashPrefix(offset int64) uint64 {
	if offset == 0 || offset != f.hashedLength {
		f.hashedLength, f.prefixHash = offset, xxhash.Sum64(f.body[:offset])
	}
	return f.prefixHash
}

// takeSnapshot returns the state of the buffer for a reader at the given offset.
// It returns the error of the answer only when the reader has received the whole
// body.
func (f *Buffer) takeSnapshot(offset int64) (snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := snapshot{begun: f.begun, status: f.status, fields: f.fields, finished: f.finished, answer: f.answer}
	if f.finished && f.err != nil && offset >= int64(len(f.body)) {
		return s, f.err
	}
	if offset <= int64(len(f.body)) {
		s.reached, s.prefixHash = true, f.hashPrefix(offset)
		s.part = f.body[offset:len(f.body):len(f.body)]
	}
	if !f.finished {
		s.changed = f.nextChange()
	}
	return s, nil
}
