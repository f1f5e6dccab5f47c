// Package drift detects slow and sudden degradation of service.
package drift

import (
	"cmp"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

func init() {
	kernel.Register[zinniapond.Detector]("default", func(*kernel.Kernel) (zinniapond.Detector, error) {
		return &Detector{}, nil
	})
}

// Detector compares the service of each subject, a plan or a pool, with its own
// past. Its zero value is ready for use.
type Detector struct {
	subjects shard.Map[string, *subject]
}

var _ zinniapond.Detector = (*Detector)(nil)

// Observe adds the latency of one program or call of a subject. A failed call
// counts only in the share of failures, as its latency says nothing of the
// service.
func (d *Detector) Observe(now time.Time, name string, took, unloaded time.Duration, ok bool) {
	d.subjects.Update(name, func(values map[string]*subject) {
		s := values[name]
		if s == nil {
			s = &subject{}
			values[name] = s
		}
		s.observe(now, took, unloaded, ok)
	})
}

// Degradations returns the present drops in service, ordered by subject.
func (d *Detector) Degradations(now time.Time) []zinniapond.Degradation {
	var all []zinniapond.Degradation
	d.subjects.Each(func(name string, s *subject) bool {
		s.advance(now)
		for _, c := range s.degradations() {
			c.Subject = name
			all = append(all, c)
		}
		return true
	})
	slices.SortFunc(all, func(a, b zinniapond.Degradation) int {
		return cmp.Or(cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}
