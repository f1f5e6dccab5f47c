package cause

import (
	"strings"

	"zinniapond.example/zinniapond"
)

// deadlineText and cancelledText are the messages of the errors of package context.
const (
	deadlineText  = "deadline exceeded"
	cancelledText = "context canceled"
)

// rule assigns a cause to errors that begin with one of the prefixes or contain one of
// the parts.
type rule struct {
	cause           zinniapond.Cause
	prefixes, parts []string
}

// rules are in the order of precedence. An error lists what happened before its last
// step too: a request that found no replica with room names the connections that failed,
// so steps come before the outcomes of attempts.
var rules = []rule{
	{zinniapond.CauseStopping, nil, []string{"host is stopping"}},
	{zinniapond.CauseConfiguration, nil, []string{zinniapond.ErrStaleConfig.Error()}},
	{zinniapond.CauseKey, nil, []string{zinniapond.ErrInvalidKey.Error(), zinniapond.ErrForbidden.Error()}},
	{zinniapond.CauseRoute, []string{"find route of "}, nil},
	{zinniapond.CauseBudget, nil, []string{zinniapond.ErrBudgetExhausted.Error()}},
	{zinniapond.CauseTokens, []string{"check request limit: "}, []string{zinniapond.ErrRateLimited.Error()}},
	{zinniapond.CauseDisks, []string{"keep turn "}, []string{zinniapond.ErrNoQuorum.Error()}},
	{zinniapond.CauseNoRoom, []string{"wait for a replica: ", "wait for a limited replica: ", "choose replica: "}, []string{"too many replicas have ended lately"}},
	{zinniapond.CauseInterrupted, []string{"read stream: ", "read answer: ", "send request: "}, []string{zinniapond.ErrOutcomeUnknown.Error(), zinniapond.ErrBackendFailed.Error()}},
	{zinniapond.CauseNoRoom, nil, []string{zinniapond.ErrUnavailable.Error(), zinniapond.ErrConnectionLimit.Error()}},
}

func (r *rule) matches(reason string) bool {
	for _, p := range r.prefixes {
		if strings.HasPrefix(reason, p) {
			return true
		}
	}
	for _, p := range r.parts {
		if strings.Contains(reason, p) {
			return true
		}
	}
	return false
}

// classify returns the cause of a request. stopping says that its host was stopping.
func classify(e zinniapond.LogEvent, stopping bool) zinniapond.Cause {
	switch e.Kind {
	case zinniapond.LogKeysRejected:
		return zinniapond.CauseKey
	case zinniapond.LogServedLate:
		return classifyLate(e)
	}
	for _, r := range rules {
		if !r.matches(e.Reason) {
			continue
		}
		switch {
		case stopping && strings.Contains(e.Reason, cancelledText):
			return zinniapond.CauseStopping
		case r.cause == zinniapond.CauseInterrupted && strings.Contains(e.Reason, deadlineText):
			return zinniapond.CauseDeadline
		}
		return r.cause
	}
	return zinniapond.CauseUnknown
}

// isAtReplica reports whether a cause is at the replicas of a request.
func isAtReplica(c zinniapond.Cause) bool {
	switch c {
	case zinniapond.CauseNoRoom, zinniapond.CauseSlowReplica, zinniapond.CauseInterrupted, zinniapond.CauseDeadline:
		return true
	}
	return false
}

// classifyLate returns what took most of the time to the first byte. If that is the time
// at replicas, attempts that failed before the last one are the cause, if there are any.
func classifyLate(e zinniapond.LogEvent) zinniapond.Cause {
	cause, longest := zinniapond.CauseUnknown, max(e.First-e.Restored-e.Tokens-e.Permits, 0)
	switch {
	case strings.Contains(e.Tried, zinniapond.ErrUnavailable.Error()), strings.Contains(e.Tried, zinniapond.ErrNotSent.Error()),
		strings.Contains(e.Tried, zinniapond.ErrConnectionLimit.Error()):
		cause = zinniapond.CauseNoRoom
	case strings.Contains(e.Tried, ":read "), strings.Contains(e.Tried, ":send request"), strings.Contains(e.Tried, zinniapond.ErrBackendFailed.Error()):
		cause = zinniapond.CauseInterrupted
	case e.First > 0:
		cause = zinniapond.CauseSlowReplica
	}
	if e.Permits > longest {
		cause, longest = zinniapond.CauseNoRoom, e.Permits
	}
	if e.Restored > longest {
		cause, longest = zinniapond.CauseDisks, e.Restored
	}
	if e.Tokens > longest {
		cause = zinniapond.CauseTokens
	}
	return cause
}
