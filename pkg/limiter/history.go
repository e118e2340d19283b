package limiter

import "time"

const (
	// historyCapacity is the number of changes that a history keeps. It suffices
	// for a load report of maxReportAge from an engine with short requests.
	historyCapacity = 128
	// reportTimeError is how much too late the time of a load report may be,
	// because of link delays.
	reportTimeError = 50 * time.Millisecond
)

// history is a ring buffer of the recent changes of the number of requests in
// flight. A load report must be compared with the number at the time it was
// taken: requests granted later would hide work that this router did not grant.
type history struct {
	atNS   [historyCapacity]int64 // time of each change, Unix time in ns
	counts [historyCapacity]int32 // requests in flight from that time on
	next   int                    // index of the next entry to write
	length int                    // entries in use
}

// record adds a change of the number of requests in flight.
func (h *history) record(now time.Time, inFlight int) {
	h.atNS[h.next], h.counts[h.next] = now.UnixNano(), int32(inFlight)
	h.next = (h.next + 1) % historyCapacity
	h.length = min(h.length+1, historyCapacity)
}

// maxBefore returns the greatest number of requests in flight within
// reportTimeError before t, the time of a load report. The server took the report
// up to one link delay before t, and a request reaches it one link delay after
// its grant, so a request granted at t or later is not in the report.
func (h *history) maxBefore(t time.Time) int {
	from, to := t.Add(-reportTimeError).UnixNano(), t.UnixNano()
	peak := 0
	for k := 1; k <= h.length; k++ {
		i := (h.next - k + historyCapacity) % historyCapacity
		if h.atNS[i] >= to {
			continue
		}
		peak = max(peak, int(h.counts[i]))
		if h.atNS[i] <= from {
			break
		}
	}
	return peak
}
