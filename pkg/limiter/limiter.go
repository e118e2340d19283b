// Package limiter holds the concurrency limit and the cold-start ramp of one
// BackendServer. A Limiter is a pure state machine: the time is an argument,
// and it is not safe for concurrent use.
package limiter

import (
	"math"
	"time"
)

// Parameters of the limit.
const (
	// ColdLimit is the greatest limit of a cold server.
	ColdLimit = 2
	// MaxLimit bounds the limit of a server that announces no slots.
	MaxLimit = 512

	// rampInterval is the shortest time between two steps of the ramp.
	rampInterval = time.Second
	// rampGrowth is the factor of one step. L successes at the limit L prove
	// L running requests; doubling would jump to twice what is proven and
	// passed the capacity of engines that bear half more than the cold limit.
	rampGrowth = 1.5
	// cautionPart of a limit that failed is the end of the fast ramp.
	cautionPart = 0.75
	// useShare is the part of the limit that has to be in use before the
	// limit may rise: a limit that is not used says nothing.
	useShare = 0.75
	// minWindow is the least number of samples behind one change.
	minWindow = 4
	// lateSamples is the share of slow samples that lowers the limit, from
	// the objective of 95 of 100.
	lateSamples = 0.05
	// slowFactor calls a token interval slow, against the uncongested
	// baseline, when the class states no target.
	slowFactor = 3.0
	// rampHeadroom is the pressure below which slow samples do not lower the
	// limit: single answers vary.
	rampHeadroom = 0.7
	// minCut and maxCut bound one multiplicative decrease.
	minCut, maxCut = 0.7, 0.97

	// A first token that takes jumpFactor times the baseline, jumpSamples
	// times in a row, means that the server lost its warm state. One sample
	// may be a long prompt.
	jumpFactor  = 5.0
	jumpSamples = 3
	jumpFloor   = 200 * time.Millisecond

	// aimPressure is the part of the target at which the limit stops growing.
	// Between it and the target the limit stays, so that a class with an
	// objective of 95 of 100 keeps a margin.
	aimPressure = 0.93
	// targetMemory is how long the strictest target of the classes on a
	// server holds for all its requests, which share one batch.
	targetMemory = time.Minute
	// fullUse is the part of the limit that has to be in use on average
	// before two windows are compared.
	fullUse = 0.9
	// flatGain is the least growth of throughput, as a part of the growth of
	// use, that calls for a higher limit. Below it the batch is past its knee.
	flatGain = 0.1
	// holdWindows is the number of windows without growth after the knee.
	holdWindows = 10
	// fineStep is the greatest step over the knee that locates it. After a
	// larger one the limit grows again at once.
	fineStep = 2.0

	baselineGain = 0.05
	// reportMaxAge is the age above which a load report says nothing.
	reportMaxAge = 3 * time.Second
	// shareSteps is the number of reports that restore the full limit.
	shareSteps = 4
)

// Result tells the Limiter how a request ended.
type Result int

// Results.
const (
	Success Result = iota
	Dropped        // connection refused or lost
	Stalled        // silent: the connection may be at fault, so no cold start
	Neutral        // cancelled, unused or answered with an error
)

// Sample is what a finished request tells about its server.
type Sample struct {
	Result         Result
	Granted        time.Time     // when the slot was acquired
	FirstToken     time.Duration // 0 if unknown
	TokenInterval  time.Duration // 0 if unknown
	IntervalTarget time.Duration // 0 if the class states none
}

// Load is a load report.
type Load struct {
	Running int
	Waiting int
	Taken   time.Time // on the reader's clock
}

// State is a read-only view.
type State struct {
	Limit    int // usable now
	Full     int // limit of the server over all routers
	InFlight int
	Cold     bool
	Unseen   int // running work that this router did not grant
}

// Limiter is the limit of one BackendServer.
type Limiter struct {
	limit    float64
	most     int // advertised slots or MaxLimit
	coldMost int
	cold     bool
	inFlight int

	failedAt    float64   // limit at which a cold server failed, 0 if none
	stepped     time.Time // last ramp step or start
	completions int       // successes since stepped
	peakUse     int       // greatest inFlight since stepped

	target   time.Duration // strictest interval target, 0 if none
	targetAt time.Time     // when it was last seen
	area     float64       // slot seconds in use in the window
	areaAt   time.Time
	lastUse  float64 // mean slots in use in the last full window
	lastRate float64 // tokens per second in that window
	hold     int     // windows left without growth
	kneeSeen bool    // since the last cold start

	windowFrom   time.Time // samples granted before do not count
	samples      int
	timed        int // samples with a token interval
	slow         int
	intervalSum  time.Duration
	targetSum    time.Duration
	baseFirst    time.Duration
	baseInterval time.Duration
	jumps        int

	share  share
	unseen int
	peaks  [2]int // greatest inFlight in this and the last report window
	peakAt time.Time
}

