package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// always returns a limit that all servers state from the first second on.
func always(perSecond float64) func(int, time.Duration) (float64, bool) {
	return func(_ int, elapsed time.Duration) (float64, bool) { return perSecond, elapsed >= time.Second }
}

// dataCentresOf returns the data centre of each of n hosts.
func dataCentresOf(n, dataCentres int) (out []string) {
	for i := range n {
		out = append(out, string(rune('a'+i%dataCentres)))
	}
	return out
}

// evenly returns the same rate of requests for each host.
func evenly(perSecond float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return perSecond }
}

// atOne returns a rate of requests at one host, and few at the others.
func atOne(perSecond float64) func(int, time.Duration) float64 {
	return func(host int, _ time.Duration) float64 {
		if host == 0 {
			return perSecond
		}
		return 0.1
	}
}

// moving returns a rate of requests at one host, another one every three seconds.
func moving(hosts int, perSecond float64) func(int, time.Duration) float64 {
	return func(host int, elapsed time.Duration) float64 {
		if int(elapsed/(3*time.Second))%hosts == host {
			return perSecond
		}
		return 0
	}
}

// bursts returns a rate of requests that begin and end at all hosts at once.
func bursts(rate func(int, time.Duration) float64) func(int, time.Duration) float64 {
	return func(host int, elapsed time.Duration) float64 {
		if elapsed > 2*time.Second && elapsed%(4*time.Second) < 2*time.Second {
			return 0
		}
		return rate(host, elapsed)
	}
}

// herd returns a rate of requests that come to all hosts within 5 ms, each two seconds.
func herd(requests float64) func(int, time.Duration) float64 {
	return func(_ int, elapsed time.Duration) float64 {
		if elapsed == 0 || elapsed%(2*time.Second) != 0 {
			return 0
		}
		return requests * 200
	}
}

// Guards against servers that get more requests than they say that they take, and against
// limits that are not used while requests wait, for all forms of traffic and fleets.
func TestServersGetNoMoreThanTheirLimit(t *testing.T) {
	for _, c := range []struct {
		hosts     int
		perSecond float64
		plain     bool
		shapes    string
	}{
		{1, 5, false, "even herd"},
		{4, 0.5, false, "even one moving bursts herd"},
		{4, 5, false, "even one moving bursts herd"},
		{4, 40, false, "even moving bursts herd"},
		{4, 5, true, "even one moving bursts herd"},
		{12, 5, false, "moving"},
		{40, 0.5, false, "herd"},
		{40, 5, false, "even moving herd"},
		{40, 40, true, "bursts herd"},
	} {
		demand, span := 3*3*max(c.perSecond, 1), 16*time.Second
		if c.perSecond < 1 && c.hosts < 12 {
			span = 40 * time.Second // a bucket holds the requests of seconds
		}
		for _, shape := range strings.Fields(c.shapes) {
			t.Run(fmt.Sprintf("%d hosts, limit %v, plain %v, %s", c.hosts, c.perSecond, c.plain, shape), func(t *testing.T) {
				f := newLimitFleet(t, 1, c.plain, 3, dataCentresOf(c.hosts, 1)...)
				f.limit = always(c.perSecond)
				f.rate = map[string]func(int, time.Duration) float64{
					"even": evenly(demand / float64(c.hosts)), "one": atOne(demand), "moving": moving(c.hosts, demand),
					"bursts": bursts(evenly(2 * demand / float64(c.hosts))), "herd": herd(20 + c.perSecond/2),
				}[shape]
				f.run(span)
				f.checkRule(span, f.limit)
				if shape == "bursts" || shape == "herd" {
					return
				}
				used := f.utilisation(5*time.Second, span)
				t.Logf("used: %.2f; refused %d after %v at most", used, f.refused, f.maxRefusal)
				assert.Assert(t, used >= 0.85 && used <= 1.2, "used: %.2f", used)
			})
		}
	}
}

// disturb lets hosts restart, freeze and lose the others, one after another.
func (f *limitFleet) disturb(elapsed time.Duration) {
	at := elapsed - 4*time.Second
	i := (int(at/(2*time.Second)) + len(f.hosts)) % len(f.hosts)
	h := f.hosts[i]
	switch kind := int(at/(2*time.Second)) % 4; {
	case at < 0 || at%(2*time.Second) != 0 && at%(2*time.Second) != 1200*time.Millisecond:
	case at%(2*time.Second) == 0:
		f.excuse(i)
		h.excusedUntil = h.excusedUntil.Add(1200 * time.Millisecond)
		switch kind {
		case 0:
			h.down = true
		case 1:
			h.frozen = true
		case 2:
			h.group = 1
		case 3: // another process at once
			f.startHost(i)
		}
	default:
		if h.down {
			f.startHost(i)
		}
		h.frozen, h.group = false, 0
	}
}

