package causes

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"

	"zinniapond.example/zinniapond"
)

const (
	countColumns = "NOT SERVED\tPROGRAMS\tLATE\tPROGRAMS"
	timeLayout   = "2006-01-02T15:04:05.000Z07:00"
)

// printer keeps the first error of a series of prints.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// table prints rows below a heading; without rows it prints nothing.
func (p *printer) table(heading string, rows []zinniapond.CauseRow, name func(zinniapond.CauseRow) string) {
	if len(rows) == 0 {
		return
	}
	p.line("")
	p.line("%s\t%s", heading, countColumns)
	for _, r := range rows {
		p.line("%s\t%d\t%d\t%d\t%d", name(r), r.RequestsNotServed, r.ProgramsNotServed, r.RequestsLate, r.ProgramsLate)
	}
	if p.err == nil {
		p.err = p.w.Flush() // each table has its own columns
	}
}

func printReport(w io.Writer, r *zinniapond.CauseReport) error {
	p := printer{w: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	p.line("lines: %d, not parsed %d, requests without time %d", r.Lines, r.Unparsed, r.Untimed)
	p.line("not served: %d requests, %d programs; late: %d requests, %d programs",
		r.Total.RequestsNotServed, r.Total.ProgramsNotServed, r.Total.RequestsLate, r.Total.ProgramsLate)
	p.table("CAUSE", r.Causes, func(c zinniapond.CauseRow) string { return string(c.Cause) })
	p.table(fmt.Sprintf("SPAN OF %s\tCAUSE", r.SpanMS.Duration()), r.Spans, func(c zinniapond.CauseRow) string {
		return fmt.Sprintf("%s\t%s", c.At.Format(timeLayout), c.Cause)
	})
	p.table("POOL\tROUTE\tCAUSE", r.Pools, func(c zinniapond.CauseRow) string {
		return fmt.Sprintf("%s\t%s\t%s", printable(string(c.Pool)), printable(c.Route), c.Cause)
	})
	p.table("HOST THAT STANDS OUT\tCAUSE\tMEAN OF OTHERS", r.Hosts, func(c zinniapond.CauseRow) string {
		return fmt.Sprintf("%s\t%s\t%.1f", printable(string(c.Host)), c.Cause, c.OthersMean)
	})
	p.table("REPLICA THAT STANDS OUT\tCAUSE\tMEAN OF OTHERS", r.Replicas, func(c zinniapond.CauseRow) string {
		return fmt.Sprintf("%s\t%s\t%.1f", c.Replica, c.Cause, c.OthersMean)
	})
	if len(r.Unknown) > 0 {
		p.line("\nREQUESTS\tUNKNOWN CAUSE")
	}
	for _, u := range r.Unknown {
		p.line("%d\t%s", u.Requests, printable(u.Reason))
	}
	if p.err != nil {
		return p.err
	}
	return p.w.Flush()
}

// printable returns a text from a log such that it cannot change the terminal or the
// columns.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return cmp.Or(text, "-")
}
