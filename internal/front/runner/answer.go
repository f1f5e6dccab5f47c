package runner

import (
	"errors"
	"fmt"
	"io"

	"zinniapond.example/zinniapond"
)

const (
	// maxBufferedBytes is the size up to which an answer is read completely before
	// its status is sent to the client. If such an answer breaks off, the request
	// can still be refused or sent again.
	maxBufferedBytes = 1 << 20
	// maxAnswerBytes bounds an answer without a length. A faulty replica may send
	// bytes until its connection is closed.
	maxAnswerBytes = 64 << 20
)

// relayAnswer relays an answer that is not a stream.
func (u *run) relayAnswer(answer *zinniapond.ReplicaAnswer) (verdict, error) {
	head, taken, err := u.Memory.ReadAll(io.LimitReader(u.relay, maxBufferedBytes), min(answer.Length, maxBufferedBytes))
	u.held += taken
	noMemory := errors.Is(err, zinniapond.ErrOverload)
	if err != nil && !noMemory {
		return verdictMayHaveRun, fmt.Errorf("read answer: %w", err)
	}
	if noMemory || answer.Length > int64(len(head)) || answer.Length < 0 && len(head) == maxBufferedBytes {
		return u.relayLargeAnswer(answer, head)
	}
	// An answer that was read whole is delivered, also after the deadline.
	if u.client.Err() != nil {
		return verdictMayHaveRun, u.client.Err()
	}
	u.answerRead, u.answerBegun = true, true
	if err := u.responder.Begin(answer.Status, answer.Fields, int64(len(head))); err != nil {
		return verdictFailed, err
	}
	if err := u.relay.Write(head); err != nil {
		return verdictFailed, err
	}
	if err := u.responder.End(); err != nil {
		return verdictFailed, err
	}
	return verdictDone, nil
}

// relayLargeAnswer relays an answer that is too large to be buffered; head is the
// part of the body that was read.
func (u *run) relayLargeAnswer(answer *zinniapond.ReplicaAnswer, head []byte) (verdict, error) {
	u.answerBegun = true
	if err := u.responder.Begin(answer.Status, answer.Fields, answer.Length); err != nil {
		return verdictFailed, err
	}
	buffer := make([]byte, 32<<10)
	relayed := int64(0)
	for {
		if relayed += int64(len(head)); answer.Length < 0 && relayed > maxAnswerBytes {
			return verdictFailed, fmt.Errorf("answer of more than %d bytes: %w", maxAnswerBytes, zinniapond.ErrBackendFailed)
		}
		if err := u.relay.Write(head); err != nil {
			return verdictFailed, err
		}
		n, err := u.relay.Read(buffer)
		head = buffer[:n]
		if errors.Is(err, io.EOF) {
			u.answerRead = true
			if err := u.relay.Write(head); err != nil {
				return verdictFailed, err
			}
			if err := u.responder.End(); err != nil {
				return verdictFailed, err
			}
			return verdictDone, nil
		}
		if err != nil {
			return verdictFailed, fmt.Errorf("read answer: %w", err)
		}
	}
}
