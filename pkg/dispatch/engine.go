package dispatch

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate is the initial prefill rate of an engine in tokens per
	// second: 68 tokens/ms interleaved with decode steps.
	defaultPrefillRate = 50_000
	minPrefillRate     = 5_000
	maxPrefillRate     = 200_000
	// defaultFirstEventDelay is the initial time from the end of prefill to the
	// first event: the decode steps of one event.
	defaultFirstEventDelay = 60 * time.Millisecond
	minFirstEventDelay     = 5 * time.Millisecond
	maxFirstEventDelay     = 250 * time.Millisecond
	// requestOverheadTokens is the cost of a request in addition to its prompt, in
	// prompt tokens.
	requestOverheadTokens = 150
	// estimateGain is the weight of a new sample in the estimates of prefill rate
	// and first event delay.
	estimateGain = 0.1
	// backlogCorrectionGain is the fraction of a prediction error by which the
	// backlog is corrected.
	backlogCorrectionGain = 0.35
	maxBacklogCorrection  = 400 * time.Millisecond
	// peerBacklogGain is the fraction of the difference to the backlog in a digest
	// of another edge host, beyond peerBacklogTolerance, by which the backlog is
	// corrected. An edge host that sends nothing to an engine sees no first events
	// that would correct its estimate. The tolerance covers work that digests have
	// not reported yet.
	peerBacklogGain      = 0.15
	peerBacklogTolerance = 120 * time.Millisecond
	// summaryBacklogGain replaces peerBacklogGain for summaries from the data
	// centre of the engine, which arrive a tenth as often and are more accurate.
	summaryBacklogGain = 0.6
	// rateHalfLife is the time without samples in which the difference between the
	// learned and the default prefill rate halves.
	rateHalfLife = 2 * time.Second
	// rateTolerance is the difference to the default rate that does not decay.
	rateTolerance = 0.02 * defaultPrefillRate
	// minRateSampleTokens is the minimum backlog from which the prefill rate is
	// learned.
	minRateSampleTokens = 4_000
	// maxDelaySampleTokens is the maximum backlog from which the first event delay
	// is learned.
	maxDelaySampleTokens = 1_500
)

// prefillModel models the prefill of one model engine as a queue that drains at
// a learned rate.
type prefillModel struct {
	backlogTokens   float64 // prompt tokens not prefilled yet
	updatedAt       time.Time
	prefillRate     float64 // tokens per second
	rateSampledAt   time.Time
	firstEventDelay time.Duration
}

func newPrefillModel(now time.Time) prefillModel {
	return prefillModel{updatedAt: now, prefillRate: defaultPrefillRate, firstEventDelay: defaultFirstEventDelay, rateSampledAt: now}
}

// advance drains the backlog up to now.
func (m *prefillModel) advance(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		m.backlogTokens = max(m.backlogTokens-elapsed.Seconds()*m.prefillRate, 0)
		m.updatedAt = now
		if math.Abs(m.prefillRate-defaultPrefillRate) > rateTolerance && now.Sub(m.rateSampledAt) > rateHalfLife/4 {
			m.prefillRate += (1 - math.Exp2(-float64(elapsed)/float64(rateHalfLife))) * (defaultPrefillRate - m.prefillRate)
		}
	}
}

// blendPeerBacklog moves the backlog towards the estimate of another edge host.
func (m *prefillModel) blendPeerBacklog(now time.Time, peerBacklog time.Duration, gain float64) {
	m.advance(now)
	deviation := peerBacklog - m.prefillTime(0)
	deviation -= min(max(deviation, -peerBacklogTolerance), peerBacklogTolerance)
	m.backlogTokens = max(m.backlogTokens+gain*deviation.Seconds()*m.prefillRate, 0)
}

// prefillTime returns the time to prefill the backlog and the given tokens.
func (m *prefillModel) prefillTime(tokens int) time.Duration {
	return time.Duration((m.backlogTokens + float64(tokens)) / m.prefillRate * float64(time.Second))
}

// addTokens adds tokens to the backlog; a negative number removes them.
func (m *prefillModel) addTokens(now time.Time, tokens float64) {
	m.advance(now)
	m.backlogTokens = max(m.backlogTokens+tokens, 0)
}

// learnFromFirstEvent updates delay and backlog, and with learnRate the rate, from the first
// event of a request.
func (m *prefillModel) learnFromFirstEvent(now time.Time, r *Request, learnRate bool) {
	elapsed := now.Sub(r.sentAt)
	if learnRate && r.loadAtSend >= minRateSampleTokens && elapsed > m.firstEventDelay {
		sample := float64(r.loadAtSend) / (elapsed - m.firstEventDelay).Seconds()
		m.prefillRate += estimateGain * (min(max(sample, minPrefillRate), maxPrefillRate) - m.prefillRate)
		m.rateSampledAt = now
	}
	if r.loadAtSend <= maxDelaySampleTokens {
		sample := elapsed - time.Duration(float64(r.loadAtSend)/m.prefillRate*float64(time.Second))
		m.firstEventDelay += time.Duration(estimateGain * float64(min(max(sample, minFirstEventDelay), maxFirstEventDelay)-m.firstEventDelay))
	}
	deviation := now.Add(-m.firstEventDelay).Sub(r.prefillDoneAt)
	deviation = min(max(deviation, -maxBacklogCorrection), maxBacklogCorrection)
	m.addTokens(now, backlogCorrectionGain*deviation.Seconds()*m.prefillRate)
}