// share is the part of the limit that this router may use while known routers
// are missing.
type share struct {
	partial bool
	known   int
	rank    int
	raised  int // quarters of the limit added by reports
	lowered int // slots
	since   time.Time
	whole   bool // all routers are back, reports still restore the limit
}

// New returns the Limiter of a cold server. slots is the advertised
// concurrency and coldSlots the advertised cold concurrency, 0 if unknown.
func New(now time.Time, slots, coldSlots int) *Limiter {
	l := &Limiter{}
	l.Advertise(slots, coldSlots)
	l.Chill(now)
	return l
}

// Advertise takes the concurrency that the server announces.
func (l *Limiter) Advertise(slots, coldSlots int) {
	l.most = MaxLimit
	if slots > 0 {
		l.most = min(slots, MaxLimit)
	}
	l.coldMost = ColdLimit
	if coldSlots > 0 {
		l.coldMost = min(coldSlots, ColdLimit)
	}
	l.coldMost = min(l.coldMost, l.most)
	l.limit = min(l.limit, float64(l.most))
}

// Chill makes the server cold: its limit falls to the cold limit and the ramp
// starts again.
func (l *Limiter) Chill(now time.Time) {
	l.cold, l.kneeSeen, l.lastRate, l.hold = true, false, 0, 0
	l.limit = float64(l.coldMost)
	l.restartStep(now)
	l.restartWindow(now)
	l.jumps = 0
	l.share.chill()
}

// Restore sets the state that another owner handed over.
func (l *Limiter) Restore(now time.Time, limit int, cold bool) {
	l.limit = float64(min(max(limit, 1), l.most))
	l.cold = cold
	l.restartStep(now)
	l.restartWindow(now)
}

// Proven raises the limit of a cold server to what it is seen to bear.
func (l *Limiter) Proven(now time.Time, running int) {
	if l.cold && float64(running) > l.limit {
		l.limit = float64(min(running, l.most))
		l.restartStep(now)
	}
}

func (l *Limiter) restartStep(now time.Time) {
	l.stepped, l.completions, l.peakUse = now, 0, l.inFlight
}

func (l *Limiter) restartWindow(now time.Time) {
	l.windowFrom, l.samples, l.timed, l.slow = now, 0, 0, 0
	l.intervalSum, l.targetSum = 0, 0
	l.area, l.areaAt = 0, now
}

// Acquire takes a slot if one is free.
func (l *Limiter) Acquire(now time.Time) bool {
	if l.inFlight >= l.Limit() {
		return false
	}
	l.Force(now)
	return true
}

// Force counts a request that already runs.
func (l *Limiter) Force(now time.Time) {
	l.integrate(now)
	l.inFlight++
	l.peakUse = max(l.peakUse, l.inFlight)
	l.rotatePeaks(now)
	l.peaks[0] = max(l.peaks[0], l.inFlight)
}

// Release returns a slot.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.rotatePeaks(now)
	l.integrate(now)
	l.inFlight--
	switch s.Result {
	case Dropped:
		if l.cold && l.limit > float64(l.coldMost) {
			l.failedAt = l.limit // not the later drops of one failure
		}
		l.Chill(now)
	case Success:
		l.observe(now, s)
	}
}

func (l *Limiter) observe(now time.Time, s Sample) {
	if l.jumped(now, s) {
		return
	}
	l.completions++
	l.count(now, s)
	if l.cold {
		l.ramp(now)
		return
	}
	l.adjust(now)
}

// jumped reports whether the first token shows a server that went cold.
func (l *Limiter) jumped(now time.Time, s Sample) bool {
	if s.FirstToken == 0 {
		return false
	}
	limit := max(time.Duration(jumpFactor*float64(l.baseFirst)), jumpFloor)
	if l.baseFirst == 0 || s.FirstToken < limit {
		l.baseFirst = follow(l.baseFirst, s.FirstToken)
		l.jumps = 0
		return false
	}
	l.jumps++
	if l.jumps < jumpSamples || l.cold {
		return false
	}
	l.Chill(now)
	l.baseFirst = s.FirstToken
	return true
}

