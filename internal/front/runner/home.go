package runner

import "zinniapond.example/zinniapond"

// settled is the spend of a turn that has ended.
func (u *run) settled() zinniapond.Spend {
	spend := u.spend
	spend.Settled, spend.Used = true, u.stream.tokens
	if spend.Used > 0 {
		spend.Place.Replica, spend.Place.Tokens = u.replica, u.request.Prompt+spend.Used
	}
	return spend
}

// home finds the replica that has read most of a conversation: the one of the
// last turn of the same session, or for the first turn of another session the
// one of the last turn of the program, whose conversation it begins with.
func home(request *zinniapond.Request, spends []zinniapond.Spend) zinniapond.Place {
	var same, other zinniapond.Place
	for _, s := range spends {
		if !s.Settled || !s.Place.Replica.IsValid() {
			continue
		}
		last := &other
		if s.Place.Session == request.Session {
			last = &same
		}
		if s.Place.Number >= last.Number {
			*last = s.Place
		}
	}
	if same.Replica.IsValid() {
		return same
	}
	shared := zinniapond.Tokens(0)
	for _, part := range request.Parts[:max(len(request.Parts)-1, 0)] {
		shared += part.Tokens
	}
	other.Tokens = min(other.Tokens, shared)
	return other
}
