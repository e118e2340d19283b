package dispatch

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Take-ups go ahead of new streams, and the share of their workspace does not hold them
// back: a part of the answer was made within that share, and a refusal wastes it. They are
// charged to the workspace, so that its new requests give way. A caller may take up any
// name any number of times, so two bounds keep take-ups from displacing others for long. The
// first take-up of a stream of which the fleet has a record does not count against them
// while its workspace is within a multiple of its share.
//
// Beyond the bounds a take-up is decided as a new stream is, but not refused for the share:
// while its workspace is beyond that, it waits for an engine that is idle.

const (
	// maxTakeUpShare is the fraction of its fair share in shareWindow that the take-ups of a
	// workspace get ahead in TakeUpWindow, on all edge hosts together. It lets a workspace
	// take up at once what it has begun in shareWindow. The users' rule on quotas allows no
	// workspace twice the service of another one.
	maxTakeUpShare = 1.0
	// TakeUpWindow is the window of that bound. It is long so that what is a burst
	// after a failure cannot be repeated.
	TakeUpWindow     = 4 * shareWindow
	takeUpBucketTime = TakeUpWindow / buckets
	// maxAheadFraction is the fraction of what the engines prefill in shareWindow that the
	// take-ups of all workspaces get ahead: new streams go on beside any number of them.
	maxAheadFraction = 0.5
	// maxIdleOnlyFraction is the fraction of what the engines prefill that take-ups beyond the
	// share and the bounds get at most. Several hosts find the same engine idle, and what
	// they send there beyond the share makes the share of all others smaller.
	maxIdleOnlyFraction = 0.125
	// maxFirstTakeUpUse is the multiple of its fair share that a workspace may have used in
	// shareWindow, on all edge hosts together, while first take-ups count against no bound.
	// Streams that were begun within the share bound their number, but each host sees a first
	// one of the same stream. The users' rule on quotas allows no workspace twice the service
	// of another one.
	maxFirstTakeUpUse = 1.5
	// silentEdgeTime is how long SetEdgeHosts counts a host that has fallen silent.
	silentEdgeTime = time.Minute
)

// takeUpBucket returns the number of the bucket of TakeUpWindow for a time.
func (d *Dispatcher) takeUpBucket(now time.Time) int64 {
	return int64(now.Sub(d.shares.start)/takeUpBucketTime) + buckets
}

// continues reports whether the request continues a stream: it is a take-up, or its first
// event has arrived and the release that began it is known.
func (r *Request) continues() bool { return r.Resumption || r.begun && r.Release != release.Unknown }

// mayGoAhead reports whether the request continues a stream ahead of new ones. A stream that
// has begun counts as the first take-up that its caller would send if it was cut. Each
// edge host has an equal part of the bounds, so that these need no messages. A workspace
// gets one ahead at each host however small that part is.
func (d *Dispatcher) mayGoAhead(now time.Time, r *Request, svc *service) bool {
	if !r.continues() || r.aheadCounted {
		return r.continues()
	}
	prefillRate := d.readyPrefillRate(now, svc, svc.servers)
	u := d.shares.usageOf(r.Workspace)
	u.ahead.advance(d.takeUpBucket(now))
	hosts := float64(d.liveEdges(now))
	share := d.takeUpShare(now, prefillRate)
	if r.unbounded = (r.FirstTakeUp || !r.Resumption) && (share == 0 || u.served.sum+serviceTokens(r) <= maxFirstTakeUpUse*share); r.unbounded {
		return true
	}
	if share > 0 && u.ahead.sum > 0 && u.ahead.sum+serviceTokens(r) > maxTakeUpShare*share/hosts {
		return false
	}
	svc.ahead.advance(d.shares.bucket(now))
	limit := maxAheadFraction * prefillRate * shareWindow.Seconds() / hosts
	return svc.ahead.sum+float64(r.PromptTokens) <= limit
}

// liveEdges returns the number of edge hosts without those that have fallen silent lately:
// their callers come to the others. Hosts that are silent for longer are in no count.
func (d *Dispatcher) liveEdges(now time.Time) int {
	live := d.edges
	for _, p := range d.peers {
		if p.expired && now.Sub(p.heardAt) < silentEdgeTime {
			live--
		}
	}
	return max(live, 1)
}

// takeUpShare returns the fair share by which the take-ups of a workspace are bounded, 0 for
// no limit: at least an even part of what the engines prefill in shareWindow. The fair share
// falls to a fraction of that while engines are overloaded, which is when streams are taken
// up, and the stated rate may be as low.
func (d *Dispatcher) takeUpShare(now time.Time, prefillRate float64) float64 {
	share := d.fairShare(now)
	if share == 0 {
		return 0
	}
	return max(share, prefillRate*shareWindow.Seconds()/float64(max(len(d.shares.usage), 1)))
}

// countAhead counts a take-up that waits or is sent ahead of new streams. It is counted once,
// also if it is sent again, and not taken back.
func (d *Dispatcher) countAhead(now time.Time, r *Request) {
	svc := d.services[r.Service]
	if svc == nil || !r.ahead || r.aheadCounted {
		return
	}
	r.aheadCounted = true
	if r.unbounded {
		return
	}
	d.shares.usageOf(r.Workspace).ahead.add(d.takeUpBucket(now), serviceTokens(r))
	svc.ahead.add(d.shares.bucket(now), float64(r.PromptTokens))
}

// countIdleOnly delays the next take-up beyond the bounds by the time in which the part of
// this host prefills this one.
func (d *Dispatcher) countIdleOnly(now time.Time, r *Request, svc *service) {
	if r.idleOnly {
		rate := maxIdleOnlyFraction * d.readyPrefillRate(now, svc, svc.servers) / float64(d.liveEdges(now))
		svc.nextIdleOnly = now.Add(time.Duration(float64(r.PromptTokens) / rate * float64(time.Second)))
	}
}
