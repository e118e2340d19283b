package router

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryShare of the recent requests may be sent again.
	retryShare = 0.1
	// retryReserve lets a router with little traffic retry at all.
	retryReserve = 3
	// retryCap bounds the burst after a quiet time.
	retryCap = 100
	// refusalPause is how long a pool that refused a request gets no retries.
	refusalPause = time.Second

	rateBurstSeconds = 1 // of a workspace's request rate
	idleRateLimiter  = 10 * time.Minute
)

// retryBudget bounds retries to a share of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

func (b *retryBudget) request() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryShare, retryCap)
	b.mu.Unlock()
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// workspaceRates limits the request rate of each workspace at this router.
type workspaceRates struct {
	mu       sync.Mutex
	limiters map[string]*workspaceRate
	swept    time.Time
}

type workspaceRate struct {
	limiter *rate.Limiter
	used    time.Time
}

func newWorkspaceRates() *workspaceRates {
	return &workspaceRates{limiters: make(map[string]*workspaceRate)}
}

// allow takes one request and returns the time after which to come back if
// the rate is passed. A rate of 0 means no limit.
func (w *workspaceRates) allow(now time.Time, name string, perSecond float64) (time.Duration, bool) {
	if perSecond == 0 {
		return 0, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweep(now)
	r := w.limiters[name]
	if r == nil {
		r = &workspaceRate{limiter: rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond))}
		w.limiters[name] = r
	}
	if r.limiter.Limit() != rate.Limit(perSecond) {
		r.limiter.SetLimitAt(now, rate.Limit(perSecond))
		r.limiter.SetBurstAt(now, burstOf(perSecond))
	}
	r.used = now
	if r.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - r.limiter.TokensAt(now)
	return time.Duration(missing / perSecond * float64(time.Second)), false
}

func burstOf(perSecond float64) int {
	return max(int(perSecond*rateBurstSeconds), 1)
}

func (w *workspaceRates) sweep(now time.Time) {
	if now.Sub(w.swept) < idleRateLimiter {
		return
	}
	w.swept = now
	for name, r := range w.limiters {
		if now.Sub(r.used) > idleRateLimiter {
			delete(w.limiters, name)
		}
	}
}
