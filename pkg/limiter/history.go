package limiter

import "time"

const (
	// historySize is the number of changes that a history holds: enough for
	// the oldest load report of an engine with short requests.
	historySize = 128
	// reportError is the error of the time at which a load report was taken,
	// from link delays.
	reportError = 50 * time.Millisecond
)

// history keeps the recent changes of the number in flight. A late load report
// has to be compared with the work in flight when it was taken: later grants
// would hide work that this router did not grant.
type history struct {
	at    [historySize]int64 // ns
	count [historySize]int32
	next  int
	held  int
}

// mark records the number in flight from now on.
func (h *history) mark(now time.Time, inFlight int) {
	h.at[h.next], h.count[h.next] = now.UnixNano(), int32(inFlight)
	h.next = (h.next + 1) % historySize
	h.held = min(h.held+1, historySize)
}

// around returns the greatest number in flight just before a time. The time of a report is known too late by a link delay, and a grant
// takes another one to reach the server: a grant at that time or after is not
// in the report.
func (h *history) around(t time.Time) int {
	from, to := t.Add(-reportError).UnixNano(), t.UnixNano()
	most := 0
	for k := 1; k <= h.held; k++ {
		i := (h.next - k + historySize) % historySize
		if h.at[i] >= to {
			continue
		}
		most = max(most, int(h.count[i]))
		if h.at[i] <= from {
			break
		}
	}
	return most
}
