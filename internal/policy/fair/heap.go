package fair

// heap is a binary heap whose items know their place, so that an item can be
// moved or removed in logarithmic time.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, at int) // tells an item its place; -1 when removed
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) size() int { return len(h.items) }

func (h *heap[T]) remove(at int) T {
	item := h.items[at]
	last := len(h.items) - 1
	moved := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if at != last {
		h.set(at, moved)
		h.fix(at)
	}
	h.place(item, -1)
	return item
}

// fix restores the order after the item at the given place has changed.
func (h *heap[T]) fix(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

func (h *heap[T]) set(at int, item T) {
	h.items[at] = item
	h.place(item, at)
}

func (h *heap[T]) up(at int) {
	item := h.items[at]
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.set(at, h.items[parent])
		at = parent
	}
	h.set(at, item)
}

func (h *heap[T]) down(at int) bool {
	start := at
	item := h.items[at]
	for {
		child := 2*at + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.set(at, h.items[child])
		at = child
	}
	h.set(at, item)
	return at != start
}
