// Package status is the command that shows hosts, shards and degradation.
package status

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/core/remote"
)

// Options are the options of `node status`.
type Options struct {
	remote.Operator `embed:""`
	Check           bool `help:"Fail if a host lags or cannot be reached, a shard has no owner, or service has degraded."`
}

// report has the parts of GET /v1/status that are shown.
type report struct {
	Host      zinniapond.HostName `json:"host"`
	Leader    zinniapond.HostName `json:"leader"`
	Index     zinniapond.Index    `json:"index"`
	Version   zinniapond.Version  `json:"version"`
	Fresh     bool                `json:"fresh"`
	Confirmed time.Time           `json:"confirmed"`
	Lagging   []string            `json:"lagging"`
	Members   []struct {
		zinniapond.Member
		Version  zinniapond.Version   `json:"version"`
		Fresh    bool                 `json:"fresh"`
		Problem  string               `json:"problem"`
		Declines []zinniapond.Decline `json:"declines"`
	} `json:"members"`
	Shards struct {
		Total   int                         `json:"total"`
		Unowned []zinniapond.ShardID        `json:"unowned"`
		Joining []zinniapond.ShardID        `json:"joining"`
		Owners  map[zinniapond.HostName]int `json:"owners"`
	} `json:"shards"`
	Declines []zinniapond.Decline `json:"declines"`
}

// Run prints the state of the cluster as one host has it.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	var r report
	text, err := o.Do(ctx, f, "read status", http.MethodGet, "/v1/status", nil, &r)
	if err != nil {
		return err
	}
	if o.JSON {
		_, err = f.Out.Write(text)
	} else {
		err = r.print(f.Out)
	}
	if err != nil || !o.Check {
		return err
	}
	return r.check()
}

func (r *report) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	lease := "holds"
	if !r.Fresh {
		lease = "EXPIRED, last confirmed " + r.Confirmed.Format(time.RFC3339)
	}
	p := printer{w: t}
	p.line("seen by %s: leader %s, index %d, lists version %d, lease %s", r.Host, r.Leader, r.Index, r.Version, lease)
	p.line("HOST\tSTATE\tDATA CENTRE\tROLES\tSHARDS\tLISTS\tLEASE\tPROBLEM")
	for _, m := range r.Members {
		lease := "holds"
		if !m.Fresh {
			lease = "-"
		}
		p.line("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s", m.Name, m.State, m.DataCentre, roles(m.Roles), r.Shards.Owners[m.Name], m.Version, lease, m.Problem)
	}
	p.line("shards: %d, without owner %d, replicas joining %d", r.Shards.Total, len(r.Shards.Unowned), len(r.Shards.Joining))
	for _, d := range r.degraded() {
		p.line("DEGRADED %s", d)
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// degraded lists what the hosts report, each host's finding once.
func (r *report) degraded() []string {
	seen := make(map[string]bool)
	add := func(host zinniapond.HostName, list []zinniapond.Decline) {
		for _, d := range list {
			seen[fmt.Sprintf("%s at %s since %s: %s", d.Subject, host, d.Since.Format(time.RFC3339), d.Reason)] = true
		}
	}
	add(r.Host, r.Declines)
	for _, m := range r.Members {
		add(m.Name, m.Declines)
	}
	lines := make([]string, 0, len(seen))
	for l := range seen {
		lines = append(lines, l)
	}
	sort.Strings(lines)
	return lines
}

func (r *report) check() error {
	var problems []string
	if !r.Fresh {
		problems = append(problems, fmt.Sprintf("lease of %s has expired", r.Host))
	}
	if len(r.Lagging) > 0 {
		problems = append(problems, "hosts lag: "+strings.Join(r.Lagging, ", "))
	}
	if n := len(r.Shards.Unowned); n > 0 {
		problems = append(problems, fmt.Sprintf("%d shards have no owner", n))
	}
	problems = append(problems, r.degraded()...)
	if problems == nil {
		return nil
	}
	return fmt.Errorf("check status: %w", errors.New(strings.Join(problems, "; ")))
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func roles(list []zinniapond.Role) string {
	names := make([]string, 0, len(list))
	for _, r := range list {
		names = append(names, string(r))
	}
	return strings.Join(names, ",")
}
