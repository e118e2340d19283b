package pool

// expiryHeap is a binary min-heap of waiting asks, ordered by expiry time.
type expiryHeap []*waitingAsk

func (h expiryHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h expiryHeap) siftUp(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if h[p].expiryNanos <= h[i].expiryNanos {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h expiryHeap) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1].expiryNanos < h[c].expiryNanos {
			c++
		}
		if h[i].expiryNanos <= h[c].expiryNanos {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *expiryHeap) push(w *waitingAsk) {
	w.heapIndex = len(*h)
	*h = append(*h, w)
	h.siftUp(w.heapIndex)
}

func (h *expiryHeap) remove(w *waitingAsk) {
	i, last := w.heapIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.siftDown(i)
		h.siftUp(i)
	}
}
