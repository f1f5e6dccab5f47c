// Package view implements the command that shows the history of a program.
package view

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/remote"
)

// Options are the options of `program view`.
type Options struct {
	remote.Operator `embed:""`
	Program         zinniapond.ProgramID `arg:"" help:"Id of the program."`
}

// Validate reports a missing address as a usage error.
func (o *Options) Validate() error { return o.CheckAddress() }

// Run prints the program with all its calls.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	var h zinniapond.History
	text, err := o.Do(ctx, f, "read program "+string(o.Program), http.MethodGet, "/v1/programs/"+url.PathEscape(string(o.Program)), nil, &h)
	if err != nil {
		return err
	}
	if o.JSON {
		_, err = f.Out.Write(text)
		return err
	}
	return printHistory(f, &h)
}

func printHistory(f *inject.Factory, h *zinniapond.History) error {
	t := tabwriter.NewWriter(f.Out, 0, 4, 2, ' ', 0)
	state := "open"
	if !h.Program.EndedAt.IsZero() {
		state = "ended " + h.Program.EndedAt.Format(time.RFC3339) + " (" + h.Program.Reason + ")"
	}
	if _, err := fmt.Fprintf(t, "program %s, plan %s, customer %s, opened %s, %s; shard %d at %s\n",
		h.Program.ID, h.Program.Plan, h.Program.Customer, h.Program.OpenedAt.Format(time.RFC3339), state, h.Shard, h.Owner); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(t, "SEQUENCE\tCALL\tPOOL\tREQUEST\tOUTCOME\tSTATUS\tTOKENS\tATTEMPTS\tREASON"); err != nil {
		return err
	}
	for _, s := range h.Steps {
		a := zinniapond.Answer{Outcome: "running"}
		if s.Answer != nil {
			a = *s.Answer
		}
		if _, err := fmt.Fprintf(t, "%d\t%s\t%s\t%s %s\t%s\t%d\t%d\t%d\t%s\n",
			s.Sequence, s.Call, s.Pool, s.Method, s.Path, a.Outcome, a.Status, a.Usage.Total(), len(a.Attempts), a.Reason); err != nil {
			return err
		}
	}
	return t.Flush()
}
