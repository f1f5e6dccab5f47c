package check

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
)

// The JSON output. Its fields are stable: scripts of operators read them.
type reviewJSON struct {
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Findings []findingJSON `json:"findings"`
	Changes  *changesJSON  `json:"changes,omitempty"`
}

type findingJSON struct {
	Severity zinniapond.Severity `json:"severity"`
	Code     string              `json:"code"`
	placeJSON
	Problem string `json:"problem"`
}

type placeJSON struct {
	Kind   zinniapond.EntryKind `json:"kind"`
	Number int                  `json:"number,omitempty"`
	Name   string               `json:"name,omitempty"`
	Key    int                  `json:"key,omitempty"`
}

type changesJSON struct {
	From            uint64                `json:"from"`
	To              uint64                `json:"to"`
	RoutesAdded     []routeJSON           `json:"routesAdded"`
	RoutesRemoved   []routeJSON           `json:"routesRemoved"`
	RoutesMoved     []moveJSON            `json:"routesMoved"`
	TimeoutsChanged []timeoutJSON         `json:"timeoutsChanged"`
	ServicesAdded   []zinniapond.PoolName `json:"servicesAdded"`
	ServicesRemoved []zinniapond.PoolName `json:"servicesRemoved"`
	PlansAdded      []zinniapond.PlanName `json:"plansAdded"`
	PlansRemoved    []zinniapond.PlanName `json:"plansRemoved"`
	KeysChanged     []keysJSON            `json:"keysChanged"`
	OtherChanges    []placeJSON           `json:"otherChanges"`
}

type routeJSON struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
}

type splitJSON struct {
	Service zinniapond.PoolName `json:"service"`
	Weight  int                 `json:"weight"`
}

type moveJSON struct {
	routeJSON
	Before []splitJSON `json:"before"`
	After  []splitJSON `json:"after"`
}

type timeoutJSON struct {
	routeJSON
	BeforeMs float64 `json:"beforeMs"`
	AfterMs  float64 `json:"afterMs"`
}

type keysJSON struct {
	Plan    zinniapond.PlanName `json:"plan"`
	Added   int                 `json:"added"`
	Removed int                 `json:"removed"`
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// convert returns the results of a function for all entries. The list is never nil, so
// that an empty one is [] in JSON.
func convert[S, T any](list []S, of func(S) T) []T {
	converted := make([]T, 0, len(list))
	for _, e := range list {
		converted = append(converted, of(e))
	}
	return converted
}

func convertPlace(p zinniapond.Place) placeJSON { return placeJSON(p) }

func convertSplit(s zinniapond.Split) splitJSON { return splitJSON(s) }

func convertRoute(r zinniapond.RouteID) routeJSON { return routeJSON(r) }

func convertFinding(f zinniapond.Finding) findingJSON {
	return findingJSON{Severity: f.Severity, Code: f.Code, placeJSON: placeJSON(f.Place), Problem: f.Problem}
}

func convertChanges(c *zinniapond.RoutingChanges) *changesJSON {
	if c == nil {
		return nil
	}
	return &changesJSON{
		From: c.From, To: c.To,
		RoutesAdded: convert(c.RoutesAdded, convertRoute), RoutesRemoved: convert(c.RoutesRemoved, convertRoute),
		RoutesMoved: convert(c.RoutesMoved, func(m zinniapond.RouteMove) moveJSON {
			return moveJSON{convertRoute(m.Route), convert(m.Before, convertSplit), convert(m.After, convertSplit)}
		}),
		TimeoutsChanged: convert(c.TimeoutsChanged, func(t zinniapond.TimeoutChange) timeoutJSON {
			return timeoutJSON{convertRoute(t.Route), milliseconds(t.Before), milliseconds(t.After)}
		}),
		ServicesAdded: append([]zinniapond.PoolName{}, c.ServicesAdded...), ServicesRemoved: append([]zinniapond.PoolName{}, c.ServicesRemoved...),
		PlansAdded: append([]zinniapond.PlanName{}, c.PlansAdded...), PlansRemoved: append([]zinniapond.PlanName{}, c.PlansRemoved...),
		KeysChanged:  convert(c.KeysChanged, func(k zinniapond.KeyChange) keysJSON { return keysJSON(k) }),
		OtherChanges: convert(c.OtherChanges, convertPlace),
	}
}

// printReview prints the findings and changes, as JSON or one to a line.
func (o *Options) printReview(f *inject.Factory, review zinniapond.RoutingReview) error {
	if o.JSON {
		errorCount, warningCount := countFindings(review.Findings)
		return json.NewEncoder(f.Out).Encode(reviewJSON{
			Errors: errorCount, Warnings: warningCount,
			Findings: convert(review.Findings, convertFinding), Changes: convertChanges(review.Changes),
		})
	}
	var text strings.Builder
	for _, n := range review.Findings {
		fmt.Fprintf(&text, "%s: %s\n", n.Severity, n)
	}
	if len(review.Findings) == 0 {
		text.WriteString("no faults\n")
	}
	if review.Changes != nil {
		writeChanges(&text, review.Changes)
	}
	_, err := io.WriteString(f.Out, text.String())
	return err
}

// writeChanges writes the groups that are not empty, each entry on a line of its own.
func writeChanges(w *strings.Builder, c *zinniapond.RoutingChanges) {
	if c.IsEmpty() {
		fmt.Fprintf(w, "no changes from version %d to %d\n", c.From, c.To)
		return
	}
	fmt.Fprintf(w, "changes from version %d to %d:\n", c.From, c.To)
	writeGroup(w, "routes added", convert(c.RoutesAdded, describeRoute))
	writeGroup(w, "routes removed", convert(c.RoutesRemoved, describeRoute))
	writeGroup(w, "routes moved to other services", convert(c.RoutesMoved, func(m zinniapond.RouteMove) string {
		return fmt.Sprintf("%s: %s -> %s", describeRoute(m.Route), describeSplits(m.Before), describeSplits(m.After))
	}))
	writeGroup(w, "timeouts changed", convert(c.TimeoutsChanged, func(t zinniapond.TimeoutChange) string {
		return fmt.Sprintf("%s: %s -> %s", describeRoute(t.Route), t.Before, t.After)
	}))
	writeGroup(w, "services added", convert(c.ServicesAdded, describeService))
	writeGroup(w, "services removed", convert(c.ServicesRemoved, describeService))
	writeGroup(w, "plans added", convert(c.PlansAdded, describePlan))
	writeGroup(w, "plans removed", convert(c.PlansRemoved, describePlan))
	writeGroup(w, "keys changed", convert(c.KeysChanged, func(k zinniapond.KeyChange) string {
		return fmt.Sprintf("plan %s: %d added, %d removed", describePlan(k.Plan), k.Added, k.Removed)
	}))
	writeGroup(w, "changed otherwise", convert(c.OtherChanges, zinniapond.Place.String))
}

func writeGroup(w *strings.Builder, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w, "  %s:\n", title)
	for _, l := range lines {
		fmt.Fprintf(w, "    %s\n", l)
	}
}

func describeService(name zinniapond.PoolName) string { return fmt.Sprintf("%.64q", name) }

func describePlan(name zinniapond.PlanName) string { return fmt.Sprintf("%.64q", name) }

func describeRoute(r zinniapond.RouteID) string {
	return fmt.Sprintf("%.64q at %.200q", r.Name, r.Host+r.PathPrefix)
}

func describeSplits(splits []zinniapond.Split) string {
	return strings.Join(convert(splits, func(s zinniapond.Split) string { return fmt.Sprintf("%.64q %d", s.Service, s.Weight) }), ", ")
}
