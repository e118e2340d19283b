package fairshare

// maxFlowsBefore bounds the time that ServedBefore takes.
const maxFlowsBefore = 256

// ServedBefore estimates how many of the waiting requests for a model are served before
// the next one of the workspace, at most limit. cost is the mean cost of a request in
// service units. Other workspaces are served until they are an urgency window ahead.
func (q *Queue) ServedBefore(f *Flow, model int, cost float64, limit int) int {
	if model >= len(q.byModel) {
		return 0
	}
	if cost <= 0 {
		return limit
	}
	virtualTime, before := f.VirtualTime(), 0
	if f.waiting == 0 {
		virtualTime = max(virtualTime, q.activationFloor())
	} else if model < len(f.byModel) && f.byModel[model] != nil {
		before = len(f.byModel[model].items)
	}
	latest := float64(virtualTime) + float64(before)*cost + float64(q.cfg.UrgencyWindow)
	flows := 0
	walkInOrder(q.byModel[model].root, func(n *node) bool {
		ahead := latest - float64(n.virtualTime)
		if ahead < 0 || before >= limit {
			return false
		}
		if flows++; flows > maxFlowsBefore {
			before = limit
			return false
		}
		if n.flow != f {
			before += min(len(n.items), int(ahead/cost)+1)
		}
		return true
	})
	return min(before, limit)
}
