package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

var recorder struct {
	mu    sync.Mutex
	file  *os.File
	text  *bufio.Writer
	start time.Time
}

func openRecord(path string) error {
	f, err := os.Create(path)
	recorder.file, recorder.text, recorder.start = f, bufio.NewWriter(f), time.Now()
	return err
}

// record adds a line to the record, with the time since the start of the case.
func record(format string, values ...any) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	fmt.Fprintf(recorder.text, "%8.3f  %s\n", time.Since(recorder.start).Seconds(), fmt.Sprintf(format, values...))
}

// conclude adds a line and prints it.
func conclude(format string, values ...any) {
	record(format, values...)
	fmt.Printf(format+"\n", values...)
}

func closeRecord() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	_ = recorder.text.Flush()
	_ = recorder.file.Close()
}
