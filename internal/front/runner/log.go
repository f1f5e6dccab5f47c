package runner

import "fmt"

// log writes one line for a request with its route, configuration version, attempts
// and outcome. Successful requests are only counted, except that those over the
// latency target of their route are logged.
func (u *run) log(err error) {
	elapsed := u.Clock().Sub(u.request.ReceivedAt)
	name := ""
	if u.route != nil {
		name = u.route.Name
	}
	if u.request.LastEventID != "" {
		u.Stats.Add("front.resumed", 1)
		u.Logger.Info("stream taken up", "id", u.request.ID, "route", name, "resumes", u.request.Resumes, "after", u.request.LastEventID, "tried", u.attemptList(), "error", err)
	}
	if err == nil {
		u.Stats.Add("front.served", 1)
		u.Meter.Observe("front.answer."+string(u.route.Kind), elapsed)
		if u.route.IsStream() {
			u.Meter.Observe("front.first", u.firstByteTime)
			u.Meter.Observe("front.restore", u.prepareTime)
			u.Meter.Observe("front.keep", u.keepTime)
		}
		if u.firstByteTime > u.route.TargetLatency {
			u.Stats.Add("front.late", 1)
			u.Logger.Info("served late", "id", u.request.ID, "program", u.request.Program, "route", name, "target", u.route.TargetLatency,
				"restored", u.prepareTime, "first", u.firstByteTime, "kept", u.keepTime, "limited", u.limitTime+u.tokenTime, "took", elapsed, "tried", u.attemptList(),
				"pool", u.poolName, "tokens", u.tokenTime)
		}
		return
	}
	u.Stats.Add("front.failed", 1)
	u.Logger.Info("not served", "id", u.request.ID, "program", u.request.Program, "route", name, "version", u.version,
		"restored", u.prepareTime, "limited", u.limitTime, "took", elapsed, "tried", u.attemptList(), "begun", u.answerBegun, "error", err,
		"pool", u.poolName, "tokens", u.tokenTime)
}

func (u *run) attemptList() string {
	text := ""
	for _, t := range u.attempted {
		text += fmt.Sprintf("%s@%s/%s:%s;", t.replica.ID, t.replica.Address, t.replica.Version, t.outcome)
	}
	return text
}
