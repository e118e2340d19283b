package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// requestGain is the weight of the newest request in the means of a service.
	requestGain = 0.05
	// limitedCapacityFactor allows for engines with a limit that get more than the mean
	// of the requests.
	limitedCapacityFactor = 1.25
)

// measureRequest updates the means of the service of a new request.
func (d *Dispatcher) measureRequest(r *Request) {
	svc := d.services[r.Service]
	if svc == nil || r.PromptTokens == 0 {
		return
	}
	gain := requestGain
	if svc.meanPrompt == 0 {
		gain = 1
	}
	svc.meanPrompt += gain * (float64(r.PromptTokens) - svc.meanPrompt)
	svc.meanCost += gain * (serviceTokens(r) - svc.meanCost)
}

// limitedEngines counts the available engines, and what those with a limit serve.
type limitedEngines struct {
	unlimited, limited int
	tokensPerSecond    float64 // service tokens of those with a limit
}

// add adds an engine with the given limit whose requests have the given mean cost. It returns
// the service tokens per second that the limit allows, noLimit if there is none.
func (e *limitedEngines) add(perSecond, meanCost float64) float64 {
	if perSecond == noLimit || meanCost == 0 { // without requests here the cost is not known
		e.unlimited++
		return noLimit
	}
	e.limited++
	tokens := max(perSecond, minLimitRate) * meanCost
	e.tokensPerSecond += limitedCapacityFactor * tokens
	return tokens
}

// enginePressure is the pressure of an engine and the service tokens per second that its limit
// allows, noLimit if it has none.
type enginePressure struct {
	pressure time.Duration
	limited  float64
}

// medianPressure returns the median pressure of the engines, which together serve the stated
// rate without limits. An engine counts for what it serves.
func medianPressure(engines []enginePressure, stated float64) time.Duration {
	slices.SortFunc(engines, func(a, b enginePressure) int { return cmp.Compare(a.pressure, b.pressure) })
	whole := stated / float64(len(engines))
	weight := func(e enginePressure) float64 {
		if e.limited >= whole || stated <= 0 {
			return 1
		}
		return e.limited / whole
	}
	total := 0.0
	for _, e := range engines {
		total += weight(e)
	}
	below := 0.0
	for _, e := range engines {
		if below += weight(e); 2*below > total {
			return e.pressure
		}
	}
	return 0
}

// capacity returns the service tokens per second that the engines serve at most, if they
// served as many as given without limits.
func (e *limitedEngines) capacity(unlimited float64) float64 {
	if e.limited == 0 {
		return unlimited
	}
	return min(unlimited*float64(e.unlimited)/float64(e.unlimited+e.limited)+e.tokensPerSecond, unlimited)
}

// limitedRate returns the requests per second that this host may send to the servers that the
// request may use, and whether all of these limit their requests.
func (d *Dispatcher) limitedRate(now time.Time, r *Request, svc *service) (perSecond float64, limited bool) {
	for _, s := range svc.serversLeft(r) {
		if !s.info.Ready || !s.downSince.IsZero() {
			continue
		}
		limit := s.limit.rate(now)
		if limit == noLimit {
			return 0, false
		}
		part, _ := d.hostPart(s, d.reachableLimit(limit))
		perSecond, limited = perSecond+part, true
	}
	return perSecond, limited
}

// limitedQueueTime predicts the time until the limits allow the request after those of its
// service that are queued here: 0 if a server that it may use has no limit.
func (d *Dispatcher) limitedQueueTime(now time.Time, r *Request, svc *service) time.Duration {
	perSecond, limited := d.limitedRate(now, r, svc)
	if !limited {
		return 0
	}
	if perSecond == 0 {
		return maxRetryAfter
	}
	ahead := 0
	for _, w := range d.queue {
		if w != r && w.Service == r.Service && svc.delays(w, r) {
			ahead++
		}
	}
	first := time.Duration(math.MaxInt64)
	for _, s := range svc.serversLeft(r) {
		if s.info.Ready && s.downSince.IsZero() {
			first = min(first, d.limitWait(now, s))
		}
	}
	return min(first, maxRetryAfter) + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}
