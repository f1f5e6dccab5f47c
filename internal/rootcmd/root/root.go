// Package root has the grammar of the command line.
package root

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kong"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/nodecmd/run"
	version "zinniapond.example/zinniapond/internal/versioncmd/show"
)

// Root is the command line. internal/benchcmd adds its commands as a field
// `Bench`.
type Root struct {
	Node struct {
		Run run.Options `cmd:"" help:"Run this host until SIGTERM or SIGINT."`
	} `cmd:"" help:"Run and inspect hosts."`
	Version version.Options `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitNoAnswer = 3 // the host cannot be reached or cannot answer now: retry
	exitConflict = 4 // the lists have changed meanwhile
	exitRefused  = 5 // the lists or settings have faults
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, f *inject.Factory) int {
	var r Root
	exited := -1
	parser, err := kong.New(
		&r, kong.Name("zinniapond"), kong.Description("Schedules agent programs."), kong.UsageOnError(),
		kong.Writers(f.Out, f.Err), kong.Exit(func(code int) { exited = code }),
		kong.Bind(f), kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return report(f, err)
	}
	c, err := parser.Parse(args)
	if exited >= 0 { // --help has printed and asked for the end
		return exited
	}
	if err != nil {
		fmt.Fprintf(f.Err, "zinniapond: %v\nhint: zinniapond --help\n", err)
		return exitUsage
	}
	return report(f, c.Run())
}

// report prints an error with its hint and returns its exit code.
func report(f *inject.Factory, err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(f.Err, "zinniapond: %v\n", err)
	var e *zinniapond.Error
	if errors.As(err, &e) && e.Hint != "" {
		fmt.Fprintf(f.Err, "hint: %s\n", e.Hint)
	}
	return code(err)
}

func code(err error) int {
	for _, c := range []struct {
		code  int
		cause []error
	}{
		{exitConflict, []error{zinniapond.ErrConflict}},
		{exitRefused, []error{zinniapond.ErrMalformed, zinniapond.ErrCorrupt}},
		{exitNoAnswer, []error{
			zinniapond.ErrNotSent, zinniapond.ErrOverload, zinniapond.ErrStale,
			zinniapond.ErrNoQuorum, zinniapond.ErrNotLeader, zinniapond.ErrUnavailable,
		}},
	} {
		for _, e := range c.cause {
			if errors.Is(err, e) {
				return c.code
			}
		}
	}
	return exitFailure
}
