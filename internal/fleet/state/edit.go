package state

import "zinniapond.example/zinniapond"

// replaceTextsByEdits replaces the texts of a change by the edits from the lists
// that it was made from. Every host has these lists, so a record, the log and the
// traffic to each host grow with the change and not with the lists, which have 4 MB
// at 21,000 plans.
func replaceTextsByEdits(base zinniapond.Lists, command *zinniapond.Command) {
	if command.ExpectedVersion != base.Version {
		return
	}
	command.Digest = digest(command)
	command.PlansEdit = newListEdit(base.Plans, command.Plans)
	command.UsageEdit = newListEdit(base.Usage, command.Usage)
	command.Plans, command.Usage = "", ""
}

// restoreTexts reverses replaceTextsByEdits. It does not alter a change that was
// made from other lists: that is a conflict, of which the texts are not kept. It
// returns false if an edit does not fit its list.
func restoreTexts(base zinniapond.Lists, command zinniapond.Command) (zinniapond.Command, bool) {
	if command.PlansEdit == nil || command.UsageEdit == nil || command.ExpectedVersion != base.Version {
		return command, true
	}
	var plansFit, usageFit bool
	command.Plans, plansFit = applyListEdit(base.Plans, command.PlansEdit)
	command.Usage, usageFit = applyListEdit(base.Usage, command.UsageEdit)
	return command, plansFit && usageFit
}

// newListEdit returns the part of text between the longest prefix and the longest
// suffix that it has in common with base.
func newListEdit(base, text string) *zinniapond.ListEdit {
	maxLength := min(len(base), len(text))
	head := 0
	for head < maxLength && base[head] == text[head] {
		head++
	}
	tail := 0
	for tail < maxLength-head && base[len(base)-1-tail] == text[len(text)-1-tail] {
		tail++
	}
	return &zinniapond.ListEdit{KeptHeadBytes: head, KeptTailBytes: tail, Text: text[head : len(text)-tail]}
}

func applyListEdit(base string, e *zinniapond.ListEdit) (string, bool) {
	if e.KeptHeadBytes < 0 || e.KeptTailBytes < 0 || e.KeptHeadBytes+e.KeptTailBytes > len(base) {
		return "", false
	}
	return base[:e.KeptHeadBytes] + e.Text + base[len(base)-e.KeptTailBytes:], true
}
