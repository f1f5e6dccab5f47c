package ahead

import (
	"bytes"

	"zinniapond.example/zinniapond/internal/core/quota"
)

const (
	// chunkBytes is the size of one piece of the buffer. The connections to replicas
	// have read buffers of the same size.
	chunkBytes = 4 << 10
	// maxChunks bounds the buffer of one answer, to 256 KB.
	maxChunks = 64
)

// buffer has the bytes of an answer that were read and not relayed yet. Its memory is
// taken from the quota chunk by chunk. One goroutine may fill the result of space
// without a lock while others use the methods under the lock of the Relay.
type buffer struct {
	memory *quota.Quota
	chunks [][]byte
	start  int // offset of the first byte in the first chunk
}

func (b *buffer) empty() bool {
	return len(b.chunks) == 0 || len(b.chunks) == 1 && b.start == len(b.chunks[0])
}

// space returns the place for the next bytes; nil if a bound is reached.
func (b *buffer) space() []byte {
	if n := len(b.chunks); n > 0 {
		if last := b.chunks[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)]
		}
	}
	if len(b.chunks) == maxChunks || !b.memory.TakeSpare(chunkBytes) {
		return nil
	}
	chunk := make([]byte, 0, chunkBytes)
	b.chunks = append(b.chunks, chunk)
	return chunk[:chunkBytes]
}

// filled adds the first n bytes of the last result of space.
func (b *buffer) filled(n int) {
	last := &b.chunks[len(b.chunks)-1]
	*last = (*last)[:len(*last)+n]
}

// read moves bytes from the buffer to part. A chunk that is not full stays, as it may
// be being filled.
func (b *buffer) read(part []byte) int {
	total := 0
	for len(b.chunks) > 0 && total < len(part) {
		n := copy(part[total:], b.chunks[0][b.start:])
		total += n
		b.start += n
		if b.start < chunkBytes {
			if b.start == len(b.chunks[0]) {
				break
			}
			continue
		}
		b.chunks[0] = nil
		b.chunks, b.start = b.chunks[1:], 0
		b.memory.Give(chunkBytes)
	}
	return total
}

// countEvents returns about the number of events in the buffer. An end of an event that
// is split between two chunks is not counted.
func (b *buffer) countEvents() int {
	count := 0
	for i, chunk := range b.chunks {
		if i == 0 {
			chunk = chunk[b.start:]
		}
		count += bytes.Count(chunk, []byte("\n\n"))
	}
	return count
}

// release drops what is in the buffer and gives its memory back.
func (b *buffer) release() {
	b.memory.Give(int64(len(b.chunks)) * chunkBytes)
	b.chunks, b.start = nil, 0
}
