package fairshare

// appendToStarvationList appends a node to the starvation list of its model. Time
// never runs backwards here, so the list stays ordered by lastService.
func (q *Queue) appendToStarvationList(n *node) {
	mq := &q.byModel[n.modelQueue]
	n.starvationPrev, n.starvationNext = mq.starvationTail, nil
	if mq.starvationTail != nil {
		mq.starvationTail.starvationNext = n
	} else {
		mq.starvationHead = n
	}
	mq.starvationTail = n
}

func (q *Queue) removeFromStarvationList(n *node) {
	mq := &q.byModel[n.modelQueue]
	if n.starvationPrev != nil {
		n.starvationPrev.starvationNext = n.starvationNext
	} else {
		mq.starvationHead = n.starvationNext
	}
	if n.starvationNext != nil {
		n.starvationNext.starvationPrev = n.starvationPrev
	} else {
		mq.starvationTail = n.starvationPrev
	}
	n.starvationPrev, n.starvationNext = nil, nil
}