func follow(mean, x time.Duration) time.Duration {
	if mean == 0 {
		return x
	}
	return mean + time.Duration(baselineGain*float64(x-mean))
}

// count adds a token interval to the present window. Samples of requests that
// were granted before the last change show the limit before it.
func (l *Limiter) count(now time.Time, s Sample) {
	if s.IntervalTarget > 0 && (l.target == 0 || s.IntervalTarget <= l.target || now.Sub(l.targetAt) > targetMemory) {
		l.target, l.targetAt = s.IntervalTarget, now
	}
	if s.Granted.Before(l.windowFrom) {
		return
	}
	l.samples++
	if s.TokenInterval == 0 {
		return
	}
	l.timed++
	if l.baseInterval == 0 || s.TokenInterval < l.baseInterval {
		l.baseInterval = s.TokenInterval
	}
	target := l.target
	if target == 0 || now.Sub(l.targetAt) > targetMemory {
		target = time.Duration(slowFactor * float64(l.baseInterval))
	}
	l.intervalSum += s.TokenInterval
	l.targetSum += target
	if s.TokenInterval > target {
		l.slow++
	}
}

// pressure returns the mean token interval as a part of its target.
func (l *Limiter) pressure() float64 {
	if l.targetSum == 0 {
		return 0
	}
	return float64(l.intervalSum) / float64(l.targetSum)
}

func (l *Limiter) congested() bool {
	return float64(l.slow) > lateSamples*float64(l.samples) && l.pressure() > rampHeadroom
}

// integrate adds the slots in use since the last change.
func (l *Limiter) integrate(now time.Time) {
	l.area += float64(l.inFlight) * now.Sub(l.areaAt).Seconds()
	l.areaAt = now
}

// pastKnee compares the window with the one before: when more requests ran and
// the throughput did not grow with them, it returns the use that was enough.
func (l *Limiter) pastKnee(now time.Time) (enough float64, past bool) {
	l.integrate(now)
	span := now.Sub(l.windowFrom).Seconds()
	if l.timed < minWindow || span <= 0 {
		return 0, false
	}
	use := l.area / span
	if use < fullUse*l.limit {
		l.lastRate = 0 // the load varies, so the windows do not compare
		return 0, false
	}
	rate := use / (l.intervalSum.Seconds() / float64(l.timed))
	lastUse, lastRate := l.lastUse, l.lastRate
	l.lastUse, l.lastRate = use, rate
	if lastRate == 0 || use < lastUse+0.5 {
		return 0, false
	}
	growth := (rate - lastRate) / lastRate
	return lastUse, growth < flatGain*(use-lastUse)/lastUse
}

func (l *Limiter) used() bool {
	return float64(l.peakUse) >= useShare*float64(l.usable())
}

// next returns the limit of the next ramp step. Near a limit at which the
// server failed before, the ramp adds one slot at a time. Token intervals grow
// at most like the use, so the step ends where the target would be passed.
func (l *Limiter) next(now time.Time) float64 {
	if l.failedAt > 0 && l.limit*rampGrowth >= cautionPart*l.failedAt {
		return l.limit + 1
	}
	limit := max(math.Floor(l.limit*rampGrowth), l.limit+1)
	use := l.meanUse(now)
	least := l.limit
	if use >= fullUse*l.limit {
		least++ // one slot more is always worth a try
	}
	if p := l.pressure(); p > 0 {
		limit = min(limit, max(use*aimPressure/p, least))
	}
	return limit
}

// ramp raises the limit of a cold server after as many successes as the limit,
// and not sooner than rampInterval after the last step.
func (l *Limiter) ramp(now time.Time) {
	crowded := l.crowded()
	if !crowded && (l.completions < int(l.limit) || now.Sub(l.stepped) < rampInterval || !l.used()) {
		return
	}
	if l.most == MaxLimit && l.timed < minWindow && l.intervalSum > 0 {
		return // without announced slots the knee has to be seen in time
	}
	if enough, past := l.pastKnee(now); past {
		l.settleAt(now, enough)
		return
	}
	if crowded {
		l.cut()
	}
	if crowded || l.samples > 0 && l.pressure() >= aimPressure {
		l.warm(now)
		return
	}
	l.limit = min(l.next(now), float64(l.most))
	if int(l.limit) >= l.most {
		l.warm(now)
		return
	}
	l.restartStep(now)
	l.restartWindow(now)
}