// Guards against limits that the rest of the fleet breaks while one of its hosts restarts, is
// frozen or cut off, and against limits that it leaves unused then.
func TestLimitsHoldWhileHostsFail(t *testing.T) {
	const span, perSecond = 30 * time.Second, 8.0
	for _, hosts := range []int{4, 7} {
		for shape, rate := range map[string]func(int, time.Duration) float64{"even": evenly(60 / float64(hosts)), "one": atOne(60), "moving": moving(hosts, 60)} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%d hosts, %s, seed %d", hosts, shape, seed), func(t *testing.T) {
					f := newLimitFleet(t, seed, false, 3, dataCentresOf(hosts, 2)...)
					f.limit, f.rate, f.onStep = always(perSecond), rate, f.disturb
					f.failed, f.hedged = 0.1, 0.1
					f.run(span)
					f.checkRule(span, f.limit)
					if shape == "even" {
						used := f.utilisation(5*time.Second, span)
						assert.Assert(t, used >= 0.85 && used <= 1.3, "used: %.2f", used)
					}
				})
			}
		}
	}
}

// Guards against a fleet in halves of which each takes the whole limit for itself.
func TestHalvesOfAFleetShareTheLimit(t *testing.T) {
	const span = 20 * time.Second
	for _, perSecond := range []float64{1, 5, 40} {
		f := newLimitFleet(t, 3, false, 2, dataCentresOf(6, 1)...)
		f.limit, f.rate = always(perSecond), evenly(2*perSecond)
		f.onStep = func(elapsed time.Duration) {
			if elapsed == 6*time.Second {
				for _, h := range f.hosts[:3] {
					h.group = 1
				}
			}
		}
		f.run(span)
		f.checkRule(span, f.limit)
		used := f.utilisation(8*time.Second, span)
		assert.Assert(t, used >= 0.85 && used <= 1.2, "used: %.2f", used)
	}
}

// Guards against retries and second attempts beside the limit.
func TestRetriesAndSecondAttemptsKeepTheLimit(t *testing.T) {
	const span = 15 * time.Second
	for _, plain := range []bool{false, true} {
		f := newLimitFleet(t, 5, plain, 3, dataCentresOf(4, 1)...)
		f.limit, f.rate, f.failed, f.hedged = always(6), evenly(10), 0.4, 0.5
		f.run(span)
		f.checkRule(span, f.limit)
		used := f.utilisation(5*time.Second, span)
		assert.Assert(t, used >= 0.85 && used <= 1.2, "used: %.2f", used)
	}
}

// Guards against an old limit that is kept although the servers state another one, and
// against one that some answers leave out or state differently and that breaks.
func TestChangingLimitsAreFollowed(t *testing.T) {
	const span = 24 * time.Second
	answers := 0
	for name, c := range map[string]struct {
		stated, rule func(server int, elapsed time.Duration) (float64, bool)
		after        float64 // requests per second and server from 12 s on at least, 0 for any
	}{
		"lowered": {stated: func(_ int, elapsed time.Duration) (float64, bool) {
			return map[bool]float64{true: 30, false: 4}[elapsed < 10*time.Second], true
		}, after: 3.4},
		"raised": {stated: func(_ int, elapsed time.Duration) (float64, bool) {
			return map[bool]float64{true: 2, false: 15}[elapsed < 10*time.Second], true
		}, after: 12.5},
		"ended":           {stated: func(_ int, elapsed time.Duration) (float64, bool) { return 3, elapsed < 10*time.Second }, after: 15},
		"ended from none": {stated: func(_ int, elapsed time.Duration) (float64, bool) { return 0, elapsed < 10*time.Second }, after: 7},
		"none":            {stated: always(0)},
		"nearly none":     {stated: always(0.01)},
		"two": {stated: func(_ int, _ time.Duration) (float64, bool) {
			answers++
			return map[bool]float64{true: 20, false: 5}[answers%2 == 0], true
		}, rule: always(12.5), after: 4},
		"in every other answer": {stated: func(_ int, _ time.Duration) (float64, bool) {
			answers++
			return 6, answers%2 == 0
		}, rule: always(6), after: 5},
		"of one server": {stated: func(server int, _ time.Duration) (float64, bool) { return 2, server == 1 }, after: 13},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFleet(t, 6, false, 2, dataCentresOf(4, 2)...)
			f.limit, f.rate = c.stated, evenly(10)
			if c.rule == nil {
				c.rule = c.stated
			}
			f.run(span)
			f.checkRule(span, c.rule)
			got := 0
			for _, sends := range f.sends {
				for _, s := range sends {
					if s.at.Sub(start) >= 12*time.Second {
						got++
					}
				}
			}
			rate := float64(got) / 12 / 2
			t.Logf("%.1f a second, %d refused", rate, f.refused)
			assert.Assert(t, rate >= c.after, "requests per second and server: %v", rate)
		})
	}
}

