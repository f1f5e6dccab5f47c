// Package causes implements the command that counts, from the logs of hosts, why requests
// and programs were not served or were late.
package causes

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/files/logs"
	"zinniapond.example/zinniapond/internal/policy/cause"
)

// maxLineBytes bounds a line. A front's line with the outcomes of many disks has 3 KB.
const maxLineBytes = 256 << 10

// Options are the options of `log causes`.
type Options struct {
	Files []string      `arg:"" optional:"" type:"path" help:"Log files of hosts; standard input if there are none."`
	Span  time.Duration `default:"2s" help:"Length of the spans of time."`
	JSON  bool          `name:"json" help:"Print JSON."`
}

// Validate reports a span that is not positive as a usage error.
func (o *Options) Validate() error {
	if o.Span <= 0 {
		return errors.New("--span must be positive")
	}
	return nil
}

// reading is the state of one run.
type reading struct {
	book            cause.Book
	parser          logs.Parser
	lines, unparsed int
}

// Run reads the files one after another and prints the counts.
func (o *Options) Run(f *inject.Factory) error {
	r := &reading{book: cause.Book{Span: o.Span}}
	for _, path := range o.Files {
		if err := r.readFile(path); err != nil {
			return err
		}
	}
	if len(o.Files) == 0 {
		if err := r.read(f.In, ""); err != nil {
			return fmt.Errorf("read standard input: %w", err)
		}
	}
	report := r.book.Report()
	report.Lines, report.Unparsed = r.lines, r.unparsed
	if o.JSON {
		return json.NewEncoder(f.Out).Encode(report)
	}
	return printReport(f.Out, &report)
}

func (r *reading) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer file.Close()
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := r.read(file, zinniapond.HostName(name)); err != nil {
		return fmt.Errorf("read log %s: %w", path, err)
	}
	return nil
}

// read counts the lines of one source. Those without a host are of the given one.
func (r *reading) read(from io.Reader, host zinniapond.HostName) error {
	reader := bufio.NewReaderSize(from, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		isTooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			r.add(line, host, isTooLong)
		}
		if err != nil {
			return nil
		}
	}
}

func (r *reading) add(line []byte, host zinniapond.HostName, isTooLong bool) {
	r.lines++
	var e zinniapond.LogEvent
	err := zinniapond.ErrTooLarge
	if !isTooLong {
		e, err = r.parser.Parse(line)
	}
	if err != nil {
		r.unparsed++ // the number is part of the output
		return
	}
	if e.Host == "" {
		e.Host = host
	}
	r.book.Add(e)
}
