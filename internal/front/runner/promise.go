package runner

import (
	"errors"
	"net/http"

	"zinniapond.example/zinniapond"
)

// isReservedStatus reports whether only the scheduler may answer the request with a status.
// Clients take 408, 421, 429 and 503 as a promise that the request has not run, and 402, 404
// and 410 as statements about the program's budget and the turn to continue. A replica that
// does not say that it has rejected the request makes no such statement.
func (u *run) isReservedStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	case http.StatusPaymentRequired:
		return u.spend.Program != ""
	case http.StatusNotFound, http.StatusGone:
		return u.route.Retained && u.request.PreviousTurn != ""
	}
	return false
}

// refusalReason returns the reason for refusing the request after err. All reasons but
// ErrOutcomeUnknown tell the client that the request has not run, which holds only while no
// attempt may have run.
func (u *run) refusalReason(err error) error {
	if err != nil && u.possibleRuns > 0 && !errors.Is(err, zinniapond.ErrOutcomeUnknown) {
		return zinniapond.Join(zinniapond.ErrOutcomeUnknown, err)
	}
	return err
}
