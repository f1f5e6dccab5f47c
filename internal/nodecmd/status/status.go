// Package status implements the command that shows hosts, shards and degradations
// of service, or what one host exports at its metrics address.
package status

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
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
	Metrics         netip.AddrPort `placeholder:"IP:PORT" help:"Metrics address of a front or control host, to show its configuration, limits, queues and ramp-ups. Needs no key; --address is not used."`
	Check           bool           `help:"Fail if a host lags or cannot be reached, a shard has no owner, or service has degraded; with --metrics, if the host cannot check keys."`
}

// report contains the parts of the answer to GET /v1/status that are printed.
type report struct {
	Host        zinniapond.HostName `json:"host"`
	Leader      zinniapond.HostName `json:"leader"`
	Index       zinniapond.Index    `json:"index"`
	Version     zinniapond.Version  `json:"version"`
	LeaseValid  bool                `json:"fresh"`
	ConfirmedAt time.Time           `json:"confirmed"`
	Lagging     []string            `json:"lagging"`
	Members     []struct {
		zinniapond.Member
		Version      zinniapond.Version       `json:"version"`
		LeaseValid   bool                     `json:"fresh"`
		Problem      string                   `json:"problem"`
		Degradations []zinniapond.Degradation `json:"declines"`
	} `json:"members"`
	Shards struct {
		Total   int                         `json:"total"`
		Unowned []zinniapond.ShardID        `json:"unowned"`
		Joining []zinniapond.ShardID        `json:"joining"`
		Owners  map[zinniapond.HostName]int `json:"owners"`
	} `json:"shards"`
	Degradations []zinniapond.Degradation `json:"declines"`
}

// Validate reports options without any address as a usage error.
func (o *Options) Validate() error {
	if !o.Metrics.IsValid() && !o.Address.IsValid() {
		return errors.New("missing flags: --address=IP:PORT or --metrics=IP:PORT")
	}
	return nil
}

// Run prints the state of the cluster as known to one host, or the overview of one
// host. With --check, it returns an error that lists the problems.
func (o *Options) Run(ctx context.Context, f *inject.Factory) error {
	if o.Metrics.IsValid() {
		return o.runOverview(ctx, f)
	}
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
	leaseState := "holds"
	if !r.LeaseValid {
		leaseState = "EXPIRED, last confirmed " + r.ConfirmedAt.Format(time.RFC3339)
	}
	p := printer{w: t}
	p.printLine("seen by %s: leader %s, index %d, lists version %d, lease %s", r.Host, r.Leader, r.Index, r.Version, leaseState)
	p.printLine("HOST\tSTATE\tDATA CENTRE\tROLES\tSHARDS\tLISTS\tLEASE\tPROBLEM")
	for _, m := range r.Members {
		leaseState := "holds"
		if !m.LeaseValid {
			leaseState = "-"
		}
		p.printLine("%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s", m.Name, m.State, m.DataCentre, joinRoles(m.Roles), r.Shards.Owners[m.Name], m.Version, leaseState, m.Problem)
	}
	p.printLine("shards: %d, without owner %d, replicas joining %d", r.Shards.Total, len(r.Shards.Unowned), len(r.Shards.Joining))
	for _, d := range r.degradations() {
		p.printLine("DEGRADED %s", d)
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// degradations returns the degradations that the hosts report, sorted and without
// duplicates.
func (r *report) degradations() []string {
	seen := make(map[string]bool)
	add := func(host zinniapond.HostName, list []zinniapond.Degradation) {
		for _, d := range list {
			seen[fmt.Sprintf("%s at %s since %s: %s", d.Subject, host, d.Since.Format(time.RFC3339), d.Reason)] = true
		}
	}
	add(r.Host, r.Degradations)
	for _, m := range r.Members {
		add(m.Name, m.Degradations)
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
	if !r.LeaseValid {
		problems = append(problems, fmt.Sprintf("lease of %s has expired", r.Host))
	}
	if len(r.Lagging) > 0 {
		problems = append(problems, "hosts lag: "+strings.Join(r.Lagging, ", "))
	}
	if n := len(r.Shards.Unowned); n > 0 {
		problems = append(problems, fmt.Sprintf("%d shards have no owner", n))
	}
	problems = append(problems, r.degradations()...)
	if problems == nil {
		return nil
	}
	return fmt.Errorf("check status: %w", errors.New(strings.Join(problems, "; ")))
}

// printer prints lines until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func joinRoles(list []zinniapond.Role) string {
	names := make([]string, 0, len(list))
	for _, r := range list {
		names = append(names, string(r))
	}
	return strings.Join(names, ",")
}
