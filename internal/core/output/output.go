// Package output writes log lines without blocking the logging goroutine.
package output

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// defaultQueueLines is the default capacity of the queue. It holds the burst of
// lines at a restart. If the destination is slow for longer, lines are lost, but
// requests are not delayed.
const defaultQueueLines = 4096

// Writer queues lines and writes them to Destination from a separate
// goroutine. Lines that do not fit into the queue are dropped and counted;
// the count is written as a line of its own after the next line. Exported
// fields are set before the first Write.
type Writer struct {
	Destination io.Writer
	// QueueLines is the capacity of the queue; 0 for the default.
	QueueLines int

	once    sync.Once
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func (w *Writer) ensureStarted() {
	w.once.Do(func() {
		if w.QueueLines == 0 {
			w.QueueLines = defaultQueueLines
		}
		w.lines, w.done = make(chan []byte, w.QueueLines), make(chan struct{})
		go w.writeLines()
	})
}

func (w *Writer) writeLines() {
	defer close(w.done)
	for line := range w.lines {
		// An error cannot be reported: the log itself has failed.
		_, _ = w.Destination.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.Destination, "[WARN]  log lines dropped: count=%d\n", n)
		}
	}
}

// Write queues a copy of the line, or drops it if the queue is full. It never
// blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.ensureStarted()
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until all queued lines are written. Write must not be called
// afterwards.
func (w *Writer) Close() error {
	w.ensureStarted()
	close(w.lines)
	<-w.done
	return nil
}
