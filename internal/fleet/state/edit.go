package state

import "zinniapond.example/zinniapond"

// shorten replaces the texts of a change by what differs from the lists that it
// was made from. Every host has these, so a record, the log and the traffic to
// each host grow with the change and not with the lists: 4 MB at 21,000 plans.
func shorten(base zinniapond.Lists, command *zinniapond.Command) {
	if command.Expect != base.Version {
		return
	}
	command.Digest = digest(command)
	command.PlansEdit = edit(base.Plans, command.Plans)
	command.UsageEdit = edit(base.Usage, command.Usage)
	command.Plans, command.Usage = "", ""
}

// expand undoes shorten. It leaves a change alone that was made from other
// lists: it is a conflict, of which the texts are not kept.
func expand(base zinniapond.Lists, command zinniapond.Command) (zinniapond.Command, bool) {
	if command.PlansEdit == nil || command.UsageEdit == nil || command.Expect != base.Version {
		return command, true
	}
	var first, second bool
	command.Plans, first = join(base.Plans, command.PlansEdit)
	command.Usage, second = join(base.Usage, command.UsageEdit)
	return command, first && second
}

// edit returns the middle of text, between the longest beginning and the
// longest end that it has in common with base.
func edit(base, text string) *zinniapond.ListEdit {
	most := min(len(base), len(text))
	head := 0
	for head < most && base[head] == text[head] {
		head++
	}
	tail := 0
	for tail < most-head && base[len(base)-1-tail] == text[len(text)-1-tail] {
		tail++
	}
	return &zinniapond.ListEdit{Head: head, Tail: tail, Text: text[head : len(text)-tail]}
}

func join(base string, e *zinniapond.ListEdit) (string, bool) {
	if e.Head < 0 || e.Tail < 0 || e.Head+e.Tail > len(base) {
		return "", false
	}
	return base[:e.Head] + e.Text + base[len(base)-e.Tail:], true
}
