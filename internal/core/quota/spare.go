package quota

// spareDivisor divides the quota; the quotient is the part that TakeSpare may fill. The
// rest stays free for requests, which are refused if there is no memory for them.
const spareDivisor = 2

// TakeSpare adds n bytes to those in use for a purpose that can be done without. It
// takes none and returns false if more than half of the quota would be in use.
func (q *Quota) TakeSpare(n int64) bool {
	if q == nil {
		return true
	}
	for {
		used := q.used.Load()
		if n > q.Bytes/spareDivisor-used {
			return false
		}
		if q.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}
