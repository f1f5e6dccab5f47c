package runner

import "strconv"

// storesTurn reports whether the output of the request is stored as a turn.
func (u *run) storesTurn() bool { return u.route.Retained && u.request.Program != "" }

// skipReceived makes a turn that its client resumes begin after the last event that the
// client has. The replica runs the turn from its first event: a turn is stored whole, and
// this host may not have seen the events of the client's first attempt.
func (u *run) skipReceived() {
	if u.storesTurn() && u.route.Resumable && u.stream.status < 300 {
		u.stream.skipUntil = u.request.LastEventID
	}
}

// skipsEvent reports whether the client has the next event, whose id may be empty,
// already. Ids that are not numbers have no order.
func (u *run) skipsEvent(id string) bool {
	last := u.stream.skipUntil
	if last == "" {
		return false
	}
	if id == last {
		u.stream.skipUntil = ""
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, errLast := strconv.ParseUint(last, 10, 64)
	if err != nil || errLast != nil || number < lastNumber {
		return true
	}
	u.stream.skipUntil = ""
	return number == lastNumber // written in another way
}
