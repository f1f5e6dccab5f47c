// Package state builds the control state from the records of the control log.
// Every host applies the same records in the same order and gets the same
// state; nothing here depends on the time, the host or the version of the list
// parser.
package state

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/record"
)

// defaultMaxOutcomes is the number of changes of the lists whose outcome is kept.
// At 580 changes a day it covers a week of late resends.
const defaultMaxOutcomes = 4096

// State is the control state. It is not safe for concurrent use, but the views
// that it returns are. The exported fields are set before the first call.
type State struct {
	// Parse checks a pair of lists and returns its faults.
	Parse func(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault)
	// MaxOutcomes is the number of changes whose outcome is kept; 0 for the default.
	MaxOutcomes int

	view        *zinniapond.ControlView
	catalog     *zinniapond.Catalog
	outcomes    map[zinniapond.ChangeID]outcome
	changeOrder []zinniapond.ChangeID // of outcomes, oldest first
	voters      []zinniapond.VoterKey
}

// outcome is the result of a change of the lists, kept for resent copies of it. It
// has no texts: an accepted change is resent with them, and a conflict shows the
// lists in force.
type outcome struct {
	Index    zinniapond.Index       `cbor:"i"`
	Accepted bool                   `cbor:"ok,omitempty"`
	Conflict bool                   `cbor:"cf,omitempty"`
	Reason   string                 `cbor:"why,omitempty"`
	Version  zinniapond.Version     `cbor:"v"`
	Faults   []zinniapond.ListFault `cbor:"f,omitempty"`
	Digest   uint64                 `cbor:"d"`
}

// View returns the present state, never nil. The returned view is not changed
// afterwards.
func (s *State) View() *zinniapond.ControlView {
	if s.view == nil {
		s.view = &zinniapond.ControlView{}
	}
	return s.view
}

// Catalog returns the parsed lists of View, never nil.
func (s *State) Catalog() *zinniapond.Catalog {
	if s.catalog == nil {
		s.catalog = &zinniapond.Catalog{}
	}
	return s.catalog
}

// Voters returns the voter set of the last applied record that has one.
func (s *State) Voters() []zinniapond.VoterKey { return s.voters }

// Check completes a command before the leader appends it: it adds the faults of
// the lists and replaces their texts by edits. It returns false with the result if
// the command needs no record, because it is a resent copy.
func (s *State) Check(command *zinniapond.Command) (zinniapond.CommandResult, bool) {
	if command.Kind != zinniapond.CommandLists {
		return zinniapond.CommandResult{}, true
	}
	if known, ok := s.outcomes[command.ChangeID]; ok && command.ChangeID != "" {
		return s.repeatOutcome(known, command), false
	}
	_, command.Faults = s.parseLists(command.ExpectedVersion+1, command.Plans, command.Usage)
	replaceTextsByEdits(s.View().Lists, command)
	return zinniapond.CommandResult{}, true
}

func (s *State) parseLists(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault) {
	if s.Parse == nil {
		return &zinniapond.Catalog{Version: version}, nil
	}
	return s.Parse(version, plans, usage)
}

// Apply applies a record to the state and returns its result. A record that was
// applied before changes nothing.
func (s *State) Apply(entry zinniapond.LogEntry) (zinniapond.CommandResult, error) {
	view := s.View()
	if entry.Index <= view.Index {
		return zinniapond.CommandResult{Index: entry.Index, Reason: "applied before"}, nil
	}
	if entry.Index != view.Index+1 {
		return zinniapond.CommandResult{}, fmt.Errorf("apply record %d after %d: %w", entry.Index, view.Index, zinniapond.ErrCorrupt)
	}
	var command zinniapond.Command
	if len(entry.Data) > 0 {
		if err := new(record.Codec).Decode(entry.Data, &command); err != nil {
			return zinniapond.CommandResult{}, fmt.Errorf("decode record %d: %w", entry.Index, err)
		}
	}
	if entry.Voters != nil {
		s.voters = entry.Voters
	}
	next := *view
	next.Index, next.Voters = entry.Index, s.voters
	result := s.apply(&next, command)
	if result.Index == 0 { // a resent change has the index of its first record
		result.Index = entry.Index
	}
	s.view = &next
	return result, nil
}