// settleAt ends the growth at the use that was enough.
func (l *Limiter) settleAt(now time.Time, use float64) {
	if l.limit <= use+fineStep {
		l.hold = holdWindows
	}
	l.limit = max(math.Round(use), 1)
	l.lastRate, l.kneeSeen = 0, true
	l.warm(now)
}

func (l *Limiter) warm(now time.Time) {
	l.cold = false
	l.failedAt = 0
	l.restartStep(now)
	l.restartWindow(now)
}

// adjust is the additive increase and multiplicative decrease of a warm server.
func (l *Limiter) adjust(now time.Time) {
	if l.samples < max(minWindow, int(l.limit/2)) && !l.crowded() {
		return
	}
	enough, past := l.pastKnee(now)
	l.hold = max(l.hold-1, 0)
	switch {
	case past:
		l.settleAt(now, enough)
		return
	case l.congested():
		l.cut()
	case l.used() && l.hold == 0 && l.pressure() < aimPressure && l.fits(now):
		l.limit = min(l.limit+l.increase(), float64(l.most))
	}
	l.restartStep(now)
	l.restartWindow(now)
}

// fits reports whether a full limit after the next step would stay within the
// target. Token intervals grow at most like the use, up to the knee. Without
// this rule a limit that is partly used drifts past the knee, and the first
// burst slows every answer.
func (l *Limiter) fits(now time.Time) bool {
	use := l.meanUse(now)
	return l.timed == 0 || use >= fullUse*l.limit || l.pressure()*(l.limit+l.increase()) < use
}

// meanUse returns the mean number of slots in use in the window.
func (l *Limiter) meanUse(now time.Time) float64 {
	l.integrate(now)
	if span := now.Sub(l.windowFrom).Seconds(); span > 0 {
		return l.area / span
	}
	return float64(l.inFlight)
}

// crowded reports whether so many samples are slow that the limit falls before
// the window is full.
func (l *Limiter) crowded() bool {
	return l.samples >= 2*minWindow && 2*l.slow >= l.samples && l.congested()
}

// cut lowers the limit by the pressure. It starts from the slots that were in
// use: a limit above them had no part in the pressure.
func (l *Limiter) cut() {
	part := min(max(1/l.pressure(), minCut), maxCut)
	l.limit = max(min(l.limit, float64(l.peakUse))*part, 1)
}

// increase returns the additive step: one slot near the target or once the
// knee was seen, an eighth of the limit far below.
func (l *Limiter) increase() float64 {
	if l.kneeSeen || l.pressure() > rampHeadroom {
		return 1
	}
	return max(math.Floor(l.limit/8), 1)
}

// Report takes a load report.
func (l *Limiter) Report(now time.Time, r Load) {
	l.rotatePeaks(now)
	if now.Sub(r.Taken) > reportMaxAge {
		return
	}
	accounted := max(l.peaks[0], l.peaks[1], l.inFlight)
	running := r.Running + r.Waiting
	l.unseen = max(running-accounted, 0)
	if !l.cold && r.Waiting > max(1, int(l.limit)/8) && r.Taken.After(l.windowFrom) {
		l.limit = max(l.limit*maxCut, 1)
		l.restartWindow(now)
	}
	l.share.report(r, l.unseen, l.cold)
}

// rotatePeaks keeps the greatest number in flight over one to two report ages.
func (l *Limiter) rotatePeaks(now time.Time) {
	if now.Sub(l.peakAt) < reportMaxAge {
		return
	}
	if now.Sub(l.peakAt) >= 2*reportMaxAge {
		l.peaks[0] = l.inFlight
	}
	l.peaks[1], l.peaks[0] = l.peaks[0], l.inFlight
	l.peakAt = now
}

// Limit returns the number of requests that this router may have in flight.
func (l *Limiter) Limit() int { return l.usable() }

func (l *Limiter) usable() int {
	full := int(math.Round(l.limit))
	if l.share.partial && !l.cold {
		return l.share.of(full) // reports already lowered it
	}
	return max(min(full-l.unseen, l.share.of(full)), 0)
}

// Cold reports whether the server is cold.
func (l *Limiter) Cold() bool { return l.cold }

// State returns a read-only view.
func (l *Limiter) State() State {
	return State{
		Limit:    l.usable(),
		Full:     int(math.Round(l.limit)),
		InFlight: l.inFlight,
		Cold:     l.cold,
		Unseen:   l.unseen,
	}
}
