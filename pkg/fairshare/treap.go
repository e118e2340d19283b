package fairshare

// node is one backlogged workspace in one lane: a treap node ordered by value,
// augmented with the node of the earliest deadline in its subtree.
type node struct {
	flow  *Flow
	lane  int
	items itemHeap
	value int64 // value at the last refresh

	priority    uint32
	left, right *node
	best        *node // earliest deadline of the subtree
	inTree      bool

	since      int64 // time of the last service seen anywhere, ns
	local      int64 // time of the last service by this owner, ns
	total      int64 // account total at since
	prev, next *node // guard list, longest unserved first
}

func (n *node) deadline() int64 { return n.items[0].Deadline }

func before(a, b *node) bool {
	if a.value != b.value {
		return a.value < b.value
	}
	return a.flow.number < b.flow.number
}

func earlier(a, b *node) *node {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	da, db := a.deadline(), b.deadline()
	if db < da || db == da && before(b, a) {
		return b
	}
	return a
}

func (n *node) update() {
	n.best = n
	if n.left != nil {
		n.best = earlier(n.best, n.left.best)
	}
	if n.right != nil {
		n.best = earlier(n.best, n.right.best)
	}
}

// split divides a tree into the nodes before k and the others.
func split(t, k *node) (*node, *node) {
	if t == nil {
		return nil, nil
	}
	if before(t, k) {
		a, b := split(t.right, k)
		t.right = a
		t.update()
		return t, b
	}
	a, b := split(t.left, k)
	t.left = b
	t.update()
	return a, t
}

func merge(a, b *node) *node {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if a.priority > b.priority {
		a.right = merge(a.right, b)
		a.update()
		return a
	}
	b.left = merge(a, b.left)
	b.update()
	return b
}

func insert(t, n *node) *node {
	if t == nil || n.priority > t.priority {
		n.left, n.right = split(t, n)
		n.update()
		return n
	}
	if before(n, t) {
		t.left = insert(t.left, n)
	} else {
		t.right = insert(t.right, n)
	}
	t.update()
	return t
}

func remove(t, n *node) *node {
	if t == n {
		return merge(t.left, t.right)
	}
	if before(n, t) {
		t.left = remove(t.left, n)
	} else {
		t.right = remove(t.right, n)
	}
	t.update()
	return t
}

// refresh recomputes the best nodes on the path to n after its head changed.
func refresh(t, n *node) {
	if t != n {
		if before(n, t) {
			refresh(t.left, n)
		} else {
			refresh(t.right, n)
		}
	}
	t.update()
}

func leftmost(t *node) *node {
	for t != nil && t.left != nil {
		t = t.left
	}
	return t
}

// earliestUpTo returns the node of the earliest deadline among the nodes with
// a value of at most bound.
func earliestUpTo(t *node, bound int64) *node {
	var best *node
	for t != nil {
		if t.value > bound {
			t = t.left
			continue
		}
		best = earlier(best, t)
		if t.left != nil {
			best = earlier(best, t.left.best)
		}
		t = t.right
	}
	return best
}

// itemHeap is a binary heap of the waiting requests of one workspace in one
// lane, earliest deadline first.
type itemHeap []*Item

func (h itemHeap) less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h itemHeap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(i, p) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h itemHeap) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h) {
			return
		}
		if c+1 < len(h) && h.less(c+1, c) {
			c++
		}
		if !h.less(c, i) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *itemHeap) push(x *Item) {
	x.index = len(*h)
	*h = append(*h, x)
	h.up(x.index)
}

func (h *itemHeap) removeAt(i int) {
	last := len(*h) - 1
	h.swap(i, last)
	(*h)[last].index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}
