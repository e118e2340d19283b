package limiter

import (
	"math"
	"time"
)

// detectColdStart checks the time to first token for a cold start that the server
// did not announce. It marks the server cold and returns true when enough
// samples in a row exceed the baseline.
func (l *Limiter) detectColdStart(now time.Time, s Sample) bool {
	if s.FirstToken == 0 {
		return false
	}
	threshold := max(time.Duration(coldFirstTokenFactor*float64(l.baselineFirstToken)), minColdFirstToken)
	if l.baselineFirstToken == 0 || s.FirstToken < threshold {
		l.baselineFirstToken = movingAverage(l.baselineFirstToken, s.FirstToken)
		l.coldFirstTokens = 0
		return false
	}
	l.coldFirstTokens++
	if l.coldFirstTokens < coldFirstTokenSamples || l.cold {
		return false
	}
	l.MarkCold(now)
	l.baselineFirstToken = s.FirstToken
	return true
}

// movingAverage adds a sample to an exponential moving average. A mean of 0 means
// that there are no samples yet.
func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(baselineSmoothing*float64(sample-mean))
}

// addSample adds the sample of a successful request to the current window. It
// leaves out requests that were granted before the last change of the limit,
// because they show the effect of the previous limit.
func (l *Limiter) addSample(now time.Time, s Sample) {
	if s.IntervalTarget > 0 && (l.intervalTarget == 0 || s.IntervalTarget <= l.intervalTarget || now.Sub(l.intervalTargetAt) > intervalTargetTTL) {
		l.intervalTarget, l.intervalTargetAt = s.IntervalTarget, now
	}
	if s.GrantedAt.Before(l.windowStart) {
		return
	}
	l.samples++
	if s.TokenInterval == 0 {
		return
	}
	l.intervalSamples++
	if l.baselineInterval == 0 || s.TokenInterval < l.baselineInterval {
		l.baselineInterval = s.TokenInterval
	}
	intervalTarget := l.intervalTarget
	if intervalTarget == 0 || now.Sub(l.intervalTargetAt) > intervalTargetTTL {
		intervalTarget = time.Duration(slowIntervalFactor * float64(l.baselineInterval))
	}
	l.intervalSum += s.TokenInterval
	l.targetSum += intervalTarget
	if s.TokenInterval > intervalTarget {
		l.slowSamples++
	}
}

// pressure returns the mean token interval in the window divided by the mean
// target, 0 without samples. Above 1 the target is missed on average.
func (l *Limiter) pressure() float64 {
	if l.targetSum == 0 {
		return 0
	}
	return float64(l.intervalSum) / float64(l.targetSum)
}

// congested reports whether the samples of the window call for a lower limit.
func (l *Limiter) congested() bool {
	return float64(l.slowSamples) > maxSlowFraction*float64(l.samples) && l.pressure() > congestionPressure
}

// updateSlotSeconds adds the slot seconds since the last update. It must run
// before inFlight changes.
func (l *Limiter) updateSlotSeconds(now time.Time) {
	l.slotSeconds += float64(l.inFlight) * now.Sub(l.slotSecondsAt).Seconds()
	l.slotSecondsAt = now
}

// detectKnee compares the window with the one before it. When more requests ran
// but the token rate did not grow with them, the batch is past its knee, and
// detectKnee returns the mean requests in flight of the earlier window, which
// were enough.
func (l *Limiter) detectKnee(now time.Time) (kneeInFlight float64, found bool) {
	l.updateSlotSeconds(now)
	windowSeconds := now.Sub(l.windowStart).Seconds()
	if l.intervalSamples < minWindowSamples || windowSeconds <= 0 {
		return 0, false
	}
	meanInFlight := l.slotSeconds / windowSeconds
	if meanInFlight < minMeanUtilisation*l.limit {
		l.lastTokenRate = 0 // the load varies, so the windows cannot be compared
		return 0, false
	}
	tokenRate := meanInFlight / (l.intervalSum.Seconds() / float64(l.intervalSamples))
	lastMeanInFlight, lastTokenRate := l.lastMeanInFlight, l.lastTokenRate
	l.lastMeanInFlight, l.lastTokenRate = meanInFlight, tokenRate
	if lastTokenRate == 0 || meanInFlight < lastMeanInFlight+0.5 {
		return 0, false
	}
	growth := (tokenRate - lastTokenRate) / lastTokenRate
	return lastMeanInFlight, growth < minThroughputGain*(meanInFlight-lastMeanInFlight)/lastMeanInFlight
}

// utilisationAllowsGrowth reports whether enough of the limit was in use since
// the last step for the limit to rise.
func (l *Limiter) utilisationAllowsGrowth() bool {
	return float64(l.peakInFlight) >= minPeakUtilisation*float64(l.usableLimit())
}

