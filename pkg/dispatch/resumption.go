package dispatch

import "time"

// maxResumptionExcess is the fraction of its fair share that the recorded resumptions of a
// workspace may take beyond it in shareWindow, on all edge hosts together. A part of these
// answers was made within the share, and a refusal wastes it. The bound is for callers
// that resume one stream many times: the users' rule on quotas allows no workspace twice
// the service of another one.
const maxResumptionExcess = 0.5

// mayExceedShare reports whether the request may be sent although its workspace is beyond
// its share. Each edge host has an equal part of the excess, so that the bound needs no
// messages.
func (d *Dispatcher) mayExceedShare(now time.Time, r *Request) bool {
	if !r.RecordedResumption || r.excessCounted {
		return r.RecordedResumption
	}
	u := d.shares.usageOf(r.Workspace)
	u.excess.advance(d.shares.bucket(now))
	return u.excess.sum+serviceTokens(r) <= maxResumptionExcess*d.fairShare(now)/float64(d.edges)
}

// countExcess counts a request that is sent beyond the share of its workspace. It is
// counted once, also if it is sent again, and not taken back.
func (d *Dispatcher) countExcess(now time.Time, r *Request) {
	if r.excessCounted {
		return
	}
	r.excessCounted = true
	d.shares.usageOf(r.Workspace).excess.add(d.shares.bucket(now), serviceTokens(r))
}
