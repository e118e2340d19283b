package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Bounds of the users' rule on limits.
const (
	limitContactTime = 3 * time.Second
	limitRuleWindow  = 4 * time.Second
	limitRuleFactor  = 1.5
	limitRuleSlack   = 5
	limitToldTime    = 500 * time.Millisecond
)

// limitFleet simulates edge hosts that send to servers with limits and exchange digests with
// delays and losses.
type limitFleet struct {
	t       *testing.T
	random  *rand.Rand
	plain   bool
	infos   []ServerInfo
	hosts   []*limitHost
	now     time.Time
	pending []limitEvent
	// limit returns what an answer of a server states.
	limit func(server int, elapsed time.Duration) (perSecond float64, stated bool)
	// rate returns the requests per second that come to a host.
	rate    func(host int, elapsed time.Duration) float64
	onStep  func(elapsed time.Duration)
	prepare func(*Request) // nil for none
	failed  float64        // part of the requests that end without an answer and are retried
	hedged  float64        // part of the requests that get a second attempt

	sends       map[int][]limitSend // by server
	firstNamed  map[int]time.Time
	refused     int
	maxRefusal  time.Duration
	retryAfters []time.Duration
	byWorkspace map[string]int
}

type limitHost struct {
	*Dispatcher
	name, dataCentre string
	incarnation      uint64
	down, frozen     bool
	group            int // hosts of different groups do not hear each other
	excusedUntil     time.Time
	told             map[int]time.Time // by server, when this process got the first answer with a limit
	lastDigest       time.Time
}

type limitSend struct {
	at      time.Time
	counted bool
}

type limitEvent struct {
	at  time.Time
	run func()
}

func newLimitFleet(t *testing.T, seed uint64, plain bool, servers int, dataCentres ...string) *limitFleet {
	t.Logf("seed %d", seed)
	f := &limitFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 47)), plain: plain, now: start, sends: map[int][]limitSend{}, firstNamed: map[int]time.Time{}, byWorkspace: map[string]int{},
	}
	for i := range servers {
		info := engineInfo(i, dataCentres[i%len(dataCentres)])
		info.StartMS = 1
		if plain {
			info.KVTokens, info.FetchTokensPerSecond = 0, 0
		}
		f.infos = append(f.infos, info)
	}
	for i, name := range dataCentres {
		h := &limitHost{name: fmt.Sprintf("edge-%d", i), dataCentre: name}
		f.hosts = append(f.hosts, h)
	}
	for i := range f.hosts {
		f.startHost(i)
		f.hosts[i].excusedUntil = time.Time{}
	}
	return f
}

// startHost starts a new process of a host.
func (f *limitFleet) startHost(i int) {
	h := f.hosts[i]
	h.Dispatcher = New(h.name, h.dataCentre, f.now)
	h.SetServiceRate(testTokensPerSecond)
	var local []string
	for _, other := range f.hosts {
		if other.dataCentre == h.dataCentre {
			local = append(local, other.name)
		}
	}
	h.SetEdgeHosts(local, len(f.hosts))
	h.SetServers(f.now, f.infos)
	h.incarnation++
	h.down, h.told, h.lastDigest = false, map[int]time.Time{}, f.now
	f.excuse(i)
}

func (f *limitFleet) excuse(i int) { f.hosts[i].excusedUntil = f.now.Add(limitContactTime) }

func (f *limitFleet) after(pause time.Duration, run func()) {
	f.pending = append(f.pending, limitEvent{f.now.Add(pause), run})
}

// jitter returns a time between from and twice that.
func (f *limitFleet) jitter(from time.Duration) time.Duration {
	return from + time.Duration(f.random.Int64N(int64(from)))
}

func (f *limitFleet) run(span time.Duration) {
	const step = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < span; elapsed += step {
		f.now = start.Add(elapsed)
		due := f.pending
		f.pending = nil
		for _, e := range due {
			if e.at.After(f.now) {
				f.pending = append(f.pending, e)
			} else {
				e.run()
			}
		}
		if f.onStep != nil {
			f.onStep(elapsed)
		}
		for i, h := range f.hosts {
			if h.down || h.frozen {
				continue
			}
			for _, s := range h.servers {
				s.info.Heard = f.now
			}
			for n := f.rate(i, elapsed) * step.Seconds(); n > 0; n-- {
				if f.random.Float64() < n {
					f.offer(i)
				}
			}
			for _, q := range h.Poll(f.now) {
				f.decided(i, q.Request, q.Decision)
			}
			f.exchange(i, elapsed)
		}
	}
}

func (f *limitFleet) offer(host int) {
	r := newRequest(f.now, "w", 300, time.Second)
	if f.plain {
		r.PromptTokens, r.OutputTokens = 0, 0
	}
	if f.prepare != nil {
		f.prepare(r)
	}
	f.decided(host, r, f.hosts[host].Admit(f.now, r))
}

func (f *limitFleet) decided(host int, r *Request, v Decision) {
	switch v.Action {
	case Refuse:
		f.refused++
		f.maxRefusal = max(f.maxRefusal, f.now.Sub(r.Arrived))
		f.retryAfters = append(f.retryAfters, v.RetryAfter)
	case Send:
		f.send(host, r, v)
		if f.random.Float64() < f.hedged {
			if second, v := f.hosts[host].Hedge(f.now, r, v.Server); second != nil {
				f.send(host, second, v)
			}
		}
	}
}

