// Package output writes log lines without ever holding up their author.
package output

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// defaultLines is the number of lines that may wait. It takes the burst of a
// restart; a reader that is slower for longer loses lines, not requests.
const defaultLines = 4096

// Writer passes lines on from a goroutine of its own. Lines that find no room
// are dropped and counted; the count follows as a line once there is room. Its
// exported fields are set before the first Write.
type Writer struct {
	To io.Writer
	// Lines is the number of lines that may wait; 0 for the default.
	Lines int

	once    sync.Once
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func (w *Writer) start() {
	w.once.Do(func() {
		if w.Lines == 0 {
			w.Lines = defaultLines
		}
		w.lines, w.done = make(chan []byte, w.Lines), make(chan struct{})
		go w.run()
	})
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.To.Write(line)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.To, "[WARN]  log lines dropped: count=%d\n", n)
		}
	}
}

// Write takes a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.start()
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written afterwards.
func (w *Writer) Close() error {
	w.start()
	close(w.lines)
	<-w.done
	return nil
}
