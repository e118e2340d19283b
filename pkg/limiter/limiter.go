// Package limiter adapts the concurrency limit of one BackendServer: a ramp after
// a cold start, then additive increase and multiplicative decrease by the token
// interval. A Limiter reads no clock and does no input or output; the time is an
// argument. It is not safe for concurrent use.
package limiter

import (
	"math"
	"time"
)

// Parameters of the limit.
const (
	// MaxColdLimit is the greatest limit at which the ramp of a cold server
	// starts.
	MaxColdLimit = 2
	// MaxLimit is the greatest limit, also of a server that advertises no slots.
	MaxLimit = 512

	// minRampInterval is the shortest time between two steps of the ramp.
	minRampInterval = time.Second
	// rampFactor is the growth of the limit in one step of the ramp. L successes
	// at limit L show only that the server can run L requests. Doubling the limit
	// overloaded engines that can run half more than the cold limit.
	rampFactor = 1.5
	// cautiousRampFraction is the fraction of a failed limit from which the ramp
	// adds one slot at a time.
	cautiousRampFraction = 0.75
	// minPeakUtilisation is the fraction of the limit that must have been in use
	// before the limit may rise: an unused limit shows nothing about the server.
	minPeakUtilisation = 0.75
	// minWindowSamples is the minimum number of samples for one change of the limit.
	minWindowSamples = 4
	// maxSlowFraction is the fraction of slow samples above which the limit may
	// fall. It follows from an objective of 95 of 100 requests.
	maxSlowFraction = 0.05
	// slowIntervalFactor times the shortest token interval seen is the interval
	// target when no class states one.
	slowIntervalFactor = 3.0
	// congestionPressure is the pressure up to which slow samples do not lower the
	// limit, because single answers vary.
	congestionPressure = 0.7
	// minDecreaseFactor and maxDecreaseFactor bound the factor of one
	// multiplicative decrease.
	minDecreaseFactor, maxDecreaseFactor = 0.7, 0.97

	// A server counts as cold when coldFirstTokenSamples first tokens in a row take
	// at least coldFirstTokenFactor times the baseline and minColdFirstToken. A
	// single slow first token may come from a long prompt.
	coldFirstTokenFactor  = 5.0
	coldFirstTokenSamples = 3
	minColdFirstToken     = 200 * time.Millisecond

	// maxGrowthPressure is the pressure from which the limit does not grow. It is
	// below 1 to leave a margin for classes with an objective of 95 of 100.
	maxGrowthPressure = 0.93
	// intervalTargetTTL is how long the strictest interval target of the classes
	// on a server applies to all its requests, which share one batch.
	intervalTargetTTL = time.Minute
	// minMeanUtilisation is the fraction of the limit that must be in use on
	// average in a window for it to be compared with another one.
	minMeanUtilisation = 0.9
	// minThroughputGain is the smallest relative growth of the token rate, divided
	// by the relative growth of requests in flight, that justifies a higher limit.
	// Below it the batch is past its knee.
	minThroughputGain = 0.1
	// kneeHoldWindows is the number of windows without growth after the knee.
	kneeHoldWindows = 10
	// maxKneeStep is the greatest distance of the limit from the knee, in slots, at
	// which the knee counts as located. From farther away the limit may grow again
	// in the next window.
	maxKneeStep = 2.0

	baselineSmoothing = 0.05 // weight of the newest first token in the baseline
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = 3 * time.Second
	// shareRestoreSteps is the number of load reports that restore the full limit.
	shareRestoreSteps = 4
)

// Result is how a request ended, as far as it matters to the Limiter.
type Result int

// Results.
const (
	Success          Result = iota
	ConnectionFailed        // connection refused or lost; the server counts as cold
	Silent                  // no answer in time; the connection may be at fault, so the limit stays
	Inconclusive            // cancelled, unused or answered with an error; the limit stays
)

