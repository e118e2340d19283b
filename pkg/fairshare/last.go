package fairshare

// LastOf returns the request with the latest deadline among those of a workspace that
// match, nil if there is none.
func (q *Queue) LastOf(f *Flow, match func(*Item) bool) *Item {
	var last *Item
	for _, n := range f.byModel {
		if n != nil && n.inTree {
			last = n.last(last, match)
		}
	}
	return last
}

// Last returns the request with the latest deadline among those that match of the
// workspace with the highest virtual time that has any, nil if there is none.
func (q *Queue) Last(match func(*Item) bool) *Item {
	var last *Item
	for i := range q.byModel {
		walkBackwards(q.byModel[i].root, func(n *node) bool {
			if last != nil && n.virtualTime < last.node.virtualTime {
				return false
			}
			item := n.last(nil, match)
			if item == nil {
				return true
			}
			if last == nil || n.virtualTime > last.node.virtualTime || item.isAfter(last) {
				last = item
			}
			return false
		})
	}
	return last
}

// last returns the later one of a request and of the node's last one that matches.
func (n *node) last(last *Item, match func(*Item) bool) *Item {
	for _, i := range n.items {
		if match(i) && (last == nil || i.isAfter(last)) {
			last = i
		}
	}
	return last
}

// isAfter reports whether a request has a later deadline than another one. The order of
// arrival breaks a tie.
func (i *Item) isAfter(other *Item) bool {
	return i.Deadline > other.Deadline || i.Deadline == other.Deadline && i.seq > other.seq
}

// walkBackwards visits the nodes of a tree in descending order until visit returns false.
// It reports whether it visited all.
func walkBackwards(t *node, visit func(*node) bool) bool {
	if t == nil {
		return true
	}
	return walkBackwards(t.right, visit) && visit(t) && walkBackwards(t.left, visit)
}
