package runner

import "zinniapond.example/zinniapond"

// settledSpend returns the spend that settles the reservation of the turn.
func (u *run) settledSpend() zinniapond.Spend {
	spend := u.spend
	spend.Settled, spend.Used = true, u.stream.generated
	if spend.Used > 0 {
		spend.CacheLocation.Replica, spend.CacheLocation.Tokens = u.replica, u.request.PromptTokens+spend.Used
	}
	return spend
}

// findHome returns the replica that has processed most of a conversation. It is the
// replica of the last turn of the same session. For the first turn of a session it
// is the replica of the program's last turn, as the new session begins with that
// conversation.
func findHome(request *zinniapond.Request, spends []zinniapond.Spend) zinniapond.CacheLocation {
	var sameSession, otherSession zinniapond.CacheLocation
	for _, s := range spends {
		if !s.Settled || !s.CacheLocation.Replica.IsValid() {
			continue
		}
		last := &otherSession
		if s.CacheLocation.SessionID == request.SessionID {
			last = &sameSession
		}
		if s.CacheLocation.TurnNumber >= last.TurnNumber {
			*last = s.CacheLocation
		}
	}
	if sameSession.Replica.IsValid() {
		return sameSession
	}
	sharedTokens := zinniapond.Tokens(0)
	for _, part := range request.PromptParts[:max(len(request.PromptParts)-1, 0)] {
		sharedTokens += part.Tokens
	}
	otherSession.Tokens = min(otherSession.Tokens, sharedTokens)
	return otherSession
}
