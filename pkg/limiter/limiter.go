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
	past   history
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
	l.past.mark(now, l.inFlight)
}

// Release returns a slot.
func (l *Limiter) Release(now time.Time, s Sample) {
	l.integrate(now)
	l.inFlight--
	l.past.mark(now, l.inFlight)
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

// Report takes a load report.
func (l *Limiter) Report(now time.Time, r Load) {
	if now.Sub(r.Taken) > reportMaxAge {
		return
	}
	accounted := l.past.around(r.Taken)
	running := r.Running + r.Waiting
	l.unseen = max(running-accounted, 0)
	if !l.cold && r.Waiting > max(1, int(l.limit)/8) && r.Taken.After(l.windowFrom) {
		l.limit = max(l.limit*maxCut, 1)
		l.restartWindow(now)
	}
	l.share.report(r, l.unseen, l.cold)
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
