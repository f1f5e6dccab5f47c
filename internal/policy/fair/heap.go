package fair

// heap is a binary heap whose items store their index, so that an item can be
// moved or removed in logarithmic time.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int) // tells an item its index; -1 when removed
}

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) size() int { return len(h.items) }

func (h *heap[T]) remove(index int) T {
	item := h.items[index]
	last := len(h.items) - 1
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if index != last {
		h.set(index, moved)
		h.fix(index)
	}
	h.setIndex(item, -1)
	return item
}

// fix restores the order after the item at the given index has changed.
func (h *heap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *heap[T]) set(index int, item T) {
	h.items[index] = item
	h.setIndex(item, index)
}

func (h *heap[T]) up(index int) {
	item := h.items[index]
	for index > 0 {
		parent := (index - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.set(index, h.items[parent])
		index = parent
	}
	h.set(index, item)
}

func (h *heap[T]) down(index int) bool {
	start := index
	item := h.items[index]
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.set(index, h.items[child])
		index = child
	}
	h.set(index, item)
	return index != start
}
