package admission

// These are the heaps that contain a waiting call. They index call.heapIndex.
const (
	heapOldest = iota
	heapNewest
	heapExpiry
	heapCount
)

// indexedHeap is a binary heap of calls that store their own position, so that any call can be
// removed in O(log n).
type indexedHeap struct {
	items []*call
	kind  int
	less  func(a, b *call) bool
}

func (h *indexedHeap) len() int { return len(h.items) }

// peek returns the first call in order. The heap must not be empty.
func (h *indexedHeap) peek() *call { return h.items[0] }

func (h *indexedHeap) push(c *call) {
	h.items = append(h.items, c)
	c.heapIndex[h.kind] = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *indexedHeap) remove(c *call) {
	i := c.heapIndex[h.kind]
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *indexedHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.kind] = i
	h.items[j].heapIndex[h.kind] = j
}

func (h *indexedHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
