package runner

import "zinniapond.example/zinniapond"

// settledSpend returns the spend that settles the reservation of the turn.
func (u *run) settledSpend() zinniapond.Spend {
	spend := u.spend
	spend.Settled, spend.Used = true, u.stream.generated
	if spend.Used > 0 {
		spend.Place.Replica, spend.Place.Tokens = u.replica, u.request.Prompt+spend.Used
	}
	return spend
}

// findHome returns the replica that has processed most of a conversation. It is the
// replica of the last turn of the same session. For the first turn of a session it
// is the replica of the program's last turn, as the new session begins with that
// conversation.
func findHome(request *zinniapond.Request, spends []zinniapond.Spend) zinniapond.Place {
	var sameSession, otherSession zinniapond.Place
	for _, s := range spends {
		if !s.Settled || !s.Place.Replica.IsValid() {
			continue
		}
		last := &otherSession
		if s.Place.Session == request.Session {
			last = &sameSession
		}
		if s.Place.Number >= last.Number {
			*last = s.Place
		}
	}
	if sameSession.Replica.IsValid() {
		return sameSession
	}
	sharedTokens := zinniapond.Tokens(0)
	for _, part := range request.Parts[:max(len(request.Parts)-1, 0)] {
		sharedTokens += part.Tokens
	}
	otherSession.Tokens = min(otherSession.Tokens, sharedTokens)
	return otherSession
}