// Sample is the result and the latencies of a finished request.
type Sample struct {
	Result         Result
	GrantedAt      time.Time     // when the slot was acquired
	FirstToken     time.Duration // time to the first token, 0 if unknown
	TokenInterval  time.Duration // mean time between tokens, 0 if unknown
	IntervalTarget time.Duration // of the request's class, 0 if the class states none
}

// Load is a load report of a server.
type Load struct {
	Running int       // requests
	Waiting int       // requests in the server's own queue
	TakenAt time.Time // by the clock of this router
}

// State is a snapshot of a Limiter.
type State struct {
	Limit    int // slots that this router may use now
	Full     int // slots of the server for all routers together
	InFlight int // requests that hold a slot
	Cold     bool
	Unseen   int // requests in the last load report that this router did not grant
}

// Limiter adapts the concurrency limit of one BackendServer.
type Limiter struct {
	limit     float64 // slots for all routers together
	maxLimit  int     // advertised slots or MaxLimit
	coldLimit int     // limit at the start of the ramp
	cold      bool
	inFlight  int // requests that hold a slot

	failedLimit  float64   // limit at which the server failed during a ramp, 0 if none
	lastStepAt   time.Time // last change of the limit or start of a window
	completions  int       // successes since lastStepAt
	peakInFlight int       // greatest inFlight since lastStepAt

	intervalTarget   time.Duration // strictest interval target, 0 if none
	intervalTargetAt time.Time     // last sample with that target
	slotSeconds      float64       // integral of inFlight over the window until slotSecondsAt
	slotSecondsAt    time.Time
	lastMeanInFlight float64 // mean requests in flight in the last compared window
	lastTokenRate    float64 // tokens per second in that window, 0 if none
	holdWindows      int     // windows left without growth
	kneeFound        bool    // since the last cold start

	windowStart        time.Time     // requests granted before it are left out
	samples            int           // in the window
	intervalSamples    int           // samples with a token interval
	slowSamples        int           // samples with a token interval above its target
	intervalSum        time.Duration // token intervals in the window
	targetSum          time.Duration // targets of these intervals
	baselineFirstToken time.Duration // moving average without slow first tokens, 0 if unknown
	baselineInterval   time.Duration // shortest token interval seen, 0 if unknown
	coldFirstTokens    int           // slow first tokens in a row

	share           share
	unattributed    int // requests in the last load report that this router did not grant
	inFlightHistory history
}

// share limits this router to its part of the server's slots while known routers
// are missing.
type share struct {
	active          bool
	knownRouters    int
	rank            int       // of this router, starting at 0
	restoredSteps   int       // shareRestoreSteps-ths of the limit added by load reports
	slotsOfOthers   int       // unattributed requests in the last load report
	reportsAfter    time.Time // load reports taken until then are ignored
	routersReturned bool      // all routers are live, load reports still restore the limit
}

// New returns the Limiter of a cold server. slots is the advertised concurrency
// and coldSlots the advertised concurrency of the cold server, 0 if unknown.
func New(now time.Time, slots, coldSlots int) *Limiter {
	l := &Limiter{}
	l.SetAdvertisedSlots(slots, coldSlots)
	l.MarkCold(now)
	return l
}

// SetAdvertisedSlots sets the concurrency that the server advertises, 0 if
// unknown. A limit above slots is lowered to it.
func (l *Limiter) SetAdvertisedSlots(slots, coldSlots int) {
	l.maxLimit = MaxLimit
	if slots > 0 {
		l.maxLimit = min(slots, MaxLimit)
	}
	l.coldLimit = MaxColdLimit
	if coldSlots > 0 {
		l.coldLimit = min(coldSlots, MaxColdLimit)
	}
	l.coldLimit = min(l.coldLimit, l.maxLimit)
	l.limit = min(l.limit, float64(l.maxLimit))
}