// nextRampLimit returns the limit after the next ramp step. Near a limit at which
// the server failed before, the ramp adds one slot at a time. Token intervals
// grow at most in proportion to the requests in flight, so the step ends at the
// limit at which the target might be missed.
func (l *Limiter) nextRampLimit(now time.Time) float64 {
	if l.failedLimit > 0 && l.limit*rampFactor >= cautiousRampFraction*l.failedLimit {
		return l.limit + 1
	}
	limit := max(math.Floor(l.limit*rampFactor), l.limit+1)
	mean := l.meanInFlight(now)
	minLimit := l.limit
	if mean >= minMeanUtilisation*l.limit {
		minLimit++ // a fully used limit may always grow by one slot
	}
	if p := l.pressure(); p > 0 {
		limit = min(limit, max(mean*maxGrowthPressure/p, minLimit))
	}
	return limit
}

// stepRamp raises the limit of a cold server when as many requests as the limit
// have succeeded and minRampInterval has passed since the last step. The ramp ends
// at the knee, at maxGrowthPressure, in severe congestion or at the maximum limit.
func (l *Limiter) stepRamp(now time.Time) {
	severelyCongested := l.severelyCongested()
	if !severelyCongested && (l.completions < int(l.limit) || now.Sub(l.lastStepAt) < minRampInterval || !l.utilisationAllowsGrowth()) {
		return
	}
	if l.maxLimit == MaxLimit && l.intervalSamples < minWindowSamples && l.intervalSum > 0 {
		return // without advertised slots only the knee bounds the ramp, so wait for the samples that show it
	}
	if kneeInFlight, found := l.detectKnee(now); found {
		l.setKneeLimit(now, kneeInFlight)
		return
	}
	if severelyCongested {
		l.decreaseLimit()
	}
	if severelyCongested || l.samples > 0 && l.pressure() >= maxGrowthPressure {
		l.markWarm(now)
		return
	}
	l.limit = min(l.nextRampLimit(now), float64(l.maxLimit))
	if int(l.limit) >= l.maxLimit {
		l.markWarm(now)
		return
	}
	l.resetStep(now)
	l.resetWindow(now)
}

// setKneeLimit sets the limit to the knee and marks the server warm. After a
// small step over the knee the limit then stays for kneeHoldWindows windows.
func (l *Limiter) setKneeLimit(now time.Time, kneeInFlight float64) {
	if l.limit <= kneeInFlight+maxKneeStep {
		l.holdWindows = kneeHoldWindows
	}
	l.limit = max(math.Round(kneeInFlight), 1)
	l.lastTokenRate, l.kneeFound = 0, true
	l.markWarm(now)
}

// markWarm ends the ramp and starts a new window.
func (l *Limiter) markWarm(now time.Time) {
	l.cold = false
	l.failedLimit = 0
	l.resetStep(now)
	l.resetWindow(now)
}

// adjustWarmLimit applies additive increase and multiplicative decrease to the
// limit of a warm server once the window has enough samples.
func (l *Limiter) adjustWarmLimit(now time.Time) {
	if l.samples < max(minWindowSamples, int(l.limit/2)) && !l.severelyCongested() {
		return
	}
	kneeInFlight, found := l.detectKnee(now)
	l.holdWindows = max(l.holdWindows-1, 0)
	switch {
	case found:
		l.setKneeLimit(now, kneeInFlight)
		return
	case l.congested():
		l.decreaseLimit()
	case l.utilisationAllowsGrowth() && l.holdWindows == 0 && l.pressure() < maxGrowthPressure && l.nextStepMeetsTarget(now):
		l.limit = min(l.limit+l.additiveStep(), float64(l.maxLimit))
	}
	l.resetStep(now)
	l.resetWindow(now)
}

// nextStepMeetsTarget reports whether the target would still be met if the limit
// rose by one step and were fully used. Up to the knee, token intervals grow at
// most in proportion to the requests in flight. Without this check a partly used
// limit drifts past the knee, and the first burst slows every answer.
func (l *Limiter) nextStepMeetsTarget(now time.Time) bool {
	mean := l.meanInFlight(now)
	return l.intervalSamples == 0 || mean >= minMeanUtilisation*l.limit || l.pressure()*(l.limit+l.additiveStep()) < mean
}

// meanInFlight returns the mean number of requests in flight in the window.
func (l *Limiter) meanInFlight(now time.Time) float64 {
	l.updateSlotSeconds(now)
	if windowSeconds := now.Sub(l.windowStart).Seconds(); windowSeconds > 0 {
		return l.slotSeconds / windowSeconds
	}
	return float64(l.inFlight)
}

// severelyCongested reports whether so many samples are slow that the limit must
// fall before the window is full.
func (l *Limiter) severelyCongested() bool {
	return l.samples >= 2*minWindowSamples && 2*l.slowSamples >= l.samples && l.congested()
}

// decreaseLimit divides the limit by the pressure, within minDecreaseFactor and
// maxDecreaseFactor. It starts from the peak of requests in flight, because unused
// slots did not contribute to the pressure.
func (l *Limiter) decreaseLimit() {
	factor := min(max(1/l.pressure(), minDecreaseFactor), maxDecreaseFactor)
	l.limit = max(min(l.limit, float64(l.peakInFlight))*factor, 1)
}

// additiveStep returns the additive increase in slots: one near the target or
// after the knee was found, otherwise an eighth of the limit.
func (l *Limiter) additiveStep() float64 {
	if l.kneeFound || l.pressure() > congestionPressure {
		return 1
	}
	return max(math.Floor(l.limit/8), 1)
}
