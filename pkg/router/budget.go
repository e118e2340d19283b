package router

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryRatio is the number of retry tokens that each request adds.
	retryRatio = 0.1
	// initialRetryTokens allows a router with little traffic to retry.
	initialRetryTokens = 3
	// maxRetryTokens limits the burst of retries after a period without any.
	maxRetryTokens = 100
	// retryPauseAfterRefusal is how long no request of a pool is retried after
	// the pool refused a request.
	retryPauseAfterRefusal = time.Second

	rateBurstSeconds       = 1 // burst size in seconds of a workspace's request rate
	rateLimiterIdleTimeout = 10 * time.Minute
	// takeUpDebtSeconds bounds what take-ups are charged beyond a workspace's request rate:
	// the streams that it may have begun in the time in which their callers may come back.
	takeUpDebtSeconds = 60
)

// retryBudget is a token bucket that limits retries to a share of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialRetryTokens} }

// request adds the tokens of one request.
func (b *retryBudget) request() {
	b.mu.Lock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
	b.mu.Unlock()
}

// tryWithdraw takes the token of one retry, if there is one.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// workspaceRateLimiters limits the request rate of each workspace at this
// router.
type workspaceRateLimiters struct {
	mu          sync.Mutex
	byWorkspace map[string]*workspaceRateLimiter
	sweptAt     time.Time
}

type workspaceRateLimiter struct {
	limiter *rate.Limiter
	usedAt  time.Time
}

func newWorkspaceRateLimiters() *workspaceRateLimiters {
	return &workspaceRateLimiters{byWorkspace: make(map[string]*workspaceRateLimiter)}
}

// allow counts one request and reports whether it is within the rate. If not,
// it returns the time after which the caller should retry. A rate of 0 means no
// limit. A take-up is allowed beyond the rate, so that the next new requests of the
// workspace are refused instead.
func (l *workspaceRateLimiters) allow(now time.Time, workspaceName string, perSecond float64, isTakeUp bool) (time.Duration, bool) {
	if perSecond == 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(now)
	entry := l.byWorkspace[workspaceName]
	if entry == nil {
		entry = &workspaceRateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))}
		l.byWorkspace[workspaceName] = entry
	}
	if entry.limiter.Limit() != rate.Limit(perSecond) {
		entry.limiter.SetLimitAt(now, rate.Limit(perSecond))
		entry.limiter.SetBurstAt(now, burstSize(perSecond))
	}
	entry.usedAt = now
	if entry.limiter.AllowN(now, 1) {
		return 0, true
	}
	missingTokens := 1 - entry.limiter.TokensAt(now)
	if isTakeUp {
		missingTokens -= takeUpDebt(perSecond)
		if missingTokens <= 0 {
			entry.limiter.ReserveN(now, 1)
			return 0, true
		}
	}
	return time.Duration(missingTokens / perSecond * float64(time.Second)), false
}

// takeUpDebt returns the number of take-ups that are allowed beyond the rate, at least one.
func takeUpDebt(perSecond float64) float64 { return max(perSecond*takeUpDebtSeconds, 1) }

func burstSize(perSecond float64) int {
	return max(int(perSecond*rateBurstSeconds), 1)
}

// removeIdle removes the rate limiters that were not used for
// rateLimiterIdleTimeout.
func (l *workspaceRateLimiters) removeIdle(now time.Time) {
	if now.Sub(l.sweptAt) < rateLimiterIdleTimeout {
		return
	}
	l.sweptAt = now
	for name, entry := range l.byWorkspace {
		if now.Sub(entry.usedAt) > rateLimiterIdleTimeout {
			delete(l.byWorkspace, name)
		}
	}
}
