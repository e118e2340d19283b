package fairshare

// node is a workspace with waiting requests for one model. It is a node of a
// treap ordered by virtual time, and refers to the node with the earliest
// deadline in its subtree.
type node struct {
	flow        *Flow
	modelQueue  int // index into Queue.byModel
	items       itemHeap
	virtualTime int64 // service units, when the node was last repositioned

	priority    uint32 // random; a parent's is at least as high as its children's
	left, right *node
	earliest    *node // node with the earliest deadline in the subtree
	inTree      bool

	lastService                    int64 // last known service anywhere or first wait, Unix time in ns
	localService                   int64 // last service by this owner or first wait, Unix time in ns
	totalAtLastService             int64 // Account.Total at lastService, service units
	starvationPrev, starvationNext *node // list in order of lastService, oldest first
}

// deadline returns the earliest deadline of the node's requests, Unix time in ns.
func (n *node) deadline() int64 { return n.items[0].Deadline }

// before reports whether a sorts before b in the treap.
func before(a, b *node) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.flow.creationIndex < b.flow.creationIndex
}

// earlierDeadline returns the node with the earlier deadline. Either may be nil.
// The order of the treap breaks a tie.
func earlierDeadline(a, b *node) *node {
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

// updateEarliest recomputes earliest from the node and its children.
func (n *node) updateEarliest() {
	n.earliest = n
	if n.left != nil {
		n.earliest = earlierDeadline(n.earliest, n.left.earliest)
	}
	if n.right != nil {
		n.earliest = earlierDeadline(n.earliest, n.right.earliest)
	}
}

// split divides a tree into the nodes that sort before pivot and the others.
func split(t, pivot *node) (*node, *node) {
	if t == nil {
		return nil, nil
	}
	if before(t, pivot) {
		a, b := split(t.right, pivot)
		t.right = a
		t.updateEarliest()
		return t, b
	}
	a, b := split(t.left, pivot)
	t.left = b
	t.updateEarliest()
	return a, t
}

// merge joins two trees. All nodes of a must sort before those of b.
func merge(a, b *node) *node {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if a.priority > b.priority {
		a.right = merge(a.right, b)
		a.updateEarliest()
		return a
	}
	b.left = merge(a, b.left)
	b.updateEarliest()
	return b
}

// insert adds n to the tree t and returns the new root.
func insert(t, n *node) *node {
	if t == nil || n.priority > t.priority {
		n.left, n.right = split(t, n)
		n.updateEarliest()
		return n
	}
	if before(n, t) {
		t.left = insert(t.left, n)
	} else {
		t.right = insert(t.right, n)
	}
	t.updateEarliest()
	return t
}

// remove takes n out of the tree t, which must contain it, and returns the new
// root.
func remove(t, n *node) *node {
	if t == n {
		return merge(t.left, t.right)
	}
	if before(n, t) {
		t.left = remove(t.left, n)
	} else {
		t.right = remove(t.right, n)
	}
	t.updateEarliest()
	return t
}

// updateEarliestPath recomputes earliest on the path from t to n after the first
// request of n changed.
func updateEarliestPath(t, n *node) {
	if t != n {
		if before(n, t) {
			updateEarliestPath(t.left, n)
		} else {
			updateEarliestPath(t.right, n)
		}
	}
	t.updateEarliest()
}

// leftmost returns the first node of a tree, nil if the tree is empty.
func leftmost(t *node) *node {
	for t != nil && t.left != nil {
		t = t.left
	}
	return t
}

// earliestDeadlineUpTo returns the node with the earliest deadline among those
// with a stored virtual time of at most maxVirtualTime, nil if there is none.
func earliestDeadlineUpTo(t *node, maxVirtualTime int64) *node {
	var earliest *node
	for t != nil {
		if t.virtualTime > maxVirtualTime {
			t = t.left
			continue
		}
		earliest = earlierDeadline(earliest, t)
		if t.left != nil {
			earliest = earlierDeadline(earliest, t.left.earliest)
		}
		t = t.right
	}
	return earliest
}

// itemHeap is a binary heap of the waiting requests of one workspace for one
// model. The earliest deadline comes first, then the earliest arrival.
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
