package calls

import "zinniapond.example/zinniapond"

// Replay applies a record of the program's journal. Records come in the order
// in which they were written.
func (b *Book) Replay(record *zinniapond.Record) {
	switch record.Kind {
	case zinniapond.RecordOpen:
		b.Program = *record.Opened
	case zinniapond.RecordIntent:
		s := b.byID[record.Call.ID]
		if s == nil {
			s = b.add(record.Call)
		}
		s.started, s.intended = true, true
	case zinniapond.RecordResult:
		if record.Answer.Outcome == zinniapond.OutcomeNotRun {
			b.Withdraw(record.Answer.Call)
			return
		}
		b.Finish(record.Answer.Call, record.Answer)
	case zinniapond.RecordEnd:
		b.End(record.At, record.Reason)
	case zinniapond.RecordGrant, zinniapond.RecordEmpty:
	}
}

// Interrupted is called after the replay by a new owner. It returns the calls
// that may have run and must not run again, whose outcome is now unknown.
// Interrupted idempotent calls are withdrawn, so that they can be asked for
// again.
func (b *Book) Interrupted() []zinniapond.CallID {
	var unknown []zinniapond.CallID
	for _, s := range append([]*step(nil), b.waiting...) {
		if s.idempotent {
			b.Withdraw(s.id)
			continue
		}
		unknown = append(unknown, s.id)
	}
	return unknown
}
