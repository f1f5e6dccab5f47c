// Package quota bounds the memory that requests and answers of all connections
// together may hold.
package quota

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// memoryDivisor divides the memory limit of the process; the quotient is the
	// quota. Buffers that grow are copied, and freed memory waits for its collection.
	memoryDivisor = 4
	// defaultBytes is the quota of a process without memory limit.
	defaultBytes = 256 << 20
	// firstBytes is the size of the first buffer of ReadAll.
	firstBytes = 4 << 10
)

// Each kernel has its own quota, so that a test can run several hosts in one process.
func init() {
	kernel.Register("default", func(k *kernel.Kernel) (*Quota, error) {
		q := &Quota{Bytes: defaultBytes}
		if k.Settings.MemoryLimit > 0 {
			q.Bytes = k.Settings.MemoryLimit / memoryDivisor
		}
		return q, nil
	})
}

// Quota counts the bytes in use. Its exported field is set before its use. A nil
// Quota has no bound.
type Quota struct {
	Bytes int64 // largest number of bytes in use

	used atomic.Int64
}

// Take adds n bytes to those in use. It takes none and returns an error that wraps
// ErrOverload if the quota would be exceeded.
func (q *Quota) Take(n int64) error {
	if q == nil {
		return nil
	}
	for {
		used := q.used.Load()
		if n > q.Bytes-used {
			return fmt.Errorf("memory for %d bytes beside %d of %d in use: %w", n, used, q.Bytes, zinniapond.ErrOverload)
		}
		if q.used.CompareAndSwap(used, used+n) {
			return nil
		}
	}
}

// Give returns n bytes that were taken.
func (q *Quota) Give(n int64) {
	if q != nil {
		q.used.Add(-n)
	}
}

// Used returns the number of bytes in use.
func (q *Quota) Used() int64 {
	if q == nil {
		return 0
	}
	return q.used.Load()
}

// ReadAll reads from r until its end and takes the memory as it arrives, so that a
// slow sender holds no more than it has sent. size is the expected number of bytes, or
// -1. The caller gives back taken, also after an error. Once the quota is exceeded,
// ReadAll returns what it has read and an error that wraps ErrOverload.
func (q *Quota) ReadAll(r io.Reader, size int64) (data []byte, taken int64, err error) {
	for {
		if len(data) == cap(data) {
			grown := max(2*int64(cap(data)), firstBytes)
			if size >= 0 && int64(cap(data)) <= size {
				grown = min(grown, size+1) // room to see the end
			}
			if err := q.Take(grown); err != nil {
				return data, taken, err
			}
			data = append(make([]byte, 0, grown), data...)
			q.Give(taken)
			taken = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, taken, nil
		}
		if err != nil {
			return data, taken, err
		}
	}
}
