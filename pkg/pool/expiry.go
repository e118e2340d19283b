package pool

// expiryHeap is a binary heap of waiting asks, earliest expiry first.
type expiryHeap []*waiting

func (h expiryHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timer, h[j].timer = i, j
}

func (h expiryHeap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if h[p].expires <= h[i].expires {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h expiryHeap) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h[c+1].expires < h[c].expires {
			c++
		}
		if h[i].expires <= h[c].expires {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *expiryHeap) push(w *waiting) {
	w.timer = len(*h)
	*h = append(*h, w)
	h.up(w.timer)
}

func (h *expiryHeap) remove(w *waiting) {
	i, last := w.timer, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}