// apply applies a command to view, which shares its maps with the previous view; a
// map is copied before it is changed.
func (s *State) apply(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	switch command.Kind {
	case zinniapond.CommandLists:
		return s.applyLists(view, command)
	case zinniapond.CommandRegister:
		return applyRegister(view, command)
	case zinniapond.CommandMember:
		return applyMember(view, command)
	case zinniapond.CommandAssign:
		return applyAssign(view, command)
	case zinniapond.CommandOrder:
		return applyOrder(view, command)
	case zinniapond.CommandRouting:
		return applyRouting(view, command)
	case zinniapond.CommandDisk:
		return applyDisk(view, command)
	case zinniapond.CommandBackends:
		return applyBackends(view, command)
	case zinniapond.CommandBackendsEdit:
		return applyBackendsEdit(view, command)
	case zinniapond.CommandEmpty, "":
		if command.Shards > 0 && view.Shards == 0 {
			view.Shards = command.Shards
		}
		return acceptedResult()
	case zinniapond.CommandVoters:
		return acceptedResult()
	default:
		return refusedResult("unknown command " + string(command.Kind))
	}
}

func acceptedResult() zinniapond.CommandResult { return zinniapond.CommandResult{Accepted: true} }

func refusedResult(reason string) zinniapond.CommandResult {
	return zinniapond.CommandResult{Reason: reason}
}

// applyLists replaces the lists if the change was made from the version in force.
func (s *State) applyLists(view *zinniapond.ControlView, command zinniapond.Command) zinniapond.CommandResult {
	if known, ok := s.outcomes[command.ChangeID]; ok && command.ChangeID != "" {
		return s.repeatOutcome(known, &command)
	}
	command, editsFit := restoreTexts(view.Lists, command)
	result := zinniapond.CommandResult{Faults: command.Faults}
	switch {
	case !editsFit:
		result.Reason = "the change does not fit the lists that it names"
	case command.ExpectedVersion != view.Lists.Version:
		result.Conflict = true
		result.Faults = nil
		result.Reason = fmt.Sprintf("made from version %d, in force is %d", command.ExpectedVersion, view.Lists.Version)
	case len(command.Faults) > 0:
		result.Reason = "the lists have faults"
	default:
		result.Accepted = true
		view.Lists = zinniapond.Lists{Version: command.ExpectedVersion + 1, Plans: command.Plans, Usage: command.Usage}
		s.catalog, _ = s.parseLists(view.Lists.Version, command.Plans, command.Usage)
	}
	result.Lists = view.Lists
	s.recordOutcome(command.ChangeID, outcome{
		Index: view.Index, Accepted: result.Accepted, Conflict: result.Conflict, Reason: result.Reason,
		Version: view.Lists.Version, Faults: result.Faults, Digest: digest(&command),
	})
	return result
}

// digest returns a hash of a change, by which two different changes under one id
// are told apart.
func digest(command *zinniapond.Command) uint64 {
	if command.Digest != 0 {
		return command.Digest
	}
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%d %d ", command.ExpectedVersion, len(command.Plans)) // never fails
	_, _ = d.WriteString(command.Plans)
	_, _ = d.WriteString(command.Usage)
	return d.Sum64()
}

// recordOutcome keeps the outcome of a change and drops the oldest beyond the bound.
func (s *State) recordOutcome(change zinniapond.ChangeID, o outcome) {
	if change == "" {
		return
	}
	if s.outcomes == nil {
		s.outcomes = make(map[zinniapond.ChangeID]outcome)
	}
	s.outcomes[change] = o
	s.changeOrder = append(s.changeOrder, change)
	maxOutcomes := s.MaxOutcomes
	if maxOutcomes == 0 {
		maxOutcomes = defaultMaxOutcomes
	}
	for len(s.changeOrder) > maxOutcomes {
		delete(s.outcomes, s.changeOrder[0])
		s.changeOrder = s.changeOrder[1:]
	}
}

// repeatOutcome returns the first outcome of a resent change.
func (s *State) repeatOutcome(known outcome, command *zinniapond.Command) zinniapond.CommandResult {
	lists := s.View().Lists
	if known.Digest != digest(command) {
		return zinniapond.CommandResult{
			Index: known.Index, Reason: "another change has the same id", Lists: lists,
		}
	}
	result := zinniapond.CommandResult{
		Index: known.Index, Accepted: known.Accepted, Conflict: known.Conflict,
		Reason: known.Reason, Faults: known.Faults, Lists: lists,
	}
	if known.Accepted {
		result.Lists = zinniapond.Lists{Version: known.Version, Plans: command.Plans, Usage: command.Usage}
	}
	return result
}