// send delivers a request and its answer, whose head comes after the network and the first
// event.
func (f *limitFleet) send(host int, r *Request, v Decision) {
	h, server := f.hosts[host], slices.IndexFunc(f.infos, func(info ServerInfo) bool { return info.ID == v.Server })
	d, sent := h.Dispatcher, f.now
	told, isTold := h.told[server]
	f.sends[server] = append(f.sends[server], limitSend{sent, isTold && !sent.Before(told.Add(limitToldTime)) && !sent.Before(h.excusedUntil)})
	f.byWorkspace[r.Workspace]++
	if f.random.Float64() < f.failed {
		f.after(f.jitter(50*time.Millisecond), func() {
			if h.Dispatcher == d && !h.down {
				d.RecordOutcome(f.now, r, ConnectionLost)
				f.decided(host, r, d.Retry(f.now, r, v.Server))
			}
		})
		return
	}
	f.after(f.jitter(40*time.Millisecond), func() {
		perSecond, stated := f.limit(server, f.now.Sub(start))
		if stated && f.firstNamed[server].IsZero() {
			f.firstNamed[server] = f.now
		}
		f.after(f.jitter(time.Millisecond), func() {
			if h.Dispatcher != d || h.down {
				return
			}
			if stated && h.told[server].IsZero() {
				h.told[server] = f.now
			}
			d.RecordLimit(f.now, v.Server, v.StartMS, sent, perSecond, stated)
			d.RecordEvent(f.now, r)
		})
	})
	f.after(f.jitter(300*time.Millisecond), func() {
		if h.Dispatcher == d && !h.down {
			d.RecordOutcome(f.now, r, Completed)
		}
	})
}

// exchange sends what is due of the digests and summaries of a host.
func (f *limitFleet) exchange(i int, elapsed time.Duration) {
	from := f.hosts[i]
	interval := 20 * time.Millisecond * time.Duration(max(len(f.hosts), 16)) / 16
	if from.Summarises() {
		interval = 50 * time.Millisecond
	}
	if (elapsed+time.Duration(i)*5*time.Millisecond)%interval.Round(5*time.Millisecond) == 0 {
		if m, changed := from.Digest(f.now, from.incarnation); changed || f.now.Sub(from.lastDigest) >= 500*time.Millisecond {
			from.lastDigest = f.now
			for j, to := range f.hosts {
				if i != j && (!from.Summarises() || to.dataCentre == from.dataCentre) {
					f.deliver(from, to, m)
				}
			}
		}
	}
	if !from.Summarises() || elapsed%(200*time.Millisecond) != 0 {
		return
	}
	var others []string
	for _, h := range f.hosts {
		if h.dataCentre != from.dataCentre && !slices.Contains(others, h.dataCentre) {
			others = append(others, h.dataCentre)
		}
	}
	for _, s := range from.Summaries(f.now, others) {
		for _, to := range f.hosts {
			if to.dataCentre == s.DataCentre {
				f.deliver(from, to, s.Digest)
			}
		}
	}
}

func (f *limitFleet) deliver(from, to *limitHost, m *apiv1.LoadDigest) {
	if f.random.Float64() < 0.02 {
		return
	}
	f.after(f.jitter(3*time.Millisecond), func() {
		if !to.down && !to.frozen && to.group == from.group {
			to.MergeDigest(f.now, m)
		}
	})
}

// checkRule checks the users' rule on limits: what counts in any window against what the
// stated limit allows in it.
func (f *limitFleet) checkRule(span time.Duration, stated func(server int, elapsed time.Duration) (float64, bool)) {
	f.t.Helper()
	const step = 50 * time.Millisecond
	worst := 0.0
	for server := range f.infos {
		named := f.firstNamed[server]
		if named.IsZero() {
			continue
		}
		for from := named.Sub(start).Round(step) + limitContactTime; from+limitRuleWindow <= span; from += step {
			allowed, whole := 0.0, true
			for at := from; at < from+limitRuleWindow; at += step {
				perSecond, limited := stated(server, at)
				whole = whole && limited
				allowed += perSecond * step.Seconds()
			}
			if !whole {
				continue
			}
			allowed = limitRuleFactor*allowed + limitRuleSlack
			got := 0
			for _, s := range f.sends[server] {
				if elapsed := s.at.Sub(start); s.counted && elapsed >= from && elapsed < from+limitRuleWindow {
					got++
				}
			}
			worst = max(worst, float64(got)/allowed)
			if float64(got) > allowed {
				f.t.Errorf("server %d got %d requests from %v on, allowed are %.1f", server, got, from, allowed)
				break
			}
		}
	}
	f.t.Logf("worst window: %.2f of what is allowed", worst)
}

// utilisation returns the requests that all servers got in a span as a fraction of their
// limits.
func (f *limitFleet) utilisation(from, to time.Duration) float64 {
	got, limits := 0, 0.0
	for server := range f.infos {
		for at := from; at < to; at += 10 * time.Millisecond {
			perSecond, _ := f.limit(server, at)
			limits += perSecond / 100
		}
		for _, s := range f.sends[server] {
			if elapsed := s.at.Sub(start); elapsed >= from && elapsed < to {
				got++
			}
		}
	}
	return float64(got) / limits
}
