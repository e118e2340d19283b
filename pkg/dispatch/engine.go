package dispatch

import (
	"math"
	"time"
)

const (
	// firstRate is the reading rate of an engine that is not known yet, in
	// tokens per second: 68 tokens/ms with decode steps in between.
	firstRate = 50_000
	minRate   = 5_000
	maxRate   = 200_000
	// firstDelay is the time from the end of reading to the first event of an
	// engine that is not known yet: the steps of one event.
	firstDelay = 60 * time.Millisecond
	minDelay   = 5 * time.Millisecond
	maxDelay   = 250 * time.Millisecond
	// requestTokens is the cost of a request beside its prompt, in tokens.
	requestTokens = 150
	// learnGain is the weight of the newest sample of rate and delay.
	learnGain = 0.1
	// correctGain is the part of a prediction error that corrects the backlog.
	correctGain = 0.35
	maxCorrect  = 400 * time.Millisecond
	// agreeBacklog is the part of the difference to what another edge host
	// believes, beyond agreeSlack, that the backlog moves with each of its
	// digests. A host that sends nothing to an engine has no first events to
	// correct its belief. The slack leaves out what digests have not told yet.
	agreeBacklog = 0.15
	agreeSlack   = 120 * time.Millisecond
	// agreeSummary is the same for the summary of the data centre of the engine,
	// which comes a tenth as often and is better informed.
	agreeSummary = 0.6
	// rateMemory is the time without samples in which half of the difference
	// between the learned and the usual rate is forgotten.
	rateMemory = 2 * time.Second
	// usualRate is the difference to the usual rate that is left as it is.
	usualRate = 0.02 * firstRate
	// rateSample is the least backlog from which the rate is learned.
	rateSample = 4_000
	// delaySample is the largest backlog from which the delay is learned.
	delaySample = 1_500
)

// engine models the prompt reading of one model engine as a queue that drains
// at a learned rate.
type engine struct {
	backlog float64 // tokens not read yet
	at      time.Time
	rate    float64 // tokens per second
	sampled time.Time
	delay   time.Duration
}

func newEngine(now time.Time) engine {
	return engine{at: now, rate: firstRate, delay: firstDelay, sampled: now}
}

// advance drains the backlog up to now.
func (e *engine) advance(now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 {
		e.backlog = max(e.backlog-elapsed.Seconds()*e.rate, 0)
		e.at = now
		if math.Abs(e.rate-firstRate) > usualRate && now.Sub(e.sampled) > rateMemory/4 {
			e.rate += (1 - math.Exp2(-float64(elapsed)/float64(rateMemory))) * (firstRate - e.rate)
		}
	}
}

// agree moves the backlog towards what another edge host believes.
func (e *engine) agree(now time.Time, other time.Duration, gain float64) {
	e.advance(now)
	wrong := other - e.wait(0)
	wrong -= min(max(wrong, -agreeSlack), agreeSlack)
	e.backlog = max(e.backlog+gain*wrong.Seconds()*e.rate, 0)
}

// wait returns how long the backlog and the tokens take.
func (e *engine) wait(tokens int) time.Duration {
	return time.Duration((e.backlog + float64(tokens)) / e.rate * float64(time.Second))
}

func (e *engine) add(now time.Time, tokens float64) {
	e.advance(now)
	e.backlog = max(e.backlog+tokens, 0)
}

// first learns from the first event of a request.
func (e *engine) first(now time.Time, r *Request) {
	took := now.Sub(r.sent)
	if r.ahead >= rateSample && took > e.delay {
		sample := float64(r.ahead) / (took - e.delay).Seconds()
		e.rate += learnGain * (min(max(sample, minRate), maxRate) - e.rate)
		e.sampled = now
	}
	if r.ahead <= delaySample {
		sample := took - time.Duration(float64(r.ahead)/e.rate*float64(time.Second))
		e.delay += time.Duration(learnGain * float64(min(max(sample, minDelay), maxDelay)-e.delay))
	}
	wrong := now.Add(-e.delay).Sub(r.read)
	wrong = min(max(wrong, -maxCorrect), maxCorrect)
	e.add(now, correctGain*wrong.Seconds()*e.rate)
}