// snapshot is the encoded form of the state.
type snapshot struct {
	Index       zinniapond.Index                `cbor:"i"`
	Shards      int                             `cbor:"s"`
	Lists       zinniapond.Lists                `cbor:"l"`
	Members     []zinniapond.Member             `cbor:"m"`
	Assignments []zinniapond.Assignment         `cbor:"a"`
	Orders      []zinniapond.Order              `cbor:"o"`
	Outcomes    map[zinniapond.ChangeID]outcome `cbor:"c"`
	Order       []zinniapond.ChangeID           `cbor:"co"`
	Voters      []zinniapond.VoterKey           `cbor:"v"`
	Routing     *zinniapond.Routing             `cbor:"r,omitempty"`
	Disks       []zinniapond.Disk               `cbor:"d,omitempty"`
	DisksIndex  zinniapond.Index                `cbor:"di,omitempty"`
	Retired     []zinniapond.Disk               `cbor:"rt,omitempty"`
	Backends    []zinniapond.Backend            `cbor:"b,omitempty"`
	BackendsAt  zinniapond.Index                `cbor:"bi,omitempty"`
	Past        []zinniapond.PastVersion        `cbor:"pv,omitempty"`
}

// Encode returns a snapshot of the state, with the same bytes on all hosts.
func (s *State) Encode() ([]byte, error) {
	view := s.View()
	i := snapshot{
		Index: view.Index, Shards: view.Shards, Lists: view.Lists,
		Outcomes: s.outcomes, Order: s.changeOrder, Voters: s.voters,
		Routing: view.Routing, DisksIndex: view.DisksIndex,
		Backends: view.Backends, BackendsAt: view.BackendsIndex, Past: view.PastVersions,
	}
	for _, id := range slices.Sorted(maps.Keys(view.Disks)) {
		i.Disks = append(i.Disks, view.Disks[id])
	}
	for _, id := range slices.Sorted(maps.Keys(view.Retired)) {
		i.Retired = append(i.Retired, view.Retired[id])
	}
	for _, name := range slices.Sorted(maps.Keys(view.Members)) {
		i.Members = append(i.Members, view.Members[name])
	}
	for _, id := range slices.Sorted(maps.Keys(view.Assignments)) {
		i.Assignments = append(i.Assignments, view.Assignments[id])
	}
	for _, o := range view.Orders {
		i.Orders = append(i.Orders, o)
	}
	slices.SortFunc(i.Orders, func(a, b zinniapond.Order) int { return a.Backend.Compare(b.Backend) })
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("encode control state: %w", err)
	}
	data, err := new(record.Codec).Encode(mode, i)
	if err != nil {
		return nil, fmt.Errorf("encode control state: %w", err)
	}
	return data, nil
}

// Decode replaces the state by a snapshot. A snapshot that is not newer than the
// state changes nothing.
func (s *State) Decode(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var i snapshot
	if err := new(record.Codec).Decode(data, &i); err != nil {
		return fmt.Errorf("decode control state: %w", err)
	}
	if i.Index <= s.View().Index {
		return nil
	}
	view := &zinniapond.ControlView{
		Index: i.Index, Shards: i.Shards, Lists: i.Lists, Voters: i.Voters,
		Members:     make(map[zinniapond.HostName]zinniapond.Member, len(i.Members)),
		Assignments: make(map[zinniapond.ShardID]zinniapond.Assignment, len(i.Assignments)),
	}
	for _, m := range i.Members {
		view.Members[m.Name] = m
	}
	for _, a := range i.Assignments {
		view.Assignments[a.Shard] = a
	}
	for _, o := range i.Orders {
		putInCopy(&view.Orders, o.Backend, o)
	}
	view.Routing, view.DisksIndex = i.Routing, i.DisksIndex
	view.Backends, view.BackendsIndex, view.PastVersions = i.Backends, i.BackendsAt, i.Past
	for _, d := range i.Disks {
		putInCopy(&view.Disks, d.ID, d)
	}
	for _, d := range i.Retired {
		putInCopy(&view.Retired, d.ID, d)
	}
	s.view, s.outcomes, s.changeOrder, s.voters = view, i.Outcomes, i.Order, i.Voters
	s.catalog, _ = s.parseLists(i.Lists.Version, i.Lists.Plans, i.Lists.Usage)
	return nil
}
