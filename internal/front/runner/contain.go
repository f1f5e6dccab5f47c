package runner

import (
	"fmt"
	"runtime/debug"
)

// contain runs one step of a request. A panic ends this request only, with an error, also
// in a goroutine of its own, in which it would otherwise end the process.
func (r *Runner) contain(step string, work func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Logger.Error("request panicked", "step", step, "cause", cause, "stack", string(debug.Stack()))
			r.Stats.Add("front.panicked", 1)
			err = fmt.Errorf("panic in %s: %v", step, cause)
		}
	}()
	return work()
}

// inBackground runs a step of a request that goes on after its answer.
func (r *Runner) inBackground(step string, work func()) {
	r.background.Go(func() {
		_ = r.contain(step, func() error { work(); return nil }) // contain has logged it
	})
}