// MarkCold marks the server cold: its limit falls to the cold limit and the
// ramp starts again.
func (l *Limiter) MarkCold(now time.Time) {
	l.cold, l.kneeFound, l.lastTokenRate, l.holdWindows = true, false, 0, 0
	l.limit = float64(l.coldLimit)
	l.resetStep(now)
	l.resetWindow(now)
	l.coldFirstTokens = 0
	l.share.markCold()
}

// Restore sets the limit, in slots, and the cold flag that another owner handed
// over.
func (l *Limiter) Restore(now time.Time, limit int, cold bool) {
	l.limit = float64(min(max(limit, 1), l.maxLimit))
	l.cold = cold
	l.resetStep(now)
	l.resetWindow(now)
}

// resetStep starts the interval after which the limit may rise again.
func (l *Limiter) resetStep(now time.Time) {
	l.lastStepAt, l.completions, l.peakInFlight = now, 0, l.inFlight
}

// resetWindow starts a new window of samples.
func (l *Limiter) resetWindow(now time.Time) {
	l.windowStart, l.samples, l.intervalSamples, l.slowSamples = now, 0, 0, 0
	l.intervalSum, l.targetSum = 0, 0
	l.slotSeconds, l.slotSecondsAt = 0, now
}

// Acquire takes a slot and reports whether one was free.
func (l *Limiter) Acquire(now time.Time) bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	l.ForceAcquire(now)
	return true
}

// ForceAcquire takes a slot without checking the limit, for a request that
// already runs.
func (l *Limiter) ForceAcquire(now time.Time) {
	l.updateSlotSeconds(now)
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
	l.inFlightHistory.record(now, l.inFlight)
}

// Release returns a slot and applies the sample of the finished request.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.updateSlotSeconds(now)
	l.inFlight--
	l.inFlightHistory.record(now, l.inFlight)
	switch s.Result {
	case ConnectionFailed:
		if l.cold && l.limit > float64(l.coldLimit) {
			l.failedLimit = l.limit // later drops of the same failure find the limit at coldLimit
		}
		l.MarkCold(now)
	case Success:
		l.recordSuccess(now, s)
	}
}

// recordSuccess adjusts the limit after a successful request.
func (l *Limiter) recordSuccess(now time.Time, s Sample) {
	if l.detectColdStart(now, s) {
		return
	}
	l.completions++
	l.addSample(now, s)
	if l.cold {
		l.stepRamp(now)
		return
	}
	l.adjustWarmLimit(now)
}

// ApplyLoadReport applies a load report. A report older than maxReportAge is
// ignored.
func (l *Limiter) ApplyLoadReport(now time.Time, r Load) {
	if now.Sub(r.TakenAt) > maxReportAge {
		return
	}
	accounted := l.inFlightHistory.maxBefore(r.TakenAt)
	running := r.Running + r.Waiting
	l.unattributed = max(running-accounted, 0)
	if !l.cold && r.Waiting > max(1, int(l.limit)/8) && r.TakenAt.After(l.windowStart) {
		l.limit = max(l.limit*maxDecreaseFactor, 1)
		l.resetWindow(now)
	}
	l.share.observeLoad(r, l.unattributed, l.cold)
}

// Limit returns the number of requests that this router may have in flight,
// including those that already are.
func (l *Limiter) Limit() int { return l.usableLimit() }

// usableLimit returns the slots that this router may use. Unattributed requests
// take away slots, and while routers are missing the share of this router is the
// upper bound.
func (l *Limiter) usableLimit() int {
	full := int(math.Round(l.limit))
	if l.share.active && !l.cold {
		return l.share.usablePart(full) // load reports have already lowered the share
	}
	return max(min(full-l.unattributed, l.share.usablePart(full)), 0)
}

// Cold reports whether the server is cold.
func (l *Limiter) Cold() bool { return l.cold }

// State returns a snapshot.
func (l *Limiter) State() State {
	return State{
		Limit:    l.usableLimit(),
		Full:     int(math.Round(l.limit)),
		InFlight: l.inFlight,
		Cold:     l.cold,
		Unseen:   l.unattributed,
	}
}
