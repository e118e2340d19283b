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
	// rampInterval may only double while the intervals are below this part
	// of the target; above, the limit grows by one.
	rampHeadroom = 0.7
	// minCut and maxCut bound one multiplicative decrease.
	minCut, maxCut = 0.7, 0.97

	// A first token that takes jumpFactor times the baseline, jumpSamples
	// times in a row, means that the server lost its warm state. One sample
	// may be a long prompt.
	jumpFactor  = 5.0
	jumpSamples = 3
	jumpFloor   = 200 * time.Millisecond

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

	stepped     time.Time // last ramp step or start
	completions int       // successes since stepped
	peakUse     int       // greatest inFlight since stepped

	windowFrom   time.Time // samples granted before do not count
	samples      int
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
	l.cold = true
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
	l.windowFrom, l.samples, l.slow = now, 0, 0
	l.intervalSum, l.targetSum = 0, 0
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
	l.inFlight++
	l.peakUse = max(l.peakUse, l.inFlight)
	l.rotatePeaks(now)
	l.peaks[0] = max(l.peaks[0], l.inFlight)
}

// Release returns a slot.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.rotatePeaks(now)
	l.inFlight--
	switch s.Result {
	case Dropped:
		l.Chill(now)
	case Success:
		l.observe(now, s)
	}
}

func (l *Limiter) observe(now time.Time, s Sample) {
	if l.jumped(now, s) {
		return
	}
	if !s.Granted.Before(l.stepped) {
		l.completions++
	}
	l.count(s)
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
func (l *Limiter) count(s Sample) {
	if s.Granted.Before(l.windowFrom) {
		return
	}
	l.samples++
	if s.TokenInterval == 0 {
		return
	}
	if l.baseInterval == 0 || s.TokenInterval < l.baseInterval {
		l.baseInterval = s.TokenInterval
	}
	target := s.IntervalTarget
	if target == 0 {
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

func (l *Limiter) used() bool {
	return float64(l.peakUse) >= useShare*float64(l.usable())
}

// ramp doubles the limit of a cold server after as many successes as the
// limit, and not sooner than rampInterval after the last step.
func (l *Limiter) ramp(now time.Time) {
	if l.completions < int(l.limit) || now.Sub(l.stepped) < rampInterval || !l.used() {
		return
	}
	if l.samples > 0 && l.pressure() > rampHeadroom {
		l.warm(now)
		return
	}
	l.limit = min(2*l.limit, float64(l.most))
	if int(l.limit) >= l.most {
		l.warm(now)
		return
	}
	l.restartStep(now)
	l.restartWindow(now)
}

func (l *Limiter) warm(now time.Time) {
	l.cold = false
	l.restartStep(now)
	l.restartWindow(now)
}

// adjust is the additive increase and multiplicative decrease of a warm server.
func (l *Limiter) adjust(now time.Time) {
	if l.samples < max(minWindow, int(l.limit/2)) {
		return
	}
	switch {
	case l.congested():
		cut := min(max(1/l.pressure(), minCut), maxCut)
		l.limit = max(l.limit*cut, 1)
	case l.used():
		l.limit = min(l.limit+1, float64(l.most))
	}
	l.restartStep(now)
	l.restartWindow(now)
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
	if l.cold {
		return max(min(full-l.unseen, l.share.of(full)), 0)
	}
	return min(full, l.share.of(full))
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
