package zinniapond

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Sentinel errors. Each error wraps one of them, so that a front end can choose
// an HTTP status without knowing the step that failed.
var (
	ErrMalformed       = errors.New("malformed request")
	ErrInvalidKey      = errors.New("unknown or expired key")
	ErrForbidden       = errors.New("not in the plan")
	ErrTooLarge        = errors.New("body too large")
	ErrKeyReused       = errors.New("idempotency key reused with another request")
	ErrOutcomeUnknown  = errors.New("outcome unknown")
	ErrBudgetExhausted = errors.New("budget of the plan is used up")
	ErrOverload        = errors.New("overloaded")
	ErrRateLimited     = errors.New("request limit of the plan is reached")
	ErrStaleConfig     = errors.New("configuration not confirmed")
	ErrNotOwner        = errors.New("not the owner of the shard")
	ErrFenced          = errors.New("fenced by a newer epoch")
	ErrNotLeader       = errors.New("not the control leader")
	ErrNoQuorum        = errors.New("no majority")
	ErrConflict        = errors.New("version conflict")
	ErrNotFound        = errors.New("not found")
	ErrProgramEnded    = errors.New("program has ended")
	ErrCapExceeded     = errors.New("program is over a cap of its plan")
	ErrOutOfOrder      = errors.New("earlier call of the program is missing")
	ErrBackendFailed   = errors.New("backend server failed")
	ErrCorrupt         = errors.New("corrupt record")
	ErrNotSent         = errors.New("no byte reached the peer")
	ErrPermitExpired   = errors.New("permit has expired")
	ErrConnectionLimit = errors.New("connection limit of the replica is reached")
	ErrUnavailable     = errors.New("no backend server available")
	ErrWarnings        = errors.New("configuration has warnings")
)

// Error is an error with the step that failed and the peer involved.
type Error struct {
	Step string         // operation that failed
	Peer netip.AddrPort // address of the peer; invalid if there is none
	Host HostName       // host that reports the error; may be empty
	Hint string         // advice for the user; may be empty
	// RetryAfter is the time after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
	Err        error
}

// Error returns the step, the peer and the cause on one line.
func (e *Error) Error() string {
	if e.Peer.IsValid() {
		return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err with the step and the peer, or nil if err is nil.
func Wrap(step string, peer netip.AddrPort, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// joinedError is a list of errors with a message of one line.
type joinedError struct{ errs []error }

// Error returns the messages of the errors, separated by semicolons.
func (j *joinedError) Error() string {
	texts := make([]string, len(j.errs))
	for i, err := range j.errs {
		texts[i] = err.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the list for errors.Is and errors.As.
func (j *joinedError) Unwrap() []error { return j.errs }

// Join is errors.Join with a message of one line, for use in logs.
func Join(errs ...error) error {
	errs = slices.DeleteFunc(slices.Clone(errs), func(err error) bool { return err == nil })
	switch len(errs) {
	case 0:
		return nil
	case 1:
		return errs[0]
	}
	return &joinedError{errs}
}
