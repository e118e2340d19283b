package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against slots granted above the limit, a limit above two after a
// dropped connection, and ramp steps that are too large, too early or without
// enough successes.
func TestRampAndLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		l, now := New(start, slots, 0), start
		inFlight, successes, lastChange := 0, 0, start
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				free := inFlight < l.Limit()
				assert.Equal(t, l.Acquire(now), free)
				if free {
					inFlight++
				}
			},
			"release": func(t *rapid.T) {
				if inFlight == 0 {
					return
				}
				inFlight--
				before := l.State()
				r := rapid.SampledFrom([]Result{Success, Success, Success, Inconclusive, Silent, ConnectionFailed}).Draw(t, "result")
				l.Release(now, Sample{Result: r, GrantedAt: now, TokenInterval: 20 * time.Millisecond, FirstToken: 100 * time.Millisecond})
				after := l.State()
				if r == Success {
					successes++
				}
				if r == ConnectionFailed {
					assert.Assert(t, after.Cold && after.Full <= MaxColdLimit)
					successes, lastChange = 0, now
				}
				if before.Cold && after.Full > before.Full {
					assert.Assert(t, float64(after.Full) <= max(rampFactor*float64(before.Full), float64(before.Full+1)))
					assert.Assert(t, successes >= before.Full && now.Sub(lastChange) >= minRampInterval)
				}
				if after.Full != before.Full || after.Cold != before.Cold {
					successes, lastChange = 0, now
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				l.ApplyLoadReport(now, Load{Running: inFlight, TakenAt: now})
			},
			"": func(t *rapid.T) {
				state := l.State()
				assert.Equal(t, state.InFlight, inFlight)
				assert.Assert(t, slots == 0 || state.Full <= slots)
			},
		})
	})
}

// Guards against shares of several routers that do not add up to the limit.
func TestSharesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(1, 9).Draw(t, "known")
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		sum := 0
		for rank := range known {
			l := New(start, 0, 0)
			l.limit = float64(limit)
			l.SetKnownRouters(start, known, known-1, rank)
			sum += l.Limit()
		}
		if known > 1 {
			assert.Equal(t, sum, limit)
		}
	})
}

// Guards against a warm limit that stays at half after the other router died, and
// against a cold share that grows while the other router may be running but
// unreachable.
func TestLoadReportsRestoreWarmShareOnly(t *testing.T) {
	warm, cold := New(start, 32, 0), New(start, 32, 0)
	warm.Restore(start, 32, false)
	for _, l := range []*Limiter{warm, cold} {
		l.SetKnownRouters(start, 2, 1, 0)
	}
	assert.Equal(t, warm.Limit(), 16)
	assert.Equal(t, cold.Limit(), 1)
	now := start
	for range shareRestoreSteps {
		now = now.Add(time.Second)
		warm.ApplyLoadReport(now, Load{TakenAt: now})
		cold.ApplyLoadReport(now, Load{TakenAt: now})
	}
	assert.Equal(t, warm.Limit(), 32)
	assert.Equal(t, cold.Limit(), 1)
	warm.ApplyLoadReport(now.Add(time.Second), Load{Running: 10, TakenAt: now.Add(time.Second)})
	assert.Equal(t, warm.Limit(), 22)
}

// Guards against missing a cold start that the server did not announce: the time
// to first token is suddenly several times the baseline.
func TestSlowFirstTokensMarkServerCold(t *testing.T) {
	l, now := New(start, 32, 0), start
	l.Restore(start, 32, false)
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		firstToken := 100 * time.Millisecond
		if i >= 37 {
			firstToken = 2 * time.Second
		}
		assert.Assert(t, !l.Cold(), "server counts as cold at sample %d", i)
		l.ForceAcquire(now)
		l.Release(now, Sample{GrantedAt: now, FirstToken: firstToken, TokenInterval: 20 * time.Millisecond})
	}
	assert.Assert(t, l.Cold())
	assert.Equal(t, l.Limit(), MaxColdLimit)
}

// Guards against a limit past the knee of a batch, where more requests do not
// raise the token rate, with and without an interval target.
func TestLimitFindsKnee(t *testing.T) {
	const knee = 20
	for _, target := range []time.Duration{0, 25 * time.Millisecond} {
		l, now := New(start, 0, 0), start
		for range 4000 {
			for l.Acquire(now) {
			}
			inFlight := l.State().InFlight
			interval := 20 * time.Millisecond
			if inFlight > knee {
				interval = interval * time.Duration(inFlight*inFlight) / (knee * knee)
			}
			now = now.Add(2 * time.Second / time.Duration(inFlight))
			l.Release(now, Sample{GrantedAt: now.Add(-time.Millisecond), TokenInterval: interval, IntervalTarget: target})
		}
		if got := l.Limit(); got < knee-2 || got > knee+3 {
			t.Errorf("target %s: limit %d, knee %d", target, got, knee)
		}
	}
}