// Guards against large fleets whose hosts each take a part of a limit that adds up to more, or
// to none.
func TestLargeFleetsKeepLimits(t *testing.T) {
	const span = 14 * time.Second
	for _, perSecond := range []float64{0.5, 6} {
		for shape, rate := range map[string]func(int, time.Duration) float64{"even": evenly(8 * perSecond / 10), "one data centre": func(host int, _ time.Duration) float64 {
			return map[bool]float64{true: 8 * perSecond / 5, false: 0}[host%3 == 0]
		}, "herd": herd(20)} {
			t.Run(fmt.Sprintf("%v, %s", perSecond, shape), func(t *testing.T) {
				f := newLimitFleet(t, 7, false, 9, dataCentresOf(60, 3)...)
				assert.Assert(t, f.hosts[0].Summarises())
				f.limit, f.rate = always(perSecond), rate
				f.run(span)
				f.checkRule(span, f.limit)
				used := f.utilisation(6*time.Second, span)
				t.Logf("used: %.2f, refused %d", used, f.refused)
				if shape == "herd" {
					return
				}
				assert.Assert(t, used >= 0.8 && used <= 1.2, "used: %.2f", used)
			})
		}
	}
}

// Guards against a flood of one workspace that takes what limited servers still take from the
// others.
func TestLimitsAreSharedBetweenWorkspaces(t *testing.T) {
	const span = 20 * time.Second
	for _, hosts := range []int{1, 4} {
		f := newLimitFleet(t, 8, false, 4, dataCentresOf(hosts, 1)...)
		f.limit, f.rate = always(6), evenly(140/float64(hosts)) // the servers take 24
		f.prepare = func(r *Request) {
			r.Workspace, r.PromptTokens = "flood", 1000
			if f.random.Float64() < 0.1 { // 14 a second
				r.Workspace = "normal"
			}
		}
		f.run(span)
		f.checkRule(span, f.limit)
		t.Logf("%v, refused %d", f.byWorkspace, f.refused)
		normal, flood := float64(f.byWorkspace["normal"]), float64(f.byWorkspace["flood"])
		assert.Assert(t, normal >= flood/2, "%v", f.byWorkspace)
		used := f.utilisation(5*time.Second, span)
		assert.Assert(t, used >= 0.85, "used: %.2f", used)
	}
}

// Guards against requests that wait for a limit until their deadline, or that get a Retry-After
// at which the limit cannot allow them yet.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	for _, plain := range []bool{false, true} {
		f := newLimitFleet(t, 9, plain, 1, dataCentresOf(1, 1)...)
		f.limit, f.rate = always(0.5), evenly(4)
		f.run(10 * time.Second)
		assert.Assert(t, f.refused > 20)
		assert.Assert(t, f.maxRefusal <= maxLateWait, "%v", f.maxRefusal)
		last := f.retryAfters[len(f.retryAfters)-1]
		assert.Assert(t, last >= time.Second && last <= maxRetryAfter, "%v", last)
	}
}

// Guards against requests that wait behind more others than the limit allows in the time that
// they may wait.
func TestOnlyRequestsThatTheLimitAllowsWait(t *testing.T) {
	for _, plain := range []bool{false, true} {
		f := newLimitFleet(t, 10, plain, 1, dataCentresOf(1, 1)...)
		d, now := f.hosts[0].Dispatcher, start.Add(time.Second)
		d.RecordLimit(now, "engine-0", 1, start, 4, true)
		decisions := map[Action]int{}
		for range 20 {
			r := newRequest(now, "w", 100, 3*time.Second)
			if plain {
				r.PromptTokens, r.OutputTokens = 0, 0
			}
			v := d.Admit(now, r)
			decisions[v.Action]++
			if v.Action == Refuse {
				assert.Assert(t, v.RetryAfter >= time.Second, "%v", v.RetryAfter)
			}
		}
		// The limit allows a request each 250 ms, and they wait for 1.2 s at most.
		assert.Assert(t, decisions[Wait] > 0 && decisions[Wait] <= 5 && decisions[Send] == 0, "%v", decisions)
		d.RecordLimit(now, "engine-0", 1, now, 0, true)
		r := newRequest(now, "w", 100, 300*time.Millisecond)
		if plain {
			r.PromptTokens, r.OutputTokens = 0, 0
		}
		assert.Equal(t, d.Admit(now, r).Action, Refuse)
	}
}

// Guards against hosts that all find the same tokens when requests come to them at once.
func TestHostsDoNotSpendATokenTogether(t *testing.T) {
	const span, perSecond = 14 * time.Second, 2
	for _, hosts := range []int{30, 47} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				f := newLimitFleet(t, seed, false, 3, dataCentresOf(hosts, 1)...)
				f.limit, f.rate = always(perSecond), herd(20)
				f.run(span)
				f.checkRule(span, f.limit)
			})
		}
	}
}
