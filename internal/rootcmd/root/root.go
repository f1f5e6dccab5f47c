// Package root defines the commands and flags of the command line.
package root

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"zinniapond.example/zinniapond"
	bench "zinniapond.example/zinniapond/internal/benchcmd/trial"
	"zinniapond.example/zinniapond/internal/configcmd/apply"
	"zinniapond.example/zinniapond/internal/configcmd/check"
	"zinniapond.example/zinniapond/internal/configcmd/show"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/logcmd/causes"
	"zinniapond.example/zinniapond/internal/nodecmd/drain"
	"zinniapond.example/zinniapond/internal/nodecmd/start"
	"zinniapond.example/zinniapond/internal/nodecmd/status"
	"zinniapond.example/zinniapond/internal/programcmd/view"
	"zinniapond.example/zinniapond/internal/standincmd/engine"
	"zinniapond.example/zinniapond/internal/standincmd/plain"
	version "zinniapond.example/zinniapond/internal/versioncmd/show"
)

// Root is the command line, as parsed by kong.
type Root struct {
	Node    nodeCommands    `cmd:"" help:"Run and inspect hosts."`
	Config  configCommands  `cmd:"" help:"Check, change and read the lists."`
	Log     logCommands     `cmd:"" help:"Read logs."`
	Program programCommands `cmd:"" help:"Inspect programs."`
	Standin standinCommands `cmd:"" help:"Run stand-ins for outside systems."`
	Bench   benchCommands   `cmd:"" help:"Measure the policies."`
	Version version.Options `cmd:"" help:"Print the version."`
}

type nodeCommands struct {
	Run    start.Options  `cmd:"" help:"Run this host until SIGTERM or SIGINT."`
	Status status.Options `cmd:"" help:"Show hosts, shards and degradation of service."`
	Drain  drain.Options  `cmd:"" help:"Have a host give its shards away and leave."`
}

type configCommands struct {
	Check check.Options `cmd:"" help:"Look for faults in lists, settings and configurations. Nothing is sent."`
	Apply apply.Options `cmd:"" help:"Put changed lists into force."`
	Show  show.Options  `cmd:"" help:"Read the lists in force."`
}

type logCommands struct {
	Causes causes.Options `cmd:"" help:"Count why requests and programs were not served, or were late."`
}

type programCommands struct {
	View view.Options `cmd:"" help:"Show a program's history."`
}

type standinCommands struct {
	Engine  engine.Options `cmd:"" help:"Run a stand-in model engine."`
	Service plain.Options  `cmd:"" help:"Run a stand-in plain service."`
}

type benchCommands struct {
	Run bench.Options `cmd:"" help:"Run experiments with stand-in engines in their own time."`
}

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitNoAnswer = 3 // the host cannot be reached or cannot answer now; a retry may succeed
	exitConflict = 4 // the lists were changed by someone else in the meantime
	exitRefused  = 5 // the lists, the settings or the configuration have faults
	exitWarnings = 6 // the configuration would be accepted, but has warnings
)

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, f *inject.Factory) int {
	var r Root
	parserExit := -1
	parser, err := kong.New(
		&r, kong.Name("zinniapond"), kong.Description("Schedules agent programs."), kong.UsageOnError(),
		kong.Writers(f.Out, f.Err), kong.Exit(func(code int) { parserExit = code }),
		kong.Bind(f), kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(f.Out, (*io.Writer)(nil)),
	)
	if err != nil {
		return reportError(f, err)
	}
	c, err := parser.Parse(args)
	if parserExit >= 0 { // kong has printed the help and called Exit
		return parserExit
	}
	if err != nil {
		printError(f, "zinniapond: %v\nhint: zinniapond --help\n", err)
		return exitUsage
	}
	return reportError(f, c.Run())
}

// reportError prints an error with its hint and returns its exit code.
func reportError(f *inject.Factory, err error) int {
	if err == nil {
		return 0
	}
	printError(f, "zinniapond: %v\n", err)
	var e *zinniapond.Error
	if errors.As(err, &e) && e.Hint != "" {
		printError(f, "hint: %s\n", e.Hint)
	}
	return exitCode(err)
}

// printError prints to standard error. It ignores write errors, as they cannot be
// reported anywhere else.
func printError(f *inject.Factory, format string, args ...any) {
	_, _ = fmt.Fprintf(f.Err, format, args...)
}

func exitCode(err error) int {
	for _, c := range []struct {
		code  int
		cause []error
	}{
		{exitConflict, []error{zinniapond.ErrConflict}},
		{exitRefused, []error{zinniapond.ErrMalformed, zinniapond.ErrCorrupt}},
		{exitWarnings, []error{zinniapond.ErrWarnings}},
		{exitNoAnswer, []error{
			zinniapond.ErrNotSent, zinniapond.ErrOverload, zinniapond.ErrStaleConfig,
			zinniapond.ErrNoQuorum, zinniapond.ErrNotLeader, zinniapond.ErrUnavailable, zinniapond.ErrOutcomeUnknown,
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
