package calls

import "zinniapond.example/zinniapond"

// Replay applies a record from the program's journal. The records have to be
// applied in the order in which they were written.
func (b *Tracker) Replay(record *zinniapond.Record) {
	switch record.Kind {
	case zinniapond.RecordOpen:
		b.Program = *record.OpenedProgram
	case zinniapond.RecordIntent:
		e := b.byID[record.Call.ID]
		if e == nil {
			e = b.addCall(record.Call)
		}
		e.started, e.intentDurable = true, true
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

// Interrupted is called by a new owner after the replay of the journal. It
// returns the non-idempotent calls without a result: they may have run and must
// not run again, so their outcome is unknown. Interrupted idempotent calls are
// withdrawn, so that they can be sent again.
func (b *Tracker) Interrupted() []zinniapond.CallID {
	var interrupted []zinniapond.CallID
	for _, e := range append([]*entry(nil), b.pending...) {
		if e.idempotent {
			b.Withdraw(e.id)
			continue
		}
		interrupted = append(interrupted, e.id)
	}
	return interrupted
}
