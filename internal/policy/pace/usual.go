package pace

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// usualTimes are the usual times to the first byte of a pool's replicas, by the size of
// the part of the prompt that is prefilled. One time for each token would compare the
// prompts of a cold cache with those of a warm one, which take mostly network time.
type usualTimes struct {
	mu      sync.Mutex
	classes [sizeClasses]median
}

const (
	// sizeClasses is the number of classes of prompts; each has prompts of up to four
	// times the size of the one before.
	sizeClasses = 10
	// medianStep is the relative change of a usual time by one answer.
	medianStep = 0.1
	// minAnswers is the number of answers after which a usual time is known.
	minAnswers = 8
	// goodRatio and slowRatio are the ratios to the usual time up to which an answer is
	// good, and from which it is slow.
	goodRatio = 2
	slowRatio = 3
	// timeSlack is added to both bounds: replicas in other data centres, and short answers
	// of plain services, differ by as much. Clients accept 250 ms to the first event.
	timeSlack = 100 * time.Millisecond
)

type median struct {
	value float64 // in nanoseconds
	count int
}

func sizeClass(uncached zinniapond.Tokens) int {
	class := 0
	for size := max(uncached, 0); size > 0 && class < sizeClasses-1; size /= 4 {
		class++
	}
	return class
}

// observe adds an answer of a replica that is not bounded.
func (u *usualTimes) observe(answer zinniapond.PaceAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	m := &u.classes[sizeClass(answer.Uncached)]
	m.count++
	value := float64(answer.TimeToFirstByte)
	step := max(medianStep, 1/float64(m.count+1))
	switch {
	case m.count == 1:
		m.value = value
	case value > m.value:
		m.value *= 1 + step
	default:
		m.value *= 1 - step
	}
}

// judge compares an answer with the usual time of its class.
func (u *usualTimes) judge(answer zinniapond.PaceAnswer) (isGood, isSlow bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	m := u.classes[sizeClass(answer.Uncached)]
	if m.count < minAnswers {
		return true, false
	}
	usual := time.Duration(m.value)
	return answer.TimeToFirstByte <= goodRatio*usual+timeSlack, answer.TimeToFirstByte > slowRatio*usual+timeSlack
}
