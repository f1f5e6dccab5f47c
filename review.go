package zinniapond

import (
	"fmt"
	"time"
)

// RoutingDecoder decodes the document of a configuration.
type RoutingDecoder interface {
	// Decode returns the configuration. It checks only that the document is complete;
	// all errors wrap ErrMalformed.
	Decode(text []byte) (*Routing, error)
}

// RoutingReviewer examines a configuration before operators send it.
type RoutingReviewer interface {
	// Review returns all findings of a configuration and, unless current is nil, what
	// differs from current, the configuration in force. Neither has a key of a client
	// in it.
	Review(next, current *Routing) RoutingReview
}

// RoutingReview is what was found in a configuration.
type RoutingReview struct {
	// Findings has errors first, and each kind in the order of the configuration.
	Findings []Finding
	Changes  *RoutingChanges
}

// Severity says whether a configuration with a finding is refused.
type Severity string

// The severities.
const (
	// SeverityError findings have the configuration refused.
	SeverityError Severity = "error"
	// SeverityWarning findings are accepted, but probably not intended.
	SeverityWarning Severity = "warning"
)

// Finding is one thing in a configuration that operators may want to change.
type Finding struct {
	Severity Severity
	// Code identifies the kind of finding. It does not change with its wording.
	Code    string
	Place   Place
	Problem string
}

// String returns the place and the problem on one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s", f.Place, f.Problem) }

// EntryKind is the list of a configuration that an entry is in.
type EntryKind string

// The kinds of entry.
const (
	EntryConfiguration EntryKind = "configuration" // the configuration as a whole
	EntryRoute         EntryKind = "route"
	EntryService       EntryKind = "service"
	EntryPlan          EntryKind = "plan"
)

// Place is an entry of a configuration.
type Place struct {
	Kind   EntryKind
	Number int    // in its list, from 1
	Name   string // empty if the name is missing or cannot identify the entry
	Key    int    // number of the key of a plan, from 1; 0 if the place is no key
}

// String returns the kind with the name or else the number. It leaves the number of a
// key to the problem.
func (p Place) String() string {
	switch {
	case p.Kind == EntryConfiguration:
		return string(p.Kind)
	case p.Name == "":
		return fmt.Sprintf("%s %d", p.Kind, p.Number)
	}
	return fmt.Sprintf("%s %.64q", p.Kind, p.Name)
}

// RoutingChanges is the difference between two configurations. Routes are the same if
// they match the same requests, whatever their names are.
type RoutingChanges struct {
	From, To        uint64 // versions
	RoutesAdded     []RouteID
	RoutesRemoved   []RouteID
	RoutesMoved     []RouteMove
	TimeoutsChanged []TimeoutChange
	ServicesAdded   []PoolName
	ServicesRemoved []PoolName
	PlansAdded      []PlanName
	PlansRemoved    []PlanName
	KeysChanged     []KeyChange
	// OtherChanges are the entries of which something else has changed.
	OtherChanges []Place
}

// IsEmpty reports whether the configurations differ in nothing but their versions.
func (c *RoutingChanges) IsEmpty() bool {
	return len(c.RoutesAdded)+len(c.RoutesRemoved)+len(c.RoutesMoved)+len(c.TimeoutsChanged)+len(c.ServicesAdded)+
		len(c.ServicesRemoved)+len(c.PlansAdded)+len(c.PlansRemoved)+len(c.KeysChanged)+len(c.OtherChanges) == 0
}

// RouteID identifies a route by what it matches, with its name.
type RouteID struct {
	Name, Host, PathPrefix string
}

// RouteMove is a route whose requests go to other services, or in other shares.
type RouteMove struct {
	Route         RouteID
	Before, After []Split
}

// TimeoutChange is a route with another timeout.
type TimeoutChange struct {
	Route         RouteID
	Before, After time.Duration
}

// KeyChange is the number of keys that a plan gains and loses.
type KeyChange struct {
	Plan           PlanName
	Added, Removed int
}
