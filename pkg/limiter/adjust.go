package limiter

import (
	"math"
	"time"
)

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
